//! The set of witnesses: who comes in, who goes, one at a time.

use quillpulley_protocol::NodeId;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::replica::Replica;
use crate::StateMachine;

/// A witness that was silent for so long is replaced when another node comes in.
const REPLACE_WITNESS_AFTER: Duration = Duration::from_secs(1);
/// Two witnesses that were silent for so long are removed, one after the other, from a set that is larger than the
/// tolerated losses need.
const REMOVE_SPARE_AFTER: Duration = Duration::from_secs(3);

impl<S: StateMachine> Replica<S> {
    /// The next set of witnesses, with at most one in or out, and the one that comes in.
    pub(crate) fn next_witnesses(&self, members: &BTreeSet<NodeId>) -> (Vec<NodeId>, Option<NodeId>) {
        let Some(leadership) = &self.leadership else { return (Vec::new(), None) };
        let now = &leadership.view.witnesses;
        let candidates = self.witness_candidates(now, members);
        let next = self
            .replace_one(now, &candidates)
            .or_else(|| self.remove_one(now).map(|next| (next, None)))
            .or_else(|| self.spread(now, &candidates))
            .or_else(|| self.add_one(now, &candidates));
        next.unwrap_or_else(|| (now.clone(), None))
    }

    /// The members that are no witnesses and answer.
    fn witness_candidates(&self, witnesses: &[NodeId], members: &BTreeSet<NodeId>) -> Vec<NodeId> {
        let answers = |node: &NodeId| {
            let answers = self.peers.is_answering(self.now, *node);
            *node == self.options.me || answers && !self.peers.is_leaving(self.now, *node)
        };
        members.iter().copied().filter(|node| !witnesses.contains(node) && answers(node)).collect()
    }

    /// Puts a candidate in the place of a witness that is gone: one of its own address, else one that is about to
    /// end or has been silent.
    fn replace_one(&self, now: &[NodeId], candidates: &[NodeId]) -> Option<(Vec<NodeId>, Option<NodeId>)> {
        let successor = candidates.iter().find_map(|node| {
            let index = now.iter().position(|other| other.ip == node.ip)?;
            Some((index, *node))
        });
        if let Some((index, node)) = successor {
            return Some((replaced(now, index, node), Some(node)));
        }
        let index = self.gone(now, REPLACE_WITNESS_AFTER)?;
        let node = candidates
            .iter()
            .copied()
            .min_by_key(|node| self.witness_exposure(&replaced(now, index, *node)).count())?;
        Some((replaced(now, index, node), Some(node)))
    }

    /// Removes a witness that is gone from a set of even size: that makes the majority smaller, and so the others
    /// survive one loss more. From a set of odd size one is removed if two are gone that it can do without.
    fn remove_one(&self, now: &[NodeId]) -> Option<Vec<NodeId>> {
        let silent_for = match now.len().is_multiple_of(2) {
            true => self.options.drop_after,
            false if self.has_two_to_spare(now) => REMOVE_SPARE_AFTER,
            false => return None,
        };
        self.gone(now, silent_for).map(|index| without(now, index))
    }

    /// Whether two witnesses are gone without whom the set would still be large enough. They would count against the
    /// next losses.
    fn has_two_to_spare(&self, now: &[NodeId]) -> bool {
        let is_large = now.len() > 2 * self.options.tolerated_machines + 1;
        let gone = now.iter().filter(|node| self.is_gone(**node, REMOVE_SPARE_AFTER)).count();
        is_large && gone >= 2
    }

    /// Swaps or removes a witness if the set then keeps its majority after losses of places that it does not
    /// survive now.
    fn spread(&self, now: &[NodeId], candidates: &[NodeId]) -> Option<(Vec<NodeId>, Option<NodeId>)> {
        let exposure = self.witness_exposure(now);
        let is_known = now.iter().all(|node| self.place_of(*node).is_some());
        if !exposure.is_by_place() || !is_known {
            return None;
        }
        let is_better = |next: &[NodeId]| self.witness_exposure(next).count() < exposure.count();
        // Enough for the loss of machines have to stay: else the next would be added again.
        let may_go = |next: &Vec<NodeId>| !self.witness_exposure(next).machines && is_better(next);
        let removed = (0..now.len()).map(|index| without(now, index)).find(may_go);
        if let Some(next) = removed {
            return Some((next, None));
        }
        let swaps = candidates.iter().flat_map(|node| (0..now.len()).map(move |index| (index, *node)));
        let mut swapped = swaps.map(|(index, node)| (replaced(now, index, node), Some(node)));
        swapped.find(|(next, _)| is_better(next))
    }

    /// Adds a candidate. A larger set needs a larger majority: so only while all are there, and not where it survives
    /// fewer losses, unless more witnesses are needed for the loss of machines.
    fn add_one(&self, now: &[NodeId], candidates: &[NodeId]) -> Option<(Vec<NodeId>, Option<NodeId>)> {
        if self.gone(now, self.options.drop_after).is_some() {
            return None;
        }
        let exposure = self.witness_exposure(now);
        let added = candidates.iter().map(|node| {
            let mut next = now.to_vec();
            next.push(*node);
            (next, Some(*node))
        });
        let (next, node) = added.min_by_key(|(next, _)| self.witness_exposure(next).count())?;
        let after = self.witness_exposure(&next).count();
        (exposure.machines || after <= exposure.count()).then_some((next, node))
    }

    /// A witness that is about to end, or has been silent for longer than `time`.
    fn gone(&self, witnesses: &[NodeId], time: Duration) -> Option<usize> {
        witnesses.iter().position(|node| self.is_gone(*node, time))
    }

    fn is_gone(&self, node: NodeId, time: Duration) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let is_silent = || self.silent_for(node, leadership.elected_at) > time;
        node != self.options.me && (self.peers.is_leaving(self.now, node) || is_silent())
    }

    /// Whether a node answers that is to become a witness.
    pub(crate) fn awaits_witness(&self) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let is_new = |node: &NodeId| !leadership.view.witnesses.contains(node);
        let answers = |node: &NodeId| self.peers.is_answering(self.now, *node);
        self.peers.connected().iter().any(|node| is_new(node) && answers(node))
    }
}

fn replaced(witnesses: &[NodeId], index: usize, node: NodeId) -> Vec<NodeId> {
    let mut next = witnesses.to_vec();
    next[index] = node;
    next
}

fn without(witnesses: &[NodeId], index: usize) -> Vec<NodeId> {
    let mut next = witnesses.to_vec();
    next.remove(index);
    next
}
