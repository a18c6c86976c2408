//! The position of this process among the control nodes of the relay tree: its parent and its children.
//!
//! Only the root has control nodes as children. If two control nodes were each other's parent, each would
//! count the other's reports as its own. A node that learns of a new primary may subscribe before that
//! primary learns of its own election. Its messages are kept until then.

use quillpulley_protocol::{Body, NodeId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time after which this process subscribes to its parent again if the published state does not advance.
const RESUBSCRIBE_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of reports that are kept for a pending child.
const MAX_PENDING_REPORTS: usize = 64;

/// The messages of a control node that is not a child yet.
#[derive(Default)]
struct PendingChild {
    subscription: Option<Body>,
    /// A complete report and the incremental reports that build on it.
    reports: Vec<Body>,
}

impl PendingChild {
    fn record(&mut self, body: Body) {
        match &body {
            Body::Subscribe(_) => self.subscription = Some(body),
            Body::Report(report) if !report.delta => self.reports = vec![body],
            Body::Report(_) if self.reports.len() >= MAX_PENDING_REPORTS => self.reports.clear(),
            Body::Report(_) if !self.reports.is_empty() => self.reports.push(body),
            _ => {}
        }
    }

    fn is_complete(&self) -> bool {
        self.subscription.is_some() && !self.reports.is_empty()
    }
}

/// A change of the parent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParentChange {
    /// The parent is a different node, or this process subscribes to the same parent again.
    Up,
    /// There is no longer a parent.
    Down,
}

/// The result of handling a message that only children send.
#[derive(Debug, Clone, PartialEq)]
pub enum ChildMessage {
    /// The sender is a child: the message has to be processed.
    FromChild(Body),
    /// The sender is not a child: the message is kept until it becomes one.
    Pending,
}

/// The parent and the children of this process among the control nodes.
#[derive(Default)]
pub struct ControlTopology {
    parent: Option<NodeId>,
    subscribed_at: Duration,
    /// Whether the link from the parent has been replaced since the last subscription.
    is_link_replaced: bool,
    children: BTreeSet<NodeId>,
    pending: BTreeMap<NodeId, PendingChild>,
}

impl ControlTopology {
    /// Returns the parent; `None` if this process is the root or no parent is reachable.
    pub fn parent(&self) -> Option<NodeId> {
        self.parent
    }

    /// Chooses the parent: `primary` if it is reachable, or else the previous parent if that is reachable.
    /// `primary` is the node that has recently sent a heartbeat as primary, and `advanced_at` is the time at
    /// which the published state last advanced. Returns `None` if nothing has to change. Must not be called
    /// at the root, which has no parent.
    pub fn choose_parent(
        &mut self,
        now: Duration,
        primary: Option<NodeId>,
        advanced_at: Option<Duration>,
        is_reachable: impl Fn(NodeId) -> bool,
    ) -> Option<ParentChange> {
        let chosen = primary.filter(|node| is_reachable(*node));
        let chosen = chosen.or(self.parent.filter(|node| is_reachable(*node)));
        let is_outdated = self.is_link_replaced || self.is_stale(now, advanced_at);
        if chosen == self.parent && !(chosen.is_some() && is_outdated) {
            return None;
        }
        self.is_link_replaced = false;
        self.parent = chosen;
        self.subscribed_at = now;
        Some(if chosen.is_some() { ParentChange::Up } else { ParentChange::Down })
    }

    fn is_stale(&self, now: Duration, advanced_at: Option<Duration>) -> bool {
        let latest = advanced_at.unwrap_or_default().max(self.subscribed_at);
        now.saturating_sub(latest) >= RESUBSCRIBE_AFTER
    }

    /// Records that the link from a control node was replaced. If the node is the parent, this process
    /// subscribes to it again.
    pub fn link_replaced(&mut self, node: NodeId) {
        self.is_link_replaced |= self.parent == Some(node);
    }

    /// Makes this process the root, which has no parent.
    pub fn become_root(&mut self) {
        self.parent = None;
    }

    /// Ends the role of root. Returns the nodes that were children.
    pub fn leave_root(&mut self) -> Vec<NodeId> {
        self.pending.clear();
        std::mem::take(&mut self.children).into_iter().collect()
    }

    /// Handles a message that only children send. Keeps it if the sender is not a child yet.
    pub fn handle_child_message(&mut self, node: NodeId, body: Body) -> ChildMessage {
        if self.children.contains(&node) {
            return ChildMessage::FromChild(body);
        }
        self.pending.entry(node).or_default().record(body);
        ChildMessage::Pending
    }

    /// Admits as children the pending nodes that are reachable and have sent both a subscription and a
    /// complete report. Returns them with their messages. Must be called only at the root.
    pub fn admit_pending(&mut self, is_reachable: impl Fn(NodeId) -> bool) -> Vec<(NodeId, Vec<Body>)> {
        let ready = |(node, child): (&NodeId, &PendingChild)| {
            (child.is_complete() && is_reachable(*node)).then_some(*node)
        };
        let ready: Vec<NodeId> = self.pending.iter().filter_map(ready).collect();
        let mut admitted = Vec::new();
        for node in ready {
            let Some(child) = self.pending.remove(&node) else { continue };
            self.children.insert(node);
            admitted.push((node, child.subscription.into_iter().chain(child.reports).collect()));
        }
        admitted
    }

    /// Removes a control node that is no longer reachable. Returns whether it was a child.
    pub fn remove(&mut self, node: NodeId) -> bool {
        self.pending.remove(&node);
        self.children.remove(&node)
    }
}
