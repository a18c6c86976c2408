//! The replicated state machine of the tests: a history of commands. A command names the version of the state
//! that it is based on, and is accepted only if that is still the current version (a compare-and-set).

use quillpulley_protocol::{Entry, Position};
use quillpulley_replication::{RestoreError, StateMachine};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The number of 64-bit words of an entry in a snapshot.
const WORDS: usize = 5;

/// A command: its number, and the number of the accepted command that it is based on; 0 for the empty state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Command {
    pub number: u64,
    pub base: u64,
}

impl Command {
    /// Encodes the payload of a proposal. Each proposal of the same command has a different proposal number.
    pub fn payload(self, proposal: u64) -> Vec<u8> {
        [self.number, self.base, proposal].into_iter().flat_map(u64::to_le_bytes).collect()
    }

    /// Decodes a payload into the command and the proposal number.
    fn read(bytes: &[u8]) -> (Self, u64) {
        let word = |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().unwrap());
        (Command { number: word(0), base: word(8) }, word(16))
    }
}

/// An entry that was applied to the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Applied {
    pub position: Position,
    pub command: u64,
    /// The number of the proposal that contained the command.
    pub proposal: u64,
    /// The base of the command if it was accepted; `None` if the base was not the current version.
    pub accepted_on: Option<u64>,
}

/// All applied entries in the order of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CommandHistory {
    pub entries: Vec<Applied>,
    /// A hash chain over all entries.
    pub digest: u64,
}

impl CommandHistory {
    fn push(&mut self, applied: Applied) {
        let mut hasher = DefaultHasher::new();
        (self.digest, applied).hash(&mut hasher);
        self.digest = hasher.finish();
        self.entries.push(applied);
    }

    /// Returns the number of the command that was accepted last, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.entries
            .iter()
            .rev()
            .find(|applied| applied.accepted_on.is_some())
            .map_or(0, |applied| applied.command)
    }

    pub fn find(&self, command: u64) -> Option<&Applied> {
        self.entries.iter().rev().find(|applied| applied.command == command)
    }

    pub fn find_accepted(&self, command: u64) -> Option<&Applied> {
        self.entries.iter().rev().find(|applied| applied.command == command && applied.accepted_on.is_some())
    }

    pub fn has_accepted(&self, command: u64) -> bool {
        self.find_accepted(command).is_some()
    }
}

impl StateMachine for CommandHistory {
    fn apply(&mut self, entry: &Entry) {
        let (Command { number, base }, proposal) = Command::read(&entry.payload);
        let accepted_on = (base == self.version()).then_some(base);
        let position = Position { epoch: entry.epoch, index: entry.index };
        self.push(Applied { position, command: number, proposal, accepted_on });
    }

    fn snapshot(&self) -> Vec<u8> {
        let words = self.entries.iter().flat_map(|applied| {
            let accepted_on = applied.accepted_on.unwrap_or(u64::MAX);
            [applied.position.epoch, applied.position.index, applied.command, applied.proposal, accepted_on]
        });
        words.flat_map(u64::to_le_bytes).collect()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        if !snapshot.len().is_multiple_of(8 * WORDS) {
            return Err(RestoreError { reason: "the length is not a multiple of the entry size".into() });
        }
        let words: Vec<u64> =
            snapshot.chunks(8).map(|bytes| u64::from_le_bytes(bytes.try_into().unwrap())).collect();
        let read = |words: &[u64]| Applied {
            position: Position { epoch: words[0], index: words[1] },
            command: words[2],
            proposal: words[3],
            accepted_on: (words[4] != u64::MAX).then_some(words[4]),
        };
        *self = CommandHistory::default();
        words.chunks(WORDS).map(read).for_each(|applied| self.push(applied));
        Ok(())
    }
}
