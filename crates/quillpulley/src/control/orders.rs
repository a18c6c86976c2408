//! Orders of the operator: decided one after the other against the committed state, and then replicated.
//!
//! Only one order is under way at a time, and the next is decided on a state that has every order of the log. So
//! of two configurations on one base exactly one is taken, and an order without a clear answer comes into force
//! before the next one is answered, or never.

use quillpulley_control_state::{ControlState, EvacuationDecision, ReplaceDecision};
use quillpulley_replication::Replica;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// For how long an order may wait for its answer.
pub const ANSWER_WITHIN: Duration = Duration::from_secs(3);

/// The bytes of configurations that may wait for their turn; callers beyond that have to come back.
const MAX_WAITING_BYTES: usize = 32 * 1024 * 1024;

/// What the operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Put a whole configuration in force.
    Replace {
        /// The version that it builds on.
        base: u64,
        /// The configuration as it was sent.
        body: Vec<u8>,
    },
    /// Send nothing more to the servers of a zone, or take that back.
    Evacuate {
        /// The zone's name.
        zone: String,
        /// Whether the zone is to be empty.
        active: bool,
    },
}

impl fmt::Display for Order {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Order::Replace { base, body } => write!(formatter, "{} bytes on version {base}", body.len()),
            Order::Evacuate { zone, active: true } => write!(formatter, "evacuate {zone}"),
            Order::Evacuate { zone, active: false } => write!(formatter, "take {zone} back"),
        }
    }
}

impl Order {
    fn bytes(&self) -> usize {
        match self {
            Order::Replace { body, .. } => body.len(),
            Order::Evacuate { zone, .. } => zone.len(),
        }
    }
}

/// What the caller of the API is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The order is in force and survives what the deployment tolerates.
    Done,
    /// The newest configuration, as it was sent. Answers that wait for slow callers share it.
    Configuration(Arc<[u8]>),
    /// What this process knows of the core.
    Status(Vec<u8>),
    /// There is no configuration yet.
    NoConfiguration,
    /// Another version is in place.
    Conflict {
        /// The version in place.
        current: u64,
    },
    /// No clear answer, now or later: the order builds on a version that is older than all that is remembered.
    Forgotten {
        /// The oldest base for which it would be known.
        oldest: u64,
    },
    /// The order cannot be taken, for this reason.
    Invalid(String),
    /// Another process is the primary.
    Redirect(std::net::SocketAddr),
    /// No clear answer: the caller has to send the order again, here or elsewhere.
    Unavailable,
}

/// An order for the replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The name under which its fate is reported.
    pub order: u64,
    /// The payload of its log entry.
    pub payload: Vec<u8>,
}

struct Waiting<R> {
    order: Order,
    reply: R,
    expires: Duration,
}

struct UnderWay<R> {
    name: u64,
    order: Order,
    /// `None` once the caller has been told that the fate is unknown.
    reply: Option<R>,
    expires: Duration,
}

/// The orders that have no answer yet. `R` is what answers a caller.
pub struct Orders<R> {
    waiting: VecDeque<Waiting<R>>,
    under_way: Option<UnderWay<R>>,
    next_order: u64,
    answers: Vec<(R, Answer)>,
}

impl<R> Default for Orders<R> {
    fn default() -> Self {
        Orders { waiting: VecDeque::new(), under_way: None, next_order: 1, answers: Vec::new() }
    }
}

impl<R> Orders<R> {
    /// Takes an order that came at `now`.
    pub fn push(&mut self, now: Duration, order: Order, reply: R) {
        let waiting: usize = self.waiting.iter().map(|waiting| waiting.order.bytes()).sum();
        if waiting + order.bytes() > MAX_WAITING_BYTES {
            self.answers.push((reply, Answer::Unavailable));
            return;
        }
        self.waiting.push_back(Waiting { order, reply, expires: now + ANSWER_WITHIN });
    }

    /// Decides waiting orders up to the first that has to be replicated, but none while the log of the replica has
    /// an order that its state lacks, also one whose caller got no clear answer. To be called only while the lease
    /// is held.
    pub fn next_for(&mut self, replica: &Replica<ControlState>) -> Option<Proposal> {
        if replica.has_unresolved_proposals() {
            return None;
        }
        self.next_proposal(replica.state())
    }

    /// Decides waiting orders against the committed `state` up to the first that has to be replicated. To be
    /// called only where [`Orders::next_for`] would.
    pub fn next_proposal(&mut self, state: &ControlState) -> Option<Proposal> {
        while self.under_way.is_none() {
            let waiting = self.waiting.pop_front()?;
            match decide(state, &waiting.order) {
                Decision::Answer(answer) => {
                    if let Answer::Invalid(why) = &answer {
                        log::info!("an order ({}) is refused: {why}", waiting.order);
                    }
                    self.answers.push((waiting.reply, answer));
                }
                Decision::Propose(payload) => return Some(self.start(waiting, payload)),
            }
        }
        None
    }

    fn start(&mut self, waiting: Waiting<R>, payload: Vec<u8>) -> Proposal {
        let Waiting { order, reply, expires } = waiting;
        let name = self.next_order;
        self.next_order += 1;
        self.under_way = Some(UnderWay { name, order, reply: Some(reply), expires });
        Proposal { order: name, payload }
    }

    /// The replicas have committed an order and applied it to `state`. It is acknowledged if it is in force
    /// now: an entry of an earlier epoch may have come before it. Without the lease nothing is clear.
    pub fn committed(&mut self, order: u64, state: &ControlState, holds_lease: bool) {
        let Some(under_way) = self.under_way.take_if(|under_way| under_way.name == order) else { return };
        let in_force = matches!(decide(state, &under_way.order), Decision::Answer(Answer::Done));
        let answer = if in_force && holds_lease { Answer::Done } else { Answer::Unavailable };
        log::info!("order {order} ({}) committed, version {} in force", under_way.order, state.version());
        self.answers.extend(under_way.reply.map(|reply| (reply, answer)));
    }

    /// The fate of an order is unknown.
    pub fn failed(&mut self, order: u64) {
        let failed = self.under_way.take_if(|under_way| under_way.name == order);
        let reply = failed.and_then(|under_way| under_way.reply);
        self.answers.extend(reply.map(|reply| (reply, Answer::Unavailable)));
    }

    /// Answers all that has waited too long. The order under way keeps its place.
    pub fn expire(&mut self, now: Duration) {
        if let Some(under_way) = self.under_way.as_mut().filter(|under_way| under_way.expires <= now) {
            self.answers.extend(under_way.reply.take().map(|reply| (reply, Answer::Unavailable)));
        }
        while self.waiting.front().is_some_and(|waiting| waiting.expires <= now) {
            let expired = self.waiting.pop_front();
            self.answers.extend(expired.map(|waiting| (waiting.reply, Answer::Unavailable)));
        }
    }

    /// This process is no longer the primary: what waits is answered with `answer`, what is under way with
    /// nothing clear.
    pub fn abandon(&mut self, answer: &Answer) {
        if let Some(under_way) = self.under_way.take() {
            self.answers.extend(under_way.reply.map(|reply| (reply, Answer::Unavailable)));
        }
        let waiting = std::mem::take(&mut self.waiting);
        self.answers.extend(waiting.into_iter().map(|waiting| (waiting.reply, answer.clone())));
    }

    /// Whether nothing waits and nothing is under way.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.under_way.is_none()
    }

    /// The answers given since the last call.
    pub fn take_answers(&mut self) -> Vec<(R, Answer)> {
        std::mem::take(&mut self.answers)
    }
}

enum Decision {
    Answer(Answer),
    Propose(Vec<u8>),
}

fn decide(state: &ControlState, order: &Order) -> Decision {
    match order {
        Order::Replace { base, body } => match state.decide_replace(*base, body) {
            ReplaceDecision::AlreadyApplied => Decision::Answer(Answer::Done),
            ReplaceDecision::Conflict { current } => Decision::Answer(Answer::Conflict { current }),
            ReplaceDecision::HistoryExpired { oldest } => Decision::Answer(Answer::Forgotten { oldest }),
            ReplaceDecision::Invalid(error) => Decision::Answer(Answer::Invalid(error.to_string())),
            ReplaceDecision::Propose(payload) => Decision::Propose(payload),
        },
        Order::Evacuate { zone, active } => match state.decide_evacuation(zone, *active) {
            EvacuationDecision::AlreadyInEffect => Decision::Answer(Answer::Done),
            EvacuationDecision::Propose(payload) => Decision::Propose(payload),
        },
    }
}
