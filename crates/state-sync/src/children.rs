//! The children of a node and how far each is with its subscription.

use crate::store::Digests;
use quillpulley_protocol::{Report, Revision, Subscribe};
use std::collections::BTreeMap;
use std::time::Duration;

/// A subscription that waits for its response.
#[derive(Clone, Debug)]
pub(crate) struct Subscription {
    pub(crate) revision: Revision,
    pub(crate) digests: Box<Digests>,
}

/// How far a child is.
#[derive(Debug)]
pub(crate) enum Phase {
    /// It has not subscribed yet.
    Connected,
    /// It has subscribed and waits for the response.
    Subscribed(Subscription),
    /// It was answered and gets every update.
    Following,
}

/// One child.
#[derive(Debug)]
pub(crate) struct ChildState {
    phase: Phase,
    /// When anything came from it.
    pub(crate) heard: Duration,
    /// Its reports so far, while it is silent and not counted.
    pub(crate) suspended_report: Option<Report>,
    /// Whether it has reported.
    pub(crate) has_reported: bool,
    /// Whether it was sent totals.
    pub(crate) has_totals: bool,
}

impl ChildState {
    pub(crate) fn new(now: Duration) -> Self {
        ChildState {
            phase: Phase::Connected,
            heard: now,
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

    pub(crate) fn enter(&mut self, phase: Phase) {
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

    /// Returns those for which something holds.
    pub(crate) fn which(&self, mut holds: impl FnMut(&ChildState) -> bool) -> Vec<Child> {
        self.states.iter().filter(|(_, state)| holds(state)).map(|(child, _)| *child).collect()
    }

    /// Returns those that wait for a response, with what they have subscribed with.
    pub(crate) fn subscriptions(&self) -> Vec<(Child, Subscription)> {
        let waiting = self.states.iter().filter_map(|(child, state)| Some((*child, state.subscription()?)));
        waiting.map(|(child, subscription)| (child, subscription.clone())).collect()
    }
}

impl Subscription {
    /// Returns what a child has sent, if it has a digest for each range.
    pub(crate) fn read(subscribe: Subscribe) -> Option<Self> {
        let digests: Box<Digests> = subscribe.digests.into_boxed_slice().try_into().ok()?;
        Some(Subscription { revision: subscribe.revision, digests })
    }
}
