//! The state of a primary: its view, its lease, its proposals, and the durability of its view.

use displaydoc::Display;
use quillpulley_protocol::{NodeId, View};
use std::time::Duration;

use crate::durability::DurabilityMonitor;
use crate::lease::{Lease, PROBE_ROUND};
use crate::proposals::Proposals;
use crate::view::witness_sets;

/// The number of half heartbeat intervals without replies from majorities of the witnesses after which a primary
/// requests no lease until they reply again.
const MAX_UNANSWERED_HALF_HEARTBEATS: u32 = 3;

/// Why a primary steps down or a candidate gives up.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum ResignReason {
    /// another node is the primary or a candidate with a higher epoch
    Superseded,
    /// a newer view excludes this node or has another primary
    Excluded,
    /// the disk does not complete writes in time
    DiskStalled,
    /// a write has failed
    DiskFailed,
    /// the lease cannot be renewed
    LeaseLost,
    /// the view change did not reach a quorum
    NoQuorum,
    /// the process is shutting down
    Shutdown,
}

/// The state that a primary keeps across the views that it forms itself, until it steps down.
#[derive(Clone, Debug)]
pub(crate) struct PrimaryState {
    view: View,
    elected_at: Duration,
    /// The time since which the primary has requested the lease without discarding grants: the time of its election, or
    /// of the latest clock jump.
    lease_requested_since: Duration,
    /// The index of the entry that marks the start of the epoch in which the primary was elected. All members held the
    /// log up to this entry at the election, so it is committed.
    inherited_index: u64,
    lease: Lease,
    next_heartbeat: Duration,
    pub proposals: Proposals,
    pub durability: DurabilityMonitor,
}

impl PrimaryState {
    pub fn new(view: View, inherited_index: u64, now: Duration, lease: Lease) -> Self {
        PrimaryState {
            view,
            elected_at: now,
            lease_requested_since: now,
            inherited_index,
            lease,
            next_heartbeat: now,
            proposals: Proposals::default(),
            durability: DurabilityMonitor::default(),
        }
    }

    /// Returns the state of the same primary in the next view, which it has formed itself.
    pub fn continue_in(self, view: View, now: Duration) -> Self {
        PrimaryState { view, next_heartbeat: now, ..self }
    }

    pub fn view(&self) -> &View {
        &self.view
    }

    pub fn elected_at(&self) -> Duration {
        self.elected_at
    }

    pub fn lease_requested_since(&self) -> Duration {
        self.lease_requested_since
    }

    /// Discards the lease, which has to be granted again.
    pub fn discard_lease(&mut self, now: Duration) {
        self.lease.discard_grants();
        self.lease_requested_since = now;
    }

    pub fn inherited_index(&self) -> u64 {
        self.inherited_index
    }

    pub fn is_heartbeat_due(&self, now: Duration) -> bool {
        now >= self.next_heartbeat
    }

    /// Begins a round of lease requests in an epoch, or of probes if the witnesses have not replied recently, and
    /// returns its number.
    pub fn begin_lease_round(&mut self, now: Duration, epoch: u64, interval: Duration) -> u64 {
        self.next_heartbeat = now + interval;
        if self.has_recent_replies(now, interval) {
            self.lease.begin_round(now, epoch)
        } else {
            PROBE_ROUND
        }
    }

    /// Returns whether majorities of the witnesses have replied recently. The election counts as a reply.
    pub fn has_recent_replies(&self, now: Duration, interval: Duration) -> bool {
        let replied_at = self.lease.replied_at(&witness_sets(&self.view)).unwrap_or_default();
        now <= replied_at.max(self.elected_at) + interval * MAX_UNANSWERED_HALF_HEARTBEATS / 2
    }

    /// Records that a witness has replied to a request or a probe.
    pub fn record_lease_reply(&mut self, now: Duration, witness: NodeId) {
        self.lease.record_reply(now, witness);
    }

    pub fn record_lease_grant(&mut self, witness: NodeId, round: u64, epoch: u64) {
        self.lease.record_grant(witness, round, epoch);
    }

    /// Returns when the lease ends; `None` if it was never granted. `activating` is the view that is being activated,
    /// if there is one: a majority of its witnesses has to grant the lease too, since a candidate may already know that
    /// they alone decide on the next view.
    pub fn lease_end(&self, activating: Option<&View>) -> Option<Duration> {
        let mut sets = witness_sets(&self.view);
        if let Some(view) = activating {
            sets.push(&view.witnesses);
        }
        self.lease.ends_at(&sets)
    }
}
