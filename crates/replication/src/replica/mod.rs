//! The replica: the coordinator of one control node.
//!
//! [`Replica`] owns the parts and is the only one that connects them. Its methods stand in one file for each role:
//! `acceptor` (a witness asked by others), `follower` (a member or learner that receives the log), `election` (a
//! candidate up to the state), `view_change` (from the state to an active view), `replication` (sending the log),
//! `primary` (lease, proposals, commits) and `shutdown`.

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

/// The primary whose heartbeat came last while it held its lease.
#[derive(Clone, Copy, Debug)]
struct PrimaryContact {
    node: NodeId,
    epoch: u64,
    received_at: Duration,
}

/// A control node: a witness, and a member of the view once a primary has added it.
///
/// All state changes in [`Replica::handle`]. A node with a `PrimaryState` is the primary; else one with a view change
/// in progress is a candidate; else it follows.
#[derive(Clone, Debug)]
pub struct Replica<S> {
    options: Options,
    now: Duration,
    member: MemberState<S>,
    witness: Witness,
    writes: WriteQueue,
    peers: Peers,
    primary: Option<PrimaryState>,
    view_change: Option<ViewChange>,
    /// The replication targets of the epoch in which this node replicates its log.
    tracker: Option<ProgressTracker>,
    /// The highest epoch that any node is known to have promised.
    highest_epoch: u64,
    contact: Option<PrimaryContact>,
    election: ElectionTimer,
    shutdown: GracefulShutdown,
    outbox: Outbox,
    reported_role: Role,
}

impl<S: StateMachine> Replica<S> {
    /// Creates a replica from what its disk holds. `state` is that of an empty log.
    ///
    /// # Errors
    /// [`StartError`] if the disk holds the data of another incarnation, or data that does not fit together.
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
            contact: None,
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

    /// Handles an event and appends the resulting actions to `actions`. `now` must not go back.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Message { from, body } => self.step(from, body),
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

    /// Returns the bytes of all entries in memory.
    pub fn log_bytes(&self) -> usize {
        self.member.log().bytes()
    }

    /// Returns the role at this moment.
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

    /// Returns whether it is the primary and holds the lease. Ask again right before everything that only a primary may
    /// do.
    pub fn holds_lease(&self, now: Duration) -> bool {
        let ignores_lease = self.options.faults.ignore_own_lease();
        self.primary.is_some() && (ignores_lease || self.lease_end().is_some_and(|end| now < end))
    }

    /// Returns when the lease ends, if it is the primary and holds it. Until then no other node is elected, and so the
    /// state is the newest one.
    pub fn lease_until(&self, now: Duration) -> Option<Duration> {
        self.holds_lease(now).then(|| self.lease_end()).flatten()
    }

    /// Returns whether it may tell a client the newest state. Ask right before the response is written: the process may
    /// have been suspended since the request came.
    pub fn can_answer(&self, now: Duration) -> bool {
        let is_unchecked = self.options.faults.answer_without_lease_check() && self.primary.is_some();
        is_unchecked || self.holds_lease(now)
    }

    /// Returns whether there are proposals, in the log or queued, that are not applied to the state: they may take
    /// effect without being proposed again.
    pub fn has_unresolved_proposals(&self) -> bool {
        let has_queued = self.primary.as_ref().is_some_and(|primary| primary.proposals.has_queued());
        has_queued || self.member.has_unapplied_payload()
    }

    /// Returns the newest view that is known; none before the first.
    pub fn view(&self) -> Option<&View> {
        let known = self.witness.view().filter(|view| view.epoch > BOOTSTRAP_EPOCH);
        self.primary.as_ref().map(PrimaryState::view).or(known)
    }

    /// Returns the nodes that the newest view names, or the first witnesses. The host should connect to them.
    pub fn known_nodes(&self) -> Vec<NodeId> {
        let Some(view) = self.witness.view() else { return Vec::new() };
        let mut nodes = voters(view);
        nodes.extend(members(view));
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }

    /// Returns the primary, if this node is it, or has received its heartbeat within the lease.
    pub fn primary_hint(&self, now: Duration) -> Option<NodeId> {
        self.primary_until(now).map(|(primary, _)| primary)
    }

    /// Returns the primary, if this node is it, or has received its heartbeat within the lease, and until when it may
    /// be named.
    pub fn primary_until(&self, now: Duration) -> Option<(NodeId, Duration)> {
        if let Some(end) = self.lease_until(now) {
            return Some((self.options.me, end));
        }
        let contact = self.contact?;
        let until = contact.received_at + self.options.lease;
        (now < until).then_some((contact.node, until))
    }

    /// Returns the failure domains of a node, if they are known. A node that has lost its disk keeps those of its
    /// machine.
    pub fn locality_of(&self, node: NodeId) -> Option<&Locality> {
        self.cluster().locality_of(node)
    }

    /// Returns the tolerated failures that the newest known view does not survive, as far as the failure domains of its
    /// nodes are known here. The primary knows those of all members. None before the first view.
    pub fn durability(&self) -> Option<DurabilityStatus> {
        self.view().map(|view| self.cluster().durability_of(view))
    }

    /// Returns how many of the witnesses that respond may be lost before no majority is left, if this node is the primary.
    /// Others do not know who responds. The primary itself counts as one of them.
    pub fn spare_witnesses(&self, now: Duration) -> Option<usize> {
        let primary = self.primary.as_ref()?;
        let responds = |node: &&NodeId| **node == self.options.me || self.peers.is_responsive(now, **node);
        let spare = |set: &[NodeId]| set.iter().filter(responds).count().saturating_sub(majority(set.len()));
        witness_sets(primary.view()).into_iter().map(spare).min()
    }

    /// Handles the messages to this node itself, hands the next write to the host, and reports a new role.
    fn flush(&mut self) {
        while let Some(body) = self.outbox.pop_loopback() {
            self.step(self.options.me, body);
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

    /// Handles a message of another node or of this one.
    fn step(&mut self, from: NodeId, body: Body) {
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

    /// Performs what was waiting for writes.
    fn perform(&mut self, completion: Completion) {
        match completion {
            Completion::Send { to, body } => self.send(to, body),
            Completion::EpochClaimed { epoch } => self.handle_epoch_claimed(epoch),
            Completion::Recovered => info!(node:% = self.options.me; "the disk accepts writes again"),
        }
    }

    /// Sends a message. One to this node itself is handled before the event is over.
    fn send(&mut self, to: NodeId, body: Body) {
        if to == self.options.me {
            self.outbox.push_loopback(body);
        } else if self.peers.is_connected(to) {
            self.outbox.push(Action::Send { to, body });
        }
    }

    /// Sends a message to this node and all connected ones.
    fn broadcast(&mut self, body: &Body) {
        self.send(self.options.me, body.clone());
        for node in self.peers.connected() {
            self.send(node, body.clone());
        }
    }

    /// Sends a message once everything written so far is durable.
    fn send_when_durable(&mut self, to: NodeId, body: Body) {
        if let Some(completion) = self.writes.when_durable(Completion::Send { to, body }) {
            self.perform(completion);
        }
    }

    /// Rejects a message for the log.
    fn reject(&mut self, to: NodeId, epoch: u64) {
        let shutting_down = self.shutdown.has_begun();
        let reject = Reject { epoch, promised: self.witness.promised(), shutting_down };
        self.send(to, Body::Reject(Box::new(reject)));
    }

    fn observe_epoch(&mut self, epoch: u64) {
        self.highest_epoch = self.highest_epoch.max(epoch);
    }

    fn cluster(&self) -> ClusterState<'_> {
        ClusterState { options: &self.options, peers: &self.peers, now: self.now }
    }

    /// Returns what decides on the membership, if this node is the primary.
    fn planner(&self) -> Option<Planner<'_>> {
        let primary = self.primary.as_ref()?;
        let (log, applied) = (self.member.log(), self.member.applied());
        Some(Planner::new(self.cluster(), primary, self.tracker.as_ref(), log, applied))
    }

    fn is_witness_or_member(&self, view: &View) -> bool {
        is_witness(view, self.options.me) || is_member(view, self.options.me)
    }
}

/// Returns the record of an empty disk.
fn first_record(options: &Options) -> WitnessRecord {
    let accepted = options.bootstrap.clone().map(|witnesses| Box::new(bootstrap_view(witnesses)));
    let incarnation = options.me.incarnation;
    WitnessRecord { incarnation, promised: 0, promised_to: NodeId::default(), accepted }
}
