//! The invariants, stated once.
//!
//! - The states that replicas have at an index are the same, and no state goes back within a life.
//! - An order that was acknowledged is in the state of everyone who holds the lease from then on.
//! - One order is taken on a base, and an order is taken once, however often it is sent.
//! - An order that was taken is not refused when it is sent again; one that was refused is never taken.
//! - At most one replica holds the lease, and an epoch has one holder.
//! - What is in force is stated only under the lease.

use quillpulley_protocol::Position;
use std::collections::{BTreeMap, BTreeSet};

use super::ledger::{Applied, Ledger};

/// What all replicas together have shown so far.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    /// What any state has at an index.
    applied: BTreeMap<u64, Applied>,
    /// The digest of any state that has so many entries.
    digests: BTreeMap<usize, u64>,
    /// Orders that were acknowledged.
    pub acknowledged: BTreeSet<u64>,
    /// The same in their sequence.
    in_sequence: Vec<u64>,
    /// The positions of their entries, by index.
    pub positions: Vec<Position>,
    /// Messages whose fate was told.
    settled: BTreeSet<u64>,
    /// Messages that were not appended and are never to be applied.
    not_appended: BTreeSet<u64>,
    /// Orders that were refused, since another is on their base.
    refused: BTreeSet<u64>,
    /// For each base, the order that was taken on it.
    taken_on: BTreeMap<u64, u64>,
    /// For each order that was taken, where.
    taken_at: BTreeMap<u64, Position>,
    /// The epochs of leases, by holder.
    holders: BTreeMap<u64, String>,
}

impl Checker {
    /// The state is a prefix of what any state has, and holds no less than it did when it had `seen` entries.
    pub fn check_state(&mut self, ledger: &Ledger, seen: usize) {
        let length = ledger.history.len();
        assert!(length >= seen, "a state goes back from {seen} entries to {length}");
        for applied in &ledger.history[seen..] {
            let known = self.applied.entry(applied.position.index).or_insert(*applied);
            assert_eq!(known, applied, "two states differ at an index");
            assert!(!self.not_appended.contains(&applied.message), "a refused order is applied");
            self.check_taken(applied);
        }
        let digest = *self.digests.entry(length).or_insert(ledger.digest);
        assert_eq!(digest, ledger.digest, "two states differ before index {length}");
    }

    fn check_taken(&mut self, applied: &Applied) {
        let Some(base) = applied.taken_on else { return };
        let order = applied.order;
        let winner = *self.taken_on.entry(base).or_insert(order);
        assert_eq!(winner, order, "two orders on one base were taken");
        let place = *self.taken_at.entry(order).or_insert(applied.position);
        assert_eq!(place, applied.position, "order {order} takes effect in two places");
        assert!(!self.refused.contains(&order), "order {order} is taken after two answers that differ");
    }

    /// A message with an order is committed, and the order is in the state of who says so. It was taken then or
    /// before, or else is refused.
    pub fn acknowledge(&mut self, message: u64, order: u64, ledger: &Ledger) {
        self.settle(message);
        assert!(ledger.find(order).is_some(), "an acknowledged order is in the state");
        let Some(taken) = ledger.find_taken(order) else {
            let is_taken = self.taken_at.contains_key(&order);
            assert!(!is_taken, "order {order} was taken, and is refused when it comes again: answers differ");
            self.refused.insert(order);
            return;
        };
        if self.acknowledged.insert(order) {
            self.in_sequence.push(order);
            let place = self.positions.partition_point(|other| other.index < taken.position.index);
            self.positions.insert(place, taken.position);
        }
    }

    /// A message is not acknowledged. One that is `final` has not been appended.
    pub fn reject(&mut self, message: u64, is_final: bool) {
        self.settle(message);
        if is_final {
            self.not_appended.insert(message);
        }
    }

    fn settle(&mut self, message: u64) {
        assert!(self.settled.insert(message), "the fate of message {message} is told twice");
    }

    /// Whether the fate of a message was told.
    pub fn is_settled(&self, message: u64) -> bool {
        self.settled.contains(&message)
    }

    /// Whether an order was refused for good.
    pub fn is_refused(&self, order: u64) -> bool {
        self.refused.contains(&order)
    }

    /// At most one replica holds the lease at a time, and an epoch has one holder only.
    pub fn check_holders(&mut self, holders: &[(String, u64)]) {
        assert!(holders.len() <= 1, "two hold the lease: {holders:?}");
        for (name, epoch) in holders {
            let known = self.holders.entry(*epoch).or_insert_with(|| name.clone());
            assert_eq!(known, name, "two have held the lease in epoch {epoch}");
        }
    }

    /// Nothing acknowledged is missing from the state of whoever holds the lease. The first `checked` orders are
    /// known to be there. Returns how many are known from now on.
    pub fn check_nothing_lost(&self, ledger: &Ledger, checked: usize) -> usize {
        for order in &self.in_sequence[checked..] {
            assert!(ledger.has_taken(*order), "the acknowledged order {order} is lost");
        }
        self.in_sequence.len()
    }

    /// What is in force is stated by someone who holds the lease, and from a state with all that was acknowledged.
    pub fn check_answer(&self, ledger: &Ledger, has_lease: bool) {
        for order in self.in_sequence.iter().rev() {
            assert!(ledger.has_taken(*order), "an answer lacks the acknowledged order {order}");
        }
        assert!(has_lease, "an answer about what is in force without the lease");
    }

    /// How many epochs had a holder of the lease.
    pub fn epochs(&self) -> usize {
        self.holders.len()
    }
}
