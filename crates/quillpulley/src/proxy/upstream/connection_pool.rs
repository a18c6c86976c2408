//! The pool of idle connections to servers, which also establishes new connections.

use quillpulley_http1::{ClientConnection, ConnectionLimits, Socket};
use quillpulley_load_balancer::ServerKey;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// Maximum time to establish a connection: three times the longest round trip between regions, plus a margin.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// TCP user timeout: a connection breaks if the server acknowledges no data for this long.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// An idle connection is closed after the server's keep-alive time divided by this. A request that is sent
/// just when the server closes the connection would end in a reset, and it would be unknown whether it
/// executed.
const KEEP_ALIVE_DIVISOR: u32 = 2;
/// Minimum number of idle connections to keep per server, even if its quota is smaller.
const MIN_IDLE_CONNECTIONS: usize = 2;
/// Minimum time between a response and the next request on a connection: bytes that arrive late after a
/// response must not be read as the next response.
const REUSE_DELAY: Duration = Duration::from_millis(10);

const CONNECTION_LIMITS: ConnectionLimits = ConnectionLimits {
    max_body: usize::MAX,
    max_buffer: 32 * 1024,
    body_timeout: Duration::from_secs(3600),
    reuse_delay: REUSE_DELAY,
    ready_timeout: Duration::ZERO,
};

/// A server that was chosen for a request or a health check.
#[derive(Clone, Debug)]
pub struct UpstreamPeer {
    /// The key of the server in the load balancer.
    pub key: ServerKey,
    /// The id of the server.
    pub id: String,
    /// The address and port that the server listens on.
    pub address: SocketAddr,
}

/// Why no connection was established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// The proxy has no descriptor left for a connection to a server.
    NoDescriptor,
    /// The server refused the connection or did not respond in time.
    Failed,
}

/// An established connection to a server.
pub struct Connected {
    /// The connection, on which no request is open.
    pub connection: ClientConnection,
    /// Whether the connection was idle in the pool before. Otherwise it is new.
    pub reused: bool,
}

struct IdleConnection {
    connection: ClientConnection,
    /// The earliest time at which the connection may be reused.
    reusable_at: Instant,
    /// The time from which on the connection is not reused, and is closed.
    expires_at: Instant,
}

/// The pool of connections to all servers.
pub struct ConnectionPool {
    /// Idle connections by server, with the most recently used last.
    idle: RefCell<HashMap<ServerKey, Vec<IdleConnection>>>,
    /// The number of open sockets to servers, idle or in use.
    open: Rc<Cell<usize>>,
    /// The maximum of `open`.
    max_open: usize,
    /// The sockets to abort when their server is removed, by the id of their guard.
    abortable: RefCell<HashMap<u64, (ServerKey, Rc<Socket>)>>,
    next_guard_id: Cell<u64>,
}

/// Keeps a connection registered to be aborted when its server is removed. Dropping the guard ends the
/// registration.
pub struct AbortGuard {
    pool: Rc<ConnectionPool>,
    id: u64,
}

impl Drop for AbortGuard {
    fn drop(&mut self) {
        self.pool.abortable.borrow_mut().remove(&self.id);
    }
}

impl ConnectionPool {
    /// Creates an empty pool, which opens at most `max_open` connections at once.
    pub fn new(max_open: usize) -> Rc<Self> {
        Rc::new(ConnectionPool {
            idle: RefCell::default(),
            open: Rc::default(),
            max_open,
            abortable: RefCell::default(),
            next_guard_id: Cell::new(0),
        })
    }

    /// Returns an idle connection to the server if one can be reused, else a new one.
    ///
    /// # Errors
    /// [`ConnectError`] if there is no idle connection and no new one can be established.
    pub async fn connect(&self, peer: &UpstreamPeer) -> Result<Connected, ConnectError> {
        if let Some(connection) = poll_fn(|cx| Poll::Ready(self.reuse(peer.key, cx))).await {
            return Ok(Connected { connection, reused: true });
        }
        if !self.ensure_descriptor() {
            return Err(ConnectError::NoDescriptor);
        }
        let connecting =
            timeout(CONNECT_TIMEOUT, ClientConnection::connect(peer.address, &self.open, CONNECTION_LIMITS));
        let Ok(Ok(connection)) = connecting.await else { return Err(ConnectError::Failed) };
        // If the option cannot be set, the loss of the server's machine is detected later.
        let _ = connection.socket().set_user_timeout(USER_TIMEOUT);
        Ok(Connected { connection, reused: false })
    }

    /// Returns a connection to the pool, which keeps at most `quota` idle connections to this server, or
    /// `MIN_IDLE_CONNECTIONS` if that is more. `keep_alive` is how long the server keeps the connection open
    /// while it is idle.
    ///
    /// If the response came before the request was written completely, the connection is closed: its
    /// unwritten bytes must not be written after the response.
    pub fn return_idle(
        &self,
        server: ServerKey,
        connection: ClientConnection,
        keep_alive: Duration,
        quota: usize,
    ) {
        let idle_time = keep_alive / KEEP_ALIVE_DIVISOR;
        if idle_time.is_zero() || connection.is_writing() {
            return;
        }
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let server_connections = idle.entry(server).or_default();
        if server_connections.len() >= quota.max(MIN_IDLE_CONNECTIONS) {
            server_connections.remove(0);
        }
        let (reusable_at, expires_at) = (now + REUSE_DELAY, now + idle_time);
        server_connections.push(IdleConnection { connection, reusable_at, expires_at });
    }

    /// Closes all idle connections to a server.
    pub fn close_idle_to(&self, server: ServerKey) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes the idle connections to a removed server, and aborts the connections registered with
    /// [`ConnectionPool::abort_when_removed`].
    pub fn abort_all(&self, server: ServerKey) {
        self.close_idle_to(server);
        let abortable = self.abortable.borrow();
        for (_, socket) in abortable.values().filter(|(owner, _)| *owner == server) {
            socket.abort();
        }
    }

    /// Registers a connection to be aborted when its server is removed. The registration ends when the guard
    /// is dropped.
    pub fn abort_when_removed(self: &Rc<Self>, server: ServerKey, socket: Rc<Socket>) -> AbortGuard {
        let id = self.next_guard_id.replace(self.next_guard_id.get() + 1);
        self.abortable.borrow_mut().insert(id, (server, socket));
        AbortGuard { pool: self.clone(), id }
    }

    /// Closes the idle connections that have expired.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, server_connections| {
            server_connections.retain(|idle| now < idle.expires_at);
            !server_connections.is_empty()
        });
    }

    /// Takes the most recently used idle connection that can be reused, and closes those that turn out to be
    /// unusable.
    fn reuse(&self, server: ServerKey, cx: &mut Context<'_>) -> Option<ClientConnection> {
        let mut idle = self.idle.borrow_mut();
        let server_connections = idle.get_mut(&server)?;
        let now = Instant::now();
        loop {
            let latest = server_connections.iter().rposition(|idle| now >= idle.reusable_at)?;
            let IdleConnection { mut connection, expires_at, .. } = server_connections.remove(latest);
            if now >= expires_at {
                continue;
            }
            // The last response has been read to its end, but hyper notices this only when it is polled.
            connection.poll_connection(cx);
            if connection.is_usable() {
                return Some(connection);
            }
        }
    }

    /// Returns whether a descriptor is available for one more connection. If all are in use, the idle
    /// connection that expires first is closed to free one.
    fn ensure_descriptor(&self) -> bool {
        if self.open.get() < self.max_open {
            return true;
        }
        let mut idle = self.idle.borrow_mut();
        let candidates = idle.values_mut().filter(|server_connections| !server_connections.is_empty());
        let oldest = candidates.min_by_key(|server_connections| server_connections[0].expires_at);
        oldest.map(|server_connections| server_connections.remove(0)).is_some()
    }
}
