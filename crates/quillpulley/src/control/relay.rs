//! The place of this process in the relay tree: who its parent is, and which core processes are its children.
//!
//! Only the root has core processes as children: two that each took the other for their parent would count
//! each other's reports. One that hears of a new primary may subscribe before that primary knows of its own
//! election; what it sends is kept until then.

use quillpulley_protocol::{Body, NodeId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A parent that brings nothing new for so long is asked anew.
const RESUBSCRIBE_AFTER: Duration = Duration::from_secs(1);
/// The most reports that are kept of a process that is no child yet.
const MAX_KEPT_REPORTS: usize = 64;

/// What a core process has sent that is no child yet.
#[derive(Default)]
struct Applicant {
    subscription: Option<Body>,
    /// A complete report and those that build on it.
    reports: Vec<Body>,
}

impl Applicant {
    fn keep(&mut self, body: Body) {
        match &body {
            Body::Subscribe(_) => self.subscription = Some(body),
            Body::Report(report) if !report.delta => self.reports = vec![body],
            Body::Report(_) if self.reports.len() >= MAX_KEPT_REPORTS => self.reports.clear(),
            Body::Report(_) if !self.reports.is_empty() => self.reports.push(body),
            _ => {}
        }
    }

    fn is_complete(&self) -> bool {
        self.subscription.is_some() && !self.reports.is_empty()
    }
}

/// What the tree has to be told about the parent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParentChange {
    /// The parent is another one, or is asked anew.
    Up,
    /// There is no parent any more.
    Down,
}

/// What is to be done with a frame of another core process.
#[derive(Debug, Clone, PartialEq)]
pub enum ChildFrame {
    /// It is a child's.
    Take(Body),
    /// It is kept until the process becomes a child.
    Kept,
}

/// The parent and the children of this process among the core processes.
#[derive(Default)]
pub struct Relay {
    parent: Option<NodeId>,
    asked_at: Duration,
    children: BTreeSet<NodeId>,
    applicants: BTreeMap<NodeId, Applicant>,
}

impl Relay {
    /// The parent.
    pub fn parent(&self) -> Option<NodeId> {
        self.parent
    }

    /// Chooses the parent: `primary` if one was heard lately and can be reached, else the one before while it
    /// `is_reachable`. The root has none. `moved` is when the published state moved last.
    pub fn choose_parent(
        &mut self,
        now: Duration,
        primary: Option<NodeId>,
        moved: Option<Duration>,
        is_reachable: impl Fn(NodeId) -> bool,
    ) -> Option<ParentChange> {
        let chosen = primary.filter(|node| is_reachable(*node));
        let chosen = chosen.or(self.parent.filter(|node| is_reachable(*node)));
        if chosen == self.parent && !(chosen.is_some() && self.is_stale(now, moved)) {
            return None;
        }
        self.parent = chosen;
        self.asked_at = now;
        Some(if chosen.is_some() { ParentChange::Up } else { ParentChange::Down })
    }

    fn is_stale(&self, now: Duration, moved: Option<Duration>) -> bool {
        let news = moved.unwrap_or_default().max(self.asked_at);
        now.saturating_sub(news) >= RESUBSCRIBE_AFTER
    }

    /// This process has become the root.
    pub fn become_root(&mut self) {
        self.parent = None;
    }

    /// This process is no root any more. Returns who was its child.
    pub fn leave_root(&mut self) -> Vec<NodeId> {
        self.applicants.clear();
        std::mem::take(&mut self.children).into_iter().collect()
    }

    /// Another core process sends what a child sends.
    pub fn child_frame(&mut self, node: NodeId, body: Body) -> ChildFrame {
        if self.children.contains(&node) {
            return ChildFrame::Take(body);
        }
        self.applicants.entry(node).or_default().keep(body);
        ChildFrame::Kept
    }

    /// Makes children of the processes that have applied and can be reached, and returns them with what they
    /// have sent. Only the root does so.
    pub fn adopt(&mut self, is_reachable: impl Fn(NodeId) -> bool) -> Vec<(NodeId, Vec<Body>)> {
        let ready = |(node, applicant): (&NodeId, &Applicant)| {
            (applicant.is_complete() && is_reachable(*node)).then_some(*node)
        };
        let ready: Vec<NodeId> = self.applicants.iter().filter_map(ready).collect();
        let mut adopted = Vec::new();
        for node in ready {
            let Some(applicant) = self.applicants.remove(&node) else { continue };
            self.children.insert(node);
            adopted.push((node, applicant.subscription.into_iter().chain(applicant.reports).collect()));
        }
        adopted
    }

    /// A core process cannot be reached any more. Says whether it was a child.
    pub fn lost(&mut self, node: NodeId) -> bool {
        self.applicants.remove(&node);
        self.children.remove(&node)
    }
}
