//! A control node: a replica and the command queue, connected as in the replica host.

use quillpulley::control::commands::{Command, CommandQueue};
use quillpulley::control::confirmations::{ConfirmationId, Receipt};
use quillpulley::control::response::Response;
use quillpulley_control_state::{ControlState, EvacuationDecision, ReplaceDecision};
use quillpulley_protocol::{
    decode_value, encode_value, Body, ControlSnapshot, ControlSnapshotRef, Entry, NodeId,
};
use quillpulley_replication::{Action, Event, Options, Recovered, Replica, Role, Write};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

pub type RequestId = usize;

/// Faults injected into a node. The checks must detect each of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// A node that has held the lease decides commands and answers reads as long as its view names it as
    /// primary.
    NoLeaseCheck,
    /// Commands are decided while the log contains earlier commands that are not applied yet.
    IgnoreUnresolved,
    /// A command is decided while another is in flight, and is acknowledged once its entry is committed.
    OverlappingCommands,
    /// Snapshots omit the history of earlier configurations.
    OmitHistory,
    /// Every evacuation command counts as confirmed by its caller.
    NoConfirmation,
}

/// An input of a control node.
#[derive(Clone, Debug)]
pub enum Input {
    Event(Event),
    /// A command, and the newest request for confirmation of this process after which it was sent.
    Command(RequestId, Command, ConfirmationId),
    Read(RequestId),
}

/// An effect of a control node that the simulation carries out.
#[derive(Debug)]
pub enum Output {
    Send(NodeId, Body),
    Store(u64, Write),
    /// The entry at `index` is applied to the state. `entry` is `None` if this node has not written the
    /// entry; the first node that applies an entry has it on its disk.
    Applied {
        index: u64,
        entry: Option<Entry>,
    },
    Response(RequestId, Response),
}

pub struct Node {
    me: NodeId,
    fault: Fault,
    pub replica: Replica<ControlState>,
    commands: CommandQueue<RequestId>,
    is_leader: bool,
    /// Whether the node was the primary, with or without the lease, at the last check.
    was_primary: bool,
    /// All entries recovered from disk or passed to a write since, by index.
    log: BTreeMap<u64, Entry>,
    /// The requests in flight by proposal number, if `Fault::OverlappingCommands` is injected.
    overlapping_requests: BTreeMap<u64, RequestId>,
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
            replica: replica.expect("the contents of the disk are valid"),
            commands: CommandQueue::default(),
            is_leader: false,
            was_primary: false,
            log,
            overlapping_requests: BTreeMap::new(),
            outputs: Vec::new(),
        }
    }

    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        match input {
            Input::Event(event) => {
                let is_tick = event == Event::Tick;
                self.handle_replica_event(now, event);
                if is_tick {
                    self.update_leadership(now);
                    self.commands.expire(now);
                }
            }
            Input::Command(id, command, sent_after) => self.handle_command(now, id, command, sent_after),
            Input::Read(id) => {
                self.update_leadership(now);
                let response =
                    if self.is_leader { self.configuration_response() } else { self.redirect_response(now) };
                self.outputs.push(Output::Response(id, response));
            }
        }
        self.advance(now);
        std::mem::take(&mut self.outputs)
    }

    pub fn holds_lease(&self, now: Duration) -> bool {
        self.replica.holds_lease(now)
    }

    fn handle_command(&mut self, now: Duration, id: RequestId, command: Command, sent_after: ConfirmationId) {
        self.update_leadership(now);
        if !self.is_leader {
            let response = self.redirect_response(now);
            self.outputs.push(Output::Response(id, response));
        } else if self.fault == Fault::OverlappingCommands {
            self.decide_without_queue(now, id, &command);
        } else {
            let sent_after = match self.fault {
                Fault::NoConfirmation => self.request_confirmation(now, &command),
                _ => sent_after,
            };
            self.commands.push(now, Receipt { received_at: now, sent_after }, command, id);
        }
    }

    /// Has a copy of a command decided that is not confirmed, so that the next copy counts as confirmed.
    fn request_confirmation(&mut self, now: Duration, command: &Command) -> ConfirmationId {
        if matches!(command, Command::Evacuate { .. }) && self.holds_lease(now) && self.commands.is_idle() {
            let receipt = Receipt { received_at: now, ..Receipt::default() };
            self.commands.push(now, receipt, command.clone(), RequestId::MAX);
            let proposal = self.commands.next_proposal_for(&self.replica);
            assert!(proposal.is_none(), "a command is executed although it is not confirmed");
        }
        ConfirmationId(u64::MAX)
    }

    /// Checks that a newly elected primary has applied all entries that it inherited, before it decides a
    /// command or answers a request.
    fn check_new_primary(&mut self, now: Duration) {
        let is_primary = matches!(self.replica.role(now), Role::Primary { .. });
        let was_elected = is_primary && !self.was_primary;
        assert!(
            !was_elected || !self.replica.has_unresolved_proposals(),
            "a new primary has not applied the entries that it inherited"
        );
        self.was_primary = is_primary;
    }

    fn update_leadership(&mut self, now: Duration) {
        self.check_new_primary(now);
        let is_leader = if self.fault == Fault::NoLeaseCheck {
            self.is_leader && self.replica.view().is_some_and(|view| view.primary == self.me)
                || self.holds_lease(now)
        } else {
            self.holds_lease(now)
        };
        if self.is_leader && !is_leader {
            let response = self.redirect_response(now);
            self.commands.abandon(&response);
        }
        if let Role::Primary { epoch, .. } = self.replica.role(now) {
            if is_leader {
                self.commands.begin_term(epoch);
            }
        }
        self.is_leader = is_leader;
    }

    /// Proposes the commands that can be decided now, and collects the responses to completed commands.
    fn advance(&mut self, now: Duration) {
        self.update_leadership(now);
        while let Some(proposal) = self.next_proposal(now) {
            self.handle_replica_event(
                now,
                Event::Propose { proposal: proposal.number, payload: proposal.payload },
            );
        }
        let responses = self.commands.take_responses().into_iter().filter(|(id, _)| *id != RequestId::MAX);
        self.outputs.extend(responses.map(|(id, response)| Output::Response(id, response)));
    }

    fn next_proposal(&mut self, now: Duration) -> Option<quillpulley::control::commands::Proposal> {
        match self.fault {
            Fault::NoLeaseCheck if self.is_leader => self.commands.next_proposal(self.replica.state()),
            Fault::IgnoreUnresolved if self.holds_lease(now) => {
                self.commands.next_proposal(self.replica.state())
            }
            Fault::NoLeaseCheck | Fault::IgnoreUnresolved => None,
            _ if self.holds_lease(now) => self.commands.next_proposal_for(&self.replica),
            _ => None,
        }
    }

    fn handle_replica_event(&mut self, now: Duration, event: Event) {
        let mut actions = Vec::new();
        self.replica.handle(now, event, &mut actions);
        for action in actions {
            self.perform_action(now, action);
        }
    }

    fn perform_action(&mut self, now: Duration, action: Action) {
        match action {
            Action::Send { to, body } => self.outputs.push(Output::Send(to, self.omit_history_in_body(body))),
            Action::Store { ticket, write } => {
                self.record_entries(&write);
                let write = self.omit_history_in_write(write);
                self.outputs.push(Output::Store(ticket, write));
            }
            Action::Applied { index } => {
                let entry = self.log.get(&index).cloned();
                self.outputs.push(Output::Applied { index, entry });
            }
            Action::Committed { proposal } => {
                let holds_lease = self.holds_lease(now);
                self.commands.committed(proposal, self.replica.state(), holds_lease);
                let request = self.overlapping_requests.remove(&proposal);
                self.outputs.extend(request.map(|id| Output::Response(id, Response::Acknowledged)));
            }
            Action::Rejected { proposal, .. } => {
                self.commands.failed(proposal);
                let request = self.overlapping_requests.remove(&proposal);
                self.outputs.extend(request.map(|id| Output::Response(id, Response::Unavailable)));
            }
            Action::RoleChanged(_) => {}
        }
    }

    /// Records the written entries, because [`Action::Applied`] names an entry only by its index.
    fn record_entries(&mut self, write: &Write) {
        let (Write::Append(entries) | Write::Install { entries, .. }) = write else { return };
        self.log.extend(entries.iter().map(|entry| (entry.index, entry.clone())));
    }

    fn configuration_response(&self) -> Response {
        let body = self.replica.state().body();
        body.map_or(Response::NoConfiguration, |body| Response::Configuration(body.into()))
    }

    fn redirect_response(&self, now: Duration) -> Response {
        let primary = self.replica.primary_hint(now).filter(|primary| *primary != self.me);
        primary.map_or(Response::Unavailable, |primary| {
            Response::Redirect(SocketAddr::from((primary.address(), 80)))
        })
    }

    /// Decides and proposes a command without the command queue, for `Fault::OverlappingCommands`.
    fn decide_without_queue(&mut self, now: Duration, id: RequestId, command: &Command) {
        let state = self.replica.state();
        let decision = match command {
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
            Ok(response) => self.outputs.push(Output::Response(id, response)),
            Err(payload) => {
                let proposal = id as u64 + 1;
                self.overlapping_requests.insert(proposal, id);
                self.handle_replica_event(now, Event::Propose { proposal, payload });
            }
        }
    }

    fn omit_history_in_write(&self, write: Write) -> Write {
        match write {
            Write::Install { last, snapshot, entries } => {
                Write::Install { last, snapshot: self.omit_history(snapshot), entries }
            }
            Write::Compact { last, snapshot } => {
                Write::Compact { last, snapshot: self.omit_history(snapshot) }
            }
            other => other,
        }
    }

    fn omit_history_in_body(&self, body: Body) -> Body {
        match body {
            Body::Install(mut install) => {
                install.snapshot = self.omit_history(install.snapshot);
                Body::Install(install)
            }
            Body::StateTransfer(mut transfer) => {
                transfer.snapshot = self.omit_history(transfer.snapshot);
                Body::StateTransfer(transfer)
            }
            other => other,
        }
    }

    /// Removes the configuration history from a snapshot if `Fault::OmitHistory` is injected.
    fn omit_history(&self, snapshot: Vec<u8>) -> Vec<u8> {
        if self.fault != Fault::OmitHistory {
            return snapshot;
        }
        let decoded = decode_value::<ControlSnapshotRef<'_>, _>(&snapshot);
        let mut snapshot: ControlSnapshot = decoded.expect("the snapshot is valid");
        snapshot.history.clear();
        encode_value::<ControlSnapshot>(&snapshot)
    }
}
