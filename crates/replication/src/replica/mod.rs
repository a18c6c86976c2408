//! The replica: the coordinator of one control node.
//!
//! [`Replica`] owns the other modules' state and is the only type that connects them. Its methods are in one file per
//! role: `acceptor` (a witness that answers requests), `follower` (a member or learner that receives the log),
//! `election` (a candidate, until it holds the state of the newest view), `view_change` (from then until the view is
//! active), `replication` (sending the log), `primary` (lease, proposals, commits) and `shutdown`.

mod acceptor;
mod election;
mod follower;
mod primary;
mod replication;
mod shutdown;
mod view_change;

use log::info;
use quillpulley_protocol::{Body, NodeId, Reject, View, WitnessRecord};
use std::time::Duration;

use crate::election_timer::ElectionTimer;
use crate::event::{Action, Event, Role};
use crate::member_state::MemberState;
use crate::membership::{ClusterState, Planner};
use crate::options::{Options, Recovered, StartError};
use crate::outbox::Outbox;
use crate::peers::Peers;
use crate::primary::PrimaryState;
use crate::progress::ProgressTracker;
use crate::shutdown::GracefulShutdown;
use crate::view::{
    bootstrap_view, is_member, is_witness, majority, members, voters, witness_sets, BOOTSTRAP_EPOCH,
};
use crate::view_change::ViewChange;
use crate::witness::Witness;
use crate::write_queue::{Completion, WriteQueue};
use crate::{DurabilityStatus, Locality, StateMachine};

/// The primary that has sent the latest heartbeat in which it claims to hold its lease.
#[derive(Clone, Copy, Debug)]
struct PrimaryContact {
    node: NodeId,
    epoch: u64,
    received_at: Duration,
}

/// A control node: a witness, and a member of the view once a primary has added it.
///
/// State changes only in [`Replica::handle`]. A node with a `PrimaryState` is the primary. Otherwise it is a candidate
/// if a view change is in progress, and a follower if not.
#[derive(Clone, Debug)]
pub struct Replica<S> {
    options: Options,
    /// The time of the latest event.
    now: Duration,
    member: MemberState<S>,
    witness: Witness,
    writes: WriteQueue,
    peers: Peers,
    primary: Option<PrimaryState>,
    view_change: Option<ViewChange>,
    /// The progress of the replication targets in the epoch in which this node replicates its log; `None` if it
    /// replicates none.
    tracker: Option<ProgressTracker>,
    /// The highest epoch that any node is known to have promised.
    highest_epoch: u64,
    primary_contact: Option<PrimaryContact>,
    election: ElectionTimer,
    shutdown: GracefulShutdown,
    outbox: Outbox,
    reported_role: Role,
}

impl<S: StateMachine> Replica<S> {
    /// Creates a replica from the state that its disk holds. `state` is the state before the first entry.
    ///
    /// # Errors
    /// Returns [`StartError`] if the disk holds data of another incarnation, a snapshot that cannot be decoded, or a
    /// log with a gap.
    pub fn new(options: Options, recovered: Recovered, state: S, now: Duration) -> Result<Self, StartError> {
        let Recovered { record, snapshot, entries } = recovered;
        let member = MemberState::recover(state, snapshot, entries)?;
        let writes = WriteQueue::new(record.clone(), options.faults.answer_before_sync());
        let is_restart = record.is_some();
        let record = record.unwrap_or_else(|| first_record(&options));
        if record.incarnation != options.me.incarnation {
            return Err(StartError::Incarnation {
                found: record.incarnation,
                expected: options.me.incarnation,
            });
        }
        let highest_epoch = record.promised.max(record.accepted.as_ref().map_or(0, |view| view.epoch));
        let witness = Witness::new(record, now + options.lease, options.faults);
        let mut replica = Replica {
            now,
            member,
            witness,
            writes,
            peers: Peers::default(),
            primary: None,
            view_change: None,
            tracker: None,
            highest_epoch,
            primary_contact: None,
            election: ElectionTimer::new(now, options.seed),
            shutdown: GracefulShutdown::default(),
            outbox: Outbox::default(),
            reported_role: Role::Follower { primary: None },
            options,
        };
        replica.schedule_election(is_restart);
        replica.writes.push_record(replica.witness.record());
        Ok(replica)
    }

    fn schedule_election(&mut self, is_restart: bool) {
        if !is_restart {
            self.election.schedule_first(self.now);
        } else if self.witness.promised_to() == Some(self.options.me) {
            self.election.schedule_after_restart(self.now);
        } else {
            self.postpone_election();
        }
    }

    /// Handles an event that occurred at `now` and appends the resulting actions to `actions`. `now` should not
    /// decrease from call to call; an earlier time is treated as the latest one.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Message { from, body } => self.handle_message(from, body),
            Event::LocalityLearned { node, locality } => self.peers.set_locality(node, locality),
            Event::Connected(node) => self.handle_connected(node),
            Event::Disconnected(node) => self.peers.disconnect(node),
            Event::WriteCompleted { ticket, result: Ok(()) } => {
                for completion in self.writes.complete(ticket) {
                    self.perform(completion);
                }
            }
            Event::WriteCompleted { ticket, result: Err(_) } => self.handle_write_failure(ticket),
            Event::Propose { proposal, payload } => self.propose(proposal, payload),
            Event::ClockJumped => self.handle_clock_jump(),
            Event::Tick => self.tick(),
            Event::Shutdown => self.begin_shutdown(),
        }
        self.flush();
        self.outbox.drain_into(actions);
    }

    /// Returns the committed state.
    pub fn state(&self) -> &S {
        self.member.state()
    }

    /// Returns the index of the last entry that is applied to the state.
    pub fn applied_index(&self) -> u64 {
        self.member.applied().index
    }

    /// Returns the total size in bytes of the payloads of all entries in memory.
    pub fn log_bytes(&self) -> usize {
        self.member.log().bytes()
    }

    /// Returns the role at the time `now`.
    pub fn role(&self, now: Duration) -> Role {
        if let Some(primary) = &self.primary {
            return Role::Primary { epoch: primary.view().epoch, holds_lease: self.holds_lease(now) };
        }
        if self.shutdown.has_begun() {
            return Role::ShuttingDown;
        }
        if self.view_change.is_some() {
            return Role::Candidate;
        }
        Role::Follower { primary: self.primary_hint(now) }
    }

    /// Returns whether this node is the primary and holds the lease. Callers check this immediately before every step
    /// that only a primary may take.
    pub fn holds_lease(&self, now: Duration) -> bool {
        let ignores_lease = self.options.faults.ignore_own_lease();
        self.primary.is_some() && (ignores_lease || self.lease_end().is_some_and(|end| now < end))
    }

    /// Returns when the lease ends; `None` if this node is not the primary or does not hold the lease. No other node is
    /// elected before that time, so that the state is the newest one until then.
    pub fn lease_until(&self, now: Duration) -> Option<Duration> {
        self.holds_lease(now).then(|| self.lease_end()).flatten()
    }

    /// Returns whether this node may answer a read of the newest state. Callers check this immediately before they
    /// write the response, since the process may have been suspended after it received the request.
    pub fn can_answer(&self, now: Duration) -> bool {
        let is_unchecked = self.options.faults.answer_without_lease_check() && self.primary.is_some();
        is_unchecked || self.holds_lease(now)
    }

    /// Returns whether proposals are queued, or are in the log and not applied to the state yet. They may still take
    /// effect without being proposed again.
    pub fn has_unresolved_proposals(&self) -> bool {
        let has_queued = self.primary.as_ref().is_some_and(|primary| primary.proposals.has_queued());
        has_queued || self.member.has_unapplied_payload()
    }

    /// Returns the newest known view; `None` before the first view with a primary.
    pub fn view(&self) -> Option<&View> {
        let known = self.witness.view().filter(|view| view.epoch > BOOTSTRAP_EPOCH);
        self.primary.as_ref().map(PrimaryState::view).or(known)
    }

    /// Returns the nodes that the newest known view names; in the bootstrap view these are the first witnesses. The
    /// host should connect to them.
    pub fn known_nodes(&self) -> Vec<NodeId> {
        let Some(view) = self.witness.view() else { return Vec::new() };
        let mut nodes = voters(view);
        nodes.extend(members(view));
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }

    /// Returns the primary: this node if it holds the lease, or the primary whose latest heartbeat is not older than a
    /// lease; `None` if there is neither.
    pub fn primary_hint(&self, now: Duration) -> Option<NodeId> {
        self.primary_until(now).map(|(primary, _)| primary)
    }

    /// Returns the primary as [`Replica::primary_hint`] does, and the time until which it may be named to clients.
    pub fn primary_until(&self, now: Duration) -> Option<(NodeId, Duration)> {
        if let Some(end) = self.lease_until(now) {
            return Some((self.options.me, end));
        }
        let contact = self.primary_contact?;
        let until = contact.received_at + self.options.lease;
        (now < until).then_some((contact.node, until))
    }

    /// Returns the failure domains of a node; `None` if they are not known. A new incarnation of a node has those of
    /// its machine, even before it reports them.
    pub fn locality_of(&self, node: NodeId) -> Option<&Locality> {
        self.cluster().locality_of(node)
    }

    /// Returns the tolerated failures that the newest known view does not survive, as far as this node knows the
    /// failure domains; the primary knows those of all members. Returns `None` before the first view with a primary.
    pub fn durability(&self) -> Option<DurabilityStatus> {
        self.view().map(|view| self.cluster().durability_of(view))
    }

    /// Returns how many of the responsive witnesses may be lost before no majority is left. This node counts as
    /// responsive. Returns `None` if this node is not the primary: others do not know which witnesses are responsive.
    pub fn spare_witnesses(&self, now: Duration) -> Option<usize> {
        let primary = self.primary.as_ref()?;
        let responds = |node: &&NodeId| **node == self.options.me || self.peers.is_responsive(now, **node);
        let spare = |set: &[NodeId]| set.iter().filter(responds).count().saturating_sub(majority(set.len()));
        witness_sets(primary.view()).into_iter().map(spare).min()
    }

    /// Handles the messages from this node to itself, hands the next write to the host, and reports a change of role.
    fn flush(&mut self) {
        while let Some(body) = self.outbox.pop_loopback() {
            self.handle_message(self.options.me, body);
        }
        if let Some((ticket, write)) = self.writes.next_write(self.now) {
            self.outbox.push(Action::Store { ticket, write });
        }
        let role = self.role(self.now);
        if role != self.reported_role {
            info!(node:% = self.options.me, zone = self.options.locality.zone.as_str(), role:% = role; "role changed");
            self.reported_role = role;
            self.outbox.push(Action::RoleChanged(role));
        }
    }

    /// Handles a message from another node or from this node itself.
    fn handle_message(&mut self, from: NodeId, body: Body) {
        match body {
            Body::Prepare(prepare) => self.handle_prepare(from, *prepare),
            Body::Promise(promise) => self.handle_promise(from, *promise),
            Body::FetchState(fetch) => self.handle_fetch_state(from, *fetch),
            Body::StateTransfer(transfer) => self.handle_state_transfer(*transfer),
            Body::Install(install) => self.handle_install(from, *install),
            Body::Installed(installed) => self.handle_installed(from, *installed),
            Body::Accept(accept) => self.handle_accept(from, *accept),
            Body::Accepted(accepted) => self.handle_accepted(from, *accepted),
            Body::Append(append) => self.handle_append(from, *append),
            Body::AppendAck(ack) => self.handle_append_ack(from, *ack),
            Body::LeaseRequest(request) => self.handle_lease_request(from, *request),
            Body::LeaseGrant(grant) => self.handle_lease_grant(from, *grant),
            Body::Reject(reject) => self.handle_reject(from, *reject),
            Body::Resign(resign) => self.handle_resign(from, *resign),
            _ => {}
        }
    }

    fn handle_connected(&mut self, node: NodeId) {
        self.peers.connect(node);
        if let Some(tracker) = &mut self.tracker {
            tracker.resend(node);
        }
        self.request_promise_of(node);
    }

    fn tick(&mut self) {
        self.retry_failed_disk();
        self.tick_shutdown();
        self.maybe_campaign();
        self.tick_view_change();
        self.tick_primary();
    }

    /// Performs a step that was deferred until writes were durable.
    fn perform(&mut self, completion: Completion) {
        match completion {
            Completion::Send { to, body } => self.send(to, body),
            Completion::EpochClaimed { epoch } => self.handle_epoch_claimed(epoch),
            Completion::Recovered => info!(node:% = self.options.me; "the disk accepts writes again"),
        }
    }

    /// Sends a message if its recipient is connected. A message to this node itself is handled before
    /// [`Replica::handle`] returns.
    fn send(&mut self, to: NodeId, body: Body) {
        if to == self.options.me {
            self.outbox.push_loopback(body);
        } else if self.peers.is_connected(to) {
            self.outbox.push(Action::Send { to, body });
        }
    }

    /// Sends a message to this node and all connected nodes.
    fn broadcast(&mut self, body: &Body) {
        self.send(self.options.me, body.clone());
        for node in self.peers.connected() {
            self.send(node, body.clone());
        }
    }

    /// Sends a message once all writes queued so far are durable.
    fn send_when_durable(&mut self, to: NodeId, body: Body) {
        if let Some(completion) = self.writes.when_durable(Completion::Send { to, body }) {
            self.perform(completion);
        }
    }

    /// Rejects a message that concerns the log.
    fn reject(&mut self, to: NodeId, epoch: u64) {
        let shutting_down = self.shutdown.has_begun();
        let reject = Reject { epoch, promised: self.witness.promised(), shutting_down };
        self.send(to, Body::Reject(Box::new(reject)));
    }

    /// Records that a node has promised an epoch.
    fn observe_epoch(&mut self, epoch: u64) {
        self.highest_epoch = self.highest_epoch.max(epoch);
    }

    fn cluster(&self) -> ClusterState<'_> {
        ClusterState { options: &self.options, peers: &self.peers, now: self.now }
    }

    /// Returns the planner of the membership; `None` if this node is not the primary.
    fn planner(&self) -> Option<Planner<'_>> {
        let primary = self.primary.as_ref()?;
        let (log, applied) = (self.member.log(), self.member.applied());
        Some(Planner::new(self.cluster(), primary, self.tracker.as_ref(), log, applied))
    }

    fn is_witness_or_member(&self, view: &View) -> bool {
        is_witness(view, self.options.me) || is_member(view, self.options.me)
    }
}

/// Returns the witness record of a node whose disk is empty.
fn first_record(options: &Options) -> WitnessRecord {
    let accepted = options.bootstrap.clone().map(|witnesses| Box::new(bootstrap_view(witnesses)));
    let incarnation = options.me.incarnation;
    WitnessRecord { incarnation, promised: 0, promised_to: NodeId::default(), accepted }
}
