//! A simulated network of nodes in virtual time. Connections deliver frames in order.
#![allow(dead_code)] // each test program uses only a part of this module

pub mod timeline;

use quillpulley_protocol::{Body, Revision};
use quillpulley_state_sync::{Action, Change, Event, LocalReport, Options, SyncNode};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The identifier of a connection, by which the parent identifies the child.
pub type LinkId = u32;
pub type Items = BTreeMap<String, Vec<u8>>;

/// A connection from a child to a parent, with the frames in transit in both directions.
pub struct Link {
    pub child: usize,
    pub parent: usize,
    pub up: VecDeque<Body>,
    pub down: VecDeque<Body>,
}

/// Numbers of the frames and items that a node has sent to its children, and of the changes that it has
/// reported to its host.
#[derive(Default)]
pub struct NodeStats {
    pub frames_sent: usize,
    pub items_sent: usize,
    pub endpoints_changed: usize,
    pub totals_changed: usize,
}

pub struct Network {
    pub now: Duration,
    pub nodes: Vec<SyncNode<LinkId>>,
    pub stats: Vec<NodeStats>,
    pub links: BTreeMap<LinkId, Link>,
    /// The connection of each node to its parent.
    pub parent_links: Vec<Option<LinkId>>,
    /// For each node, the copy of its store that its host derives from the reported changes.
    pub mirrors: Vec<Items>,
    /// The items of the root at each revision.
    pub published: BTreeMap<Revision, Items>,
    pub frozen: Vec<bool>,
    next_link: LinkId,
}

impl Network {
    pub fn new(options: impl IntoIterator<Item = Options>) -> Self {
        let nodes: Vec<_> = options.into_iter().map(SyncNode::new).collect();
        let count = nodes.len();
        Network {
            now: Duration::ZERO,
            nodes,
            stats: (0..count).map(|_| NodeStats::default()).collect(),
            links: BTreeMap::new(),
            parent_links: vec![None; count],
            mirrors: vec![Items::new(); count],
            published: BTreeMap::from([(Revision::default(), Items::new())]),
            frozen: vec![false; count],
            next_link: 1,
        }
    }

    pub fn items(&self, node: usize) -> Items {
        self.nodes[node].store().iter().map(|(key, value)| (key.to_string(), value.to_vec())).collect()
    }

    pub fn handle(&mut self, node: usize, event: Event<LinkId>) {
        let before = self.nodes[node].revision();
        let mut actions = Vec::new();
        self.nodes[node].handle(self.now, event, &mut actions);
        for action in actions {
            self.act(node, action);
        }
        self.check(node, before);
    }

    /// Checks the invariants that hold after every event: the revision does not decrease, the store equals
    /// that of the root at the same revision, and every change was reported to the host.
    fn check(&mut self, node: usize, before: Revision) {
        let revision = self.nodes[node].revision();
        assert!(revision >= before, "the revision of node {node} decreased from {before:?} to {revision:?}");
        let items = self.items(node);
        if self.nodes[node].is_root() && revision > before {
            let previous = self.published.insert(revision, items.clone());
            assert!(previous.is_none(), "{revision:?} was assigned twice");
        }
        assert_eq!(
            Some(&items),
            self.published.get(&revision),
            "the store of node {node} differs from that of the root at {revision:?}"
        );
        assert_eq!(items, self.mirrors[node], "not all changes were reported to the host of node {node}");
    }

    fn act(&mut self, node: usize, action: Action<LinkId>) {
        match action {
            Action::SendParent(body) => {
                let link = self.parent_links[node].and_then(|id| self.links.get_mut(&id));
                link.expect("only a node with a parent sends frames to it").up.push_back(body);
            }
            Action::SendChild(child, body) => self.send_down(node, child, body),
            Action::SendChildren(children, body) => {
                children.into_iter().for_each(|child| self.send_down(node, child, body.clone()));
            }
            Action::DropChild(child) => self.break_link(child, false),
            Action::Changed(changes) => {
                for change in changes {
                    let old = match change.new {
                        Some(value) => self.mirrors[node].insert(change.key, value.to_vec()),
                        None => self.mirrors[node].remove(&change.key),
                    };
                    assert_eq!(old.as_deref(), change.old.as_deref());
                }
            }
            Action::TotalsChanged => self.stats[node].totals_changed += 1,
            Action::EndpointsChanged => self.stats[node].endpoints_changed += 1,
        }
    }

    fn send_down(&mut self, node: usize, child: LinkId, body: Body) {
        self.stats[node].frames_sent += 1;
        if let Body::Update(update) = &body {
            self.stats[node].items_sent += update.items.len();
        }
        if let Some(link) = self.links.get_mut(&child) {
            link.down.push_back(body);
        }
    }

    /// Connects a node to a parent, after disconnecting it from its previous parent.
    pub fn connect(&mut self, child: usize, parent: usize) {
        self.disconnect(child);
        let id = self.next_link;
        self.next_link += 1;
        self.links.insert(id, Link { child, parent, up: VecDeque::new(), down: VecDeque::new() });
        self.parent_links[child] = Some(id);
        self.handle(parent, Event::ChildUp(id));
        if self.links.contains_key(&id) {
            self.handle(child, Event::ParentUp);
        }
    }

    /// Closes a node's connection to its parent. Both ends are notified, and frames in transit are lost.
    pub fn disconnect(&mut self, child: usize) {
        if let Some(id) = self.parent_links[child] {
            self.break_link(id, true);
        }
    }

    /// Breaks a node's connection to its parent. The parent is not notified and keeps sending.
    pub fn break_at_child(&mut self, child: usize) {
        if let Some(id) = self.parent_links[child] {
            self.break_link(id, false);
        }
    }

    fn break_link(&mut self, id: LinkId, notify_parent: bool) {
        let Some(link) = self.links.remove(&id) else { return };
        self.parent_links[link.child] = None;
        self.handle(link.child, Event::ParentDown);
        if notify_parent {
            self.handle(link.parent, Event::ChildDown(id));
        }
    }

    /// Delivers the next frame of a connection in one direction. Returns whether a frame was delivered.
    pub fn deliver(&mut self, id: LinkId, down: bool) -> bool {
        let Some(link) = self.links.get_mut(&id) else { return false };
        let receiver = if down { link.child } else { link.parent };
        if self.frozen[receiver] {
            return false;
        }
        let queue = if down { &mut link.down } else { &mut link.up };
        let Some(body) = queue.pop_front() else { return false };
        let event = if down { Event::ParentFrame(body) } else { Event::ChildFrame(id, body) };
        self.handle(receiver, event);
        true
    }

    /// Drops the next frame from the parent to a node if it is an update, as a host may do whose queue is
    /// full.
    pub fn drop_next_update(&mut self, child: usize) {
        let Some(link) = self.parent_links[child].and_then(|id| self.links.get_mut(&id)) else { return };
        if matches!(link.down.front(), Some(Body::Update(_))) {
            link.down.pop_front();
        }
    }

    /// Delivers frames until none is in transit, except for frames to frozen nodes.
    pub fn deliver_all(&mut self) {
        loop {
            let ids: Vec<LinkId> = self.links.keys().copied().collect();
            let delivered =
                ids.iter().filter(|id| self.deliver(**id, true) | self.deliver(**id, false)).count();
            if delivered == 0 {
                return;
            }
        }
    }

    /// Advances the time and ticks nodes when they are due, without delivering frames.
    pub fn advance_without_delivery(&mut self, until: Duration) {
        while let Some((due, node)) = self.next_due().filter(|(due, _)| *due <= until) {
            self.now = due.max(self.now);
            self.handle(node, Event::Tick);
        }
        self.now = until;
    }

    /// Advances the time, ticks nodes when they are due, and delivers every frame at once.
    pub fn run_until(&mut self, until: Duration) {
        self.deliver_all();
        while let Some((due, node)) = self.next_due().filter(|(due, _)| *due <= until) {
            self.now = due.max(self.now);
            self.handle(node, Event::Tick);
            self.deliver_all();
        }
        self.now = until;
    }

    fn next_due(&self) -> Option<(Duration, usize)> {
        let running = (0..self.nodes.len()).filter(|node| !self.frozen[*node]);
        running.map(|node| (self.nodes[node].next_tick().max(self.now), node)).min()
    }

    pub fn publish(&mut self, node: usize, changes: Vec<(String, Option<Vec<u8>>)>) {
        let changes = changes.into_iter().map(|(key, value)| Change { key, value }).collect();
        self.handle(node, Event::Publish(changes));
    }

    pub fn report(&mut self, node: usize, report: LocalReport) {
        self.handle(node, Event::LocalReport(report));
    }
}
