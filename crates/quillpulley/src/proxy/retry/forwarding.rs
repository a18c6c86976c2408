//! Forwards a request: sends it to servers until there is a response to forward, or no server can respond.
//!
//! A request passes through these methods: [`Forwarding::forward`] enforces the deadline, `acquire_upstream`
//! obtains capacity at a server and permission to retry, `attempt` sends the request to the server,
//! `exchange` writes it and waits for the head of the response, and `handle_response` decides what the
//! response means.

use crate::proxy::downstream::local_response::LocalResponse;
use crate::proxy::downstream::request::RequestContext;
use crate::proxy::faults::Faults;
use crate::proxy::headers::{self, REQUEST_ID};
use crate::proxy::retry::retry_state::{Event, FinalResponse, Phase, RetryPolicy, RetryState, Step};
use crate::proxy::state::ProxyState;
use crate::proxy::upstream::connection_pool::{ConnectError, Connected};
use crate::proxy::upstream::response_head::{self, ResponseVerdict};
use crate::proxy::upstream::upstream_request::{BufferedBody, UpstreamRequest};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use quillpulley_http1::{Socket, WriteProgress};
use quillpulley_load_balancer::{queue_time, FailureKind, Outcome, ServerKey};
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// `Retry-After` when there is no better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A server's response to forward.
pub enum UpstreamResponse {
    /// The head and the complete body.
    Complete(Parts, BufferedBody),
    /// A response whose body is streamed.
    Stream(Box<StreamingResponse>),
}

/// A response whose head has arrived, and whose body is still to be read.
pub struct StreamingResponse {
    /// The head of the response.
    pub head: Parts,
    /// The body, which is read from the connection of `upstream_request`.
    pub body: Incoming,
    /// The upstream request that this is the response to.
    pub upstream_request: UpstreamRequest,
}

/// Why there is no server response to forward.
pub enum ForwardError {
    /// The client gets this response from the proxy instead.
    Local(LocalResponse),
    /// The client already has the head of a response, whose body has to be truncated.
    Truncated,
}

/// Why an attempt has no response.
struct AttemptError {
    event: Event,
    /// The outcome reported to the load balancer.
    outcome: Outcome,
}

impl AttemptError {
    /// Nothing was sent, for a reason that is not the server's fault.
    const NOT_SENT: AttemptError = AttemptError { event: Event::NotSent, outcome: Outcome::ClientClosed };
    /// No connection to the server could be established.
    const CONNECT: AttemptError =
        AttemptError { event: Event::NotSent, outcome: Outcome::Failed(FailureKind::Connect) };
    /// The connection broke after at least a part of the request was written.
    const RESET: AttemptError = AttemptError {
        event: Event::ConnectionBroken,
        outcome: Outcome::Failed(FailureKind::ResetBeforeResponse),
    };
}

/// The forwarding of one client request, over all its attempts.
pub struct Forwarding {
    state: Rc<ProxyState>,
    context: Rc<RequestContext>,
    retry_state: RetryState,
    /// The servers that the request was sent to, which are not chosen again.
    tried: Vec<ServerKey>,
    /// The latest error response of a server, which is forwarded if there is no better response.
    error_response: Option<(Parts, BufferedBody)>,
    /// The socket of the latest attempt. `None` while another server is being chosen.
    socket: Option<Rc<Socket>>,
    /// The time until which the request may wait in a queue.
    queue_deadline: Instant,
    retry_after: Duration,
}

impl Forwarding {
    /// Starts the forwarding of a request that has just arrived, and counts the request in the retry budget.
    pub fn new(state: Rc<ProxyState>, context: RequestContext) -> Self {
        let RequestContext { request, decision } = &context;
        state.retry_budgets.record_request(state.now(), &decision.service);
        let policy = RetryPolicy {
            is_idempotent: decision.is_idempotent,
            max_attempts: if state.faults.retries() { 1 } else { decision.max_attempts },
            retries_after_reset: state.faults.retry_after_reset(),
        };
        Forwarding {
            retry_state: RetryState::new(policy),
            tried: Vec::new(),
            error_response: None,
            socket: None,
            queue_deadline: request.arrived + max_queue_time(&state, decision.target_latency),
            retry_after: DEFAULT_RETRY_AFTER,
            state,
            context: Rc::new(context),
        }
    }

    /// Returns the request and its route decision.
    pub fn context(&self) -> &RequestContext {
        &self.context
    }

    /// Returns the injected faults of this proxy.
    pub(crate) fn faults(&self) -> Faults {
        self.state.faults
    }

    /// Sends the request until there is a response to forward, or its deadline is reached.
    ///
    /// # Errors
    /// [`ForwardError`] if there is no server response to forward by the deadline.
    pub async fn forward(&mut self) -> Result<UpstreamResponse, ForwardError> {
        self.forward_until_deadline(None).await
    }

    /// Resumes a stream at another server, after the event with the id `after`, or from its start for `None`.
    ///
    /// # Errors
    /// [`ForwardError`] if no other server resumes the stream.
    pub async fn resume(&mut self, after: Option<Bytes>) -> Result<UpstreamResponse, ForwardError> {
        if let Step::Finish(response) = self.retry_state.handle(Event::ConnectionBroken) {
            return Err(self.forward_error(response));
        }
        self.queue_deadline =
            Instant::now() + max_queue_time(&self.state, self.context.decision.target_latency);
        self.forward_until_deadline(after).await
    }

    /// Records that the head of a response is being forwarded to the client.
    pub fn response_begun(&mut self) {
        self.retry_state.handle(Event::ResponseBegun);
    }

    async fn forward_until_deadline(
        &mut self,
        resume_after: Option<Bytes>,
    ) -> Result<UpstreamResponse, ForwardError> {
        let deadline = self.context.request.deadline;
        let state = self.state.clone();
        let result = tokio::select! {
            biased;
            result = self.attempt_until_done(resume_after.as_deref()) => result,
            () = sleep_until(deadline) => Err(self.handle_deadline()),
            () = state.lifecycle.response_cutoff_reached() => Err(self.handle_deadline()),
        };
        result.map_err(|response| self.forward_error(response))
    }

    async fn attempt_until_done(
        &mut self,
        resume_after: Option<&[u8]>,
    ) -> Result<UpstreamResponse, FinalResponse> {
        loop {
            let event = match self.acquire_upstream().await {
                Some(upstream_request) => match self.attempt(upstream_request, resume_after).await {
                    Ok(response) => return Ok(response),
                    Err(event) => event,
                },
                None => Event::NoCapacity,
            };
            // Releases the last reference to the socket, so that the connection is closed before another
            // server is chosen.
            self.socket = None;
            let Step::Finish(response) = self.retry_state.handle(event) else { continue };
            let error_response = self.error_response.take();
            return match error_response.filter(|_| response == FinalResponse::UpstreamFailure) {
                Some((head, body)) => Ok(UpstreamResponse::Complete(head, body)),
                None => Err(response),
            };
        }
    }

    /// Returns an upstream request to a server. A retry is counted in the retry budget before it is sent.
    /// `None` if there is no capacity, or the budget rejects the retry.
    async fn acquire_upstream(&mut self) -> Option<UpstreamRequest> {
        match self.state.admission.acquire(&self.context, &self.tried, self.queue_deadline).await {
            Ok(upstream_request) if !self.retry_state.is_retry() || self.try_retry() => {
                Some(upstream_request)
            }
            Ok(_) => None,
            Err(no_capacity) => {
                self.retry_after = no_capacity.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
                None
            }
        }
    }

    fn try_retry(&self) -> bool {
        self.state.retry_budgets.try_retry(self.state.now(), &self.context.decision.service)
    }

    /// Sends the request to a server. Returns the response to forward, or the event that ended the attempt.
    async fn attempt(
        &mut self,
        mut upstream_request: UpstreamRequest,
        resume_after: Option<&[u8]>,
    ) -> Result<UpstreamResponse, Event> {
        self.tried.push(upstream_request.peer().key);
        self.retry_state.handle(Event::UpstreamChosen);
        match self.exchange(&mut upstream_request, resume_after).await {
            Ok(response) => self.handle_response(upstream_request, response).await,
            Err(AttemptError { event, outcome }) => {
                upstream_request.end(outcome);
                Err(event)
            }
        }
    }

    /// Connects to the server, writes the request, and waits for the head of the response.
    async fn exchange(
        &mut self,
        upstream_request: &mut UpstreamRequest,
        resume_after: Option<&[u8]>,
    ) -> Result<Response<Incoming>, AttemptError> {
        loop {
            let peer = upstream_request.peer().clone();
            let connected = self.state.upstreams.pool().connect(&peer).await;
            let Connected { connection, reused } = connected.map_err(|error| match error {
                ConnectError::NoDescriptor => AttemptError::NOT_SENT,
                ConnectError::Failed => AttemptError::CONNECT,
            })?;
            // The server may have begun to drain while the connection was established; it gets no new
            // requests then.
            if !self.state.upstreams.is_usable(peer.key) {
                return Err(AttemptError::NOT_SENT);
            }
            let request = self.context.request.for_server(&peer.id, resume_after);
            let request = request.ok_or(AttemptError::NOT_SENT)?;
            let socket = connection.socket().clone();
            self.socket = Some(socket.clone());
            self.retry_state.handle(Event::Connected);
            match upstream_request.attach(connection).send(request).await {
                Ok(response) => return Ok(response),
                Err(_) if socket.write_progress() != WriteProgress::NotStarted => {
                    if reused {
                        // A server that has closed one idle connection has probably closed the others too.
                        self.state.upstreams.pool().close_idle_to(peer.key);
                    }
                    return Err(AttemptError::RESET);
                }
                // If a reused connection breaks before a byte was written, this says nothing about the server:
                // another connection to it is tried.
                Err(_) if reused => upstream_request.detach(),
                Err(_) => return Err(AttemptError::CONNECT),
            }
        }
    }

    /// Decides what a response means. Unless it is a stream, its body is read before it is forwarded.
    async fn handle_response(
        &mut self,
        upstream_request: UpstreamRequest,
        response: Response<Incoming>,
    ) -> Result<UpstreamResponse, Event> {
        let (head, body) = response.into_parts();
        match self.classify(&head) {
            ResponseVerdict::Success if self.context.decision.streaming => {
                Ok(UpstreamResponse::Stream(Box::new(StreamingResponse { head, body, upstream_request })))
            }
            ResponseVerdict::Success => {
                let (head, body) = read_response(upstream_request, head, body, Outcome::Completed).await?;
                Ok(UpstreamResponse::Complete(head, body))
            }
            ResponseVerdict::Failure => {
                let outcome = match head.status.is_server_error() {
                    true => Outcome::Failed(FailureKind::ServerError),
                    false => Outcome::Completed,
                };
                self.error_response = Some(read_response(upstream_request, head, body, outcome).await?);
                Err(Event::UpstreamFailed)
            }
            ResponseVerdict::NotExecuted { full } => {
                // The body is read only as far as it has arrived with the head; it is not waited for.
                let mut reading =
                    pin!(read_response(upstream_request, head, body, Outcome::NotExecuted { full }));
                poll_fn(|cx| Poll::Ready(reading.as_mut().poll(cx).is_ready())).await;
                Err(Event::NotExecuted)
            }
            ResponseVerdict::Misdirected => {
                upstream_request.end(Outcome::Misdirected);
                Err(Event::Misdirected)
            }
            ResponseVerdict::UnmarkedRejection => {
                upstream_request.end(Outcome::Failed(FailureKind::ServerError));
                Err(Event::ConnectionBroken)
            }
            ResponseVerdict::Invalid => {
                upstream_request.end(Outcome::Failed(FailureKind::InvalidResponse));
                Err(Event::ConnectionBroken)
            }
        }
    }

    fn classify(&self, head: &Parts) -> ResponseVerdict {
        let id = &self.context.request.head.id;
        let ignores_id = self.state.faults.ignore_response_ids();
        let expected = headers::single(&head.headers, &REQUEST_ID).filter(|_| ignores_id).unwrap_or(id);
        response_head::classify(head, expected)
    }

    /// Handles that the deadline of the request has been reached, and returns the final response.
    fn handle_deadline(&mut self) -> FinalResponse {
        let progress =
            self.socket.as_ref().map_or(WriteProgress::NotStarted, |socket| socket.write_progress());
        if self.retry_state.phase() == Phase::Awaiting && progress == WriteProgress::NotStarted {
            self.retry_state.handle(Event::NotSent);
        }
        match self.retry_state.handle(Event::DeadlineReached) {
            Step::Finish(response) => response,
            Step::Continue | Step::Retry => FinalResponse::BadGateway,
        }
    }

    fn forward_error(&self, response: FinalResponse) -> ForwardError {
        let local = match response {
            FinalResponse::Rejected => LocalResponse::unavailable(self.retry_after),
            FinalResponse::TimedOut => LocalResponse::status(StatusCode::GATEWAY_TIMEOUT),
            FinalResponse::Truncated => return ForwardError::Truncated,
            FinalResponse::BadGateway | FinalResponse::UpstreamFailure | FinalResponse::Completed => {
                LocalResponse::status(StatusCode::BAD_GATEWAY)
            }
        };
        ForwardError::Local(local)
    }
}

/// Returns the maximum time in a queue for a request with this target latency.
fn max_queue_time(state: &ProxyState, target_latency: Duration) -> Duration {
    match state.faults.queueing() {
        true => Duration::ZERO,
        false => queue_time(target_latency),
    }
}

/// Reads the complete body of a response and ends the upstream request. Its connection is returned to the
/// pool if the server keeps it open.
async fn read_response(
    mut upstream_request: UpstreamRequest,
    head: Parts,
    body: Incoming,
    outcome: Outcome,
) -> Result<(Parts, BufferedBody), Event> {
    match upstream_request.read_body(body).await {
        Ok(body) => {
            upstream_request.complete(outcome, response_head::keep_alive(&head.headers));
            Ok((head, body))
        }
        Err(_) => {
            upstream_request.end(Outcome::Failed(FailureKind::Truncated));
            Err(Event::ConnectionBroken)
        }
    }
}
