//! The member's side: taking the log of a primary or candidate, giving its state away, applying, compacting.

use log::{error, info, warn};
use quillpulley_protocol::{
    Append, AppendAck, Body, Entry, FetchState, Install, Installed, NodeId, Position, StateTransfer,
};

use crate::event::{Action, Write};
use crate::log::{AppendError, Log};
use crate::quorum::position;
use crate::replica::{Replica, Verified};
use crate::StateMachine;

impl<S: StateMachine> Replica<S> {
    /// Takes a message of the epoch for the log, and from then on, also after a restart, none of older epochs.
    /// Answers have to wait for the record that this writes.
    fn admit_writer(&mut self, from: NodeId, epoch: u64) -> bool {
        if from == self.options.me {
            return false;
        }
        if self.stopped {
            self.announce_leaving_to(from);
        }
        if !self.disk.is_usable(self.now) {
            self.reject(from, epoch);
        }
        if !self.disk.is_healthy() {
            return false;
        }
        if !self.witness.admit(epoch, from) {
            self.reject(from, epoch);
            return false;
        }
        self.defer_to(from);
        self.disk.write_record(self.witness.record());
        true
    }

    pub(crate) fn on_append(&mut self, from: NodeId, append: Append) {
        let Append { epoch, previous, entries, committed } = append;
        if !self.admit_writer(from, epoch) {
            return;
        }
        let end = entries.last().map_or(previous, position);
        match self.log.take(previous, entries, self.applied.index) {
            Ok(fresh) => {
                if !fresh.is_empty() {
                    self.disk.write(Write::Append(fresh));
                }
                self.verify(epoch, end.index);
                self.commit_told(epoch, committed);
                let ack = AppendAck { epoch, last: end, matched: true };
                self.send_once_durable(from, Body::AppendAck(Box::new(ack)));
            }
            Err(AppendError::Mismatch) => {
                let ack = AppendAck { epoch, last: self.applied, matched: false };
                self.send(from, Body::AppendAck(Box::new(ack)));
            }
            Err(AppendError::AgainstCommitted) => {
                error!("{from} sent entries against the committed {:?}: not taken", self.applied);
            }
        }
    }

    pub(crate) fn on_install(&mut self, from: NodeId, install: Install) {
        let Install { epoch, snapshot_last, snapshot, entries } = install;
        // A whole state for a disk that does not answer would only pile up in memory.
        if !self.admit_writer(from, epoch) || !self.disk.is_usable(self.now) {
            return;
        }
        let last = entries.last().map_or(snapshot_last, position);
        let ok = self.log.contains(last) || self.adopt(snapshot_last, snapshot, entries);
        if ok {
            self.verify(epoch, last.index);
        }
        let installed = Body::Installed(Box::new(Installed { epoch, last, ok }));
        if self.options.faults.install_before_complete {
            self.send(from, installed);
        } else {
            self.send_once_durable(from, installed);
        }
    }

    pub(crate) fn on_fetch_state(&mut self, from: NodeId, fetch: FetchState) {
        let epoch = fetch.epoch;
        if !self.admit_writer(from, epoch) {
            return;
        }
        let transfer = StateTransfer {
            epoch,
            last: self.log.last(),
            snapshot_last: self.applied,
            snapshot: self.state.snapshot(),
            entries: self.log.after(self.applied.index),
        };
        self.send_once_durable(from, Body::StateTransfer(Box::new(transfer)));
    }

    /// Puts another node's state and log in the place of this node's. Nothing changes if they do not fit together
    /// or do not hold all that is committed here.
    pub(crate) fn adopt(&mut self, base: Position, snapshot: Vec<u8>, entries: Vec<Entry>) -> bool {
        let Ok(log) = Log::new(base, entries.clone()) else {
            error!("a state with gaps in its log was not taken");
            return false;
        };
        if base.index < self.applied.index {
            if !log.contains(self.applied) {
                error!("a state without the committed {:?} was not taken", self.applied);
                return false;
            }
        } else if let Err(fault) = self.state.restore(&snapshot) {
            error!("{fault}");
            return false;
        } else {
            self.applied = base;
        }
        self.log = log;
        self.disk.write(Write::Install { last: base, snapshot, entries });
        true
    }

    /// The log is the same as that of the epoch's primary or candidate, up to an index.
    fn verify(&mut self, epoch: u64, index: u64) {
        if self.verified.epoch == epoch {
            self.verified.index = self.verified.index.max(index);
        } else {
            self.verified = Verified { epoch, index };
        }
    }

    /// The primary of the epoch has committed up to an index.
    pub(crate) fn commit_told(&mut self, epoch: u64, committed: u64) {
        if self.verified.epoch == epoch {
            self.apply_up_to(committed.min(self.verified.index));
        }
    }

    /// Applies committed entries.
    pub(crate) fn apply_up_to(&mut self, index: u64) {
        while self.applied.index < index {
            let Some(entry) = self.log.get(self.applied.index + 1) else { break };
            // Entries without a payload only mark the begin of an epoch.
            if !entry.payload.is_empty() {
                self.state.apply(entry);
                self.actions.push(Action::Applied { index: entry.index });
            }
            self.applied = position(entry);
        }
        self.compact_log();
    }

    fn compact_log(&mut self) {
        let applied_entries = self.applied.index - self.log.base().index;
        let too_long = applied_entries > self.options.compact_entries as u64;
        let too_big = applied_entries > 0 && self.log.bytes() > self.options.compact_bytes;
        // A node that is about to be let in needs the last entries; no others follow meanwhile.
        if self.disk.is_healthy() && (too_long || too_big) && !self.waits_for_joiner() {
            self.log.compact(self.applied);
            self.disk.write(Write::Compact { last: self.applied, snapshot: self.state.snapshot() });
        }
    }

    pub(crate) fn on_store_failed(&mut self, ticket: u64) {
        if !self.disk.failed(ticket, self.now) {
            return;
        }
        warn!("{}: a write failed; until one succeeds this node neither votes nor stores", self.options.me);
        if self.leadership.is_some() {
            self.step_down("its disk failed");
        }
        self.abandon_candidacy();
    }

    /// Tries a failed disk again, with everything that it has to hold.
    pub(crate) fn heal_disk(&mut self) {
        if !self.disk.is_due_for_healing(self.now) {
            return;
        }
        info!("{}: trying the disk again", self.options.me);
        let entries = self.log.after(self.applied.index);
        self.log.compact(self.applied);
        let install = Write::Install { last: self.applied, snapshot: self.state.snapshot(), entries };
        self.disk.heal(self.witness.record(), install);
    }
}
