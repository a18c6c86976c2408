//! The position of this process among the control nodes of the relay tree: its parent, and its children.
//!
//! Only the root has control nodes as children: two that each took the other for their parent would count each other's
//! reports. A node that learns of a new primary may subscribe before that primary knows of its own election; its
//! messages are kept until then.

use quillpulley_protocol::{Body, NodeId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A parent whose published state does not move for this long is subscribed to again.
const RESUBSCRIBE_AFTER: Duration = Duration::from_secs(1);
/// The most reports that are kept of a pending child.
const MAX_PENDING_REPORTS: usize = 64;

/// The messages of a control node that is no child yet.
#[derive(Default)]
struct PendingChild {
    subscription: Option<Body>,
    /// A complete report and those that build on it.
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
    /// There is another parent, or the same one is subscribed to again.
    Up,
    /// There is no parent any more.
    Down,
}

/// A message that a child sends.
#[derive(Debug, Clone, PartialEq)]
pub enum ChildMessage {
    /// It comes from a child.
    FromChild(Body),
    /// It is kept until its sender becomes a child.
    Pending,
}

/// The parent and the children of this process among the control nodes.
#[derive(Default)]
pub struct ControlTopology {
    parent: Option<NodeId>,
    subscribed_at: Duration,
    /// Whether the link from the parent was replaced since the last subscription.
    is_link_replaced: bool,
    children: BTreeSet<NodeId>,
    pending: BTreeMap<NodeId, PendingChild>,
}

impl ControlTopology {
    /// Returns the parent.
    pub fn parent(&self) -> Option<NodeId> {
        self.parent
    }

    /// Chooses the parent: `primary` if one has sent a heartbeat recently and can be reached, else the previous parent
    /// while it
    /// `is_reachable`. The root has none. `moved_at` is when the published state moved last.
    pub fn choose_parent(
        &mut self,
        now: Duration,
        primary: Option<NodeId>,
        moved_at: Option<Duration>,
        is_reachable: impl Fn(NodeId) -> bool,
    ) -> Option<ParentChange> {
        let chosen = primary.filter(|node| is_reachable(*node));
        let chosen = chosen.or(self.parent.filter(|node| is_reachable(*node)));
        let is_outdated = self.is_link_replaced || self.is_stale(now, moved_at);
        if chosen == self.parent && !(chosen.is_some() && is_outdated) {
            return None;
        }
        self.is_link_replaced = false;
        self.parent = chosen;
        self.subscribed_at = now;
        Some(if chosen.is_some() { ParentChange::Up } else { ParentChange::Down })
    }

    fn is_stale(&self, now: Duration, moved_at: Option<Duration>) -> bool {
        let latest = moved_at.unwrap_or_default().max(self.subscribed_at);
        now.saturating_sub(latest) >= RESUBSCRIBE_AFTER
    }

    /// Records that the link from a control node was replaced. The parent is subscribed to again.
    pub fn link_replaced(&mut self, node: NodeId) {
        self.is_link_replaced |= self.parent == Some(node);
    }

    /// Makes this process the root.
    pub fn become_root(&mut self) {
        self.parent = None;
    }

    /// Makes this process no root any more. Returns the nodes that were its children.
    pub fn leave_root(&mut self) -> Vec<NodeId> {
        self.pending.clear();
        std::mem::take(&mut self.children).into_iter().collect()
    }

    /// Handles a message that only children send.
    pub fn handle_child_message(&mut self, node: NodeId, body: Body) -> ChildMessage {
        if self.children.contains(&node) {
            return ChildMessage::FromChild(body);
        }
        self.pending.entry(node).or_default().record(body);
        ChildMessage::Pending
    }

    /// Makes children of the pending nodes that can be reached, and returns them with their messages. Only the root
    /// does so.
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

    /// Removes a control node that cannot be reached any more. Returns whether it was a child.
    pub fn remove(&mut self, node: NodeId) -> bool {
        self.pending.remove(&node);
        self.children.remove(&node)
    }
}
