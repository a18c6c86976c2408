//! The member or learner: receives the log of a primary or candidate, transfers its state to a candidate, and applies
//! and compacts its log.

use log::{error, info, warn};
use quillpulley_protocol::{
    Append, AppendAck, Body, Entry, FetchState, Install, Installed, NodeId, Position,
};

use super::Replica;
use crate::event::{Action, Write};
use crate::log::{position_of, AppendError};
use crate::primary::ResignReason;
use crate::StateMachine;

impl<S: StateMachine> Replica<S> {
    /// Admits a message of an epoch that concerns the log, and from then on, even after a restart, no message of an
    /// older epoch. Queues the witness record; replies have to wait until it is durable. Returns false if the message
    /// is not admitted.
    fn admit_log_message(&mut self, from: NodeId, epoch: u64) -> bool {
        if from == self.options.me {
            return false;
        }
        if self.shutdown.has_begun() {
            self.announce_shutdown_to(from);
        }
        if !self.writes.is_usable(self.now) {
            self.reject(from, epoch);
        }
        if !self.writes.is_healthy() {
            return false;
        }
        if !self.witness.admit(epoch, from) {
            self.reject(from, epoch);
            return false;
        }
        if !self.follows(from, epoch) {
            self.defer_to(from);
        }
        self.writes.push_record(self.witness.record());
        true
    }

    /// Returns whether a node has claimed the lease of a primary in this epoch. From then on, only its heartbeats
    /// postpone the election: a primary that receives no replies keeps sending its log.
    fn follows(&self, primary: NodeId, epoch: u64) -> bool {
        self.primary_contact.is_some_and(|contact| contact.node == primary && contact.epoch == epoch)
    }

    pub(super) fn handle_append(&mut self, from: NodeId, append: Append) {
        let Append { epoch, previous, entries, committed } = append;
        if !self.admit_log_message(from, epoch) {
            return;
        }
        let end = entries.last().map_or(previous, position_of);
        let applied = self.member.applied();
        match self.member.maybe_append(previous, entries) {
            Ok(new) => {
                if !new.is_empty() {
                    self.writes.push(Write::Append(new));
                }
                self.member.record_match(epoch, end.index);
                self.commit_to(epoch, committed);
                let ack = AppendAck { epoch, last: end, matched: true };
                self.send_when_durable(from, Body::AppendAck(Box::new(ack)));
            }
            Err(AppendError::Mismatch) => {
                let ack = AppendAck { epoch, last: applied, matched: false };
                self.send(from, Body::AppendAck(Box::new(ack)));
            }
            Err(AppendError::ConflictsWithCommitted) => {
                error!(
                    node:% = self.options.me, peer:% = from, epoch, index = applied.index;
                    "entries that conflict with the committed log are not appended"
                );
            }
        }
    }

    pub(super) fn handle_install(&mut self, from: NodeId, install: Install) {
        let Install { epoch, snapshot_last, snapshot, entries } = install;
        // If the disk does not complete writes, the received states would accumulate in memory.
        if !self.admit_log_message(from, epoch) || !self.writes.is_usable(self.now) {
            return;
        }
        let last = entries.last().map_or(snapshot_last, position_of);
        let ok = self.member.log().contains(last) || self.install(snapshot_last, snapshot, entries);
        if ok {
            self.member.record_match(epoch, last.index);
        }
        let installed = Body::Installed(Box::new(Installed { epoch, last, ok }));
        if self.options.faults.install_before_complete() {
            self.send(from, installed);
        } else {
            self.send_when_durable(from, installed);
        }
    }

    pub(super) fn handle_fetch_state(&mut self, from: NodeId, fetch: FetchState) {
        if !self.admit_log_message(from, fetch.epoch) {
            return;
        }
        let transfer = self.member.state_transfer(fetch.epoch);
        self.send_when_durable(from, Body::StateTransfer(Box::new(transfer)));
    }

    /// Replaces the state and the log of this node by those of another node. Returns false if they cannot be installed.
    pub(super) fn install(&mut self, last: Position, snapshot: Vec<u8>, entries: Vec<Entry>) -> bool {
        match self.member.install(last, snapshot, entries) {
            Ok(write) => {
                self.writes.push(write);
                true
            }
            Err(reason) => {
                error!(node:% = self.options.me, reason:% = reason; "cannot install the received state");
                false
            }
        }
    }

    /// Applies the entries that the primary of an epoch has committed, as far as the log is known to match the log of
    /// that primary.
    pub(super) fn commit_to(&mut self, epoch: u64, committed: u64) {
        if let Some(index) = self.member.committable_index(epoch, committed) {
            self.apply_up_to(index);
        }
    }

    pub(super) fn apply_up_to(&mut self, index: u64) {
        for index in self.member.apply_up_to(index) {
            self.outbox.push(Action::Applied { index });
        }
        self.maybe_compact();
    }

    fn maybe_compact(&mut self) {
        // A learner that is catching up needs the last entries, which are not compacted until then. The log does not
        // grow meanwhile, since new proposals wait.
        let is_due = self.writes.is_healthy() && self.member.needs_compaction(&self.options);
        if is_due && !self.planner().is_some_and(|planner| planner.waits_for_learner()) {
            let write = self.member.compact();
            self.writes.push(write);
        }
    }

    pub(super) fn handle_write_failure(&mut self, ticket: u64) {
        if !self.writes.fail(ticket, self.now) {
            return;
        }
        warn!(
            node:% = self.options.me;
            "a write to disk failed; this node neither votes nor stores entries until a write succeeds"
        );
        if self.primary.is_some() {
            self.step_down(ResignReason::DiskFailed);
        }
        self.abandon_candidacy();
    }

    /// Writes the whole state to a failed disk once the next attempt is due.
    pub(super) fn retry_failed_disk(&mut self) {
        if !self.writes.is_retry_due(self.now) {
            return;
        }
        info!(node:% = self.options.me; "retrying to write to the disk");
        let rewrite = self.member.rewrite();
        self.writes.retry(self.witness.record(), rewrite);
    }
}
