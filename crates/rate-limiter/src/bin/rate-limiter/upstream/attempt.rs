//! Attempts: each sends a request once to one server.

use super::{response, ForwardedRequest, Servers, CONNECTION_LIMITS};
use crate::host::Host;
use bytes::Bytes;
use hyper::Response;
use quillpulley_http1::{ClientConnection, ResponseError, Socket, WriteProgress};
use rate_limiter::{LoadReport, Outcome, RequestId, ServerId};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::{timeout_at, Instant};

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    pub request: RequestId,
    /// The number of the attempt, from 0.
    pub number: u32,
}

/// The deadlines of an attempt.
#[derive(Clone, Copy)]
pub struct AttemptDeadlines {
    /// The time at which the attempt ends without a response.
    pub give_up_at: Instant,
    /// The request is not sent after this time. `None` for no limit.
    pub send_by: Option<Instant>,
}

/// The outcome of an attempt, and the data from its response.
pub struct AttemptOutcome {
    pub outcome: Outcome,
    /// The actual units of the request, if the response contains a valid value.
    pub units: Option<f64>,
    pub report: LoadReport,
    /// The response to forward to the client. `None` unless the outcome is [`Outcome::Completed`].
    pub response: Option<Response<Bytes>>,
}

impl AttemptOutcome {
    pub fn without_response(outcome: Outcome) -> Self {
        AttemptOutcome { outcome, units: None, report: LoadReport::default(), response: None }
    }
}

/// A handle to an open attempt, which can abort the attempt and read its progress.
#[derive(Default)]
pub struct AttemptHandle {
    socket: RefCell<Option<Rc<Socket>>>,
}

impl AttemptHandle {
    /// Closes the connection of the attempt, if it has one.
    pub fn abort(&self) {
        if let Some(socket) = self.socket.borrow().as_ref() {
            socket.abort();
        }
    }

    /// Returns whether the request was written completely, so that it may have reached the server.
    pub fn was_sent(&self) -> bool {
        let socket = self.socket.borrow();
        socket.as_ref().is_some_and(|socket| socket.write_progress() == WriteProgress::Complete)
    }

    fn attach(&self, connection: &ClientConnection) {
        *self.socket.borrow_mut() = Some(connection.socket().clone());
    }

    /// Detaches the connection from the attempt, so that it closes when it is dropped, or can be reused.
    fn release(&self) {
        self.socket.borrow_mut().take();
    }
}

/// A connection that can be reused, and the address to which it is connected.
pub(super) struct ReusableConnection {
    pub(super) address: SocketAddr,
    pub(super) connection: ClientConnection,
}

/// The end of an attempt.
struct AttemptEnd {
    outcome: AttemptOutcome,
    reusable: Option<ReusableConnection>,
}

impl AttemptEnd {
    fn without_response(outcome: Outcome) -> Self {
        AttemptEnd { outcome: AttemptOutcome::without_response(outcome), reusable: None }
    }
}

impl Servers {
    /// Runs an attempt, reports its outcome to the host, and keeps its connection if it can be reused.
    pub async fn attempt(
        self: Rc<Self>,
        host: Rc<Host>,
        id: AttemptId,
        server: ServerId,
        request: Rc<ForwardedRequest>,
        handle: Rc<AttemptHandle>,
        deadlines: AttemptDeadlines,
    ) {
        let client_is_waiting = || host.awaits_response(id.request);
        let sending = self.send(&server, &request, &handle, deadlines, client_is_waiting);
        let AttemptEnd { outcome, reusable } = match timeout_at(deadlines.give_up_at, sending).await {
            Ok(end) => end,
            // A request that was not written completely was not executed.
            Err(_) if !handle.was_sent() => AttemptEnd::without_response(Outcome::ConnectFailed),
            Err(_) => AttemptEnd::without_response(Outcome::Timeout),
        };
        // Closes the socket of a failed attempt before the next attempt can start.
        handle.release();
        host.attempt_finished(id, outcome);
        self.return_when_ready(&server, reusable).await;
    }

    /// Sends a request to a server over a new or an idle connection, and classifies the response.
    async fn send(
        &self,
        server: &ServerId,
        request: &ForwardedRequest,
        handle: &AttemptHandle,
        deadlines: AttemptDeadlines,
        client_is_waiting: impl Fn() -> bool,
    ) -> AttemptEnd {
        let AttemptDeadlines { give_up_at, send_by } = deadlines;
        let failed = AttemptEnd::without_response;
        loop {
            let Some(address) = self.address(server) else { return failed(Outcome::ConnectFailed) };
            let (mut connection, is_reused) = match self.reuse(server) {
                Some(connection) => (connection, true),
                None if !self.ensure_descriptor() => return failed(Outcome::NotSent),
                None => match self.connect(address, send_by).await {
                    Ok(connection) => (connection, false),
                    Err(outcome) => return failed(outcome),
                },
            };
            // The state may have changed while connecting. A server that is draining now must not get new requests, and
            // nothing is sent if the client is no longer waiting, or after `send_by`.
            if self.address(server) != Some(address) {
                return failed(Outcome::ConnectFailed);
            }
            if !client_is_waiting() || send_by.is_some_and(|send_by| Instant::now() >= send_by) {
                return failed(Outcome::NotSent);
            }
            handle.attach(&connection);
            let result = connection.exchange(request.for_server(address, give_up_at)).await;
            let is_unwritten = connection.socket().write_progress() == WriteProgress::NotStarted;
            return match result {
                Ok(response) => AttemptEnd {
                    outcome: response::classify(response, self.max_units),
                    reusable: Some(ReusableConnection { address, connection }),
                },
                // An idle connection that failed before any byte was written is no evidence of a server failure.
                Err(ResponseError::NotSent) if is_reused && is_unwritten => {
                    handle.release();
                    continue;
                }
                Err(ResponseError::NotSent) => failed(Outcome::ConnectFailed),
                Err(ResponseError::Broken) => failed(Outcome::Reset),
                Err(ResponseError::TooLarge) => failed(Outcome::Error),
            };
        }
    }

    /// Connects to a server within the connect timeout and by `send_by`. If `send_by` ends the attempt first, the outcome
    /// is [`Outcome::NotSent`], which is not counted as a failure of the server.
    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        send_by: Option<Instant>,
    ) -> Result<ClientConnection, Outcome> {
        let until = Instant::now() + self.connect_timeout;
        let earlier = send_by.filter(|send_by| *send_by < until);
        let connecting = ClientConnection::connect(address, &self.open_sockets, CONNECTION_LIMITS);
        match timeout_at(earlier.unwrap_or(until), connecting).await {
            Ok(connection) => connection.map_err(|_| Outcome::ConnectFailed),
            Err(_) if earlier.is_some() => Err(Outcome::NotSent),
            Err(_) => Err(Outcome::ConnectFailed),
        }
    }
}
