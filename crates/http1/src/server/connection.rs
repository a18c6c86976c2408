//! An incoming connection, which serves requests until it closes.

use super::backlog::Backlog;
use super::options::{ConnectionOptions, Linger, WriteLimit};
use super::phase::{Event, Phase};
use super::write_timer::WriteTimer;
use crate::socket::{Socket, SocketIo};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::CONNECTION;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::error::Error;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
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
    /// The limits at the time at which the connection was accepted.
    options: ConnectionOptions,
    phase: Cell<Phase>,
    /// Whether the complete head of a request has arrived.
    has_requested: Cell<bool>,
    /// When the connection was accepted.
    accepted_at: Instant,
    backlog: Rc<Backlog>,
    /// The newest mark of the service after which the connection was opened, as far as that is certain.
    opened_after: u64,
    /// The time by which the current response has to be written.
    write_deadline: Cell<Option<Instant>>,
    /// What is dropped once the current response is written, or the connection has ended.
    held: RefCell<Vec<Box<dyn Any>>>,
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
    /// Creates a connection that was opened after the mark `opened_after` was set in `backlog`.
    pub(crate) fn new(
        socket: Rc<Socket>,
        options: ConnectionOptions,
        backlog: Rc<Backlog>,
        opened_after: u64,
    ) -> Self {
        let now = Instant::now();
        socket.record_input(options.recorded_bytes);
        ServerConnection {
            socket,
            options,
            phase: Cell::new(Phase::Idle { since: now }),
            has_requested: Cell::new(false),
            accepted_at: now,
            backlog,
            opened_after,
            write_deadline: Cell::new(None),
            held: RefCell::default(),
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

    /// Records that the current request has been read completely. Until then its connection may be closed to
    /// make room (see [`ConnectionOptions::receive_grace`]).
    pub fn request_received(&self) {
        self.handle(Event::RequestReceived);
    }

    /// Returns the newest mark after which the connection was opened, as far as that is certain; 0 if none is known.
    /// See [`ServerConnection::set_mark`].
    pub fn opened_after(&self) -> u64 {
        self.opened_after
    }

    /// Sets a mark, a number that grows, for all connections of the listener. Waits until the connections that were
    /// opened before the mark have been accepted, for `limit` at most; if that is too short, some connections are not
    /// known to have been opened after it.
    pub async fn set_mark(&self, mark: u64, limit: Duration) {
        self.backlog.mark(mark, limit).await;
    }

    /// Closes the connection once `deadline` is over if bytes of the current response still wait for the
    /// client to read. Called while a request is open.
    pub fn set_write_deadline(&self, deadline: Instant) {
        self.write_deadline.set(Some(deadline));
    }

    /// Sets the write deadline of a complete response of `bytes` bytes. Its time begins at `start`.
    pub fn limit_write_time(&self, start: Instant, limit: WriteLimit, bytes: usize) {
        self.set_write_deadline(start + limit.time(bytes));
    }

    /// Keeps `resource` until every byte of the current response was handed to the kernel, or the connection
    /// has ended. Called while a request is open.
    pub fn hold_until_written(&self, resource: impl Any) {
        self.held.borrow_mut().push(Box::new(resource));
    }

    /// Closes the connection at once, even in the middle of a response, which the client then recognizes as
    /// incomplete. This is meant for responses that the client does not read.
    pub(crate) fn close_now(&self) {
        self.closes_at_once.set(true);
        self.close.notify_one();
    }

    /// Closes the connection without another response, unless a response is not complete or not written.
    pub(crate) fn abort(&self) {
        self.aborted.set(true);
        self.close.notify_one();
    }

    /// Asks the connection to close once no request is open.
    pub(crate) fn request_close(&self) {
        self.close.notify_one();
    }

    /// Returns the maximum size of the head of a request on this connection, in bytes.
    pub(crate) fn max_header_bytes(&self) -> usize {
        self.options.max_header_bytes
    }

    /// Returns whether the complete head of a request has arrived.
    pub(crate) fn has_requested(&self) -> bool {
        self.has_requested.get()
    }

    /// Discards what the client still sends after the last response, until it closes the connection, the
    /// limits are reached, or the connection is asked to close. From now on it may be closed to make room like
    /// a connection that has never had a request.
    pub(crate) async fn linger(&self) {
        self.has_requested.set(false);
        self.handle(Event::LingerBegan { at: Instant::now() });
        let Linger { time, bytes } = self.options.linger;
        tokio::select! {
            () = self.socket.linger(time, bytes) => {}
            () = self.close.notified() => {}
        }
    }

    /// Handles an event of the connection.
    fn handle(&self, event: Event) {
        let before = self.phase.get();
        let after = before.after(event);
        self.phase.set(after);
        if before == Phase::Writing && after != Phase::Writing {
            self.release_held();
        }
    }

    /// Ends the current response: drops what it holds, and its deadline.
    fn release_held(&self) {
        self.write_deadline.set(None);
        // Dropping a resource may use the connection, so the list is not borrowed meanwhile.
        let next = || self.held.borrow_mut().pop();
        while let Some(resource) = next() {
            drop(resource);
        }
    }

    /// Returns whether a response is not complete, or not written completely.
    fn is_busy(&self) -> bool {
        self.phase.get().idle_since().is_none()
    }

    /// Returns whether the connection is idle and no complete head of a request has arrived on it.
    pub(crate) fn awaits_first_request(&self) -> bool {
        !self.has_requested.get() && !self.is_busy()
    }

    /// Returns whether the connection has been idle for longer than `idle_grace`.
    pub(crate) fn is_idle(&self, idle_grace: Duration) -> bool {
        self.phase.get().idle_since().is_some_and(|since| since.elapsed() > idle_grace)
    }

    /// Returns whether a response is complete, and some of its bytes wait for the client to read.
    pub(crate) fn is_writing(&self) -> bool {
        self.phase.get() == Phase::Writing
    }

    /// Returns since when a request is being received; `None` if none is.
    pub(crate) fn receiving_since(&self) -> Option<Instant> {
        self.phase.get().receiving_since()
    }

    /// Returns since when the client has read nothing of a response that waits for it; `None` if none waits.
    pub(crate) fn stalled_since(&self) -> Option<Instant> {
        self.socket.write_blocked_since()
    }

    /// Returns the rank of the connection if it may be closed to make room. Connections without a request are
    /// closed first, so that they do not displace clients that send requests.
    pub(crate) fn close_rank(&self, options: &ConnectionOptions) -> Option<CloseRank> {
        let idle_since = self.phase.get().idle_since()?;
        let is_unused = !self.has_requested.get() && self.is_idle(options.first_request_grace);
        let rank = CloseRank { has_requested: self.has_requested.get(), idle_since };
        (is_unused || self.is_idle(options.idle_grace)).then_some(rank)
    }

    /// Returns whether the connection has been idle for longer than `idle_timeout`, or the head of its next
    /// request has been incomplete for longer than `header_timeout`. The time of a head is measured from the
    /// first call that finds it.
    pub(crate) fn is_slow(&self, idle_timeout: Duration, header_timeout: Duration) -> bool {
        let Some(idle_since) = self.phase.get().idle_since() else {
            self.head_seen_at.set(None);
            return false;
        };
        if !self.socket.has_input() {
            self.head_seen_at.set(None);
            return idle_since.elapsed() > idle_timeout && self.socket.is_open_and_empty();
        }
        let head_seen_at = self.head_seen_at.get().unwrap_or_else(Instant::now);
        self.head_seen_at.set(Some(head_seen_at));
        head_seen_at.elapsed() > header_timeout
    }

    /// Serves the connection until it accepts no further requests.
    pub(crate) async fn serve<S: Service>(
        self: &Rc<Self>,
        service: &Rc<S>,
        draining: &Cell<bool>,
    ) -> ServeEnd {
        let options = &self.options;
        let respond = service_fn(|request| self.clone().respond(request, service.clone()));
        let mut http = http1::Builder::new();
        if let Some(header_timeout) = options.header_timeout {
            http.timer(TokioTimer::new()).header_read_timeout(header_timeout);
        }
        http.max_buf_size(options.max_header_bytes);
        http.half_close(options.half_close);
        http.title_case_headers(options.plain_heads).auto_date_header(!options.plain_heads);
        let io = TokioIo::new(SocketIo(self.socket.clone()));
        let mut connection = pin!(http.serve_connection(io, respond));
        let mut write_timer = WriteTimer::new(options.write_stall_timeout);
        let end = loop {
            let progress = poll_fn(|cx| {
                if let Poll::Ready(end) = connection.as_mut().poll(cx) {
                    return Poll::Ready(Progress::Ended(end));
                }
                self.observe_written();
                ready!(write_timer.poll_expired(&self.socket, self.write_deadline.get(), cx));
                Poll::Ready(Progress::WriteTimedOut)
            });
            tokio::select! {
                progress = progress => break self.serve_end(progress),
                () = self.close.notified() => match self.close_action(draining.get()) {
                    CloseAction::Now => break ServeEnd::Closed,
                    CloseAction::Gracefully => connection.as_mut().graceful_shutdown(),
                    CloseAction::Later => {}
                },
            }
        };
        self.release_held();
        end
    }

    /// Notices that the response was written completely. Called after each poll of hyper, which then has
    /// either written all bytes of a complete response, or waits for the kernel to accept more.
    fn observe_written(&self) {
        if self.phase.get() == Phase::Writing && self.socket.write_blocked_since().is_none() {
            self.handle(Event::ResponseWritten { at: Instant::now() });
        }
    }

    fn serve_end(&self, progress: Progress) -> ServeEnd {
        let lingers = match progress {
            // Closing a connection with unread input resets it, and the client might lose the response.
            Progress::Ended(Ok(())) => self.closing.get() || !self.socket.is_open_and_empty(),
            // An error is caused by the client: it closed the connection, was too slow, or sent invalid
            // HTTP, to which hyper has responded.
            Progress::Ended(Err(error)) => error.is_parse(),
            Progress::WriteTimedOut => {
                log::debug!("closing a connection: the client does not read its response");
                false
            }
        };
        if lingers {
            ServeEnd::Linger
        } else {
            ServeEnd::Closed
        }
    }

    async fn respond<S: Service>(
        self: Rc<Self>,
        request: Request<Incoming>,
        service: Rc<S>,
    ) -> Result<Response<ResponseBody<S::Body>>, Infallible> {
        let accepted_at = (!self.has_requested.replace(true)).then_some(self.accepted_at);
        let open_request = OpenRequest::new(self.clone());
        let response = service.respond(request, self.clone(), accepted_at).await;
        self.socket.record_input(self.options.recorded_bytes);
        if response.headers().contains_key(CONNECTION) {
            self.closing.set(true);
        }
        Ok(response.map(|body| ResponseBody { body, _open_request: open_request }))
    }

    /// Returns how a connection that was asked to close does so now.
    fn close_action(&self, draining: bool) -> CloseAction {
        if self.closes_at_once.get() {
            return CloseAction::Now;
        }
        if self.is_busy() {
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

/// What a poll of a connection has brought.
enum Progress {
    /// hyper has ended the connection.
    Ended(hyper::Result<()>),
    /// The client has not read its response in time.
    WriteTimedOut,
}

/// An open request. It ends when the body of its response has been read completely, or is dropped.
struct OpenRequest(Rc<ServerConnection>);

impl OpenRequest {
    fn new(connection: Rc<ServerConnection>) -> Self {
        connection.handle(Event::HeadArrived { at: Instant::now() });
        OpenRequest(connection)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.handle(Event::ResponseEnded);
    }
}

/// The body of a response, which ends its request when hyper has read all of it.
struct ResponseBody<B> {
    body: B,
    _open_request: OpenRequest,
}

impl<B: Body + Unpin> Body for ResponseBody<B> {
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
