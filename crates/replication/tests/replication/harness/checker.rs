//! Checks the safety invariants of the replicated state, of leases and of reads:
//!
//! - All replicas have the same state at an index, and no state goes back while its process runs.
//! - Every later holder of the lease has each acknowledged command in its state.
//! - At most one command is accepted on a base, and a command is accepted at most once, however often it is
//!   sent.
//! - An accepted command is not rejected when it is sent again, and a rejected command is never accepted.
//! - At most one replica holds the lease at a time, and each epoch has at most one holder.
//! - Reads are served only under the lease.

use quillpulley_protocol::Position;
use std::collections::{BTreeMap, BTreeSet};

use super::command_history::{Applied, CommandHistory};

/// The observations of all replicas so far, against which each new one is checked.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    /// The entry that the states have at each index.
    applied: BTreeMap<u64, Applied>,
    /// The digest of a state, by its number of entries.
    digests: BTreeMap<usize, u64>,
    /// The acknowledged commands.
    pub acknowledged: BTreeSet<u64>,
    /// The acknowledged commands in the order of their acknowledgements.
    in_order_of_acknowledgement: Vec<u64>,
    /// The positions of the acknowledged commands, sorted by index.
    pub positions: Vec<Position>,
    /// Proposals whose outcome was reported.
    resolved: BTreeSet<u64>,
    /// Proposals that were not appended, and therefore must never be applied.
    not_appended: BTreeSet<u64>,
    /// Commands that were rejected because another command was accepted on their base.
    rejected: BTreeSet<u64>,
    /// The command that was accepted on each base.
    accepted_on: BTreeMap<u64, u64>,
    /// The position of each accepted command.
    accepted_at: BTreeMap<u64, Position>,
    /// The name of the lease holder of each epoch.
    holders: BTreeMap<u64, String>,
}

impl Checker {
    /// Checks that a state which had `checked_entries` entries before has not lost any, and that its entries
    /// are those that other states have at the same indices.
    pub fn check_state(&mut self, history: &CommandHistory, checked_entries: usize) {
        let length = history.entries.len();
        assert!(length >= checked_entries, "the state goes back from {checked_entries} entries to {length}");
        for applied in &history.entries[checked_entries..] {
            let known = self.applied.entry(applied.position.index).or_insert(*applied);
            assert_eq!(known, applied, "the states of two replicas differ at an index");
            assert!(!self.not_appended.contains(&applied.proposal), "a rejected proposal is applied");
            self.check_accepted(applied);
        }
        let digest = *self.digests.entry(length).or_insert(history.digest);
        assert_eq!(
            digest, history.digest,
            "the states of two replicas differ in their first {length} entries"
        );
    }

    fn check_accepted(&mut self, applied: &Applied) {
        let Some(base) = applied.accepted_on else { return };
        let command = applied.command;
        let winner = *self.accepted_on.entry(base).or_insert(command);
        assert_eq!(winner, command, "two commands were accepted on the same base");
        let position = *self.accepted_at.entry(command).or_insert(applied.position);
        assert_eq!(position, applied.position, "command {command} takes effect in two places");
        assert!(
            !self.rejected.contains(&command),
            "command {command} is accepted after it was rejected: two outcomes that differ"
        );
    }

    /// Records that a replica with the state `history` has reported a proposal as committed. Checks that the
    /// command is in that state, and that its outcome, accepted or rejected, is the same as before.
    pub fn acknowledge(&mut self, proposal: u64, command: u64, history: &CommandHistory) {
        self.resolve(proposal);
        assert!(history.find(command).is_some(), "a committed command is missing from the state");
        let Some(accepted) = history.find_accepted(command) else {
            let is_accepted = self.accepted_at.contains_key(&command);
            assert!(
                !is_accepted,
                "command {command} was accepted, and is rejected when it is sent again: the outcomes differ"
            );
            self.rejected.insert(command);
            return;
        };
        if self.acknowledged.insert(command) {
            self.in_order_of_acknowledgement.push(command);
            let position = self.positions.partition_point(|other| other.index < accepted.position.index);
            self.positions.insert(position, accepted.position);
        }
    }

    /// Records that a proposal is not acknowledged. If `is_final`, it was not appended and must never be
    /// applied.
    pub fn reject(&mut self, proposal: u64, is_final: bool) {
        self.resolve(proposal);
        if is_final {
            self.not_appended.insert(proposal);
        }
    }

    fn resolve(&mut self, proposal: u64) {
        assert!(self.resolved.insert(proposal), "the outcome of proposal {proposal} is reported twice");
    }

    /// Returns whether the outcome of a proposal was reported.
    pub fn is_resolved(&self, proposal: u64) -> bool {
        self.resolved.contains(&proposal)
    }

    /// Returns whether a command was rejected because another command was accepted on its base.
    pub fn is_rejected(&self, command: u64) -> bool {
        self.rejected.contains(&command)
    }

    /// Checks that at most one replica holds the lease, and that each epoch has at most one holder.
    pub fn check_holders(&mut self, holders: &[(String, u64)]) {
        assert!(holders.len() <= 1, "two replicas hold the lease: {holders:?}");
        for (name, epoch) in holders {
            let known = self.holders.entry(*epoch).or_insert_with(|| name.clone());
            assert_eq!(known, name, "two replicas have held the lease of epoch {epoch}");
        }
    }

    /// Checks that the state of the lease holder contains all acknowledged commands. The first `checked` of
    /// them were checked before. Returns how many are checked now.
    pub fn check_nothing_lost(&self, history: &CommandHistory, checked: usize) -> usize {
        for command in &self.in_order_of_acknowledgement[checked..] {
            assert!(history.has_accepted(*command), "the acknowledged command {command} is lost");
        }
        self.in_order_of_acknowledgement.len()
    }

    /// Checks that a read is served by the holder of the lease, from a state that contains all acknowledged
    /// commands.
    pub fn check_read(&self, history: &CommandHistory, has_lease: bool) {
        for command in self.in_order_of_acknowledgement.iter().rev() {
            assert!(
                history.has_accepted(*command),
                "a read response lacks the acknowledged command {command}"
            );
        }
        assert!(has_lease, "a read response was served without the lease");
    }

    /// Returns the number of epochs in which a replica held the lease.
    pub fn epochs(&self) -> usize {
        self.holders.len()
    }
}
