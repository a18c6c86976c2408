//! The replica: what it holds, how events reach its parts, and what the host may ask.

use log::info;
use quillpulley_protocol::{Body, NodeId, Position, Reject, View, WitnessRecord};
use std::collections::VecDeque;
use std::time::Duration;

use crate::disk::{Disk, Effect};
use crate::event::{Action, Event, Role};
use crate::leaving::Leaving;
use crate::log::Log;
use crate::options::{Options, Recovered, StartError};
use crate::peers::Peers;
use crate::place::Place;
use crate::primary::Leadership;
use crate::progress::Replicator;
use crate::quorum::{bootstrap_view, electors, members, BOOTSTRAP_EPOCH};
use crate::view_change::ViewChange;
use crate::witness::Witness;
use crate::StateMachine;

/// The latest primary or candidate whose log this node's was compared with.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Verified {
    pub epoch: u64,
    /// Up to this index the logs are the same.
    pub index: u64,
}

/// One core process: a witness, and a member of the view if a primary has let it in.
///
/// Every state changes in [`Replica::handle`] only. While it leads it is a primary, else with a view change under
/// way it is a candidate, else it follows.
#[derive(Clone, Debug)]
pub struct Replica<S> {
    pub(crate) options: Options,
    /// Where this node stands.
    pub(crate) place: Place,
    pub(crate) state: S,
    pub(crate) log: Log,
    /// The last entry that the state has.
    pub(crate) applied: Position,
    pub(crate) verified: Verified,
    pub(crate) witness: Witness,
    pub(crate) disk: Disk,
    pub(crate) peers: Peers,
    pub(crate) leadership: Option<Leadership>,
    pub(crate) change: Option<ViewChange>,
    pub(crate) replicator: Option<Replicator>,
    /// The highest epoch that anyone is known to have promised.
    pub(crate) highest_epoch: u64,
    /// The primary that was heard last, holding its lease, and when.
    pub(crate) primary_heard: Option<(NodeId, Duration)>,
    /// When this node stands for election if it hears of no primary.
    pub(crate) election_at: Duration,
    pub(crate) stopped: bool,
    pub(crate) leaving: Leaving,
    pub(crate) random: fastrand::Rng,
    pub(crate) now: Duration,
    pub(crate) actions: Vec<Action>,
    loopback: VecDeque<Body>,
    told_role: Role,
}

impl<S: StateMachine> Replica<S> {
    /// A replica with what its disk holds. The state passed in is that of an empty log.
    pub fn new(
        options: Options,
        recovered: Recovered,
        mut state: S,
        now: Duration,
    ) -> Result<Self, StartError> {
        let Recovered { record, snapshot, entries } = recovered;
        let base = match snapshot {
            None => Position::default(),
            Some((base, snapshot)) => {
                state.restore(&snapshot).map_err(StartError::Snapshot)?;
                base
            }
        };
        let log = Log::new(base, entries).map_err(|index| StartError::Gap(base.index, index))?;
        let disk = Disk::new(record.clone(), options.faults.answer_before_sync);
        let restarted = record.is_some();
        let record = record.unwrap_or_else(|| first_record(&options));
        if record.incarnation != options.me.incarnation {
            return Err(StartError::Incarnation(record.incarnation, options.me.incarnation));
        }
        let highest_epoch = record.promised.max(record.accepted.as_ref().map_or(0, |view| view.epoch));
        let lease_end = now + options.lease;
        let witness = Witness::new(record, lease_end, options.faults.promise_under_lease);
        let random = fastrand::Rng::with_seed(options.seed);
        let place = Place { zone: options.zone.clone(), region: options.region.clone() };
        let mut replica = Replica {
            place,
            state,
            log,
            applied: base,
            verified: Verified::default(),
            witness,
            disk,
            peers: Peers::default(),
            leadership: None,
            change: None,
            replicator: None,
            highest_epoch,
            primary_heard: None,
            election_at: now,
            stopped: false,
            leaving: Leaving::default(),
            random,
            now,
            actions: Vec::new(),
            loopback: VecDeque::new(),
            told_role: Role::Follower { primary: None },
            options,
        };
        if restarted {
            replica.schedule_election_after_restart();
        } else {
            replica.schedule_first_election();
        }
        replica.disk.write_record(replica.witness.record());
        Ok(replica)
    }

    /// Takes an event at a time, and adds to `actions` what is to be done. Time never goes back.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Message { from, body } => self.receive(from, body),
            Event::Located { node, place } => self.peers.get_mut(node).place = Some(place),
            Event::Connected(node) => self.on_connected(node),
            Event::Disconnected(node) => self.peers.disconnect(node),
            Event::Stored { ticket, result: Ok(()) } => {
                for effect in self.disk.succeeded(ticket) {
                    self.perform(effect);
                }
            }
            Event::Stored { ticket, result: Err(_) } => self.on_store_failed(ticket),
            Event::Propose { order, payload } => self.propose(order, payload),
            Event::Tick => self.tick(),
            Event::Stop => self.stop(),
        }
        self.settle();
        actions.append(&mut self.actions);
    }

    /// The committed state.
    pub fn state(&self) -> &S {
        &self.state
    }

    /// The index of the last entry that the state has.
    pub fn applied_index(&self) -> u64 {
        self.applied.index
    }

    /// Bytes of the entries that it keeps in memory.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// What the replica is at this moment.
    pub fn role(&self, now: Duration) -> Role {
        if let Some(leadership) = &self.leadership {
            return Role::Primary { epoch: leadership.view.epoch, lease: self.holds_lease(now) };
        }
        if self.stopped {
            return Role::Stopped;
        }
        if self.change.is_some() {
            return Role::Candidate;
        }
        Role::Follower { primary: self.primary_hint(now) }
    }

    /// Whether it is the primary and holds the lease. Ask again right before every act that only a primary may do.
    pub fn holds_lease(&self, now: Duration) -> bool {
        self.leadership.is_some()
            && (self.options.faults.ignore_own_lease || self.lease_end().is_some_and(|end| now < end))
    }

    /// If it is the primary and holds the lease: when that ends. Until then no other node is elected, and so what
    /// the state says now is in force.
    pub fn lease_until(&self, now: Duration) -> Option<Duration> {
        self.holds_lease(now).then(|| self.lease_end()).flatten()
    }

    /// Whether it may state what is in force. Ask right before the answer leaves: a process may have stood still
    /// since the question came.
    pub fn may_answer(&self, now: Duration) -> bool {
        let unchecked = self.options.faults.answer_without_lease_check && self.leadership.is_some();
        unchecked || self.holds_lease(now)
    }

    /// Whether the log holds an order that the state does not have yet, or one waits to get there: it may come into
    /// force without being sent again.
    pub fn has_open_orders(&self) -> bool {
        let waits = self.leadership.as_ref().is_some_and(Leadership::has_waiting);
        waits || self.log.has_payload_after(self.applied.index)
    }

    /// The newest view that is known: its epoch, members and witnesses. None before the first.
    pub fn view(&self) -> Option<&View> {
        let known = self.witness.view().filter(|view| view.epoch > BOOTSTRAP_EPOCH);
        self.leadership.as_ref().map(|leadership| &leadership.view).or(known)
    }

    /// The nodes that the newest view names, or the first witnesses: the host should connect to their addresses.
    pub fn known_nodes(&self) -> Vec<NodeId> {
        let Some(view) = self.witness.view() else { return Vec::new() };
        let mut nodes = electors(view);
        nodes.extend(members(view));
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }

    /// The primary if this node has heard it within the lease, or is it.
    pub fn primary_hint(&self, now: Duration) -> Option<NodeId> {
        self.primary_until(now).map(|(primary, _)| primary)
    }

    /// The primary if this node has heard it within the lease, or is it, and until when it may be named.
    pub fn primary_until(&self, now: Duration) -> Option<(NodeId, Duration)> {
        if let Some(end) = self.lease_until(now) {
            return Some((self.options.me, end));
        }
        let (primary, heard_at) = self.primary_heard?;
        let until = heard_at + self.options.lease;
        (now < until).then_some((primary, until))
    }

    /// Handles what this node sends itself, hands the next write to the host, and tells of a new role.
    fn settle(&mut self) {
        while let Some(body) = self.loopback.pop_front() {
            self.receive(self.options.me, body);
        }
        if let Some((ticket, write)) = self.disk.next(self.now) {
            self.actions.push(Action::Store { ticket, write });
        }
        let role = self.role(self.now);
        if role != self.told_role {
            info!("{} in {}: {role:?}", self.options.me, self.options.zone);
            self.told_role = role;
            self.actions.push(Action::RoleChanged(role));
        }
    }

    fn receive(&mut self, from: NodeId, body: Body) {
        match body {
            Body::Prepare(prepare) => self.on_prepare(from, *prepare),
            Body::Promise(promise) => self.on_promise(from, *promise),
            Body::FetchState(fetch) => self.on_fetch_state(from, *fetch),
            Body::StateTransfer(transfer) => self.on_state_transfer(*transfer),
            Body::Install(install) => self.on_install(from, *install),
            Body::Installed(installed) => self.on_installed(from, *installed),
            Body::Accept(accept) => self.on_accept(from, *accept),
            Body::Accepted(accepted) => self.on_accepted(from, *accepted),
            Body::Append(append) => self.on_append(from, *append),
            Body::AppendAck(ack) => self.on_append_ack(from, *ack),
            Body::LeaseRequest(request) => self.on_lease_request(from, *request),
            Body::LeaseGrant(grant) => self.on_lease_grant(from, *grant),
            Body::Reject(reject) => self.on_reject(from, *reject),
            Body::Resign(resign) => self.on_resign(from, *resign),
            _ => {}
        }
    }

    fn on_connected(&mut self, node: NodeId) {
        self.peers.connect(node);
        if let Some(replicator) = &mut self.replicator {
            replicator.resend(node);
        }
        self.ask_for_promise(node);
    }

    fn tick(&mut self) {
        self.heal_disk();
        self.tick_leaving();
        self.check_election();
        self.tick_view_change();
        self.tick_leadership();
    }

    /// Does what was waiting for writes.
    pub(crate) fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, body } => self.send(to, body),
            Effect::Claimed { epoch } => self.on_claimed(epoch),
            Effect::Healed => info!("{}: the disk takes writes again", self.options.me),
        }
    }

    /// Sends a message, or handles it soon if it is to this node itself.
    pub(crate) fn send(&mut self, to: NodeId, body: Body) {
        if to == self.options.me {
            self.loopback.push_back(body);
        } else if self.peers.is_connected(to) {
            self.actions.push(Action::Send { to, body });
        }
    }

    /// Sends a message once everything written so far is durable.
    pub(crate) fn send_once_durable(&mut self, to: NodeId, body: Body) {
        if let Some(effect) = self.disk.then(Effect::Send { to, body }) {
            self.perform(effect);
        }
    }

    /// Refuses a message for the log.
    pub(crate) fn reject(&mut self, to: NodeId, epoch: u64) {
        let reject = Reject { epoch, promised: self.witness.promised(), shutting_down: self.stopped };
        self.send(to, Body::Reject(Box::new(reject)));
    }

    pub(crate) fn note_epoch(&mut self, epoch: u64) {
        self.highest_epoch = self.highest_epoch.max(epoch);
    }
}

/// What an empty disk stands for.
fn first_record(options: &Options) -> WitnessRecord {
    let accepted = options.bootstrap.clone().map(|witnesses| Box::new(bootstrap_view(witnesses)));
    let incarnation = options.me.incarnation;
    WitnessRecord { incarnation, promised: 0, promised_to: NodeId::default(), accepted }
}
