//! The requests of clients that are open.

use crate::upstream::{AttemptHandle, AttemptOutcome, ForwardedRequest};
use bytes::Bytes;
use hyper::Response;
use rate_limiter::ServerId;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// The one final response to a request.
pub enum FinalResponse {
    /// The complete response of a server.
    Completed(Response<Bytes>),
    /// Rejected: safe to retry, after this many seconds; 0 for no advice.
    Rejected(f64),
    /// Failed: the request may have executed.
    Failed,
}

/// A client's request, as the decisions see it, and as servers get it.
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
    /// Attempts so far.
    attempts: u32,
    /// There is one open attempt at most.
    attempt: Option<OpenAttempt>,
}

/// An attempt that was closed.
pub struct ClosedAttempt {
    /// The time since it was started.
    pub elapsed: Duration,
    /// Whether the request has its final response.
    pub finished: bool,
}

impl OpenRequest {
    pub fn new(forwarded: ForwardedRequest, response: oneshot::Sender<FinalResponse>) -> Self {
        OpenRequest { forwarded: Rc::new(forwarded), response: Some(response), attempts: 0, attempt: None }
    }

    /// Returns the request as servers get it.
    pub fn forwarded(&self) -> &Rc<ForwardedRequest> {
        &self.forwarded
    }

    /// Returns whether the client waits for its response.
    pub fn awaits_response(&self) -> bool {
        self.response.is_some()
    }

    /// Gives the final response, unless there is one.
    pub fn respond(&mut self, response: FinalResponse) {
        if let Some(sender) = self.response.take() {
            let _ = sender.send(response);
        }
    }

    /// Handles that the client closed its connection. Returns whether it was waiting.
    pub fn close_client(&mut self) -> bool {
        self.response.take().is_some()
    }

    /// Numbers the next attempt.
    pub fn next_attempt(&mut self) -> u32 {
        let number = self.attempts;
        self.attempts += 1;
        number
    }

    /// Returns whether an attempt may be started: the request has no final response, no open attempt, and attempts
    /// left.
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

    /// Closes an attempt, whose response is the final one if there is one. Returns none if it was closed before.
    pub fn close_attempt(&mut self, number: u32, outcome: &mut AttemptOutcome) -> Option<ClosedAttempt> {
        let attempt = self.attempt.take_if(|attempt| attempt.number == number)?;
        if let Some(response) = outcome.response.take() {
            self.respond(FinalResponse::Completed(response));
        }
        Some(ClosedAttempt { elapsed: attempt.started_at.elapsed(), finished: !self.awaits_response() })
    }

    /// Returns whether nothing more can happen to the request.
    pub fn is_done(&self) -> bool {
        !self.awaits_response() && self.attempt.is_none()
    }
}
