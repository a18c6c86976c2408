//! The open requests of clients.

use crate::upstream::{AttemptHandle, AttemptOutcome, ForwardedRequest};
use bytes::Bytes;
use hyper::Response;
use rate_limiter::ServerId;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// The final response to a request. Each request gets exactly one.
pub enum FinalResponse {
    /// The complete response from a server.
    Completed(Response<Bytes>),
    /// Rejected, and safe to retry after this many seconds; 0 if the response gives no delay.
    Rejected(f64),
    /// Failed; the request may have executed.
    Failed,
}

/// A client's request: the properties that the limiter needs, and the part that is forwarded to servers.
pub struct IncomingRequest {
    pub tenant: String,
    pub plan: String,
    pub class: String,
    pub units: f64,
    pub tenant_limiters: u32,
    pub is_retry: bool,
    pub forwarded: ForwardedRequest,
}

/// An attempt that has no outcome yet.
pub struct OpenAttempt {
    pub number: u32,
    pub server: ServerId,
    pub started_at: Instant,
    pub handle: Rc<AttemptHandle>,
    pub task: JoinHandle<()>,
}

/// A request that has no final response, or whose attempt has no outcome.
pub struct OpenRequest {
    forwarded: Rc<ForwardedRequest>,
    response: Option<oneshot::Sender<FinalResponse>>,
    /// The number of attempts so far.
    attempts: u32,
    /// The open attempt. There is at most one.
    attempt: Option<OpenAttempt>,
}

/// The result of closing an attempt.
pub struct ClosedAttempt {
    /// The time since the attempt was started.
    pub elapsed: Duration,
    /// Whether the client no longer waits for the final response.
    pub finished: bool,
}

impl OpenRequest {
    pub fn new(forwarded: ForwardedRequest, response: oneshot::Sender<FinalResponse>) -> Self {
        OpenRequest { forwarded: Rc::new(forwarded), response: Some(response), attempts: 0, attempt: None }
    }

    /// Returns the part of the request that is forwarded to servers.
    pub fn forwarded(&self) -> &Rc<ForwardedRequest> {
        &self.forwarded
    }

    /// Returns whether the client is still waiting for its final response.
    pub fn awaits_response(&self) -> bool {
        self.response.is_some()
    }

    /// Sends the final response to the client, unless it has one.
    pub fn respond(&mut self, response: FinalResponse) {
        if let Some(sender) = self.response.take() {
            let _ = sender.send(response);
        }
    }

    /// Records that the client closed its connection. Returns whether the client was waiting for its response.
    pub fn client_closed(&mut self) -> bool {
        self.response.take().is_some()
    }

    /// Returns the number of the next attempt, and counts the attempt.
    pub fn next_attempt(&mut self) -> u32 {
        let number = self.attempts;
        self.attempts += 1;
        number
    }

    /// Returns whether an attempt may be started: the client is waiting, no other attempt is open, and the maximum number
    /// of attempts is not reached.
    pub fn may_start(&self, number: u32, max_attempts: u32) -> bool {
        self.awaits_response() && self.attempt.is_none() && number < max_attempts
    }

    /// Records an attempt that was started.
    pub fn open_attempt(&mut self, attempt: OpenAttempt) {
        self.attempt = Some(attempt);
    }

    /// Returns the open attempt.
    pub fn attempt(&self) -> Option<&OpenAttempt> {
        self.attempt.as_ref()
    }

    /// Closes an attempt. If the outcome contains a response, it is taken and sent as the final response. Returns `None`
    /// if the attempt was closed before.
    pub fn close_attempt(&mut self, number: u32, outcome: &mut AttemptOutcome) -> Option<ClosedAttempt> {
        let attempt = self.attempt.take_if(|attempt| attempt.number == number)?;
        if let Some(response) = outcome.response.take() {
            self.respond(FinalResponse::Completed(response));
        }
        Some(ClosedAttempt { elapsed: attempt.started_at.elapsed(), finished: !self.awaits_response() })
    }

    /// Returns whether the request can be removed: the client is not waiting, and no attempt is open.
    pub fn is_done(&self) -> bool {
        !self.awaits_response() && self.attempt.is_none()
    }
}
