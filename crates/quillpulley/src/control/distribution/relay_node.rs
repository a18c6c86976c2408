//! The node of this process in the relay tree: its published state, its position among the control nodes, and
//! its messages on the links.

use super::control_topology::{ChildMessage, ControlTopology, ParentChange};
use crate::control::clock::Clock;
use crate::control::directory::builder::{DirectoryBuilder, DirectoryInputs};
use crate::control::directory::Directory;
use crate::control::replica_host::links::Links;
use crate::peer::LinkId;
use quillpulley_protocol::{Body, NodeId, Revision};
use quillpulley_state_sync::{Action, Event, Options, Store, SubtreeState, SyncNode};
use std::time::Duration;

/// A child in the relay tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Child {
    /// Another control node. Messages are sent to it on the link that this process opened.
    ControlNode(NodeId),
    /// An agent. Messages are sent to it on the link that the agent opened.
    Agent(LinkId),
}

/// The node of this process in the relay tree.
pub struct RelayNode {
    clock: Clock,
    sync_node: SyncNode<Child>,
    topology: ControlTopology,
    directory: DirectoryBuilder,
    /// Whether reports of the subtree have changed since they were last published.
    reports_changed: bool,
    /// Whether the directory may have changed since it was last built.
    directory_changed: bool,
}

impl RelayNode {
    /// Creates a node without published state and without a parent. `link_mbps` is the speed of the machine's
    /// network link in Mbit/s.
    pub fn new(clock: Clock, name: &str, link_mbps: f64) -> Self {
        RelayNode {
            clock,
            sync_node: SyncNode::new(Options::control_node(name).with_link_mbps(link_mbps)),
            topology: ControlTopology::default(),
            directory: DirectoryBuilder::default(),
            reports_changed: false,
            directory_changed: false,
        }
    }

    /// Returns the published state.
    pub fn store(&self) -> &Store {
        self.sync_node.store()
    }

    /// Returns the reports of this process and of its subtree.
    pub fn subtree(&self) -> &SubtreeState {
        self.sync_node.subtree()
    }

    /// Marks the reports as changed, so that the next publication includes them.
    pub fn mark_reports_changed(&mut self) {
        self.reports_changed = true;
    }

    /// Returns whether reports have changed since the last call.
    pub fn take_reports_changed(&mut self) -> bool {
        std::mem::take(&mut self.reports_changed)
    }

    /// Returns the directory at `now` if it may have changed since the last call.
    pub fn changed_directory(&mut self, now: Duration) -> Option<Directory> {
        let inputs = DirectoryInputs::at(now, &self.sync_node);
        let has_changed = std::mem::take(&mut self.directory_changed);
        has_changed.then(|| self.directory.build(now, &inputs))
    }

    /// Marks the directory as changed if it may change merely because time passes.
    pub fn tick_directory(&mut self, now: Duration) {
        self.directory_changed |= self.directory.depends_on_time(self.sync_node.is_fresh(now));
    }

    /// Handles an event and performs the resulting actions.
    pub fn handle(&mut self, event: Event<Child>, links: &mut Links) {
        let mut actions = Vec::new();
        self.sync_node.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.perform(action, links);
        }
    }

    fn perform(&mut self, action: Action<Child>, links: &mut Links) {
        match action {
            Action::SendParent(body) => {
                if let Some(parent) = self.topology.parent() {
                    links.send_to_control_node(parent, &body);
                }
            }
            Action::SendChild(child, body) => send_to_children(&[child], &body, links),
            Action::SendChildren(children, body) => send_to_children(&children, &body, links),
            Action::DropChild(child) => self.drop_child(child, links),
            Action::Changed(changed) => {
                self.directory_changed |= self.directory.items_changed(&changed);
            }
            Action::TotalsChanged => {}
            Action::EndpointsChanged => {
                self.reports_changed = true;
                self.directory_changed = true;
            }
        }
    }

    /// Drops a child. A dropped control node detects that it receives no more updates, and subscribes again.
    fn drop_child(&mut self, child: Child, links: &mut Links) {
        match child {
            Child::ControlNode(node) => drop(self.topology.remove(node)),
            Child::Agent(link) => links.drop_agent(link),
        }
    }

    /// Handles a message from an agent. An agent that has seen a later epoch is sent away if this node waits for its own
    /// parent. A node that has no state yet has just started, and will have some soon.
    pub fn handle_agent_message(&mut self, link: LinkId, body: Body, links: &mut Links) {
        let child = Child::Agent(link);
        let has_state = self.sync_node.revision() != Revision::default();
        match &body {
            Body::Subscribe(subscribe)
                if has_state && self.sync_node.is_outdated_for(self.clock.now(), subscribe) =>
            {
                log::info!(link:% = link; "agent rejected, as it has seen a later epoch than this node");
                self.drop_child(child, links);
                self.handle(Event::ChildDown(child), links);
            }
            _ => self.handle(Event::ChildFrame(child, body), links),
        }
    }

    /// Handles a message from another control node. Returns the message if it does not belong to the relay
    /// tree.
    pub fn handle_control_node_message(
        &mut self,
        node: NodeId,
        body: Body,
        links: &mut Links,
    ) -> Option<Body> {
        match body {
            Body::Subscribe(_) | Body::Report(_) => {
                if let ChildMessage::FromChild(body) = self.topology.handle_child_message(node, body) {
                    self.handle(Event::ChildFrame(Child::ControlNode(node), body), links);
                }
                None
            }
            Body::Update(_) | Body::Totals(_) => {
                if self.topology.parent() == Some(node) {
                    self.handle(Event::ParentFrame(body), links);
                }
                None
            }
            body => Some(body),
        }
    }

    /// Handles the loss of a control node: messages can no longer be sent to it, or no longer be received
    /// from it.
    pub fn control_node_lost(&mut self, node: NodeId, links: &mut Links) {
        if self.topology.remove(node) {
            self.handle(Event::ChildDown(Child::ControlNode(node)), links);
        }
    }

    /// Handles the replacement of the link from a control node. If the node is the parent, it may have
    /// dropped this process as a child.
    pub fn control_node_link_replaced(&mut self, node: NodeId) {
        self.topology.link_replaced(node);
    }

    /// Updates the parent: the primary if it is reachable. Must not be called at the root.
    pub fn update_parent(&mut self, now: Duration, primary: Option<NodeId>, links: &mut Links) {
        let is_reachable = |node| links.can_exchange_with(node);
        match self.topology.choose_parent(now, primary, self.sync_node.last_advanced(), is_reachable) {
            Some(ParentChange::Up) => self.handle(Event::ParentUp, links),
            Some(ParentChange::Down) => self.handle(Event::ParentDown, links),
            None => {}
        }
    }

    /// Makes this process the root in `epoch`.
    pub fn become_root(&mut self, epoch: u64, links: &mut Links) {
        self.topology.become_root();
        self.handle(Event::BecomeRoot { epoch }, links);
    }

    /// Ends the role of root, and removes the children that are control nodes.
    pub fn leave_root(&mut self, links: &mut Links) {
        self.handle(Event::LeaveRoot, links);
        for node in self.topology.leave_root() {
            self.handle(Event::ChildDown(Child::ControlNode(node)), links);
        }
    }

    /// Admits as children the control nodes that have subscribed. Must be called only at the root.
    pub fn admit_children(&mut self, links: &mut Links) {
        for (node, messages) in self.topology.admit_pending(|node| links.can_send_to(node)) {
            self.handle(Event::ChildUp(Child::ControlNode(node)), links);
            for message in messages {
                self.handle(Event::ChildFrame(Child::ControlNode(node), message), links);
            }
        }
    }
}

/// Sends a message to the children that are reachable.
fn send_to_children(children: &[Child], body: &Body, links: &Links) {
    let link_to = |child: &Child| match child {
        Child::ControlNode(node) => links.link_to(*node),
        Child::Agent(link) => Some(*link),
    };
    let reachable: Vec<LinkId> = children.iter().filter_map(link_to).collect();
    links.send_all(&reachable, body);
}
