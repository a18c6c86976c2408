//! Links between the processes of the system: framed messages over TCP, on one thread.
//!
//! Both sides of a link first send a `Hello`. After that either side sends messages at any time. Messages arrive
//! complete, and in order with those of their [`Lane`], or the link closes. Of queued messages with log entries or
//! state, a later one replaces an earlier one that was not begun. The host receives [`PeerEvent`]s on one channel.
//!
//! Functions that start a task (listen, connect) must be called on a tokio `LocalSet`.

mod link;
mod link_table;
mod outbound;
mod socket;

use link_table::LinkTable;
use quillpulley_protocol::{Body, FrameEncoder, Hello, Lane};
use std::cell::{Cell, RefCell};
use std::fmt::{Display, Formatter};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::{spawn_local, AbortHandle};

pub use socket::{bind, bind_datagrams};

/// Identifies a link. It is unique within a process, and never reused.
#[derive(Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Debug)]
pub struct LinkId(u64);

impl Display for LinkId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "link {}", self.0)
    }
}

/// An event of a link.
///
/// Each call of [`Peers::connect`] leads to exactly one of `Opened` and `ConnectFailed`, and each `Opened` is followed
/// by exactly one `Closed`, also if this side closed the link. An incoming connection without a `Hello` has no event.
#[derive(Debug)]
pub enum PeerEvent {
    /// The link is open, and the peer has introduced itself.
    Opened {
        /// The new link, or the one that `connect` returned.
        link: LinkId,
        /// The introduction of the peer.
        hello: Hello,
        /// Whether the peer connected.
        incoming: bool,
        /// The address of the peer.
        address: SocketAddr,
    },
    /// A message was received.
    Frame {
        /// The link that it was received on.
        link: LinkId,
        /// The message.
        body: Body,
    },
    /// The link is closed. Messages that were sent shortly before may be lost.
    Closed {
        /// The link that is closed.
        link: LinkId,
    },
    /// No connection was established, or the peer sent no `Hello` in time.
    ConnectFailed {
        /// The link that `connect` returned.
        link: LinkId,
    },
}

/// The limits of all links of a process.
#[derive(Clone, Copy, Debug)]
pub struct PeerOptions {
    /// A link on which nothing was received for this long is closed.
    pub idle_timeout: Option<Duration>,
    /// The most incoming connections. Further ones are closed at once.
    pub max_incoming: usize,
    /// The most queued bytes of a link, without log and state of the replication. A single message may exceed it if
    /// nothing else is queued.
    pub max_queued_bytes: usize,
}

impl Default for PeerOptions {
    fn default() -> Self {
        PeerOptions { idle_timeout: None, max_incoming: 256, max_queued_bytes: 8 * 1024 * 1024 }
    }
}

/// All links of a process. Dropping it closes them.
pub struct Peers {
    shared: Rc<Shared>,
    accepting: RefCell<Vec<AbortHandle>>,
}

/// What the tasks of all links share.
struct Shared {
    /// The encoded `Hello` of this process.
    hello: Vec<u8>,
    options: PeerOptions,
    link_table: RefCell<LinkTable>,
    encoder: RefCell<FrameEncoder>,
    incoming: Cell<usize>,
}

impl Peers {
    /// Creates the links of a process that introduces itself by `hello`, with default limits.
    pub fn new(hello: Hello) -> (Rc<Peers>, UnboundedReceiver<PeerEvent>) {
        Peers::with_options(hello, PeerOptions::default())
    }

    /// Creates the links of a process that introduces itself by `hello`.
    pub fn with_options(hello: Hello, options: PeerOptions) -> (Rc<Peers>, UnboundedReceiver<PeerEvent>) {
        let (events, receiver) = unbounded_channel();
        let mut encoder = FrameEncoder::default();
        let mut encoded_hello = Vec::new();
        encoder.append(&Body::Hello(Box::new(hello)), &mut encoded_hello);
        let shared = Shared {
            hello: encoded_hello,
            options,
            link_table: RefCell::new(LinkTable::new(events, options.max_queued_bytes)),
            encoder: RefCell::new(encoder),
            incoming: Cell::new(0),
        };
        (Rc::new(Peers { shared: Rc::new(shared), accepting: RefCell::default() }), receiver)
    }

    /// Accepts connections until this is dropped, or [`Peers::stop_listening`] is called.
    pub fn listen(&self, listener: TcpListener) {
        let task = spawn_local(link::accept(self.shared.clone(), listener));
        self.accepting.borrow_mut().push(task.abort_handle());
    }

    /// Closes all listeners. Links stay open.
    pub fn stop_listening(&self) {
        self.accepting.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    /// Begins to connect. Messages that are sent before the link is open are queued.
    pub fn connect(&self, address: SocketAddr) -> LinkId {
        let (link, outbound) = self.shared.link_table.borrow_mut().add_outgoing(address);
        spawn_local(link::connect(self.shared.clone(), link, outbound, address));
        link
    }

    /// Queues a message, without blocking. If too many bytes are queued the link closes. On a closed link it does
    /// nothing.
    pub fn send(&self, link: LinkId, body: &Body) {
        self.send_all(&[link], body);
    }

    /// Queues a message on several links, and encodes it only once.
    pub fn send_all(&self, links: &[LinkId], body: &Body) {
        let encoder = &mut self.shared.encoder.borrow_mut();
        let message = encoder.message(body);
        let mut link_table = self.shared.link_table.borrow_mut();
        let lane = Lane::of(body);
        links.iter().for_each(|link| link_table.send_message(*link, lane, message));
    }

    /// Closes a link. The queue is written as far as the socket accepts it at once.
    pub fn close(&self, link: LinkId) {
        self.shared.link_table.borrow_mut().close(link);
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.stop_listening();
        self.shared.link_table.borrow_mut().close_all();
    }
}
