//! The replicated state of the tests: orders, each of which builds on the one before it.

use quillpulley_protocol::{Entry, Position};
use quillpulley_replication::{RestoreError, StateMachine};
use std::hash::{DefaultHasher, Hash, Hasher};

/// How many words an entry has in a snapshot.
const WORDS: usize = 5;

/// An order: its number, and the number of the order that it builds on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    pub number: u64,
    pub base: u64,
}

impl Order {
    /// The order as a message has it. Every message with the same order has its own number.
    pub fn payload(self, message: u64) -> Vec<u8> {
        [self.number, self.base, message].into_iter().flat_map(u64::to_le_bytes).collect()
    }

    /// An order, and the number of the message.
    fn read(bytes: &[u8]) -> (Self, u64) {
        let word = |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().unwrap());
        (Order { number: word(0), base: word(8) }, word(16))
    }
}

/// An entry as the state has seen it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Applied {
    pub position: Position,
    pub order: u64,
    /// The message in which the order came.
    pub message: u64,
    /// The order that it built on, if that was the newest one then.
    pub taken_on: Option<u64>,
}

/// All orders in their sequence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    pub history: Vec<Applied>,
    /// Of the whole history.
    pub digest: u64,
}

impl Ledger {
    fn push(&mut self, applied: Applied) {
        let mut hasher = DefaultHasher::new();
        (self.digest, applied).hash(&mut hasher);
        self.digest = hasher.finish();
        self.history.push(applied);
    }

    /// The newest order that was taken.
    pub fn version(&self) -> u64 {
        self.history
            .iter()
            .rev()
            .find(|applied| applied.taken_on.is_some())
            .map_or(0, |applied| applied.order)
    }

    pub fn find(&self, order: u64) -> Option<&Applied> {
        self.history.iter().rev().find(|applied| applied.order == order)
    }

    pub fn find_taken(&self, order: u64) -> Option<&Applied> {
        self.history.iter().rev().find(|applied| applied.order == order && applied.taken_on.is_some())
    }

    pub fn has_taken(&self, order: u64) -> bool {
        self.find_taken(order).is_some()
    }
}

impl StateMachine for Ledger {
    fn apply(&mut self, entry: &Entry) {
        let (Order { number, base }, message) = Order::read(&entry.payload);
        let taken_on = (base == self.version()).then_some(base);
        let position = Position { epoch: entry.epoch, index: entry.index };
        self.push(Applied { position, order: number, message, taken_on });
    }

    fn snapshot(&self) -> Vec<u8> {
        let words = self.history.iter().flat_map(|applied| {
            let taken_on = applied.taken_on.unwrap_or(u64::MAX);
            [applied.position.epoch, applied.position.index, applied.order, applied.message, taken_on]
        });
        words.flat_map(u64::to_le_bytes).collect()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        if !snapshot.len().is_multiple_of(8 * WORDS) {
            return Err(RestoreError { reason: "a wrong length".into() });
        }
        let words: Vec<u64> =
            snapshot.chunks(8).map(|bytes| u64::from_le_bytes(bytes.try_into().unwrap())).collect();
        let read = |words: &[u64]| Applied {
            position: Position { epoch: words[0], index: words[1] },
            order: words[2],
            message: words[3],
            taken_on: (words[4] != u64::MAX).then_some(words[4]),
        };
        *self = Ledger::default();
        words.chunks(WORDS).map(read).for_each(|applied| self.push(applied));
        Ok(())
    }
}
