//! Idle connections to servers, and establishing new ones.

use quillpulley_http1_client::{ClientConnection, ConnectionLimits, Socket};
use quillpulley_load_balancer::ServerKey;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// The longest round trip between regions, three times over, and a little more.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A server that acknowledges nothing for this long is dead.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// An idle connection is closed after this fraction of the time after which the server closes it. A request that
/// crosses the server's close would end as a reset, and nobody knows whether it executed.
const IDLE_DIVISOR: u32 = 2;
/// Idle connections that are kept to a server, whatever its quota is.
const MIN_IDLE: usize = 2;
/// How long a connection rests between requests: late bytes behind a response must not be read as the next one.
const REUSE_DELAY: Duration = Duration::from_millis(10);

const LIMITS: ConnectionLimits = ConnectionLimits {
    max_body: usize::MAX,
    max_buffer: 32 * 1024,
    body_timeout: Duration::from_secs(3600),
    reuse_delay: REUSE_DELAY,
    ready_timeout: Duration::ZERO,
};

/// A server that was chosen.
#[derive(Clone, Debug)]
pub struct UpstreamPeer {
    /// The key of the server in the load balancer.
    pub key: ServerKey,
    /// The id of the server.
    pub id: String,
    /// The address that it listens at.
    pub address: SocketAddr,
}

/// Why no connection was established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// All descriptors for connections to servers are in use.
    NoDescriptor,
    /// The server rejects the connection or does not answer.
    Failed,
}

/// A connection to a server.
pub struct Connected {
    /// The connection.
    pub connection: ClientConnection,
    /// Whether it served a request before.
    pub reused: bool,
}

struct IdleConnection {
    connection: ClientConnection,
    /// When it may be reused.
    reusable_at: Instant,
    /// When it is closed.
    expires_at: Instant,
}

/// The connections to all servers.
pub struct ConnectionPool {
    /// Idle connections, the most recently used last.
    idle: RefCell<HashMap<ServerKey, Vec<IdleConnection>>>,
    /// The number of open sockets.
    open: Rc<Cell<usize>>,
    max_open: usize,
    abortable: RefCell<HashMap<u64, (ServerKey, Rc<Socket>)>>,
    next_guard: Cell<u64>,
}

/// Has a connection aborted when its server is removed, for as long as this exists.
pub struct AbortGuard {
    pool: Rc<ConnectionPool>,
    number: u64,
}

impl Drop for AbortGuard {
    fn drop(&mut self) {
        self.pool.abortable.borrow_mut().remove(&self.number);
    }
}

impl ConnectionPool {
    /// Creates an empty pool for up to `max_open` connections.
    pub fn new(max_open: usize) -> Rc<Self> {
        Rc::new(ConnectionPool {
            idle: RefCell::default(),
            open: Rc::default(),
            max_open,
            abortable: RefCell::default(),
            next_guard: Cell::new(0),
        })
    }

    /// Returns an idle connection if there is one that can be reused, else a new one.
    ///
    /// # Errors
    /// [`ConnectError`].
    pub async fn connect(&self, peer: &UpstreamPeer) -> Result<Connected, ConnectError> {
        if let Some(connection) = poll_fn(|cx| Poll::Ready(self.reuse(peer.key, cx))).await {
            return Ok(Connected { connection, reused: true });
        }
        if !self.ensure_descriptor() {
            return Err(ConnectError::NoDescriptor);
        }
        let connecting =
            timeout(CONNECT_TIMEOUT, ClientConnection::connect(peer.address, &self.open, LIMITS));
        let Ok(Ok(connection)) = connecting.await else { return Err(ConnectError::Failed) };
        // If it cannot be set, the loss of the server's machine is noticed later.
        let _ = connection.socket().set_user_timeout(USER_TIMEOUT);
        Ok(Connected { connection, reused: false })
    }

    /// Keeps an idle connection, of up to `quota` to this server, which keeps it for `keep_alive` itself.
    ///
    /// A connection with unwritten bytes of a request, whose response came early, is closed: the bytes must not be
    /// written behind the response.
    pub fn return_idle(
        &self,
        server: ServerKey,
        connection: ClientConnection,
        keep_alive: Duration,
        quota: usize,
    ) {
        let idle_time = keep_alive / IDLE_DIVISOR;
        if idle_time.is_zero() || connection.is_writing() {
            return;
        }
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let of_server = idle.entry(server).or_default();
        if of_server.len() >= quota.max(MIN_IDLE) {
            of_server.remove(0);
        }
        let (reusable_at, expires_at) = (now + REUSE_DELAY, now + idle_time);
        of_server.push(IdleConnection { connection, reusable_at, expires_at });
    }

    /// Closes the idle connections to a server that gets nothing more.
    pub fn close_idle_to(&self, server: ServerKey) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes all connections to a server that was removed, where [`ConnectionPool::abort_when_removed`] asked for it.
    pub fn abort_all(&self, server: ServerKey) {
        self.close_idle_to(server);
        let abortable = self.abortable.borrow();
        for (_, socket) in abortable.values().filter(|(of, _)| *of == server) {
            socket.abort();
        }
    }

    /// Has a connection aborted when its server is removed, for as long as the guard exists.
    pub fn abort_when_removed(self: &Rc<Self>, server: ServerKey, socket: Rc<Socket>) -> AbortGuard {
        let number = self.next_guard.replace(self.next_guard.get() + 1);
        self.abortable.borrow_mut().insert(number, (server, socket));
        AbortGuard { pool: self.clone(), number }
    }

    /// Closes the connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, of_server| {
            of_server.retain(|idle| now < idle.expires_at);
            !of_server.is_empty()
        });
    }

    /// Takes the connection that was used last and can be reused, and drops those that turn out to be unusable.
    fn reuse(&self, server: ServerKey, cx: &mut Context<'_>) -> Option<ClientConnection> {
        let mut idle = self.idle.borrow_mut();
        let of_server = idle.get_mut(&server)?;
        let now = Instant::now();
        loop {
            let latest = of_server.iter().rposition(|idle| now >= idle.reusable_at)?;
            let IdleConnection { mut connection, expires_at, .. } = of_server.remove(latest);
            if now >= expires_at {
                continue;
            }
            // The last response was read to its end; here hyper notices that.
            connection.poll_connection(cx);
            if connection.is_usable() {
                return Some(connection);
            }
        }
    }

    /// Returns whether there is a descriptor for one more connection. If necessary, the idle connection that expires
    /// first is closed.
    fn ensure_descriptor(&self) -> bool {
        if self.open.get() < self.max_open {
            return true;
        }
        let mut idle = self.idle.borrow_mut();
        let candidates = idle.values_mut().filter(|of_server| !of_server.is_empty());
        let oldest = candidates.min_by_key(|of_server| of_server[0].expires_at);
        oldest.map(|of_server| of_server.remove(0)).is_some()
    }
}
