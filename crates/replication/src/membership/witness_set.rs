//! Decides which witnesses are added, removed or replaced, one node at a time.

use quillpulley_protocol::NodeId;
use std::collections::BTreeSet;
use std::time::Duration;

use super::Planner;

/// The time without replies after which a witness is replaced by another node.
const REPLACE_AFTER: Duration = Duration::from_secs(1);
/// The time without replies after which two witnesses are removed, one after the other, from a set that is larger than
/// the tolerated failures require.
const REMOVE_SURPLUS_AFTER: Duration = Duration::from_secs(3);

/// The next set of witnesses.
pub(super) struct WitnessChange {
    pub witnesses: Vec<NodeId>,
    /// The node that is added to the set; `None` if no node is added.
    pub added: Option<NodeId>,
}

impl WitnessChange {
    fn unchanged(witnesses: &[NodeId]) -> Self {
        WitnessChange { witnesses: witnesses.to_vec(), added: None }
    }

    fn add(witnesses: &[NodeId], node: NodeId) -> Self {
        let mut next = witnesses.to_vec();
        next.push(node);
        WitnessChange { witnesses: next, added: Some(node) }
    }

    fn replace(witnesses: &[NodeId], index: usize, node: NodeId) -> Self {
        let mut next = witnesses.to_vec();
        next[index] = node;
        WitnessChange { witnesses: next, added: Some(node) }
    }

    fn remove(witnesses: &[NodeId], index: usize) -> Self {
        let mut next = witnesses.to_vec();
        next.remove(index);
        WitnessChange { witnesses: next, added: None }
    }
}

impl Planner<'_> {
    /// Returns the next set of witnesses, with at most one node added or removed.
    pub(super) fn next_witnesses(&self, members: &BTreeSet<NodeId>) -> WitnessChange {
        let current = &self.primary.view().witnesses;
        let candidates = self.witness_candidates(current, members);
        self.replace_one(current, &candidates)
            .or_else(|| self.remove_one(current))
            .or_else(|| self.spread_over_domains(current, &candidates))
            .or_else(|| self.add_one(current, &candidates))
            .unwrap_or_else(|| WitnessChange::unchanged(current))
    }

    /// Returns whether a connected node could become a witness.
    pub(super) fn could_add_witness(&self) -> bool {
        let witnesses = &self.primary.view().witnesses;
        let is_candidate = |node: &NodeId| {
            !witnesses.contains(node) && self.cluster.peers.is_responsive(self.cluster.now, *node)
        };
        self.cluster.peers.connected().iter().any(is_candidate)
    }

    /// Returns the available members that are not witnesses.
    fn witness_candidates(&self, witnesses: &[NodeId], members: &BTreeSet<NodeId>) -> Vec<NodeId> {
        let is_available = |node: NodeId| self.cluster.is_me(node) || self.cluster.is_available(node);
        members.iter().copied().filter(|node| !witnesses.contains(node) && is_available(*node)).collect()
    }

    /// Replaces a witness by a candidate: a witness with the same address as the candidate, or else one that is
    /// shutting down or unresponsive.
    fn replace_one(&self, current: &[NodeId], candidates: &[NodeId]) -> Option<WitnessChange> {
        let same_address = candidates.iter().find_map(|node| {
            let index = current.iter().position(|other| other.ip == node.ip)?;
            Some((index, *node))
        });
        if let Some((index, node)) = same_address {
            return Some(WitnessChange::replace(current, index, node));
        }
        let index = self.unavailable_index(current, REPLACE_AFTER)?;
        let replacements = candidates.iter().map(|node| WitnessChange::replace(current, index, *node));
        replacements.min_by_key(|change| self.count_uncovered_by(change))
    }

    /// Removes an unavailable witness. In a set of even size this reduces the majority, so that the remaining witnesses
    /// survive one more loss. In a set of odd size a witness is removed only if two that are not required are
    /// unavailable.
    fn remove_one(&self, current: &[NodeId]) -> Option<WitnessChange> {
        let time_since_reply = match current.len().is_multiple_of(2) {
            true => self.cluster.options.drop_after,
            false if self.has_two_surplus_witnesses(current) => REMOVE_SURPLUS_AFTER,
            false => return None,
        };
        self.unavailable_index(current, time_since_reply).map(|index| WitnessChange::remove(current, index))
    }

    /// Returns whether two witnesses are unavailable and the set is large enough without them. As long as they stay in
    /// the set, it survives fewer further losses.
    fn has_two_surplus_witnesses(&self, current: &[NodeId]) -> bool {
        let exceeds_requirement = current.len() > 2 * self.cluster.options.fault_tolerance.machines + 1;
        let unavailable =
            current.iter().filter(|node| self.is_unavailable(**node, REMOVE_SURPLUS_AFTER)).count();
        exceeds_requirement && unavailable >= 2
    }

    /// Removes or replaces a witness if the set then survives more tolerated failures than it does now.
    fn spread_over_domains(&self, current: &[NodeId], candidates: &[NodeId]) -> Option<WitnessChange> {
        let uncovered = self.cluster.uncovered_by_witnesses(current);
        let is_known = current.iter().all(|node| self.cluster.locality_of(*node).is_some());
        if !uncovered.includes_domains() || !is_known {
            return None;
        }
        let is_better = |change: &WitnessChange| self.count_uncovered_by(change) < uncovered.count();
        // Enough witnesses for the tolerated loss of machines have to remain: otherwise another would be added again.
        let is_removable = |change: &WitnessChange| {
            !self.cluster.uncovered_by_witnesses(&change.witnesses).machines && is_better(change)
        };
        let mut removals = (0..current.len()).map(|index| WitnessChange::remove(current, index));
        if let Some(removal) = removals.find(is_removable) {
            return Some(removal);
        }
        let pairs = candidates.iter().flat_map(|node| (0..current.len()).map(move |index| (index, *node)));
        let mut replacements = pairs.map(|(index, node)| WitnessChange::replace(current, index, node));
        replacements.find(is_better)
    }

    /// Adds a candidate if all witnesses are available, since a larger set needs a larger majority. A set that would
    /// then survive fewer failures is extended only if the tolerated loss of machines requires more witnesses.
    fn add_one(&self, current: &[NodeId], candidates: &[NodeId]) -> Option<WitnessChange> {
        if self.unavailable_index(current, self.cluster.options.drop_after).is_some() {
            return None;
        }
        let uncovered = self.cluster.uncovered_by_witnesses(current);
        let additions = candidates.iter().map(|node| WitnessChange::add(current, *node));
        let addition = additions.min_by_key(|change| self.count_uncovered_by(change))?;
        let is_safe = self.count_uncovered_by(&addition) <= uncovered.count();
        (uncovered.machines || is_safe).then_some(addition)
    }

    fn count_uncovered_by(&self, change: &WitnessChange) -> usize {
        self.cluster.uncovered_by_witnesses(&change.witnesses).count()
    }

    /// Returns the index of a witness that is shutting down or has not replied for longer than `time`.
    fn unavailable_index(&self, witnesses: &[NodeId], time: Duration) -> Option<usize> {
        witnesses.iter().position(|node| self.is_unavailable(*node, time))
    }

    fn is_unavailable(&self, node: NodeId, time: Duration) -> bool {
        let has_timed_out = || self.cluster.time_since_reply(node, self.primary.elected_at()) > time;
        !self.cluster.is_me(node) && (self.cluster.is_shutting_down(node) || has_timed_out())
    }
}
