//! All incoming connections: accepts them within a budget, closes idle ones, and drains without losing a request.
//!
//! What a request means is up to a [`Service`].

use crate::server_connection::{ServeEnd, ServerConnection, Service};
use crate::socket::Socket;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Rounds without a connection after which none waits in the kernel's queue either.
const EMPTY_ROUNDS: u32 = 2;

/// How a connection is read on after its last response, while its client still sends: closing it with unread bytes
/// would reset it and destroy the response.
#[derive(Clone, Copy, Debug)]
pub struct Linger {
    /// For how long.
    pub time: Duration,
    /// The most bytes.
    pub bytes: usize,
}

/// The limits of incoming connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionOptions {
    /// The most connections. The one that has been idle longest is replaced by a new one.
    pub max_connections: usize,
    /// The most bytes of a head, and of what hyper buffers of a response.
    pub max_header_bytes: usize,
    /// Bytes that are recorded of what comes on a new connection (see [`Socket::record_input`]): one at least.
    pub recorded_bytes: usize,
    /// The longest time from connect, or from the last response, to the end of the next head, which bounds idle
    /// connections too. If there is none, the owner bounds both by [`ConnectionManager::close_slow`].
    pub header_timeout: Option<Duration>,
    /// How a connection is read on after its last response.
    pub linger: Linger,
    /// A connection may be closed after it has been idle for this time. Before that, the request that it was opened for
    /// is most likely on its way.
    pub idle_grace: Duration,
    /// The same for a connection that has never brought a complete request, when it has to make room.
    pub first_request_grace: Duration,
    /// The time until accepting is tried again: after a failure, which most likely means that descriptors ran out, and
    /// when all connections are busy.
    pub accept_retry_delay: Duration,
}

/// All incoming connections of a listener.
pub struct ConnectionManager {
    options: Cell<ConnectionOptions>,
    draining: Cell<bool>,
    connections: RefCell<BTreeMap<u64, Rc<ServerConnection>>>,
    next_number: Cell<u64>,
    closed: Notify,
}

impl ConnectionManager {
    /// Creates a manager without connections.
    pub fn new(options: ConnectionOptions) -> Rc<Self> {
        Rc::new(ConnectionManager {
            options: Cell::new(options),
            draining: Cell::new(false),
            connections: RefCell::default(),
            next_number: Cell::new(0),
            closed: Notify::new(),
        })
    }

    /// Sets the limits of new connections. Open ones keep theirs.
    pub fn set_options(&self, options: ConnectionOptions) {
        self.options.set(options);
    }

    /// Accepts connections for as long as it is polled. Must be polled on a tokio `LocalSet`.
    pub async fn accept<S: Service>(self: &Rc<Self>, listener: TcpListener, service: Rc<S>) {
        loop {
            let ConnectionOptions { max_connections, accept_retry_delay, .. } = self.options.get();
            // A connection that is accepted may carry a request, and closing it would lose that one. Beyond the budget
            // connections wait in the kernel's queue until another one has closed.
            while self.open_count() >= max_connections {
                self.close_most_idle();
                let _ = timeout(accept_retry_delay, self.closed.notified()).await;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(self.clone().serve(Socket::new(stream), service.clone()));
                }
                Err(error) => {
                    service.accept_failed(&error);
                    sleep(accept_retry_delay).await;
                }
            }
        }
    }

    /// Begins to drain: responses are to carry `Connection: close` from now on. Idle connections stay open for now.
    pub fn set_draining(&self) {
        self.draining.set(true);
    }

    /// Begins to drain and closes idle connections.
    pub fn drain(&self) {
        self.set_draining();
        // On a connection without a request so far, the first is most likely on its way.
        for connection in self.connections.borrow().values().filter(|connection| connection.has_requested()) {
            connection.request_close();
        }
    }

    /// Closes connections as they become idle, until none is left, nor one in the kernel's queue.
    pub async fn all_closed(&self) {
        let ConnectionOptions { idle_grace, accept_retry_delay, .. } = self.options.get();
        let mut empty_rounds = 0;
        while empty_rounds < EMPTY_ROUNDS {
            for connection in
                self.connections.borrow().values().filter(|connection| connection.is_idle(idle_grace))
            {
                connection.request_close();
            }
            sleep(accept_retry_delay).await;
            empty_rounds = if self.open_count() == 0 { empty_rounds + 1 } else { 0 };
        }
    }

    /// Closes the connections that have been idle for `idle_timeout`, and those where a head that was seen before is
    /// not complete within `header_timeout`.
    pub fn close_slow(&self, idle_timeout: Duration, header_timeout: Duration) {
        let connections = self.connections.borrow();
        for connection in connections.values().filter(|each| each.is_slow(idle_timeout, header_timeout)) {
            connection.abort();
        }
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.connections.borrow().len()
    }

    fn close_most_idle(&self) {
        let options = self.options.get();
        let connections = self.connections.borrow();
        let ranked = connections.values().filter_map(|each| Some((each.close_rank(&options)?, each)));
        if let Some((_, connection)) = ranked.min_by_key(|(rank, _)| *rank) {
            connection.request_close();
        }
    }

    async fn serve<S: Service>(self: Rc<Self>, socket: Rc<Socket>, service: Rc<S>) {
        let options = self.options.get();
        let number = self.next_number.replace(self.next_number.get() + 1);
        let connection = Rc::new(ServerConnection::new(socket.clone()));
        self.connections.borrow_mut().insert(number, connection.clone());
        socket.record_input(options.recorded_bytes);
        if connection.serve(&options, &service, &self.draining).await == ServeEnd::Linger {
            connection.forget_requests();
            tokio::select! {
                () = socket.linger(options.linger.time, options.linger.bytes) => {}
                () = connection.close_requested() => {}
            }
        }
        self.connections.borrow_mut().remove(&number);
        self.closed.notify_one();
    }
}
