//! The links of a core process: what comes on them, and what the relay tree sends.

use super::host::{Child, Host};
use super::peer_table::PeerChange;
use super::relay::{ChildFrame, ParentChange};
use crate::peer::{LinkId, PeerEvent};
use quillpulley_feed as feed;
use quillpulley_replication::{Event, Place};
use quillpulley_wire::{Body, Cores, Hello, NodeId, PeerKind};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

impl Host {
    /// Something happened on a link.
    pub fn peer_event(&mut self, event: PeerEvent) {
        let now = self.clock.now();
        match event {
            PeerEvent::Opened { link, hello, incoming: true, .. } => self.accepted(now, link, hello),
            PeerEvent::Opened { link, hello, incoming: false, .. } => self.opened(link, hello),
            PeerEvent::Frame { link, body } => self.frame(now, link, body),
            PeerEvent::Closed { link } | PeerEvent::ConnectFailed { link } => self.closed(now, link),
        }
        self.settle();
    }

    fn accepted(&mut self, now: Duration, link: LinkId, hello: Hello) {
        match hello.kind {
            PeerKind::Control if hello.node.ip != self.me.ip => {
                for given_up in self.peer_table.accepted(now, link, hello.node) {
                    self.peers.close(given_up);
                }
            }
            PeerKind::Agent => {
                self.agents.insert(link);
                self.feed_event(feed::Event::ChildUp(Child::Agent(link)));
            }
            PeerKind::Control | PeerKind::Proxy => self.peers.close(link),
        }
    }

    fn opened(&mut self, link: LinkId, hello: Hello) {
        let place = Place { zone: hello.zone.clone(), region: hello.region.clone() };
        let Some(PeerChange::Connected(node)) = self.peer_table.opened(link, hello) else {
            return self.peers.close(link);
        };
        log::debug!("connected to {node}");
        self.dirty.cores = true;
        self.tell_cores(Some(link));
        self.replicate(Event::Located { node, place });
        self.replicate(Event::Connected(node));
    }

    fn closed(&mut self, now: Duration, link: LinkId) {
        if self.agents.remove(&link) {
            self.feed_event(feed::Event::ChildDown(Child::Agent(link)));
        }
        if let Some(node) = self.peer_table.sender(link) {
            self.core_child_lost(node);
        }
        if let Some(PeerChange::Disconnected(node)) = self.peer_table.closed(now, link, fastrand::f64()) {
            log::debug!("disconnected from {node}");
            self.core_child_lost(node);
            self.tell_cores(None);
            self.replicate(Event::Disconnected(node));
        }
    }

    fn core_child_lost(&mut self, node: NodeId) {
        if self.relay.lost(node) {
            self.feed_event(feed::Event::ChildDown(Child::Core(node)));
        }
    }

    fn frame(&mut self, now: Duration, link: LinkId, body: Body) {
        if let Some(node) = self.peer_table.sender(link) {
            self.core_frame(now, node, body);
        } else if self.agents.contains(&link) {
            self.feed_event(feed::Event::ChildFrame(Child::Agent(link), body));
        }
    }

    fn core_frame(&mut self, now: Duration, node: NodeId, body: Body) {
        match body {
            Body::Cores(cores) => {
                for address in cores.addresses {
                    self.peer_table.learn(now, Ipv4Addr::from_bits(address));
                }
            }
            Body::Subscribe(_) | Body::Report(_) => {
                if let ChildFrame::Take(body) = self.relay.child_frame(node, body) {
                    self.feed_event(feed::Event::ChildFrame(Child::Core(node), body));
                }
            }
            Body::Update(_) | Body::Totals(_) => {
                if self.relay.parent() == Some(node) {
                    self.feed_event(feed::Event::ParentFrame(body));
                }
            }
            Body::Hello(_) | Body::Ping(_) | Body::PingAck(_) => {}
            body => self.replicate(Event::Message { from: node, body }),
        }
    }

    /// Has the node of the relay tree take an event, and does what it asks for.
    pub(super) fn feed_event(&mut self, event: feed::Event<Child>) {
        let mut actions = Vec::new();
        self.feed.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.perform_feed(action);
        }
    }

    fn perform_feed(&mut self, action: feed::Action<Child>) {
        match action {
            feed::Action::SendParent(body) => {
                if let Some(link) = self.relay.parent().and_then(|parent| self.peer_table.link_to(parent)) {
                    self.peers.send(link, &body);
                }
            }
            feed::Action::SendChild(child, body) => self.send_child(child, &body),
            feed::Action::SendChildren(children, body) => {
                for child in children {
                    self.send_child(child, &body);
                }
            }
            feed::Action::DropChild(child) => self.drop_child(child),
            feed::Action::Changed(changed) => {
                self.dirty.directory |= self.directory_view.published(&changed);
            }
            feed::Action::TotalsChanged => {}
            feed::Action::FrontsChanged => {
                self.dirty.reports = true;
                self.dirty.directory = true;
            }
        }
    }

    fn send_child(&mut self, child: Child, body: &Body) {
        let link = match child {
            Child::Core(node) => self.peer_table.link_to(node),
            Child::Agent(link) => Some(link),
        };
        if let Some(link) = link {
            self.peers.send(link, body);
        }
    }

    /// A core process that is dropped notices that nothing new comes, and applies again.
    fn drop_child(&mut self, child: Child) {
        match child {
            Child::Core(node) => drop(self.relay.lost(node)),
            Child::Agent(link) => {
                self.agents.remove(&link);
                self.peers.close(link);
            }
        }
    }

    /// Chooses the parent in the relay tree.
    pub(super) fn update_parent(&mut self, now: Duration) {
        if self.leadership.is_some() {
            return;
        }
        let primary = self.replica.primary_hint(now).filter(|primary| *primary != self.me);
        let peer_table = &self.peer_table;
        let is_reachable = |node| peer_table.link_to(node).is_some() && peer_table.receives_from(node);
        match self.relay.choose_parent(now, primary, self.feed.last_moved(), is_reachable) {
            Some(ParentChange::Up) => self.feed_event(feed::Event::ParentUp),
            Some(ParentChange::Down) => self.feed_event(feed::Event::ParentDown),
            None => {}
        }
    }

    /// Takes in the core processes that have applied to this process, which is the root.
    pub(super) fn adopt_children(&mut self) {
        let peer_table = &self.peer_table;
        for (node, frames) in self.relay.adopt(|node| peer_table.link_to(node).is_some()) {
            self.feed_event(feed::Event::ChildUp(Child::Core(node)));
            for frame in frames {
                self.feed_event(feed::Event::ChildFrame(Child::Core(node), frame));
            }
        }
    }

    /// Takes note of all core processes that this one should know of.
    pub(super) fn learn_cores(&mut self, now: Duration) {
        for address in self.wanted_cores() {
            self.peer_table.learn(now, address);
        }
    }

    /// Forgets the core processes that are gone, and takes note of those in the view.
    pub(super) fn forget_cores(&mut self, now: Duration) {
        let in_view = self.cores_in_view();
        let known_before = self.peer_table.known().count();
        self.peer_table.forget(now, |address| in_view.contains(&address));
        self.dirty.cores |= self.peer_table.known().count() != known_before;
        for address in in_view {
            self.peer_table.learn(now, address);
        }
    }

    fn wanted_cores(&self) -> Vec<Ipv4Addr> {
        let seeds = self.settings.seeds.iter().filter_map(|seed| match seed {
            SocketAddr::V4(seed) => Some(*seed.ip()),
            SocketAddr::V6(_) => None,
        });
        seeds.chain(self.cores_in_view()).collect()
    }

    fn cores_in_view(&self) -> Vec<Ipv4Addr> {
        self.replica.known_nodes().iter().map(NodeId::address).collect()
    }

    /// Dials the core processes that are due.
    pub(super) fn dial(&mut self, now: Duration) {
        for address in self.peer_table.due(now) {
            let port = self.settings.control_port();
            let link = self.peers.connect(SocketAddr::from((address, port)));
            self.peer_table.dialled(address, link);
        }
    }

    /// Tells others which core processes can be reached: one whose link has just opened, and all if that
    /// changed.
    fn tell_cores(&mut self, opened: Option<LinkId>) {
        let addresses: Vec<u32> = self.peer_table.reachable().into_iter().map(Ipv4Addr::to_bits).collect();
        let changed = addresses != self.told_cores;
        let body = Body::Cores(Box::new(Cores { addresses: addresses.clone() }));
        for (link, _) in self.peer_table.connected().filter(|(link, _)| changed || Some(*link) == opened) {
            self.peers.send(link, &body);
        }
        self.told_cores = addresses;
    }
}
