//! The node of the relay tree: its state, its place among the core processes, and its frames on the links.

use super::clock::Clock;
use super::directory::Directory;
use super::directory_view::{DirectoryView, Known};
use super::links::Links;
use super::relay::{ChildFrame, ParentChange, Relay};
use crate::peer::LinkId;
use quillpulley_protocol::{Body, NodeId};
use quillpulley_state_sync::{Action, Event, FeedNode, Options, Store, Subtree};
use std::time::Duration;

/// A child in the relay tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Child {
    /// Another core process: it gets its frames on the link that this process opened.
    ControlNode(NodeId),
    /// An agent, on the link that it opened.
    Agent(LinkId),
}

/// What has changed in the tree since it was last acted upon.
#[derive(Debug, Default)]
pub struct TreeChanges {
    /// The reports of the subtree.
    pub reports: bool,
    /// What the directory is made of.
    pub directory: bool,
}

/// The node of the relay tree.
pub struct Tree {
    clock: Clock,
    feed: FeedNode<Child>,
    relay: Relay,
    directory_view: DirectoryView,
    /// What has changed.
    pub changes: TreeChanges,
}

impl Tree {
    /// A node that knows nothing and has no parent.
    pub fn new(clock: Clock, name: &str) -> Self {
        let feed = FeedNode::new(Options::control_node(name));
        Tree {
            clock,
            feed,
            relay: Relay::default(),
            directory_view: DirectoryView::default(),
            changes: TreeChanges::default(),
        }
    }

    /// The published state.
    pub fn store(&self) -> &Store {
        self.feed.store()
    }

    /// The reports of this process and of all below it.
    pub fn subtree(&self) -> &Subtree {
        self.feed.subtree()
    }

    /// What the directory is to tell at `now`, if that has changed.
    pub fn changed_directory(&mut self, now: Duration) -> Option<Directory> {
        let known = Known::at(now, &self.feed);
        let changed = std::mem::take(&mut self.changes.directory);
        changed.then(|| self.directory_view.directory(now, &known))
    }

    /// Time has passed, which alone may change what the directory tells.
    pub fn note_time(&mut self, now: Duration) {
        self.changes.directory |= self.directory_view.is_waiting(self.feed.is_fresh(now));
    }

    /// Has the node take an event, and does what it asks for.
    pub fn take(&mut self, event: Event<Child>, links: &mut Links) {
        let mut actions = Vec::new();
        self.feed.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.perform(action, links);
        }
    }

    fn perform(&mut self, action: Action<Child>, links: &mut Links) {
        match action {
            Action::SendParent(body) => {
                if let Some(parent) = self.relay.parent() {
                    links.send_to_control_node(parent, &body);
                }
            }
            Action::SendChild(child, body) => send_child(child, &body, links),
            Action::SendChildren(children, body) => {
                for child in children {
                    send_child(child, &body, links);
                }
            }
            Action::DropChild(child) => self.drop_child(child, links),
            Action::Changed(changed) => {
                self.changes.directory |= self.directory_view.published(&changed);
            }
            Action::TotalsChanged => {}
            Action::EndpointsChanged => {
                self.changes.reports = true;
                self.changes.directory = true;
            }
        }
    }

    /// A core process that is dropped notices that nothing new comes, and applies again.
    fn drop_child(&mut self, child: Child, links: &mut Links) {
        match child {
            Child::ControlNode(node) => drop(self.relay.lost(node)),
            Child::Agent(link) => links.drop_agent(link),
        }
    }

    /// Takes what another core process sends, or gives it back if it is no frame of the tree.
    pub fn take_from_control_node(&mut self, node: NodeId, body: Body, links: &mut Links) -> Option<Body> {
        match body {
            Body::Subscribe(_) | Body::Report(_) => {
                if let ChildFrame::Take(body) = self.relay.child_frame(node, body) {
                    self.take(Event::ChildFrame(Child::ControlNode(node), body), links);
                }
                None
            }
            Body::Update(_) | Body::Totals(_) => {
                if self.relay.parent() == Some(node) {
                    self.take(Event::ParentFrame(body), links);
                }
                None
            }
            body => Some(body),
        }
    }

    /// Frames of a core process do not come or go any more.
    pub fn control_node_lost(&mut self, node: NodeId, links: &mut Links) {
        if self.relay.lost(node) {
            self.take(Event::ChildDown(Child::ControlNode(node)), links);
        }
    }

    /// Chooses the parent: the primary if it can be reached. Not to be called at the root.
    pub fn update_parent(&mut self, now: Duration, primary: Option<NodeId>, links: &mut Links) {
        let is_reachable = |node| links.exchanges_with(node);
        match self.relay.choose_parent(now, primary, self.feed.last_moved(), is_reachable) {
            Some(ParentChange::Up) => self.take(Event::ParentUp, links),
            Some(ParentChange::Down) => self.take(Event::ParentDown, links),
            None => {}
        }
    }

    /// This process is the root from now on, in this epoch.
    pub fn become_root(&mut self, epoch: u64, links: &mut Links) {
        self.relay.become_root();
        self.take(Event::BecomeRoot { epoch }, links);
    }

    /// This process is no root any more, and has no core processes as children.
    pub fn leave_root(&mut self, links: &mut Links) {
        self.take(Event::LeaveRoot, links);
        for node in self.relay.leave_root() {
            self.take(Event::ChildDown(Child::ControlNode(node)), links);
        }
    }

    /// Takes in the core processes that have applied to this process, which is the root.
    pub fn adopt_children(&mut self, links: &mut Links) {
        for (node, frames) in self.relay.adopt(|node| links.sends_to(node)) {
            self.take(Event::ChildUp(Child::ControlNode(node)), links);
            for frame in frames {
                self.take(Event::ChildFrame(Child::ControlNode(node), frame), links);
            }
        }
    }
}

fn send_child(child: Child, body: &Body, links: &Links) {
    match child {
        Child::ControlNode(node) => links.send_to_control_node(node, body),
        Child::Agent(link) => links.send_agent(link, body),
    }
}
