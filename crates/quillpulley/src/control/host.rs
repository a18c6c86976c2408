//! The main thread of a core process: it owns all state, and all that happens comes to it as events.
//!
//! After each event [`Host::settle`] brings everything in line with the new state: the leadership of the primary,
//! the place in the relay tree, what is published, orders, answers, the directory and the links.

use super::api::{ApiCall, Call, Reply};
use super::clock::Clock;
use super::directory::DirectoryBoard;
use super::disk::{Disk, Stored};
use super::fetcher::Fetched;
use super::knowledge::Knowledge;
use super::leadership::{Leadership, Turn};
use super::links::{LinkNews, Links};
use super::list::PlatformList;
use super::orders::Orders;
use super::parts::Parts;
use super::seeds::Seeds;
use super::status;
use super::timed_answer::TimedAnswer;
use super::tree::{Child, Tree};
use crate::peer::PeerEvent;
use crate::Settings;
use quillpulley_control_state::ControlState;
use quillpulley_protocol::{ControlNode, NodeId};
use quillpulley_replication::{Action, Event, Replica, Role};
use quillpulley_state_sync as feed;
use std::time::Duration;

/// The state of a core process.
pub struct Host {
    clock: Clock,
    me: NodeId,
    settings: Settings,
    replica: Replica<ControlState>,
    disk: Disk,
    list: PlatformList,
    directory: DirectoryBoard,
    links: Links,
    tree: Tree,
    orders: Orders<Reply>,
    leadership: Leadership,
    seeds: Seeds,
}

impl Host {
    /// A host that has heard of nothing yet.
    pub fn new(settings: Settings, parts: Parts) -> Self {
        let now = parts.clock.now();
        let rate_per_s = settings.cloud.as_ref().map_or(0.0, |cloud| cloud.rate_per_s);
        let control_node =
            ControlNode { ip: parts.me.ip, zone: settings.zone.clone(), region: settings.region.clone() };
        let mut host = Host {
            links: Links::new(control_node, parts.peers),
            tree: Tree::new(parts.clock.clone(), &settings.node_name),
            list: PlatformList::new(parts.fetcher, rate_per_s),
            seeds: Seeds::new(now, settings.seeds.clone()),
            settings,
            clock: parts.clock,
            me: parts.me,
            replica: parts.replica,
            disk: parts.disk,
            directory: parts.directory,
            orders: Orders::default(),
            leadership: Leadership::default(),
        };
        host.learn_control_nodes(now);
        host.settle();
        host
    }

    /// The disk has finished a write.
    pub fn stored(&mut self, stored: Stored) {
        self.replicate(Event::WriteCompleted { ticket: stored.ticket, result: stored.result });
        self.settle();
    }

    /// The operator calls.
    pub fn called(&mut self, call: ApiCall) {
        let now = self.clock.now();
        self.update_leadership(now);
        match (self.replica.lease_until(now), call.call) {
            (_, Call::ReadStatus) => call.reply.send(status::answer(&self.knowledge(), now)),
            (None, _) => call.reply.send(self.knowledge().elsewhere(now)),
            (Some(_), Call::Order(order)) => self.orders.push(now, order, call.reply),
            (Some(lease_end), Call::ReadConfiguration) => {
                call.reply.send(self.knowledge().configuration(lease_end));
            }
        }
        self.settle();
    }

    /// A page of the platform's list has come, or has not.
    pub fn fetched(&mut self, fetched: Fetched) {
        let now = self.clock.now();
        self.update_leadership(now);
        let published = self.leadership.server_count();
        let reading = self.list.fetched(now, self.leadership.leads(), published, fetched);
        if let Some(reading) = reading {
            self.leadership.publish_list(now, reading, &mut self.tree, &mut self.links);
        }
        self.settle();
    }

    /// Something happened on a link.
    pub fn peer_event(&mut self, event: PeerEvent) {
        for news in self.links.take(self.clock.now(), event) {
            self.take_news(news);
        }
        self.settle();
    }

    fn take_news(&mut self, news: LinkNews) {
        match news {
            LinkNews::Connected(node, place) => {
                self.leadership.control_nodes_changed();
                self.replicate(Event::LocalityLearned { node, locality: place });
                self.replicate(Event::Connected(node));
            }
            LinkNews::Disconnected(node) => {
                self.tree.control_node_lost(node, &mut self.links);
                self.replicate(Event::Disconnected(node));
            }
            LinkNews::Silenced(node) => self.tree.control_node_lost(node, &mut self.links),
            LinkNews::FromControlNode(node, body) => {
                if let Some(body) = self.tree.take_from_control_node(node, body, &mut self.links) {
                    self.replicate(Event::Message { from: node, body });
                }
            }
            LinkNews::AgentUp(link) => self.feed(feed::Event::ChildUp(Child::Agent(link))),
            LinkNews::AgentDown(link) => self.feed(feed::Event::ChildDown(Child::Agent(link))),
            LinkNews::FromAgent(link, body) => self.feed(feed::Event::ChildFrame(Child::Agent(link), body)),
        }
    }

    fn feed(&mut self, event: feed::Event<Child>) {
        self.tree.take(event, &mut self.links);
    }

    /// Time has passed; to be called every 50 ms.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        self.replicate(Event::Tick);
        self.update_leadership(now);
        self.feed(feed::Event::Tick);
        self.orders.expire(now);
        self.leadership.tick(now, &mut self.tree, &mut self.links);
        self.list.tick(now, self.leadership.leads());
        self.tree.note_time(now);
        self.forget_control_nodes(now);
        let isolated = self.replica.view().is_none() && self.links.is_alone();
        if self.seeds.are_due(now, isolated) {
            self.read_seeds();
        }
        self.settle();
    }

    /// The process is about to end: hands over what it leads.
    pub fn stop(&mut self) {
        self.replicate(Event::Shutdown);
        self.settle();
    }

    /// Whether a process that was told to stop may end: its data stands elsewhere.
    pub fn may_end(&self) -> bool {
        self.replica.can_exit()
    }

    /// How long after it was told to end the process is killed.
    pub fn grace(&self) -> Duration {
        self.settings.bounds.grace
    }

    /// Reads the seeds in the settings file anew.
    pub fn read_seeds(&mut self) {
        self.seeds.read_again();
        self.learn_control_nodes(self.clock.now());
        self.settle();
    }

    /// Takes note of all core processes that this one should know of.
    fn learn_control_nodes(&mut self, now: Duration) {
        self.links.learn(now, self.seeds.addresses());
        self.links.learn(now, self.replica.known_nodes().iter().map(NodeId::address));
    }

    /// Forgets the core processes that are gone, and takes note of those in the view.
    fn forget_control_nodes(&mut self, now: Duration) {
        if self.links.keep(now, &self.replica.known_nodes()) {
            self.leadership.control_nodes_changed();
        }
    }

    fn knowledge(&self) -> Knowledge<'_> {
        Knowledge {
            name: &self.settings.node_name,
            me: self.me,
            control_port: self.settings.listen.control.map(|address| address.port()),
            replica: &self.replica,
        }
    }

    /// Has the replica take an event, and does what it asks for.
    fn replicate(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.replica.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { to, body } => self.links.send_to_control_node(to, &body),
            Action::Store { ticket, write } => self.disk.store(ticket, write),
            Action::Applied { .. } => self.leadership.state_changed(),
            Action::Committed { proposal } => self.committed(proposal),
            Action::Rejected { proposal, .. } => self.orders.failed(proposal),
            // The leadership follows the role and the lease at every moment; the replica itself logs its roles.
            Action::RoleChanged(_) => {}
        }
    }

    fn committed(&mut self, order: u64) {
        let lease_end = self.replica.lease_until(self.clock.now());
        self.orders.committed(order, self.replica.state(), lease_end.is_some());
        self.send_answers(lease_end.unwrap_or_default());
    }

    /// Brings everything in line with what has happened.
    fn settle(&mut self) {
        let now = self.clock.now();
        self.update_leadership(now);
        self.update_place(now);
        self.propose_orders();
        // Without a lease nothing that is left can be clear.
        self.send_answers(Duration::ZERO);
        self.show_directory(now);
        self.links.dial(now, self.settings.control_port());
    }

    /// Takes or gives up the leadership as the replica and its lease say.
    fn update_leadership(&mut self, now: Duration) {
        let epoch = match self.replica.role(now) {
            Role::Primary { epoch, holds_lease: true } => Some(epoch),
            _ => None,
        };
        let (state, tree, links) = (self.replica.state(), &mut self.tree, &mut self.links);
        match self.leadership.update(now, epoch, state, tree, links) {
            Turn::Same => {}
            Turn::Assumed => self.list.reset(now),
            Turn::SteppedDown => {
                let elsewhere = self.knowledge().elsewhere(now);
                self.orders.abandon(elsewhere.decided());
                self.send_answers(elsewhere.valid_until());
            }
        }
    }

    /// The primary publishes what has changed, others choose their parent.
    fn update_place(&mut self, now: Duration) {
        let (tree, links) = (&mut self.tree, &mut self.links);
        if self.leadership.leads() {
            self.leadership.publish_changes(now, self.replica.state(), tree, links);
        } else {
            let primary = self.replica.primary_hint(now).filter(|primary| *primary != self.me);
            tree.update_parent(now, primary, links);
        }
    }

    fn propose_orders(&mut self) {
        while let Some(lease_end) = self.replica.lease_until(self.clock.now()) {
            let proposal = self.orders.next_for(&self.replica);
            self.send_answers(lease_end);
            let Some(proposal) = proposal else { return };
            self.replicate(Event::Propose { proposal: proposal.order, payload: proposal.payload });
        }
    }

    /// Sends the answers that were decided under a lease that ends at `lease_end`.
    fn send_answers(&mut self, lease_end: Duration) {
        for (reply, answer) in self.orders.take_answers() {
            reply.send(TimedAnswer::until(lease_end, answer));
        }
    }

    fn show_directory(&mut self, now: Duration) {
        if let Some(directory) = self.tree.changed_directory(now) {
            self.directory.set(directory);
        }
    }
}
