//! The replicated data of a member: its state machine, its log, and the position up to which the log is applied.
//!
//! Invariants: `applied` never decreases; an entry is applied only once it is committed; a commit index of a primary
//! counts only as far as the log is known to match that primary's log.

use displaydoc::Display;
use quillpulley_protocol::{Entry, Position, StateTransfer};

use crate::event::Write;
use crate::log::{position_of, AppendError, Log};
use crate::options::StartError;
use crate::{Options, RestoreError, StateMachine};

/// The index up to which the log is known to match that of the primary or candidate of an epoch.
#[derive(Clone, Copy, Debug, Default)]
struct MatchIndex {
    epoch: u64,
    index: u64,
}

/// Why the state of another node cannot be installed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum InstallError {
    /// the log of the received state has a gap before entry {0}
    Gap(u64),
    /// the received state lacks the committed entry {0}
    LacksCommitted(u64),
    /// {0}
    Restore(RestoreError),
}

/// The state machine and the log of a node.
#[derive(Clone, Debug)]
pub(crate) struct MemberState<S> {
    state: S,
    log: Log,
    /// The position of the last entry that is applied to the state.
    applied: Position,
    match_index: MatchIndex,
}

impl<S: StateMachine> MemberState<S> {
    /// Creates the member state from a snapshot and the entries after it. `state` is the state before the first entry.
    ///
    /// # Errors
    /// Returns [`StartError`] if the snapshot cannot be decoded or the entries have a gap.
    pub fn recover(
        mut state: S,
        snapshot: Option<(Position, Vec<u8>)>,
        entries: Vec<Entry>,
    ) -> Result<Self, StartError> {
        let base = match snapshot {
            None => Position::default(),
            Some((base, snapshot)) => {
                state.restore(&snapshot).map_err(StartError::Snapshot)?;
                base
            }
        };
        let log = Log::new(base, entries).map_err(|next| StartError::Gap { last: base.index, next })?;
        Ok(MemberState { state, log, applied: base, match_index: MatchIndex::default() })
    }

    pub fn state(&self) -> &S {
        &self.state
    }

    pub fn log(&self) -> &Log {
        &self.log
    }

    pub fn applied(&self) -> Position {
        self.applied
    }

    /// Returns whether the log holds an entry with a payload that is not applied yet.
    pub fn has_unapplied_payload(&self) -> bool {
        self.log.has_payload_after(self.applied.index)
    }

    /// Creates an entry in an epoch, appends it and returns its position.
    pub fn append(&mut self, epoch: u64, payload: Vec<u8>) -> Position {
        self.log.append(epoch, payload)
    }

    /// Appends the entries of a primary; see [`Log::maybe_append`].
    pub fn maybe_append(
        &mut self,
        previous: Position,
        entries: Vec<Entry>,
    ) -> Result<Vec<Entry>, AppendError> {
        self.log.maybe_append(previous, entries, self.applied.index)
    }

    /// Returns the state and the log, for a candidate that is not a member of the newest view.
    pub fn state_transfer(&self, epoch: u64) -> StateTransfer {
        StateTransfer {
            epoch,
            last: self.log.last(),
            snapshot_last: self.applied,
            snapshot: self.state.snapshot(),
            entries: self.log.entries_after(self.applied.index),
        }
    }

    /// Replaces the state and the log by those of another node, and returns the write that makes them durable.
    ///
    /// # Errors
    /// Returns [`InstallError`] if they are inconsistent or lack an entry that is committed here. Nothing is changed
    /// then.
    pub fn install(
        &mut self,
        last: Position,
        snapshot: Vec<u8>,
        entries: Vec<Entry>,
    ) -> Result<Write, InstallError> {
        let log = Log::new(last, entries.clone()).map_err(InstallError::Gap)?;
        if last.index < self.applied.index {
            if !log.contains(self.applied) {
                return Err(InstallError::LacksCommitted(self.applied.index));
            }
        } else {
            self.state.restore(&snapshot).map_err(InstallError::Restore)?;
            self.applied = last;
        }
        self.log = log;
        Ok(Write::Install { last, snapshot, entries })
    }

    /// Records that the log matches the log of the primary or candidate of an epoch up to an index.
    pub fn record_match(&mut self, epoch: u64, index: u64) {
        if self.match_index.epoch == epoch {
            self.match_index.index = self.match_index.index.max(index);
        } else {
            self.match_index = MatchIndex { epoch, index };
        }
    }

    /// Returns the index up to which entries may be applied if the primary of an epoch has committed its log up to
    /// `committed`; `None` if this log was not compared with the log of that primary.
    pub fn committable_index(&self, epoch: u64, committed: u64) -> Option<u64> {
        (self.match_index.epoch == epoch).then_some(committed.min(self.match_index.index))
    }

    /// Applies the committed entries up to an index, and returns the indices of those that have a payload.
    pub fn apply_up_to(&mut self, index: u64) -> Vec<u64> {
        let mut applied = Vec::new();
        while self.applied.index < index {
            let Some(entry) = self.log.get(self.applied.index + 1) else { break };
            // Entries without a payload only mark the start of an epoch.
            if !entry.payload.is_empty() {
                self.state.apply(entry);
                applied.push(entry.index);
            }
            self.applied = position_of(entry);
        }
        applied
    }

    /// Returns whether the log exceeds a limit for compaction and holds applied entries, which can be dropped.
    pub fn needs_compaction(&self, options: &Options) -> bool {
        let applied_entries = self.applied.index - self.log.base().index;
        let is_too_long = applied_entries > options.compact_entries as u64;
        let is_too_big = applied_entries > 0 && self.log.bytes() > options.compact_bytes;
        is_too_long || is_too_big
    }

    /// Drops the applied entries, and returns the write that replaces them by a snapshot on disk.
    pub fn compact(&mut self) -> Write {
        self.log.compact(self.applied);
        Write::Compact { last: self.applied, snapshot: self.state.snapshot() }
    }

    /// Drops the applied entries, and returns a write of the whole state: a snapshot and the remaining entries.
    pub fn rewrite(&mut self) -> Write {
        let entries = self.log.entries_after(self.applied.index);
        self.log.compact(self.applied);
        Write::Install { last: self.applied, snapshot: self.state.snapshot(), entries }
    }
}
