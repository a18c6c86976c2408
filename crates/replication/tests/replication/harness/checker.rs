//! The invariants, stated once.
//!
//! - The states that replicas have at an index are the same, and no state goes back while its process runs.
//! - A command that was acknowledged is in the state of everyone who holds the lease from then on.
//! - One command is accepted on a base, and a command is accepted once, however often it is sent.
//! - A command that was accepted is not rejected when it is sent again; one that was rejected is never accepted.
//! - At most one replica holds the lease, and an epoch has one holder.
//! - Reads are served only under the lease.

use quillpulley_protocol::Position;
use std::collections::{BTreeMap, BTreeSet};

use super::command_history::{Applied, CommandHistory};

/// What all replicas together have shown so far.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    /// What any state has at an index.
    applied: BTreeMap<u64, Applied>,
    /// The digest of any state that has so many entries.
    digests: BTreeMap<usize, u64>,
    /// Commands that were acknowledged.
    pub acknowledged: BTreeSet<u64>,
    /// The same in their sequence.
    in_sequence: Vec<u64>,
    /// The positions of their entries, by index.
    pub positions: Vec<Position>,
    /// Proposals whose outcome was reported.
    resolved: BTreeSet<u64>,
    /// Proposals that were not appended and are never to be applied.
    not_appended: BTreeSet<u64>,
    /// Commands that were rejected, since another is on their base.
    rejected: BTreeSet<u64>,
    /// For each base, the command that was accepted on it.
    accepted_on: BTreeMap<u64, u64>,
    /// For each command that was accepted, where.
    accepted_at: BTreeMap<u64, Position>,
    /// The epochs of leases, by holder.
    holders: BTreeMap<u64, String>,
}

impl Checker {
    /// The state is a prefix of what any state has, and holds no less than it did when it had `seen` entries.
    pub fn check_state(&mut self, history: &CommandHistory, seen: usize) {
        let length = history.entries.len();
        assert!(length >= seen, "a state goes back from {seen} entries to {length}");
        for applied in &history.entries[seen..] {
            let known = self.applied.entry(applied.position.index).or_insert(*applied);
            assert_eq!(known, applied, "two states differ at an index");
            assert!(!self.not_appended.contains(&applied.proposal), "a rejected command is applied");
            self.check_accepted(applied);
        }
        let digest = *self.digests.entry(length).or_insert(history.digest);
        assert_eq!(digest, history.digest, "two states differ before index {length}");
    }

    fn check_accepted(&mut self, applied: &Applied) {
        let Some(base) = applied.accepted_on else { return };
        let command = applied.command;
        let winner = *self.accepted_on.entry(base).or_insert(command);
        assert_eq!(winner, command, "two commands on one base were accepted");
        let position = *self.accepted_at.entry(command).or_insert(applied.position);
        assert_eq!(position, applied.position, "command {command} takes effect in two places");
        assert!(
            !self.rejected.contains(&command),
            "command {command} is accepted after two answers that differ"
        );
    }

    /// A proposal of a command is committed, and the command is in the state of who says so. It was accepted then or
    /// before, or else is rejected.
    pub fn acknowledge(&mut self, proposal: u64, command: u64, history: &CommandHistory) {
        self.resolve(proposal);
        assert!(history.find(command).is_some(), "an acknowledged command is in the state");
        let Some(accepted) = history.find_accepted(command) else {
            let is_accepted = self.accepted_at.contains_key(&command);
            assert!(
                !is_accepted,
                "command {command} was accepted, and is rejected when it comes again: answers differ"
            );
            self.rejected.insert(command);
            return;
        };
        if self.acknowledged.insert(command) {
            self.in_sequence.push(command);
            let position = self.positions.partition_point(|other| other.index < accepted.position.index);
            self.positions.insert(position, accepted.position);
        }
    }

    /// A proposal is not acknowledged. One that is `final` has not been appended.
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

    /// Returns whether a command was rejected for good.
    pub fn is_rejected(&self, command: u64) -> bool {
        self.rejected.contains(&command)
    }

    /// At most one replica holds the lease at a time, and an epoch has one holder only.
    pub fn check_holders(&mut self, holders: &[(String, u64)]) {
        assert!(holders.len() <= 1, "two hold the lease: {holders:?}");
        for (name, epoch) in holders {
            let known = self.holders.entry(*epoch).or_insert_with(|| name.clone());
            assert_eq!(known, name, "two have held the lease in epoch {epoch}");
        }
    }

    /// Nothing acknowledged is missing from the state of whoever holds the lease. The first `checked` commands are
    /// known to be there. Returns how many are known from now on.
    pub fn check_nothing_lost(&self, history: &CommandHistory, checked: usize) -> usize {
        for command in &self.in_sequence[checked..] {
            assert!(history.has_accepted(*command), "the acknowledged command {command} is lost");
        }
        self.in_sequence.len()
    }

    /// A read is served by the holder of the lease, from a state with all that was acknowledged.
    pub fn check_read(&self, history: &CommandHistory, has_lease: bool) {
        for command in self.in_sequence.iter().rev() {
            assert!(history.has_accepted(*command), "an answer lacks the acknowledged command {command}");
        }
        assert!(has_lease, "an answer about the active configuration without the lease");
    }

    /// How many epochs had a holder of the lease.
    pub fn epochs(&self) -> usize {
        self.holders.len()
    }
}
