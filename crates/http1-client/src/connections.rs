//! Incoming HTTP/1.1 connections: accepts them within a budget, closes those at rest, and ends them without losing a
//! request.
//!
//! What a request means is up to a [`Service`].

use crate::socket::{Socket, Tracked};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::CONNECTION;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// The limits of incoming connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionOptions {
    /// The most connections; the one that is idle longest gives way to a new one.
    pub budget: usize,
    /// The most bytes of a head, and of what hyper buffers of an answer.
    pub max_head: usize,
    /// Bytes that are recorded of what comes on a new connection (see [`Socket::record`]): one at least.
    pub record: usize,
    /// From connect, or from the answer before, the next head must come within this time, and idle connections end
    /// by it. Where there is none, the owner bounds both by [`Connections::close_slow`].
    pub head_time: Option<Duration>,
    /// After its last answer a connection is read on for so long, and so many bytes, while its client still
    /// sends: closing with bytes unread would reset it and destroy the answer.
    pub linger: (Duration, usize),
    /// A connection is at rest, and may be closed, after it has been idle for this time: on a new one, the request
    /// that it was opened for is most likely on its way.
    pub at_rest: Duration,
    /// The same for one that has never brought a whole request, where others wait for its place: a usual client
    /// connects because it has one to send.
    pub never_asked: Duration,
    /// Pause before accepting is tried again: after a failure, which most likely means that descriptors ran out,
    /// and where all connections that may be open are busy.
    pub accept_pause: Duration,
}

/// Answers the requests of all connections.
pub trait Service: 'static {
    /// The body of its answers.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Unpin + 'static;

    /// Answers a request. `first` is when the connection came, for the first request on it.
    fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<Connection>,
        first: Option<Instant>,
    ) -> impl Future<Output = Response<Self::Body>>;

    /// A connection could not be accepted; it is tried again.
    fn accept_failed(&self, error: &io::Error);
}

/// A client's connection.
pub struct Connection {
    socket: Rc<Socket>,
    busy: Cell<bool>,
    /// Whether it has brought a whole head.
    asked: Cell<bool>,
    /// Since when it is busy or idle: at first since it came.
    since: Cell<Instant>,
    /// Since when a part of a head lies there.
    begun: Cell<Option<Instant>>,
    /// Its answer says that it closes.
    closing: Cell<bool>,
    /// It closes without another answer.
    aborted: Cell<bool>,
    /// It closes at once, whatever is open on it.
    cut: Cell<bool>,
    /// Asks it to close once no request is open on it.
    close: Notify,
}

impl Connection {
    fn new(socket: Rc<Socket>) -> Self {
        Connection {
            socket,
            busy: Cell::new(false),
            asked: Cell::new(false),
            since: Cell::new(Instant::now()),
            begun: Cell::new(None),
            closing: Cell::new(false),
            aborted: Cell::new(false),
            cut: Cell::new(false),
            close: Notify::new(),
        }
    }

    /// Returns the socket that it is on.
    pub fn socket(&self) -> &Rc<Socket> {
        &self.socket
    }

    fn at_rest(&self, at_rest: Duration) -> bool {
        !self.busy.get() && self.since.get().elapsed() > at_rest
    }

    /// Returns whether it may give way to a new one. Those that never asked come first, so that silent connections
    /// crowd out no client.
    fn rank_to_close(&self, options: &ConnectionOptions) -> Option<(bool, Instant)> {
        let silent =
            !self.asked.get() && !self.busy.get() && self.since.get().elapsed() > options.never_asked;
        (silent || self.at_rest(options.at_rest)).then(|| (self.asked.get(), self.since.get()))
    }

    /// Returns whether it is idle for too long, or a head that it began does not end.
    fn slow(&self, idle_time: Duration, head_time: Duration) -> bool {
        if self.busy.get() {
            self.begun.set(None);
            return false;
        }
        if !self.socket.begun() {
            self.begun.set(None);
            return self.since.get().elapsed() > idle_time && self.socket.quiet();
        }
        let begun = self.begun.get().unwrap_or_else(Instant::now);
        self.begun.set(Some(begun));
        begun.elapsed() > head_time
    }

    /// Closes it at once, also in the middle of an answer, which then does not look complete. To be called where
    /// an answer that its client does not read has to end.
    pub fn cut(&self) {
        self.cut.set(true);
        self.close.notify_one();
    }

    fn abort(&self) {
        self.aborted.set(true);
        self.close.notify_one();
    }
}

/// The connections of all clients.
pub struct Connections {
    options: Cell<ConnectionOptions>,
    draining: Cell<bool>,
    open: RefCell<BTreeMap<u64, Rc<Connection>>>,
    next: Cell<u64>,
    closed: Notify,
}

impl Connections {
    /// None yet.
    pub fn new(options: ConnectionOptions) -> Rc<Self> {
        Rc::new(Connections {
            options: Cell::new(options),
            draining: Cell::new(false),
            open: RefCell::default(),
            next: Cell::new(0),
            closed: Notify::new(),
        })
    }

    /// The limits of connections from now on; those that are open keep theirs.
    pub fn set_options(&self, options: ConnectionOptions) {
        self.options.set(options);
    }

    /// Accepts connections for as long as it is polled.
    pub async fn accept<S: Service>(self: &Rc<Self>, listener: TcpListener, service: Rc<S>) {
        loop {
            let ConnectionOptions { budget, accept_pause, .. } = self.options.get();
            // A connection that is accepted may carry a request, and ending it would lose that one. Beyond
            // the budget the rest wait with the kernel until another has closed, or has become idle and is.
            while self.open.borrow().len() >= budget {
                self.close_idlest();
                let _ = timeout(accept_pause, self.closed.notified()).await;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    let serving = self.clone().serve(Socket::new(stream), service.clone());
                    tokio::task::spawn_local(serving);
                }
                Err(e) => {
                    service.accept_failed(&e);
                    tokio::time::sleep(accept_pause).await;
                }
            }
        }
    }

    /// Begins the end: from now on answers are to carry `Connection: close`. Idle connections stay for now.
    pub fn set_draining(&self) {
        self.draining.set(true);
    }

    /// Begins the end, and closes idle connections.
    pub fn drain(&self) {
        self.set_draining();
        // On those that have not asked yet, a request is most likely on its way.
        for connection in self.open.borrow().values().filter(|c| c.asked.get()) {
            connection.close.notify_one();
        }
    }

    /// Closes connections as they come to rest, until none is left, with the kernel either.
    pub async fn all_closed(&self) {
        let ConnectionOptions { at_rest, accept_pause, .. } = self.options.get();
        // One may still wait to be accepted where none is left: a round later it has come.
        let mut rounds_without = 0;
        while rounds_without < 2 {
            for connection in self.open.borrow().values().filter(|c| c.at_rest(at_rest)) {
                connection.close.notify_one();
            }
            tokio::time::sleep(accept_pause).await;
            rounds_without = if self.open.borrow().is_empty() { rounds_without + 1 } else { 0 };
        }
    }

    /// Closes the connections that have been idle for `idle_time`, and those where a head that was seen before has
    /// not ended within `head_time`.
    pub fn close_slow(&self, idle_time: Duration, head_time: Duration) {
        for connection in self.open.borrow().values().filter(|c| c.slow(idle_time, head_time)) {
            connection.abort();
        }
    }

    /// Connections that are open.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    fn close_idlest(&self) {
        let options = self.options.get();
        let connections = self.open.borrow();
        let ranked = connections.values().filter_map(|c| Some((c.rank_to_close(&options)?, c)));
        if let Some((_, idlest)) = ranked.min_by_key(|(rank, _)| *rank) {
            idlest.close.notify_one();
        }
    }

    async fn serve<S: Service>(self: Rc<Self>, socket: Rc<Socket>, service: Rc<S>) {
        let options = self.options.get();
        let number = self.next.replace(self.next.get() + 1);
        let connection = Rc::new(Connection::new(socket.clone()));
        self.open.borrow_mut().insert(number, connection.clone());
        socket.record(options.record);
        if self.exchange(&options, &connection, &service).await {
            // Nothing is owed to it any more: it gives way as one that never asked does.
            connection.asked.set(false);
            connection.since.set(Instant::now());
            tokio::select! {
                () = socket.linger(options.linger.0, options.linger.1) => {}
                () = connection.close.notified() => {}
            }
        }
        self.open.borrow_mut().remove(&number);
        self.closed.notify_one();
    }

    /// Serves a connection until it takes no more requests. True if its last answer may meet a client that
    /// still sends.
    async fn exchange<S: Service>(
        &self,
        options: &ConnectionOptions,
        state: &Rc<Connection>,
        service: &Rc<S>,
    ) -> bool {
        let respond = service_fn(|request| {
            let (service, state) = (service.clone(), state.clone());
            async move {
                let first = (!state.asked.replace(true)).then(|| state.since.get());
                let busy = Busy::new(state.clone());
                let reply = service.respond(request, state.clone(), first).await;
                if reply.headers().contains_key(CONNECTION) {
                    state.closing.set(true);
                }
                Ok::<_, Infallible>(reply.map(|body| BusyBody { body, _busy: busy }))
            }
        });
        let mut http = http1::Builder::new();
        if let Some(head_time) = options.head_time {
            http.timer(TokioTimer::new()).header_read_timeout(head_time);
        }
        http.max_buf_size(options.max_head);
        let io = TokioIo::new(Tracked(state.socket.clone()));
        let mut connection = pin!(http.serve_connection(io, respond));
        loop {
            tokio::select! {
                // An error here is the client's: it left, was too slow, or sent what is no HTTP and was told so.
                end = connection.as_mut() => return match end {
                    Ok(()) => state.closing.get(),
                    Err(e) => e.is_parse(),
                },
                () = state.close.notified() => {
                    if state.cut.get() {
                        return false;
                    }
                    if state.busy.get() {
                        state.closing.set(true);
                        connection.as_mut().graceful_shutdown();
                        continue;
                    }
                    if state.aborted.get() {
                        return false;
                    }
                    // A request that lies unread would be lost with its connection, and so would one that is
                    // half read: it is served first. Where others wait for the place, half a head is no
                    // request of one that never asked.
                    let expected = state.asked.get() || self.draining.get();
                    if !state.socket.quiet() || (expected && state.socket.begun()) {
                        continue;
                    }
                    if !state.asked.get() {
                        // Half a head would hold hyper's own shutdown up.
                        return false;
                    }
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Marks a connection as busy while a request is open on it.
struct Busy(Rc<Connection>);

impl Busy {
    fn new(connection: Rc<Connection>) -> Self {
        connection.busy.set(true);
        Busy(connection)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(false);
        self.0.since.set(Instant::now());
    }
}

/// The body of an answer, whose connection is busy until it has been taken over whole.
struct BusyBody<B> {
    body: B,
    _busy: Busy,
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
