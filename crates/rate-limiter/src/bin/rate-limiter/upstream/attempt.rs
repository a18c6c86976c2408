//! An attempt: one send of a request to a server.

use super::{response, ForwardedRequest, Servers, CONNECTION_LIMITS};
use crate::host::Host;
use bytes::Bytes;
use hyper::Response;
use quillpulley_http1_client::{ClientConnection, ResponseError, Socket, WriteProgress};
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
    /// When it ends.
    pub give_up_at: Instant,
    /// It is not sent after this time.
    pub send_by: Option<Instant>,
}

/// The outcome of an attempt, and the response if it is the final one.
pub struct AttemptOutcome {
    pub outcome: Outcome,
    pub units: Option<f64>,
    pub report: LoadReport,
    pub response: Option<Response<Bytes>>,
}

impl AttemptOutcome {
    pub fn without_response(outcome: Outcome) -> Self {
        AttemptOutcome { outcome, units: None, report: LoadReport::default(), response: None }
    }
}

/// A handle on an open attempt, with which it can be aborted.
#[derive(Default)]
pub struct AttemptHandle {
    socket: RefCell<Option<Rc<Socket>>>,
}

impl AttemptHandle {
    /// Closes the connection of the attempt.
    pub fn abort(&self) {
        if let Some(socket) = self.socket.borrow().as_ref() {
            socket.abort();
        }
    }

    /// Returns whether the request may have reached the server completely.
    pub fn was_sent(&self) -> bool {
        let socket = self.socket.borrow();
        socket.as_ref().is_some_and(|socket| socket.write_progress() == WriteProgress::Complete)
    }

    fn attach(&self, connection: &ClientConnection) {
        *self.socket.borrow_mut() = Some(connection.socket().clone());
    }

    /// Releases the connection, which is closed when it is dropped, or kept for other attempts.
    fn release(&self) {
        self.socket.borrow_mut().take();
    }
}

/// A connection that can be reused.
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
    /// Runs an attempt and reports its outcome to the host. A connection that can be reused is kept.
    pub async fn attempt(
        self: Rc<Self>,
        host: Rc<Host>,
        id: AttemptId,
        server: ServerId,
        request: Rc<ForwardedRequest>,
        handle: Rc<AttemptHandle>,
        deadlines: AttemptDeadlines,
    ) {
        let is_awaited = || host.awaits_response(id.request);
        let sending = self.send(&server, &request, &handle, deadlines, is_awaited);
        let AttemptEnd { outcome, reusable } = match timeout_at(deadlines.give_up_at, sending).await {
            Ok(end) => end,
            // A request that is not written completely has not executed.
            Err(_) if !handle.was_sent() => AttemptEnd::without_response(Outcome::ConnectFailed),
            Err(_) => AttemptEnd::without_response(Outcome::Timeout),
        };
        // This closes the socket of a failed attempt: the next attempt may start.
        handle.release();
        host.attempt_finished(id, outcome);
        self.return_when_ready(&server, reusable).await;
    }

    async fn send(
        &self,
        server: &ServerId,
        request: &ForwardedRequest,
        handle: &AttemptHandle,
        deadlines: AttemptDeadlines,
        is_awaited: impl Fn() -> bool,
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
            // Connecting takes a while: a server that has begun to drain meanwhile gets nothing new, and nothing is
            // sent for a client that has left or has its response, nor after the time for it.
            if self.address(server) != Some(address) {
                return failed(Outcome::ConnectFailed);
            }
            if !is_awaited() || send_by.is_some_and(|send_by| Instant::now() >= send_by) {
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
                // An idle connection that broke before a byte was written says nothing about the server.
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

    /// Connects within the connect time-out, and by `send_by`: if that is earlier, a failure is not the server's.
    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        send_by: Option<Instant>,
    ) -> Result<ClientConnection, Outcome> {
        let until = Instant::now() + self.connect_timeout;
        let earlier = send_by.filter(|send_by| *send_by < until);
        let connecting = ClientConnection::connect(address, &self.open, CONNECTION_LIMITS);
        match timeout_at(earlier.unwrap_or(until), connecting).await {
            Ok(connection) => connection.map_err(|_| Outcome::ConnectFailed),
            Err(_) if earlier.is_some() => Err(Outcome::NotSent),
            Err(_) => Err(Outcome::ConnectFailed),
        }
    }
}
