//! The children of a node, and the state of their subscriptions.

use crate::store::Digests;
use quillpulley_protocol::{Report, Revision, Subscribe};
use std::collections::BTreeMap;
use std::time::Duration;

/// A child's subscription that has no response yet.
#[derive(Clone, Debug)]
pub(crate) struct Subscription {
    pub(crate) revision: Revision,
    pub(crate) digests: Box<Digests>,
}

/// The state of a child's subscription.
#[derive(Debug)]
pub(crate) enum Phase {
    /// The child has not subscribed.
    Connected,
    /// The child has subscribed and has no response yet.
    Subscribed(Subscription),
    /// The child was sent the response and is sent every update.
    Following,
}

/// The state of a child.
#[derive(Debug)]
pub(crate) struct ChildState {
    phase: Phase,
    /// When the latest frame was received from the child; at first, when it connected.
    pub(crate) received_at: Duration,
    /// The child's merged reports while they are suspended because the child sends nothing, otherwise `None`.
    pub(crate) suspended_report: Option<Report>,
    /// Whether the child has sent a complete report.
    pub(crate) has_reported: bool,
    /// Whether the child was sent full totals and still has them.
    pub(crate) has_totals: bool,
}

impl ChildState {
    pub(crate) fn new(now: Duration) -> Self {
        ChildState {
            phase: Phase::Connected,
            received_at: now,
            suspended_report: None,
            has_reported: false,
            has_totals: false,
        }
    }

    pub(crate) fn subscription(&self) -> Option<&Subscription> {
        match &self.phase {
            Phase::Subscribed(subscription) => Some(subscription),
            Phase::Connected | Phase::Following => None,
        }
    }

    pub(crate) fn is_following(&self) -> bool {
        matches!(self.phase, Phase::Following)
    }

    pub(crate) fn set_phase(&mut self, phase: Phase) {
        self.phase = phase;
    }
}

/// The children of a node.
#[derive(Debug)]
pub(crate) struct Children<Child> {
    states: BTreeMap<Child, ChildState>,
}

impl<Child: Copy + Ord> Children<Child> {
    pub(crate) fn new() -> Self {
        Children { states: BTreeMap::new() }
    }

    pub(crate) fn len(&self) -> usize {
        self.states.len()
    }

    pub(crate) fn insert(&mut self, child: Child, state: ChildState) {
        self.states.insert(child, state);
    }

    pub(crate) fn remove(&mut self, child: Child) -> Option<ChildState> {
        self.states.remove(&child)
    }

    pub(crate) fn get_mut(&mut self, child: Child) -> Option<&mut ChildState> {
        self.states.get_mut(&child)
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &ChildState> {
        self.states.values()
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut ChildState> {
        self.states.values_mut()
    }

    /// Returns the children whose state satisfies a predicate.
    pub(crate) fn children_where(&self, mut predicate: impl FnMut(&ChildState) -> bool) -> Vec<Child> {
        self.states.iter().filter(|(_, state)| predicate(state)).map(|(child, _)| *child).collect()
    }

    /// Returns the children whose subscription has no response yet, with that subscription.
    pub(crate) fn subscriptions(&self) -> Vec<(Child, Subscription)> {
        let waiting = self.states.iter().filter_map(|(child, state)| Some((*child, state.subscription()?)));
        waiting.map(|(child, subscription)| (child, subscription.clone())).collect()
    }
}

impl Subscription {
    /// Returns the subscription in a frame, or `None` if the frame does not have one digest for each range.
    pub(crate) fn from_frame(subscribe: Subscribe) -> Option<Self> {
        let digests: Box<Digests> = subscribe.digests.into_boxed_slice().try_into().ok()?;
        Some(Subscription { revision: subscribe.revision, digests })
    }
}
