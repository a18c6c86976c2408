//! Operator commands. Each command is decided against the committed state and then replicated, one at a time.
//!
//! Invariant: at most one command is in flight, and the next one is decided only once the state includes
//! every command in the log. Therefore exactly one of two configurations with the same base version is
//! applied, and a command whose outcome is unknown takes effect before the next command is answered, or
//! never. An evacuation command that changes the state takes effect once its caller has confirmed it: see
//! [`confirmations`](crate::control::confirmations).

use crate::control::confirmations::{Confirmations, Receipt};
use crate::control::response::Response;
use quillpulley_control_state::{ControlState, EvacuationDecision, ReplaceDecision};
use quillpulley_replication::Replica;
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

/// Maximum time that a command waits for its response.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum total size of the queued commands in bytes. A command that exceeds it is not queued, and its
/// caller is asked to retry.
const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;

/// A command from an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Activates a complete configuration.
    Replace {
        /// The configuration version on which this configuration is based.
        base: u64,
        /// The configuration, byte for byte as it was sent.
        body: Vec<u8>,
    },
    /// Starts or ends the evacuation of a zone.
    Evacuate {
        /// The zone's name.
        zone: String,
        /// `true` starts the evacuation, `false` ends it.
        active: bool,
    },
}

impl fmt::Display for Command {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Command::Replace { base, body } => {
                write!(formatter, "replace configuration version {base} ({} bytes)", body.len())
            }
            Command::Evacuate { zone, active: true } => write!(formatter, "start evacuation of {zone}"),
            Command::Evacuate { zone, active: false } => write!(formatter, "end evacuation of {zone}"),
        }
    }
}

impl Command {
    fn size(&self) -> usize {
        match self {
            Command::Replace { body, .. } => body.len(),
            Command::Evacuate { zone, .. } => zone.len(),
        }
    }
}

/// A command in the form in which it is proposed to the replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The number by which [`CommandQueue::committed`] and [`CommandQueue::failed`] identify the proposal.
    pub number: u64,
    /// The payload of its log entry.
    pub payload: Vec<u8>,
}

struct QueuedCommand<R> {
    command: Command,
    responder: R,
    receipt: Receipt,
    expires_at: Duration,
}

struct InFlight<R> {
    number: u64,
    command: Command,
    /// `None` once the caller has been told that the outcome is unknown.
    responder: Option<R>,
    expires_at: Duration,
}

/// The commands that have not been answered yet. `R` is the handle through which a caller is answered.
pub struct CommandQueue<R> {
    queued: VecDeque<QueuedCommand<R>>,
    in_flight: Option<InFlight<R>>,
    next_number: u64,
    responses: Vec<(R, Response)>,
    confirmations: Confirmations,
    /// The latest epoch in which this process is the primary; `None` while it is not.
    epoch: Option<u64>,
    /// Returns whether a caller has closed its connection.
    caller_has_gone: fn(&R) -> bool,
}

impl<R> Default for CommandQueue<R> {
    /// Creates a queue whose callers never close their connections.
    fn default() -> Self {
        CommandQueue::new(|_| false)
    }
}

impl<R> CommandQueue<R> {
    /// Creates an empty queue. A command is not executed if `caller_has_gone` by the time it is decided: its
    /// caller has sent it again elsewhere, and may have ordered the opposite since.
    pub fn new(caller_has_gone: fn(&R) -> bool) -> Self {
        CommandQueue {
            queued: VecDeque::new(),
            in_flight: None,
            next_number: 1,
            responses: Vec::new(),
            confirmations: Confirmations::default(),
            epoch: None,
            caller_has_gone,
        }
    }

    /// Queues a command. Responds with [`Response::Unavailable`] at once if the queue is full. A configuration
    /// expires [`RESPONSE_TIMEOUT`] after `now`, so that the time to read its body does not count as waiting; an
    /// evacuation command expires [`RESPONSE_TIMEOUT`] after its head was received.
    pub fn push(&mut self, now: Duration, receipt: Receipt, command: Command, responder: R) {
        let queued: usize = self.queued.iter().map(|queued| queued.command.size()).sum();
        if queued + command.size() > MAX_QUEUED_BYTES {
            self.responses.push((responder, Response::Unavailable));
            return;
        }
        let waiting_since = match &command {
            Command::Replace { .. } => now,
            Command::Evacuate { .. } => receipt.received_at,
        };
        let expires_at = waiting_since + RESPONSE_TIMEOUT;
        self.queued.push_back(QueuedCommand { command, responder, receipt, expires_at });
    }

    /// Decides queued commands until one has to be replicated, and returns the proposal for that command.
    /// Decides no command while the replica's log contains a command that has not been applied to its state,
    /// even if the caller of that command has already been told that the outcome is unknown. Must be called
    /// only while the lease is held.
    pub fn next_proposal_for(&mut self, replica: &Replica<ControlState>) -> Option<Proposal> {
        if replica.has_unresolved_proposals() {
            return None;
        }
        self.next_proposal(replica.state())
    }

    /// Decides queued commands against the committed `state` until one has to be replicated, and returns the
    /// proposal for that command. The preconditions of [`CommandQueue::next_proposal_for`] must hold: the lease is
    /// held, and the state includes every command in the log.
    pub fn next_proposal(&mut self, state: &ControlState) -> Option<Proposal> {
        while self.in_flight.is_none() {
            let queued = self.queued.pop_front()?;
            if (self.caller_has_gone)(&queued.responder) {
                log::info!(command:% = queued.command; "command not executed: its caller has gone");
                self.responses.push((queued.responder, Response::Unavailable));
                continue;
            }
            match self.decide_confirmed(state, &queued) {
                Decision::Respond(response) => {
                    if let Response::Invalid(reason) = &response {
                        log::info!(command:% = queued.command, reason = reason.as_str(); "command rejected");
                    }
                    self.responses.push((queued.responder, response));
                }
                Decision::Propose(payload) => return Some(self.start(queued, payload)),
            }
        }
        None
    }

    /// Decides a command. An evacuation command that would change the state has to be confirmed first.
    fn decide_confirmed(&mut self, state: &ControlState, queued: &QueuedCommand<R>) -> Decision {
        let decision = decide(state, &queued.command);
        let Command::Evacuate { zone, active } = &queued.command else { return decision };
        let would_change = matches!(decision, Decision::Propose(_));
        if !would_change || self.confirmations.is_confirmed(zone, *active, queued.receipt) {
            self.confirmations.end(zone);
            return decision;
        }
        let request = self.confirmations.request(zone, *active, queued.receipt);
        log::info!(
            command:% = queued.command,
            confirmation = request.map(|id| id.0),
            sent_after = queued.receipt.sent_after.0;
            "command not executed yet: its caller has to confirm it"
        );
        Decision::Respond(request.map_or(Response::Unavailable, Response::ConfirmationRequired))
    }

    fn start(&mut self, queued: QueuedCommand<R>, payload: Vec<u8>) -> Proposal {
        let QueuedCommand { command, responder, expires_at, .. } = queued;
        let number = self.next_number;
        self.next_number += 1;
        self.in_flight = Some(InFlight { number, command, responder: Some(responder), expires_at });
        Proposal { number, payload }
    }

    /// Handles a proposal that has been committed and applied to `state`. Its command is acknowledged only if
    /// it is in effect now, because an entry of an earlier epoch may have been applied before it. Without the
    /// lease the outcome is reported as unknown.
    pub fn committed(&mut self, number: u64, state: &ControlState, holds_lease: bool) {
        let Some(command) = self.in_flight.take_if(|command| command.number == number) else { return };
        let is_in_effect =
            matches!(decide(state, &command.command), Decision::Respond(Response::Acknowledged));
        let response =
            if is_in_effect && holds_lease { Response::Acknowledged } else { Response::Unavailable };
        log::info!(proposal = number, command:% = command.command, version = state.version(); "command committed");
        self.responses.extend(command.responder.map(|responder| (responder, response)));
    }

    /// Handles a proposal whose outcome is unknown.
    pub fn failed(&mut self, number: u64) {
        let failed = self.in_flight.take_if(|command| command.number == number);
        let responder = failed.and_then(|command| command.responder);
        self.responses.extend(responder.map(|responder| (responder, Response::Unavailable)));
    }

    /// Responds with [`Response::Unavailable`] to every command that has expired at `now`. An expired command
    /// in flight stays in flight, so that no other command is decided before its outcome is known.
    pub fn expire(&mut self, now: Duration) {
        if let Some(command) = self.in_flight.as_mut().filter(|command| command.expires_at <= now) {
            let responder = command.responder.take();
            self.responses.extend(responder.map(|responder| (responder, Response::Unavailable)));
        }
        let queued = std::mem::take(&mut self.queued);
        let (expired, waiting): (VecDeque<_>, VecDeque<_>) =
            queued.into_iter().partition(|queued| queued.expires_at <= now);
        self.queued = waiting;
        self.responses.extend(expired.into_iter().map(|queued| (queued.responder, Response::Unavailable)));
        self.confirmations.expire(now);
    }

    /// Handles that this process is the primary in `epoch`. Requests for confirmation end unless it was the primary in the
    /// epoch before too, as when a member joins: otherwise, another node may have decided commands meanwhile.
    pub fn begin_term(&mut self, epoch: u64) {
        let continues = self.epoch.is_some_and(|previous| epoch == previous || epoch == previous + 1);
        if !continues {
            self.confirmations.end_all();
        }
        self.epoch = Some(epoch);
    }

    /// Handles the loss of the primary role. Queued commands are answered with `response`, the command in
    /// flight with [`Response::Unavailable`], as its outcome is unknown.
    pub fn abandon(&mut self, response: &Response) {
        self.confirmations.end_all();
        self.epoch = None;
        if let Some(command) = self.in_flight.take() {
            let responder = command.responder;
            self.responses.extend(responder.map(|responder| (responder, Response::Unavailable)));
        }
        let queued = std::mem::take(&mut self.queued);
        self.responses.extend(queued.into_iter().map(|queued| (queued.responder, response.clone())));
    }

    /// Returns whether no command is queued or in flight.
    pub fn is_idle(&self) -> bool {
        self.queued.is_empty() && self.in_flight.is_none()
    }

    /// Removes and returns the responses that were produced since the last call.
    pub fn take_responses(&mut self) -> Vec<(R, Response)> {
        std::mem::take(&mut self.responses)
    }
}

enum Decision {
    Respond(Response),
    Propose(Vec<u8>),
}

fn decide(state: &ControlState, command: &Command) -> Decision {
    match command {
        Command::Replace { base, body } => match state.decide_replace(*base, body) {
            ReplaceDecision::AlreadyApplied => Decision::Respond(Response::Acknowledged),
            ReplaceDecision::Conflict { current } => Decision::Respond(Response::Conflict { current }),
            ReplaceDecision::HistoryExpired { oldest } => {
                Decision::Respond(Response::HistoryExpired { oldest })
            }
            ReplaceDecision::Invalid(error) => Decision::Respond(Response::Invalid(error.to_string())),
            ReplaceDecision::Propose(payload) => Decision::Propose(payload),
        },
        Command::Evacuate { zone, active } => match state.decide_evacuation(zone, *active) {
            EvacuationDecision::AlreadyInEffect => Decision::Respond(Response::Acknowledged),
            EvacuationDecision::Propose(payload) => Decision::Propose(payload),
        },
    }
}
