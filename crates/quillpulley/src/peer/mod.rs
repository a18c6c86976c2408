//! Links between the processes of the system: framed messages over TCP, handled on one thread.
//!
//! Each side of a link first sends a `Hello`. After that, either side may send messages at any time. Messages of one
//! [`Lane`] are delivered complete and in order, or else the link closes. On [`Lane::State`], a new message replaces a
//! queued one whose transmission has not begun. The host receives [`PeerEvent`]s on one channel.
//!
//! Functions that spawn a task ([`Peers::listen`], [`Peers::connect`]) must be called on a tokio `LocalSet`.

mod link;
mod link_table;
mod outbound;
mod socket;

use link_table::LinkTable;
use quillpulley_protocol::{Body, FrameEncoder, Hello, Lane, OutgoingMessage};
use std::cell::RefCell;
use std::fmt::{Display, Formatter};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};

pub use socket::{bind, bind_datagrams, bind_links};

/// The identifier of a link. It is unique within the process and never reused; later links have greater identifiers.
#[derive(Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Debug)]
pub struct LinkId(u64);

impl Display for LinkId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "link {}", self.0)
    }
}

/// An event of a link.
///
/// Each call of [`Peers::connect`] results in exactly one `Opened` or `ConnectFailed`. Each `Opened` is followed by
/// exactly one `Closed`, even if this side closed the link. An incoming connection on which no `Hello` arrives causes no
/// event.
#[derive(Debug)]
pub enum PeerEvent {
    /// The link is open, and the `Hello` of the peer has arrived.
    Opened {
        /// The link that `connect` returned, or a new one if the peer initiated the connection.
        link: LinkId,
        /// The `Hello` of the peer, which identifies it.
        hello: Hello,
        /// Whether the peer initiated the connection.
        incoming: bool,
        /// The remote address.
        address: SocketAddr,
    },
    /// A message was received.
    Frame {
        /// The link on which it was received.
        link: LinkId,
        /// The message.
        body: Body,
    },
    /// An open link has closed. Messages that either side sent shortly before may be lost.
    Closed {
        /// The link that is closed.
        link: LinkId,
    },
    /// An outgoing link did not open: no connection was established, the peer sent no `Hello` in time, or this side
    /// closed the link before it was open.
    ConnectFailed {
        /// The link that `connect` returned.
        link: LinkId,
    },
}

/// The limits that apply to the links of a process.
#[derive(Clone, Copy, Debug)]
pub struct PeerOptions {
    /// A link on which no bytes were received for this long is closed. `None` means no limit.
    pub idle_timeout: Option<Duration>,
    /// The maximum number of open links that peers have initiated. Further connections are closed at once.
    pub max_incoming: usize,
    /// The maximum number of incoming connections on which no `Hello` has arrived yet. When it is reached, the oldest of
    /// them is closed to make room for a new one.
    pub max_handshakes: usize,
    /// The maximum number of queued bytes of each link, not counting [`Lane::State`]. A single message may exceed it if
    /// nothing else is queued.
    pub max_queued_bytes: usize,
}

impl Default for PeerOptions {
    fn default() -> Self {
        PeerOptions {
            idle_timeout: None,
            max_incoming: 256,
            max_handshakes: 256,
            max_queued_bytes: 8 * 1024 * 1024,
        }
    }
}

/// All links of a process. Dropping this closes them.
pub struct Peers {
    shared: Rc<Shared>,
    accept_tasks: RefCell<Vec<AbortHandle>>,
}

/// State that the tasks of all links share.
struct Shared {
    /// The encoded `Hello` of this process.
    hello: Vec<u8>,
    options: PeerOptions,
    link_table: RefCell<LinkTable>,
    encoder: RefCell<FrameEncoder>,
    /// Notified when a connection has got its `Hello` or has ended without one.
    handshake_ended: Notify,
}

impl Peers {
    /// Creates an empty set of links with default limits, and the receiver of their events. This process sends `hello`
    /// as the first message on each link.
    pub fn new(hello: Hello) -> (Rc<Peers>, UnboundedReceiver<PeerEvent>) {
        Peers::with_options(hello, PeerOptions::default())
    }

    /// Creates an empty set of links, and the receiver of their events. This process sends `hello` as the first message
    /// on each link.
    pub fn with_options(hello: Hello, options: PeerOptions) -> (Rc<Peers>, UnboundedReceiver<PeerEvent>) {
        let (events, receiver) = unbounded_channel();
        let mut encoder = FrameEncoder::default();
        let mut encoded_hello = Vec::new();
        encoder.append(&Body::Hello(Box::new(hello)), &mut encoded_hello);
        let shared = Shared {
            hello: encoded_hello,
            options,
            link_table: RefCell::new(LinkTable::new(events, options)),
            encoder: RefCell::new(encoder),
            handshake_ended: Notify::new(),
        };
        (Rc::new(Peers { shared: Rc::new(shared), accept_tasks: RefCell::default() }), receiver)
    }

    /// Accepts connections until this value is dropped, or [`Peers::stop_listening`] is called.
    pub fn listen(&self, listener: TcpListener) {
        let task = spawn_local(link::accept(self.shared.clone(), listener));
        self.accept_tasks.borrow_mut().push(task.abort_handle());
    }

    /// Closes all listeners. Established links stay open.
    pub fn stop_listening(&self) {
        self.accept_tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    /// Starts to connect to an address. Messages that are sent before the link is open are queued.
    pub fn connect(&self, address: SocketAddr) -> LinkId {
        let (link, outbound) = self.shared.link_table.borrow_mut().add_outgoing(address);
        spawn_local(link::connect(self.shared.clone(), link, outbound, address));
        link
    }

    /// Queues a message without blocking. If too many bytes are queued, the link closes. Has no effect on a closed link.
    pub fn send(&self, link: LinkId, body: &Body) {
        self.send_all(&[link], body);
    }

    /// Queues a message on several links. The message is encoded, and compressed if that is worth it, only once.
    pub fn send_all(&self, links: &[LinkId], body: &Body) {
        let encoder = &mut self.shared.encoder.borrow_mut();
        let message = OutgoingMessage::new(Lane::of(body), encoder.message(body));
        let mut link_table = self.shared.link_table.borrow_mut();
        links.iter().for_each(|link| link_table.send_message(*link, &message));
    }

    /// Closes a link. Of the queued bytes, only those that the socket accepts without blocking are still sent.
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
