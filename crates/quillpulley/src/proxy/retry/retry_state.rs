//! The retry state of one request: a pure state machine that decides whether the request may be sent again.
//!
//! Invariants:
//! - A request that is not idempotent executes at most once. It is sent again only if no byte of it was
//!   written, or the server reports that it did not execute the request.
//! - Once the request may have executed, the client gets no response which promises that it has not.

/// Maximum number of sends of a request. Sends that do not reach the intended server (no connection, or
/// another server at its address) are not counted against the attempts of the route, but are bounded by this.
const MAX_SENDS: u32 = 4;

/// The limits on the attempts of a request.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Whether the request may execute more than once.
    pub is_idempotent: bool,
    /// The maximum number of servers that the request may be sent to.
    pub max_attempts: u32,
    /// An injected fault for tests: the request is sent again after its connection broke, even if it is not
    /// idempotent.
    pub retries_after_reset: bool,
}

/// The phase of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A server is being chosen, or the request waits in a queue.
    Choosing,
    /// The connection to the server is being established, and nothing is written yet.
    Connecting,
    /// The request is being written or has been written, and the response has not begun.
    Awaiting,
    /// The head of the response has been forwarded, and its body is being forwarded.
    Responding,
    /// The request has its final response.
    Ended,
}

/// An event in the processing of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A server was chosen.
    UpstreamChosen,
    /// No server had capacity in time, or the retry budget rejected another attempt.
    NoCapacity,
    /// The connection is established. From now on bytes of the request may be written.
    Connected,
    /// No connection was established, or it broke before a byte of the request was written.
    NotSent,
    /// The server reported that it did not execute the request.
    NotExecuted,
    /// Another server listens at the address (421), and did not execute the request.
    Misdirected,
    /// The connection broke, or the response is invalid or incomplete: the request may have executed.
    ConnectionBroken,
    /// The server responded with an error: the request has executed.
    UpstreamFailed,
    /// The head of a response is being forwarded to the client.
    ResponseBegun,
    /// The complete response has been forwarded.
    Completed,
    /// The deadline of the request has been reached.
    DeadlineReached,
}

/// What the caller has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Continue with the current attempt.
    Continue,
    /// Send the request to another server, which it was not sent to before.
    Retry,
    /// Send the final response to the client.
    Finish(FinalResponse),
}

/// The final response to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// A server's response, forwarded completely.
    Completed,
    /// A server's error response.
    UpstreamFailure,
    /// The request has not executed and will not (503).
    Rejected,
    /// The request may have executed (502).
    BadGateway,
    /// The request may have executed, and its deadline has been reached (504).
    TimedOut,
    /// The head of a response was already forwarded, and its body is truncated.
    Truncated,
}

/// The retry state of one request.
#[derive(Clone, Debug)]
pub struct RetryState {
    policy: RetryPolicy,
    phase: Phase,
    /// The number of sends that reached the intended server, whether or not it executed the request.
    attempts: u32,
    /// The number of all sends.
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

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether the request was sent before, so that the next send counts as a retry.
    pub fn is_retry(&self) -> bool {
        self.sends > 0
    }

    /// Handles an event and returns the next step. Every state change happens here.
    pub fn handle(&mut self, event: Event) -> Step {
        match (self.phase, event) {
            (Phase::Ended, _) => Step::Finish(self.final_response(event)),
            (_, Event::UpstreamChosen) => {
                self.sends += 1;
                self.enter(Phase::Connecting)
            }
            // A reused idle connection was already closed, and another connection to the same server was
            // established.
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
                // The intended server did not receive the request, so this does not count as an attempt.
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
