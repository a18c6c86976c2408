//! An incoming connection, which serves requests until it closes.

use crate::connection_manager::ConnectionOptions;
use crate::socket::{Socket, SocketIo};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::CONNECTION;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Responds to the requests on all incoming connections.
pub trait Service: 'static {
    /// The type of response bodies.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Unpin + 'static;

    /// Responds to a request. `accepted_at` is the time at which the connection was accepted for its first
    /// request, and `None` for later requests.
    fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<ServerConnection>,
        accepted_at: Option<Instant>,
    ) -> impl Future<Output = Response<Self::Body>>;

    /// Is called when accepting a connection has failed. Accepting is retried after a delay.
    fn accept_failed(&self, error: &io::Error);
}

/// The order in which connections are closed to make room, the first one lowest: connections that have never
/// sent a request, then the others; within each group the connection that has been idle longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CloseRank {
    has_requested: bool,
    idle_since: Instant,
}

/// How serving a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServeEnd {
    /// The client may still be sending after the last response.
    Linger,
    /// There is nothing left to read or write.
    Closed,
}

/// An incoming connection.
pub struct ServerConnection {
    socket: Rc<Socket>,
    /// Whether a request is open. It is open until hyper has read the whole body of its response.
    busy: Cell<bool>,
    /// Whether the complete head of a request has arrived.
    has_requested: Cell<bool>,
    /// When the connection was accepted, or when it last became idle.
    idle_since: Cell<Instant>,
    /// When [`ServerConnection::is_slow`] first found a part of the head of the next request.
    head_seen_at: Cell<Option<Instant>>,
    /// Whether the latest response tells the client that the connection closes.
    closing: Cell<bool>,
    /// Whether the connection closes without another response unless a request is open.
    aborted: Cell<bool>,
    /// Whether the connection closes at once, even if a request is open.
    closes_at_once: Cell<bool>,
    /// Notified to ask the connection to close.
    close: Notify,
}

impl ServerConnection {
    pub(crate) fn new(socket: Rc<Socket>) -> Self {
        ServerConnection {
            socket,
            busy: Cell::new(false),
            has_requested: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            head_seen_at: Cell::new(None),
            closing: Cell::new(false),
            aborted: Cell::new(false),
            closes_at_once: Cell::new(false),
            close: Notify::new(),
        }
    }

    /// Returns the socket of the connection.
    pub fn socket(&self) -> &Rc<Socket> {
        &self.socket
    }

    /// Closes the connection at once, even in the middle of a response, which the client then recognizes as
    /// incomplete. This is meant for responses that the client does not read.
    pub fn close_now(&self) {
        self.closes_at_once.set(true);
        self.close.notify_one();
    }

    /// Closes the connection without another response, unless a request is open.
    pub(crate) fn abort(&self) {
        self.aborted.set(true);
        self.close.notify_one();
    }

    /// Asks the connection to close once no request is open.
    pub(crate) fn request_close(&self) {
        self.close.notify_one();
    }

    /// Waits until the connection is asked to close.
    pub(crate) async fn close_requested(&self) {
        self.close.notified().await;
    }

    /// Returns whether the complete head of a request has arrived.
    pub(crate) fn has_requested(&self) -> bool {
        self.has_requested.get()
    }

    /// Records that the last response has been sent: from now on the connection may be closed like one that
    /// has never had a request.
    pub(crate) fn forget_requests(&self) {
        self.has_requested.set(false);
        self.idle_since.set(Instant::now());
    }

    /// Returns whether the connection has been idle for longer than `idle_grace`.
    pub(crate) fn is_idle(&self, idle_grace: Duration) -> bool {
        !self.busy.get() && self.idle_since.get().elapsed() > idle_grace
    }

    /// Returns the rank of the connection if it may be closed to make room. Connections without a request are
    /// closed first, so that they do not displace clients that send requests.
    pub(crate) fn close_rank(&self, options: &ConnectionOptions) -> Option<CloseRank> {
        let is_unused = !self.has_requested.get() && self.is_idle(options.first_request_grace);
        let rank = CloseRank { has_requested: self.has_requested.get(), idle_since: self.idle_since.get() };
        (is_unused || self.is_idle(options.idle_grace)).then_some(rank)
    }

    /// Returns whether the connection has been idle for longer than `idle_timeout`, or the head of its next
    /// request has been incomplete for longer than `header_timeout`. The time of a head is measured from the
    /// first call that finds it.
    pub(crate) fn is_slow(&self, idle_timeout: Duration, header_timeout: Duration) -> bool {
        if self.busy.get() {
            self.head_seen_at.set(None);
            return false;
        }
        if !self.socket.has_input() {
            self.head_seen_at.set(None);
            return self.idle_since.get().elapsed() > idle_timeout && self.socket.is_open_and_empty();
        }
        let head_seen_at = self.head_seen_at.get().unwrap_or_else(Instant::now);
        self.head_seen_at.set(Some(head_seen_at));
        head_seen_at.elapsed() > header_timeout
    }

    /// Serves the connection until it accepts no further requests.
    pub(crate) async fn serve<S: Service>(
        self: &Rc<Self>,
        options: &ConnectionOptions,
        service: &Rc<S>,
        draining: &Cell<bool>,
    ) -> ServeEnd {
        let respond = service_fn(|request| self.clone().respond(request, service.clone()));
        let mut http = http1::Builder::new();
        if let Some(header_timeout) = options.header_timeout {
            http.timer(TokioTimer::new()).header_read_timeout(header_timeout);
        }
        http.max_buf_size(options.max_header_bytes);
        let io = TokioIo::new(SocketIo(self.socket.clone()));
        let mut connection = pin!(http.serve_connection(io, respond));
        loop {
            tokio::select! {
                // An error here is caused by the client: it closed the connection, was too slow, or sent
                // invalid HTTP, to which hyper has responded.
                end = connection.as_mut() => {
                    let lingers = end.map_or_else(|error| error.is_parse(), |()| self.closing.get());
                    return if lingers { ServeEnd::Linger } else { ServeEnd::Closed };
                }
                () = self.close.notified() => match self.close_action(draining.get()) {
                    CloseAction::Now => return ServeEnd::Closed,
                    CloseAction::Gracefully => connection.as_mut().graceful_shutdown(),
                    CloseAction::Later => {}
                },
            }
        }
    }

    async fn respond<S: Service>(
        self: Rc<Self>,
        request: Request<Incoming>,
        service: Rc<S>,
    ) -> Result<Response<BusyBody<S::Body>>, Infallible> {
        let accepted_at = (!self.has_requested.replace(true)).then(|| self.idle_since.get());
        let busy = BusyGuard::new(self.clone());
        let response = service.respond(request, self.clone(), accepted_at).await;
        if response.headers().contains_key(CONNECTION) {
            self.closing.set(true);
        }
        Ok(response.map(|body| BusyBody { body, _busy: busy }))
    }

    /// Returns how a connection that was asked to close does so now.
    fn close_action(&self, draining: bool) -> CloseAction {
        if self.closes_at_once.get() {
            return CloseAction::Now;
        }
        if self.busy.get() {
            self.closing.set(true);
            return CloseAction::Gracefully;
        }
        if self.aborted.get() {
            return CloseAction::Now;
        }
        // A request that is unread or partly read would be lost if the connection closed, so it is served
        // first. If the connection only closes to make room and has never sent a request, a part of a head
        // does not prevent this.
        let expects_request = self.has_requested.get() || draining;
        if !self.socket.is_open_and_empty() || (expects_request && self.socket.has_input()) {
            return CloseAction::Later;
        }
        // hyper's graceful shutdown would wait for the rest of a head that has arrived in part.
        match self.has_requested.get() {
            true => CloseAction::Gracefully,
            false => CloseAction::Now,
        }
    }
}

/// How a connection that was asked to close does so.
enum CloseAction {
    /// The connection closes at once.
    Now,
    /// The connection closes after the open response, if any.
    Gracefully,
    /// The connection does not close yet, because a request is arriving.
    Later,
}

/// Marks a connection as busy until it is dropped.
struct BusyGuard(Rc<ServerConnection>);

impl BusyGuard {
    fn new(connection: Rc<ServerConnection>) -> Self {
        connection.busy.set(true);
        BusyGuard(connection)
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.busy.set(false);
        self.0.idle_since.set(Instant::now());
    }
}

/// The body of a response. Its connection is busy until hyper has read all of it.
struct BusyBody<B> {
    body: B,
    _busy: BusyGuard,
}

impl<B: Body + Unpin> Body for BusyBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
