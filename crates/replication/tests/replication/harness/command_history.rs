//! The replicated state of the tests: commands, each of which builds on the one before it.

use quillpulley_protocol::{Entry, Position};
use quillpulley_replication::{RestoreError, StateMachine};
use std::hash::{DefaultHasher, Hash, Hasher};

/// How many words an entry has in a snapshot.
const WORDS: usize = 5;

/// A command: its number, and the number of the command that it builds on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Command {
    pub number: u64,
    pub base: u64,
}

impl Command {
    /// The command as a proposal has it. Every proposal of the same command has its own number.
    pub fn payload(self, proposal: u64) -> Vec<u8> {
        [self.number, self.base, proposal].into_iter().flat_map(u64::to_le_bytes).collect()
    }

    /// A command, and the number of the proposal.
    fn read(bytes: &[u8]) -> (Self, u64) {
        let word = |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().unwrap());
        (Command { number: word(0), base: word(8) }, word(16))
    }
}

/// An entry as the state has seen it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Applied {
    pub position: Position,
    pub command: u64,
    /// The proposal in which the command came.
    pub proposal: u64,
    /// The command that it built on, if that was the newest one then.
    pub accepted_on: Option<u64>,
}

/// All commands in their sequence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CommandHistory {
    pub entries: Vec<Applied>,
    /// Of the whole history.
    pub digest: u64,
}

impl CommandHistory {
    fn push(&mut self, applied: Applied) {
        let mut hasher = DefaultHasher::new();
        (self.digest, applied).hash(&mut hasher);
        self.digest = hasher.finish();
        self.entries.push(applied);
    }

    /// The newest command that was accepted.
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
            return Err(RestoreError { reason: "a wrong length".into() });
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
