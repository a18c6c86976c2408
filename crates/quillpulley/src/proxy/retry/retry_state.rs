//! The attempts of one request: a pure state machine that decides whether the request may be sent again.
//!
//! Invariants:
//! - A request that is not idempotent executes at most once. It is sent again only if nothing of it was written, or the
//!   server reports that it did not execute it.
//! - Once the request may have executed, no response to the client promises that it has not.

/// The most sends of a request. Sends that reach no server (no connection, the wrong instance) do not count as attempts
/// of the route, and are bounded by this.
const MAX_SENDS: u32 = 4;

/// The bounds of the attempts of a request.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Whether the request may execute more than once.
    pub is_idempotent: bool,
    /// The most servers that the request may be sent to.
    pub max_attempts: u32,
    /// A fault for tests: a request is sent again after its connection broke, whether or not it is idempotent.
    pub retries_after_reset: bool,
}

/// The phase of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A server is being chosen, or the request waits in a queue.
    Choosing,
    /// The connection to the server is being established, and nothing is written yet.
    Connecting,
    /// The request is written, or being written, and the response has not begun.
    Awaiting,
    /// The head of the response has been forwarded, and its body follows.
    Responding,
    /// The request has its final response.
    Ended,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A server was chosen.
    UpstreamChosen,
    /// No server has capacity in time, or the retry budget does not allow another attempt.
    NoCapacity,
    /// The connection is established: from now on the request may be written.
    Connected,
    /// No connection was established, or it broke before anything was written.
    NotSent,
    /// The server reports that it did not execute the request.
    NotExecuted,
    /// Another server listens at the address, and did not execute the request.
    Misdirected,
    /// The connection broke, or the response is invalid or incomplete: the request may have executed.
    ConnectionBroken,
    /// The server responded with an error of its own: the request has executed.
    UpstreamFailed,
    /// The head of a response is forwarded.
    ResponseBegun,
    /// The complete response has been forwarded.
    Completed,
    /// The deadline of the request has passed.
    DeadlineReached,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Continue with the current attempt.
    Continue,
    /// Send the request to a server that it was not sent to.
    Retry,
    /// Respond to the client.
    Finish(FinalResponse),
}

/// The response to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// The response of a server.
    Completed,
    /// The error response of a server.
    UpstreamFailure,
    /// The request has not executed and will not.
    Rejected,
    /// The request may have executed.
    BadGateway,
    /// The request may have executed, and its deadline has passed.
    TimedOut,
    /// The response that was begun is truncated.
    Truncated,
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct RetryState {
    policy: RetryPolicy,
    phase: Phase,
    /// Sends that reached a server, whether or not it executed the request.
    attempts: u32,
    /// All sends.
    sends: u32,
    may_have_executed: bool,
    response_begun: bool,
}

impl RetryState {
    /// Creates the state of a request that has not been sent.
    pub fn new(policy: RetryPolicy) -> Self {
        let phase = Phase::Choosing;
        RetryState { policy, phase, attempts: 0, sends: 0, may_have_executed: false, response_begun: false }
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether the request was sent before, so that the next send is a retry.
    pub fn is_retry(&self) -> bool {
        self.sends > 0
    }

    /// Handles an event. Every change of state happens here.
    pub fn handle(&mut self, event: Event) -> Step {
        match (self.phase, event) {
            (Phase::Ended, _) => Step::Finish(self.final_response(event)),
            (_, Event::UpstreamChosen) => {
                self.sends += 1;
                self.enter(Phase::Connecting)
            }
            // An idle connection may turn out to be closed; then another one is established.
            (Phase::Awaiting, Event::Connected) => Step::Continue,
            (_, Event::Connected) => {
                self.attempts += 1;
                self.enter(Phase::Awaiting)
            }
            (_, Event::ResponseBegun) => {
                self.response_begun = true;
                self.enter(Phase::Responding)
            }
            (_, Event::NotSent | Event::Misdirected) => {
                // The server did not see the request: this is not an attempt of the route.
                self.attempts -= u32::from(self.phase == Phase::Awaiting);
                self.retry(event)
            }
            (_, Event::NotExecuted) => self.retry(event),
            (_, Event::ConnectionBroken | Event::UpstreamFailed) => {
                self.may_have_executed = true;
                self.retry(event)
            }
            (Phase::Awaiting, Event::DeadlineReached) => {
                self.may_have_executed = true;
                self.end(event)
            }
            (_, Event::NoCapacity | Event::Completed | Event::DeadlineReached) => self.end(event),
        }
    }

    fn enter(&mut self, phase: Phase) -> Step {
        self.phase = phase;
        Step::Continue
    }

    fn end(&mut self, event: Event) -> Step {
        let final_response = self.final_response(event);
        self.phase = Phase::Ended;
        Step::Finish(final_response)
    }

    fn retry(&mut self, event: Event) -> Step {
        let is_safe = self.policy.is_idempotent || self.policy.retries_after_reset || !self.may_have_executed;
        let may_send = self.attempts < self.policy.max_attempts && self.sends < MAX_SENDS;
        if !(is_safe && may_send) {
            return self.end(event);
        }
        self.phase = Phase::Choosing;
        Step::Retry
    }

    fn final_response(&self, event: Event) -> FinalResponse {
        match event {
            Event::Completed => FinalResponse::Completed,
            _ if self.response_begun => FinalResponse::Truncated,
            Event::UpstreamFailed => FinalResponse::UpstreamFailure,
            Event::DeadlineReached if self.may_have_executed => FinalResponse::TimedOut,
            _ if self.may_have_executed => FinalResponse::BadGateway,
            _ => FinalResponse::Rejected,
        }
    }
}
