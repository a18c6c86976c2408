//! An upstream request: one attempt to send a request to a server, with its connection and its ticket from
//! the load balancer.

use super::connection_pool::{AbortGuard, UpstreamPeer};
use super::upstreams::Upstreams;
use crate::buffer_budget::BufferReservation;
use crate::proxy::downstream::request::RequestContext;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use quillpulley_http1::{ClientConnection, ResponseError};
use quillpulley_load_balancer::{Outcome, Ticket};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Maximum size of a response that is read completely before it is forwarded, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A complete body, with the memory that is reserved for it.
pub struct BufferedBody {
    /// The bytes of the body.
    pub bytes: Bytes,
    /// The reservation, which is held for as long as the bytes are in memory.
    pub reservation: BufferReservation,
}

/// An upstream request in flight. If it is dropped before it ends, its connection is closed, so that the
/// server cancels the request.
pub struct UpstreamRequest {
    upstreams: Rc<Upstreams>,
    context: Rc<RequestContext>,
    peer: UpstreamPeer,
    ticket: Option<Ticket>,
    connection: Option<ClientConnection>,
    abort_guard: Option<AbortGuard>,
}

impl UpstreamRequest {
    /// Creates an upstream request without a connection. `ticket` accounts for it in the load balancer.
    pub fn new(
        upstreams: Rc<Upstreams>,
        context: Rc<RequestContext>,
        peer: UpstreamPeer,
        ticket: Ticket,
    ) -> Self {
        UpstreamRequest {
            upstreams,
            context,
            peer,
            ticket: Some(ticket),
            connection: None,
            abort_guard: None,
        }
    }

    /// Returns the server that the request is sent to.
    pub fn peer(&self) -> &UpstreamPeer {
        &self.peer
    }

    /// Attaches a connection. If the request is idempotent, the connection is aborted when the server is
    /// removed, so that the request need not wait for a response.
    pub fn attach(&mut self, connection: ClientConnection) -> &mut ClientConnection {
        let socket = self.context.decision.is_idempotent.then(|| connection.socket().clone());
        self.abort_guard =
            socket.map(|socket| self.upstreams.pool().abort_when_removed(self.peer.key, socket));
        self.connection.insert(connection)
    }

    /// Closes the connection, if one is attached.
    pub fn detach(&mut self) {
        self.abort_guard = None;
        self.connection = None;
    }

    /// Records that the response has begun.
    pub fn record_started(&self) {
        if let Some(ticket) = &self.ticket {
            self.upstreams.record_started(ticket);
        }
    }

    /// Returns the next chunk of the response body. `None` once the body is complete.
    pub fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
        body: &mut Incoming,
    ) -> Poll<Option<Result<Bytes, ResponseError>>> {
        match &mut self.connection {
            Some(connection) => connection.poll_data(cx, body),
            None => Poll::Ready(Some(Err(ResponseError::Broken))),
        }
    }

    /// Reads the complete body of the response. Waits for memory if the budget does not have enough left.
    ///
    /// # Errors
    /// [`ResponseError`] if the connection breaks, or the body exceeds `MAX_RESPONSE_BYTES` or the memory
    /// budget.
    pub async fn read_body(&mut self, mut body: Incoming) -> Result<BufferedBody, ResponseError> {
        let announced = body.size_hint().lower();
        if announced > MAX_RESPONSE_BYTES as u64 {
            return Err(ResponseError::TooLarge);
        }
        let announced = announced as usize;
        let mut reservation = self.upstreams.buffers().reservation();
        // The announced length is reserved before reading, so that a body does not run out of memory halfway.
        reservation.grow_to(announced).await.map_err(|_| ResponseError::TooLarge)?;
        let mut first: Option<Bytes> = None;
        let mut all = BytesMut::new();
        while let Some(data) = poll_fn(|cx| self.poll_data(cx, &mut body)).await {
            let data = data?;
            let length = all.len() + first.as_ref().map_or(0, Bytes::len) + data.len();
            if length > MAX_RESPONSE_BYTES {
                return Err(ResponseError::TooLarge);
            }
            reservation.grow_to(length).await.map_err(|_| ResponseError::TooLarge)?;
            match first.take() {
                None if all.is_empty() => first = Some(data),
                earlier => {
                    all.reserve(announced.saturating_sub(all.len()));
                    all.extend_from_slice(&earlier.unwrap_or_default());
                    all.extend_from_slice(&data);
                }
            }
        }
        let bytes = first.unwrap_or_else(|| all.freeze());
        Ok(BufferedBody { bytes, reservation })
    }

    /// Ends the request after a complete response. `keep_alive` is how long the server keeps the connection
    /// open while it is idle; for `None` the connection is closed.
    pub fn complete(mut self, outcome: Outcome, keep_alive: Option<Duration>) {
        self.abort_guard = None;
        if let Some((connection, time)) = self.connection.take().zip(keep_alive) {
            let quota = self.upstreams.connection_quota(self.context.decision.max_connections);
            self.upstreams.pool().return_idle(self.peer.key, connection, time, quota);
        }
        self.record_end(outcome);
    }

    /// Ends the request and closes its connection.
    pub fn end(mut self, outcome: Outcome) {
        self.detach();
        self.record_end(outcome);
    }

    fn record_end(&mut self, outcome: Outcome) {
        if let Some(ticket) = self.ticket.take() {
            self.upstreams.record_end(&self.context.decision.service, ticket, outcome);
        }
    }
}

impl Drop for UpstreamRequest {
    fn drop(&mut self) {
        // The connection is closed first: a server must not receive the next attempt of a request while this
        // one still appears to be open.
        self.detach();
        self.record_end(Upstreams::outcome_when_dropped(self.context.request.deadline));
    }
}
