//! The client side: accepts connections, limits the resources of each, reads requests and writes responses.
//!
//! Malformed requests are answered here. They are neither submitted to the limiter nor sent to a server.

mod guards;
mod request_error;
mod request_head;
mod response;

use crate::host::{Host, IncomingRequest, SubmittedRequest};
use crate::upstream::headers::IDEMPOTENCY_KEY;
use crate::upstream::{ForwardedRequest, MAX_BODY};
use bytes::Bytes;
use guards::{BodyReservation, ClientGuard, OpenId};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode};
use log::warn;
use quillpulley_http1::{ConnectionManager, ConnectionOptions, Linger, ServerConnection, Service, Socket};
use rate_limiter::Settings;
use request_error::RequestError;
use request_head::{RequestHead, RETRY_MARK};
use response::ClientResponse;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{timeout_at, Instant};

pub use request_head::parse_number;

/// How long before the client's deadline the final response must be given. The response takes time to reach the client,
/// and the client's deadline started before the request arrived.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);
/// Maximum time from accepting a connection, or from the last response on it, until the next request head is complete.
/// The first request must be complete within this time including its body. It also limits idle connections, which would
/// otherwise stay open indefinitely if the client sends nothing more.
const HEADER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum time from the head to the end of the body for later requests on a connection.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
const LINGER: Linger = Linger { time: Duration::from_millis(500), bytes: 256 * 1024 };
const IDLE_GRACE: Duration = Duration::from_millis(100);
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(30);
/// Maximum time for which a client may read nothing of its response.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after which a client that reads nothing of its response may be closed to make room for another connection.
const WRITE_STALL_GRACE: Duration = Duration::from_secs(5);
const MAX_HEADER_BYTES: usize = 16 * 1024;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of open requests, regardless of the settings.
const MAX_OPEN_REQUESTS: usize = 1_000;
const READINESS_PATH: &str = "/up";

/// The HTTP service for clients.
pub struct Clients {
    host: Rc<Host>,
    settings: Settings,
    /// Maximum bytes of the bodies of all open requests together, and the bytes currently reserved.
    body_budget: usize,
    reserved_bodies: Cell<usize>,
    open_ids: RefCell<HashSet<HeaderValue>>,
    is_ready: Cell<bool>,
    /// The time by which requests must have their final responses. `None` unless draining.
    drain_deadline: Cell<Option<Instant>>,
    connections: Rc<ConnectionManager>,
}

impl Clients {
    /// Creates the service for up to `max_connections` connections.
    pub fn new(host: Rc<Host>, settings: Settings, max_connections: usize, body_budget: usize) -> Rc<Self> {
        Rc::new(Clients {
            host,
            settings,
            body_budget,
            reserved_bodies: Cell::new(0),
            open_ids: RefCell::default(),
            is_ready: Cell::new(false),
            drain_deadline: Cell::new(None),
            connections: ConnectionManager::new(connection_options(max_connections)),
        })
    }

    /// Marks the limiter as ready. `GET /up` then responds with 200 until draining begins.
    pub fn set_ready(&self) {
        self.is_ready.set(true);
    }

    /// Accepts connections until the future is dropped.
    pub async fn accept(self: &Rc<Self>, listener: TcpListener) {
        self.connections.accept(listener, self.clone()).await;
    }

    /// Starts draining: responses have `Connection: close` and are given by `until`, and idle connections are closed.
    pub fn drain(&self, until: Instant) {
        self.drain_deadline.set(Some(until));
        self.connections.drain();
    }

    /// Waits until all connections are closed, including those in the kernel's accept queue. Connections are closed as
    /// they become idle.
    pub async fn all_closed(&self) {
        self.connections.all_closed().await;
    }

    async fn serve(
        &self,
        request: Request<Incoming>,
        socket: &Socket,
        accepted_at: Option<Instant>,
    ) -> ClientResponse {
        let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let raw = if is_chunked { socket.recorded_input() } else { Vec::new() };
        socket.record_input(0);
        let handled = self.handle(request, raw, socket, accepted_at).await;
        let mut response = handled.unwrap_or_else(RequestError::into_response);
        // The connection is closed after a chunked request, so that no bytes after its body are read as a request, even if
        // another HTTP implementation would determine a different end of the body.
        if is_chunked || self.drain_deadline.get().is_some() {
            response::close_connection(&mut response);
        }
        response
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        raw: Vec<u8>,
        socket: &Socket,
        accepted_at: Option<Instant>,
    ) -> Result<ClientResponse, RequestError> {
        if request.uri().path() == READINESS_PATH {
            return self.readiness(request.method());
        }
        let (parts, body) = request.into_parts();
        let head = RequestHead::read(&self.settings, &parts, &body, &raw)?;
        drop(raw);
        // The reservation is held until the response is available.
        let _reservation = self.reserve_body(&body)?;
        let body = read_body(body, accepted_at).await?;
        if self.host.open_requests() >= self.max_open_requests() {
            return Err(RequestError::TooManyOpenRequests);
        }
        // The request was read completely. From here on, it gets exactly one response.
        let deadline = Instant::now() + head.time_remaining.saturating_sub(RESPONSE_MARGIN);
        let deadline = self.drain_deadline.get().map_or(deadline, |until| deadline.min(until));
        // Every request must have a new id. A request whose id is already open is a duplicate. Forwarding it would be a
        // second concurrent attempt of the same request.
        let open_id = OpenId::reserve(&self.open_ids, &head.correlation_id);
        let _open_id = open_id.ok_or(RequestError::DuplicateId)?;
        self.forward(incoming_request(parts, head, body, deadline)?, socket).await
    }

    /// Submits a request, and waits for its final response or the close of its connection.
    async fn forward(
        &self,
        incoming: IncomingRequest,
        socket: &Socket,
    ) -> Result<ClientResponse, RequestError> {
        // hyper detects a close only if there is no unread input after the request, so the socket is checked directly. If
        // the client left while its connection was waiting to be accepted, the request is not submitted.
        let mut closed = pin!(socket.peer_closed());
        if poll_fn(|cx| Poll::Ready(closed.as_mut().poll(cx).is_ready())).await {
            return Err(RequestError::ClientClosed);
        }
        let SubmittedRequest { id, response } = self.host.submit(incoming);
        // If this future is dropped before the response is available, the client has closed the connection.
        let _guard = ClientGuard { host: self.host.clone(), id };
        tokio::select! {
            biased;
            response = response => Ok(response.map_or_else(|_| response::failed(), response::from_final)),
            () = closed => Err(RequestError::ClientClosed),
        }
    }

    /// Returns the response to a readiness check.
    fn readiness(&self, method: &Method) -> Result<ClientResponse, RequestError> {
        if method != Method::GET {
            return Err(RequestError::OnlyGet);
        }
        match self.is_ready.get() && self.drain_deadline.get().is_none() {
            true => Ok(response::plain(StatusCode::OK, "up\n")),
            false => Err(RequestError::NotReady),
        }
    }

    fn max_open_requests(&self) -> usize {
        match self.settings.max_open_requests {
            0 => MAX_OPEN_REQUESTS,
            max => MAX_OPEN_REQUESTS.min(max as usize),
        }
    }

    /// Reserves memory for a body: its length if that is known, else the maximum length.
    fn reserve_body(&self, body: &Incoming) -> Result<BodyReservation<'_>, RequestError> {
        let size = body.size_hint();
        if size.lower() > MAX_BODY as u64 {
            return Err(RequestError::BodyTooLarge);
        }
        let size = size.exact().map_or(MAX_BODY, |size| size as usize);
        let reservation = BodyReservation::reserve(&self.reserved_bodies, size, self.body_budget);
        reservation.ok_or(RequestError::OutOfBodyMemory)
    }
}

/// Reads the body of a request. `accepted_at` is the time at which the connection was accepted, and `None` unless this is
/// the first request on the connection.
async fn read_body(body: Incoming, accepted_at: Option<Instant>) -> Result<Bytes, RequestError> {
    let until = accepted_at.map_or_else(|| Instant::now() + BODY_TIMEOUT, |at| at + HEADER_TIMEOUT);
    match timeout_at(until, Limited::new(body, MAX_BODY).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RequestError::BodyTooLarge),
        Ok(Err(_)) => Err(RequestError::UnreadableBody),
        Err(_) => Err(RequestError::BodyTimeout),
    }
}

fn incoming_request(
    parts: Parts,
    head: RequestHead,
    body: Bytes,
    deadline: Instant,
) -> Result<IncomingRequest, RequestError> {
    let header = |name: HeaderName| parts.headers.get(name).cloned();
    let target = parts.uri.path_and_query().cloned();
    Ok(IncomingRequest {
        tenant: head.tenant,
        plan: head.plan,
        class: head.class,
        units: head.units,
        tenant_limiters: head.tenant_limiters,
        is_retry: header(RETRY_MARK).is_some_and(|value| value == "1"),
        forwarded: ForwardedRequest {
            target: target.ok_or(RequestError::NoPath)?,
            correlation_id: head.correlation_id,
            idempotency_key: header(IDEMPOTENCY_KEY),
            content_type: header(CONTENT_TYPE),
            method: parts.method,
            body,
            deadline,
        },
    })
}

impl Service for Clients {
    type Body = Full<Bytes>;

    async fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<ServerConnection>,
        accepted_at: Option<Instant>,
    ) -> ClientResponse {
        self.serve(request, connection.socket(), accepted_at).await
    }

    fn accept_failed(&self, error: &io::Error) {
        warn!(error:%; "cannot accept a connection; the limit of open files may be too low");
    }
}

fn connection_options(max_connections: usize) -> ConnectionOptions {
    ConnectionOptions {
        max_connections,
        max_header_bytes: MAX_HEADER_BYTES,
        recorded_bytes: MAX_HEADER_BYTES,
        header_timeout: Some(HEADER_TIMEOUT),
        linger: LINGER,
        idle_grace: IDLE_GRACE,
        first_request_grace: FIRST_REQUEST_GRACE,
        receive_grace: None,
        write_stall_timeout: WRITE_STALL_TIMEOUT,
        write_stall_grace: WRITE_STALL_GRACE,
        accept_retry_delay: ACCEPT_RETRY_DELAY,
        plain_heads: false,
        half_close: false,
    }
}
