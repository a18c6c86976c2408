//! Kept connections to servers, and making new ones.

use quillpulley_http1_client::{Link, LinkOptions, Socket};
use quillpulley_load_balancer::ServerKey;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// The longest way between regions and back, three times over, and a little more.
const CONNECT_TIME: Duration = Duration::from_millis(300);
/// A server from which nothing is acknowledged for so long is gone.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// A kept connection is closed after this part of the time after which the server closes it: a request that
/// crosses the server's close would end as a reset, of which nobody knows whether it ran.
const IDLE_DIVISOR: u32 = 2;
/// Connections that are kept to a server whatever its share is.
const LEAST_KEPT: usize = 2;

const LINK: LinkOptions = LinkOptions {
    max_body: usize::MAX,
    max_buffer: 32 * 1024,
    answer: Duration::from_secs(3600),
    rest: Duration::from_millis(10),
    settle: Duration::ZERO,
};

/// A server that was chosen.
#[derive(Clone, Debug)]
pub struct Target {
    /// Names it.
    pub key: ServerKey,
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// All descriptors for servers are in use.
    NoDescriptor,
    /// The server refuses it or is silent.
    Failed,
}

/// A connection to a server.
pub struct Connected {
    /// The connection.
    pub link: Link,
    /// Whether it served a request before.
    pub reused: bool,
}

struct Kept {
    link: Link,
    /// When it may be used again: what comes late behind an answer must not be read as the next one.
    rested: Instant,
    /// When it is closed.
    until: Instant,
}

/// The connections to all servers.
pub struct Pool {
    /// The most recently used last.
    kept: RefCell<HashMap<ServerKey, Vec<Kept>>>,
    /// Sockets to servers now, and at most.
    open: Rc<Cell<usize>>,
    budget: usize,
    watched: RefCell<HashMap<u64, (ServerKey, Rc<Socket>)>>,
    next_watch: Cell<u64>,
}

/// A connection that ends once its server is gone.
pub struct Watch {
    pool: Rc<Pool>,
    number: u64,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.pool.watched.borrow_mut().remove(&self.number);
    }
}

impl Pool {
    /// No connections yet, and so many at most.
    pub fn new(budget: usize) -> Rc<Self> {
        Rc::new(Pool {
            kept: RefCell::default(),
            open: Rc::default(),
            budget,
            watched: RefCell::default(),
            next_watch: Cell::new(0),
        })
    }

    /// Returns a kept connection if there is a usable one, else a new one.
    pub async fn connect(&self, target: &Target) -> Result<Connected, ConnectError> {
        if let Some(link) = poll_fn(|cx| Poll::Ready(self.reuse(target.key, cx))).await {
            return Ok(Connected { link, reused: true });
        }
        if !self.make_room() {
            return Err(ConnectError::NoDescriptor);
        }
        let connecting = timeout(CONNECT_TIME, Link::connect(target.address, &self.open, LINK));
        let Ok(Ok(link)) = connecting.await else { return Err(ConnectError::Failed) };
        // Without it a server without power is noticed later.
        let _ = link.socket().set_user_timeout(USER_TIMEOUT);
        Ok(Connected { link, reused: false })
    }

    /// Keeps a connection whose answer is over, if the server keeps it open for so long while it is idle, and has
    /// taken the whole request: the rest of one that it answered early is not written behind its back.
    /// `most` is how many to keep to this server.
    pub fn keep(&self, server: ServerKey, link: Link, keep_alive: Duration, most: usize) {
        let idle = keep_alive / IDLE_DIVISOR;
        if idle.is_zero() || link.is_writing() {
            return;
        }
        let now = Instant::now();
        let kept = &mut *self.kept.borrow_mut();
        let of_server = kept.entry(server).or_default();
        if of_server.len() >= most.max(LEAST_KEPT) {
            of_server.remove(0);
        }
        of_server.push(Kept { rested: now + LINK.rest, until: now + idle, link });
    }

    /// Closes what is kept to a server that gets nothing more.
    pub fn forget(&self, server: ServerKey) {
        self.kept.borrow_mut().remove(&server);
    }

    /// The server is gone: ends what waits for it and has asked to be told ([`Pool::watch`]).
    pub fn abort(&self, server: ServerKey) {
        self.forget(server);
        let watched = self.watched.borrow();
        for (_, socket) in watched.values().filter(|(of, _)| *of == server) {
            socket.abort();
        }
    }

    /// Has a connection ended once its server is gone, for as long as the result lives.
    pub fn watch(self: &Rc<Self>, server: ServerKey, socket: Rc<Socket>) -> Watch {
        let number = self.next_watch.replace(self.next_watch.get() + 1);
        self.watched.borrow_mut().insert(number, (server, socket));
        Watch { pool: self.clone(), number }
    }

    /// Closes what has been idle for too long.
    pub fn close_idle(&self) {
        let now = Instant::now();
        self.kept.borrow_mut().retain(|_, of_server| {
            of_server.retain(|kept| now < kept.until);
            !of_server.is_empty()
        });
    }

    /// Returns the connection that was used last and has rested, past those that are no longer good.
    fn reuse(&self, server: ServerKey, cx: &mut Context<'_>) -> Option<Link> {
        let mut kept = self.kept.borrow_mut();
        let of_server = kept.get_mut(&server)?;
        let now = Instant::now();
        loop {
            let rested = of_server.iter().rposition(|kept| now >= kept.rested)?;
            let Kept { mut link, until, .. } = of_server.remove(rested);
            if now >= until {
                continue;
            }
            // The answer before was read to its end; here the connection takes note of it.
            link.poll_connection(cx);
            if link.usable() {
                return Some(link);
            }
        }
    }

    /// Makes room for one more socket: the connection that would be closed first gives way.
    fn make_room(&self) -> bool {
        if self.open.get() < self.budget {
            return true;
        }
        let mut kept = self.kept.borrow_mut();
        let oldest = kept.values_mut().filter(|of_server| !of_server.is_empty());
        let oldest = oldest.min_by_key(|of_server| of_server[0].until);
        oldest.map(|of_server| of_server.remove(0)).is_some()
    }
}
