//! One core process: a replica and the orders of operators, put together as the host does it.

use quillpulley::control::commands::{Command, CommandQueue};
use quillpulley::control::response::Response;
use quillpulley_control_state::{ControlState, EvacuationDecision, ReplaceDecision};
use quillpulley_protocol::{
    decode_value, encode_value, Body, ControlSnapshot, ControlSnapshotRef, Entry, NodeId,
};
use quillpulley_replication::{Action, Event, Options, Recovered, Replica, Role, Write};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

pub type CallId = usize;

/// Deliberate faults, each of which the checks have to catch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// Orders are decided and read answered without a look at the lease.
    NoLease,
    /// Orders are decided although the log has some that are not applied.
    OpenOrders,
    /// An order is decided while another is under way, and acknowledged once its entry is committed.
    Overlapping,
    /// The configurations taken before are not in snapshots.
    NoHistory,
}

/// What comes to a process.
#[derive(Clone, Debug)]
pub enum Input {
    Event(Event),
    Command(CallId, Command),
    Read(CallId),
}

/// What a process does.
#[derive(Debug)]
pub enum Output {
    Send(NodeId, Body),
    Store(u64, Write),
    /// An entry is in the state. The first process to apply it has it on its disk, others perhaps not yet.
    Applied {
        index: u64,
        entry: Option<Entry>,
    },
    Response(CallId, Response),
}

pub struct Node {
    me: NodeId,
    fault: Fault,
    pub replica: Replica<ControlState>,
    orders: CommandQueue<CallId>,
    is_leader: bool,
    /// Whether it was the primary, with the lease or without, when that was last looked at.
    was_primary: bool,
    /// The entries that it has taken, by index.
    log: BTreeMap<u64, Entry>,
    /// Orders under way where they overlap.
    overlapping: BTreeMap<u64, CallId>,
    outputs: Vec<Output>,
}

impl Node {
    pub fn new(options: Options, recovered: Recovered, fault: Fault) -> Self {
        let me = options.me;
        let log = recovered.entries.iter().map(|entry| (entry.index, entry.clone())).collect();
        let replica = Replica::new(options, recovered, ControlState::default(), Duration::ZERO);
        Node {
            me,
            fault,
            replica: replica.expect("a sound disk"),
            orders: CommandQueue::default(),
            is_leader: false,
            was_primary: false,
            log,
            overlapping: BTreeMap::new(),
            outputs: Vec::new(),
        }
    }

    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        match input {
            Input::Event(event) => {
                let ticks = event == Event::Tick;
                self.replicate(now, event);
                if ticks {
                    self.update_leadership(now);
                    self.orders.expire(now);
                }
            }
            Input::Command(call, order) => self.ordered(now, call, order),
            Input::Read(call) => {
                self.update_leadership(now);
                let answer = if self.is_leader { self.configuration() } else { self.redirect(now) };
                self.outputs.push(Output::Response(call, answer));
            }
        }
        self.settle(now);
        std::mem::take(&mut self.outputs)
    }

    pub fn holds_lease(&self, now: Duration) -> bool {
        self.replica.holds_lease(now)
    }

    fn ordered(&mut self, now: Duration, call: CallId, order: Command) {
        self.update_leadership(now);
        if !self.is_leader {
            let answer = self.redirect(now);
            self.outputs.push(Output::Response(call, answer));
        } else if self.fault == Fault::Overlapping {
            self.decide_at_once(now, call, &order);
        } else {
            self.orders.push(now, order, call);
        }
    }

    /// A node that was elected has all that it inherited in its state, before it decides or answers anything.
    fn check_inherited(&mut self, now: Duration) {
        let is_primary = matches!(self.replica.role(now), Role::Primary { .. });
        let was_elected = is_primary && !self.was_primary;
        assert!(
            !was_elected || !self.replica.has_unresolved_proposals(),
            "a new primary lacks what it inherited"
        );
        self.was_primary = is_primary;
    }

    fn update_leadership(&mut self, now: Duration) {
        self.check_inherited(now);
        let is_leader = if self.fault == Fault::NoLease {
            self.is_leader && self.replica.view().is_some_and(|view| view.primary == self.me)
                || self.holds_lease(now)
        } else {
            self.holds_lease(now)
        };
        if self.is_leader && !is_leader {
            let answer = self.redirect(now);
            self.orders.abandon(&answer);
        }
        self.is_leader = is_leader;
    }

    fn settle(&mut self, now: Duration) {
        self.update_leadership(now);
        while let Some(proposal) = self.next_proposal(now) {
            self.replicate(now, Event::Propose { proposal: proposal.number, payload: proposal.payload });
        }
        let answers = self.orders.take_responses();
        self.outputs.extend(answers.into_iter().map(|(call, answer)| Output::Response(call, answer)));
    }

    fn next_proposal(&mut self, now: Duration) -> Option<quillpulley::control::commands::Proposal> {
        match self.fault {
            Fault::NoLease if self.is_leader => self.orders.next_proposal(self.replica.state()),
            Fault::OpenOrders if self.holds_lease(now) => self.orders.next_proposal(self.replica.state()),
            Fault::NoLease | Fault::OpenOrders => None,
            _ if self.holds_lease(now) => self.orders.next_for(&self.replica),
            _ => None,
        }
    }

    fn replicate(&mut self, now: Duration, event: Event) {
        let mut actions = Vec::new();
        self.replica.handle(now, event, &mut actions);
        for action in actions {
            self.perform(now, action);
        }
    }

    fn perform(&mut self, now: Duration, action: Action) {
        match action {
            Action::Send { to, body } => self.outputs.push(Output::Send(to, self.spoil_body(body))),
            Action::Store { ticket, write } => {
                self.note_entries(&write);
                let write = self.spoil_write(write);
                self.outputs.push(Output::Store(ticket, write));
            }
            Action::Applied { index } => {
                let entry = self.log.get(&index).cloned();
                self.outputs.push(Output::Applied { index, entry });
            }
            Action::Committed { proposal } => {
                let holds_lease = self.holds_lease(now);
                self.orders.committed(proposal, self.replica.state(), holds_lease);
                let overlapping = self.overlapping.remove(&proposal);
                self.outputs.extend(overlapping.map(|call| Output::Response(call, Response::Acknowledged)));
            }
            Action::Rejected { proposal, .. } => {
                self.orders.failed(proposal);
                let overlapping = self.overlapping.remove(&proposal);
                self.outputs.extend(overlapping.map(|call| Output::Response(call, Response::Unavailable)));
            }
            Action::RoleChanged(_) => {}
        }
    }

    /// Keeps the entries, which are named by their index only when they are applied.
    fn note_entries(&mut self, write: &Write) {
        let (Write::Append(entries) | Write::Install { entries, .. }) = write else { return };
        self.log.extend(entries.iter().map(|entry| (entry.index, entry.clone())));
    }

    fn configuration(&self) -> Response {
        let body = self.replica.state().body();
        body.map_or(Response::NoConfiguration, |body| Response::Configuration(body.into()))
    }

    fn redirect(&self, now: Duration) -> Response {
        let primary = self.replica.primary_hint(now).filter(|primary| *primary != self.me);
        primary.map_or(Response::Unavailable, |primary| {
            Response::Redirect(SocketAddr::from((primary.address(), 80)))
        })
    }

    /// What the fault with overlapping orders does with one.
    fn decide_at_once(&mut self, now: Duration, call: CallId, order: &Command) {
        let state = self.replica.state();
        let decision = match order {
            Command::Replace { base, body } => match state.decide_replace(*base, body) {
                ReplaceDecision::Propose(payload) => Err(payload),
                ReplaceDecision::AlreadyApplied => Ok(Response::Acknowledged),
                ReplaceDecision::Conflict { current } => Ok(Response::Conflict { current }),
                ReplaceDecision::HistoryExpired { oldest } => Ok(Response::HistoryExpired { oldest }),
                ReplaceDecision::Invalid(error) => Ok(Response::Invalid(error.to_string())),
            },
            Command::Evacuate { zone, active } => match state.decide_evacuation(zone, *active) {
                EvacuationDecision::AlreadyInEffect => Ok(Response::Acknowledged),
                EvacuationDecision::Propose(payload) => Err(payload),
            },
        };
        match decision {
            Ok(answer) => self.outputs.push(Output::Response(call, answer)),
            Err(payload) => {
                let name = call as u64 + 1;
                self.overlapping.insert(name, call);
                self.replicate(now, Event::Propose { proposal: name, payload });
            }
        }
    }

    fn spoil_write(&self, write: Write) -> Write {
        match write {
            Write::Install { last, snapshot, entries } => {
                Write::Install { last, snapshot: self.spoil(snapshot), entries }
            }
            Write::Compact { last, snapshot } => Write::Compact { last, snapshot: self.spoil(snapshot) },
            other => other,
        }
    }

    fn spoil_body(&self, body: Body) -> Body {
        match body {
            Body::Install(mut install) => {
                install.snapshot = self.spoil(install.snapshot);
                Body::Install(install)
            }
            Body::StateTransfer(mut transfer) => {
                transfer.snapshot = self.spoil(transfer.snapshot);
                Body::StateTransfer(transfer)
            }
            other => other,
        }
    }

    fn spoil(&self, snapshot: Vec<u8>) -> Vec<u8> {
        if self.fault != Fault::NoHistory {
            return snapshot;
        }
        let read = decode_value::<ControlSnapshotRef<'_>, _>(&snapshot);
        let mut snapshot: ControlSnapshot = read.expect("a snapshot");
        snapshot.history.clear();
        encode_value::<ControlSnapshot>(&snapshot)
    }
}
