//! Links between the processes of the system: framed messages over TCP, on one thread.
//!
//! Both sides of a link first send a `Hello`; then either side sends what it likes. Messages arrive whole, and in
//! order with those of their [`Lane`], or the link closes. Of messages with log or state only the latest that was
//! not begun is sent. What happens is told as [`PeerEvent`]s on one channel, which the host reads.
//!
//! All functions that start something (listen, connect) must be called on a tokio `LocalSet`.

mod link;
mod outbound;
mod socket;
mod table;

use quillpulley_protocol::{Body, FrameEncoder, Hello, Lane};
use std::cell::{Cell, RefCell};
use std::fmt::{Display, Formatter};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use table::Table;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::{spawn_local, AbortHandle};

pub use socket::{bind, bind_datagrams};

/// Names a link for as long as its process lives; never used again.
#[derive(Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Debug)]
pub struct LinkId(u64);

impl Display for LinkId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "link {}", self.0)
    }
}

/// What happened to a link.
///
/// Each connection that was asked for leads to exactly one of `Opened` and `ConnectFailed`, and each `Opened` is
/// followed by exactly one `Closed`, also where this side closed the link. Links that never opened because
/// the other side of an incoming connection sent no `Hello` are not told of.
#[derive(Debug)]
pub enum PeerEvent {
    /// Both sides are connected, and the other side has said who it is.
    Opened {
        /// The new link, or the one that `connect` returned.
        link: LinkId,
        /// What the other side says of itself.
        hello: Hello,
        /// Whether the other side connected.
        incoming: bool,
        /// The other side's address.
        address: SocketAddr,
    },
    /// A message.
    Frame {
        /// Where it came from.
        link: LinkId,
        /// What it says.
        body: Body,
    },
    /// The link is gone; what was sent shortly before may be lost.
    Closed {
        /// The link that is gone.
        link: LinkId,
    },
    /// No connection came up, or the other side sent no `Hello` in time.
    ConnectFailed {
        /// The link that `connect` returned.
        link: LinkId,
    },
}

/// The bounds of all links of a process.
#[derive(Clone, Copy, Debug)]
pub struct PeerOptions {
    /// A link from which nothing came for this long is closed.
    pub idle_limit: Option<Duration>,
    /// Incoming connections beyond so many at a time are closed at once.
    pub maximum_incoming: usize,
    /// Bytes that may wait to be sent on a link, log and state of the replication aside. One message may exceed it
    /// if nothing waits before it.
    pub maximum_queued: usize,
}

impl Default for PeerOptions {
    fn default() -> Self {
        PeerOptions { idle_limit: None, maximum_incoming: 256, maximum_queued: 8 * 1024 * 1024 }
    }
}

/// All links of a process. Dropping it closes them.
pub struct Peers {
    shared: Rc<Shared>,
    accepting: RefCell<Vec<AbortHandle>>,
}

/// What the tasks of the links have in common.
struct Shared {
    /// This side's `Hello`, as it goes on a stream.
    hello: Vec<u8>,
    options: PeerOptions,
    table: RefCell<Table>,
    encoder: RefCell<FrameEncoder>,
    incoming: Cell<usize>,
}

impl Peers {
    /// Links that introduce themselves by this `Hello`, with the usual bounds.
    pub fn new(hello: Hello) -> (Rc<Peers>, UnboundedReceiver<PeerEvent>) {
        Peers::with_options(hello, PeerOptions::default())
    }

    /// Links that introduce themselves by this `Hello`.
    pub fn with_options(hello: Hello, options: PeerOptions) -> (Rc<Peers>, UnboundedReceiver<PeerEvent>) {
        let (events, receiver) = unbounded_channel();
        let mut encoder = FrameEncoder::default();
        let mut greeting = Vec::new();
        encoder.append(&Body::Hello(Box::new(hello)), &mut greeting);
        let shared = Shared {
            hello: greeting,
            options,
            table: RefCell::new(Table::new(events, options.maximum_queued)),
            encoder: RefCell::new(encoder),
            incoming: Cell::new(0),
        };
        (Rc::new(Peers { shared: Rc::new(shared), accepting: RefCell::default() }), receiver)
    }

    /// Takes connections for as long as this lives or until [`Peers::stop_listening`].
    pub fn listen(&self, listener: TcpListener) {
        let task = spawn_local(link::accept(self.shared.clone(), listener));
        self.accepting.borrow_mut().push(task.abort_handle());
    }

    /// Closes all listeners; links stay as they are.
    pub fn stop_listening(&self) {
        self.accepting.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    /// Begins to connect. What is sent before the link has opened waits for it.
    pub fn connect(&self, address: SocketAddr) -> LinkId {
        let (link, outbound) = self.shared.table.borrow_mut().add_outgoing(address);
        spawn_local(link::connect(self.shared.clone(), link, outbound, address));
        link
    }

    /// Queues a message; never waits. Over the bound of waiting bytes the link closes. Nothing happens where
    /// the link is gone already.
    pub fn send(&self, link: LinkId, body: &Body) {
        self.send_all(&[link], body);
    }

    /// Queues a message on several links, written only once.
    pub fn send_all(&self, links: &[LinkId], body: &Body) {
        let encoder = &mut self.shared.encoder.borrow_mut();
        let message = encoder.message(body);
        let mut table = self.shared.table.borrow_mut();
        let lane = Lane::of(body);
        links.iter().for_each(|link| table.send_message(*link, lane, message));
    }

    /// Closes a link soon. What waits is still written as far as the other side takes it at once.
    pub fn close(&self, link: LinkId) {
        self.shared.table.borrow_mut().close(link);
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.stop_listening();
        self.shared.table.borrow_mut().close_all();
    }
}
