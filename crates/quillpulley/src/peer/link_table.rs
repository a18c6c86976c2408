//! The state of all links of a process. All state transitions and all events of links originate in this module.

use super::outbound::Outbound;
use super::{LinkId, PeerEvent, PeerOptions};
use log::{debug, warn};
use quillpulley_protocol::{Body, Hello, OutgoingMessage};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

/// The minimum time that an incoming connection has for its `Hello` before it may be closed to make room for a new one.
const MIN_HANDSHAKE_TIME: Duration = Duration::from_millis(25);

/// The outgoing messages of a link, which the link table shares with the task of the link.
pub type SharedOutbound = Rc<RefCell<Outbound>>;

/// The state of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// This side initiated the connection, and the `Hello` of the peer has not arrived yet.
    Connecting,
    /// The peer initiated the connection, and its `Hello` has not arrived yet.
    Accepted {
        /// When the connection was accepted.
        since: Instant,
    },
    /// The peer initiated the connection, and this side closes it instead of opening the link. Its task has not ended yet.
    Rejected,
    /// The `Hello` of the peer has arrived, and messages may be exchanged.
    Open {
        /// Whether the peer initiated the connection.
        incoming: bool,
    },
    /// The link is closed and is removed from the table.
    Closed,
}

struct LinkEntry {
    state: LinkState,
    address: SocketAddr,
    outbound: SharedOutbound,
}

/// Whether another connection may be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be accepted now.
    Admitted,
    /// The limit of open links is reached, so it is to be closed.
    Refused,
    /// There are too many connections without a `Hello`. The oldest one may be closed now.
    EvictOldest,
    /// There are too many connections without a `Hello`. One of them will have ended or may be closed after this time.
    Wait(Duration),
}

/// All links that are not closed.
pub struct LinkTable {
    links: BTreeMap<LinkId, LinkEntry>,
    next_id: u64,
    events: UnboundedSender<PeerEvent>,
    options: PeerOptions,
}

impl LinkTable {
    /// Creates an empty table. Events are sent to `events`.
    pub fn new(events: UnboundedSender<PeerEvent>, options: PeerOptions) -> LinkTable {
        LinkTable { links: BTreeMap::new(), next_id: 1, events, options }
    }

    /// Adds a link that this side initiates.
    pub fn add_outgoing(&mut self, address: SocketAddr) -> (LinkId, SharedOutbound) {
        self.add(LinkState::Connecting, address)
    }

    /// Adds a link that the peer has initiated.
    pub fn add_incoming(&mut self, address: SocketAddr) -> (LinkId, SharedOutbound) {
        self.add(LinkState::Accepted { since: Instant::now() }, address)
    }

    /// Returns whether another connection may be accepted now.
    pub fn admission(&self) -> Admission {
        if self.is_full() {
            return Admission::Refused;
        }
        let rejected_count = self.count(|state| state == LinkState::Rejected);
        let accepted_count = self.count(|state| matches!(state, LinkState::Accepted { .. }));
        if accepted_count + rejected_count < self.options.max_handshakes {
            return Admission::Admitted;
        }
        if rejected_count > 0 {
            return Admission::Wait(MIN_HANDSHAKE_TIME);
        }
        let age = self.oldest_accepted().map_or(Duration::ZERO, |(_, since)| since.elapsed());
        match MIN_HANDSHAKE_TIME.saturating_sub(age) {
            Duration::ZERO => Admission::EvictOldest,
            remaining => Admission::Wait(remaining),
        }
    }

    /// Closes the connection that has been without a `Hello` for the longest time, if there is one.
    pub fn evict_oldest(&mut self) {
        if let Some((link, _)) = self.oldest_accepted() {
            self.change_state(link, LinkState::Rejected, None);
        }
    }

    /// Returns the oldest connection without a `Hello`, and when it was accepted. Later links have greater identifiers.
    fn oldest_accepted(&self) -> Option<(LinkId, Instant)> {
        self.links.iter().find_map(|(link, entry)| match entry.state {
            LinkState::Accepted { since } => Some((*link, since)),
            _ => None,
        })
    }

    /// Returns whether as many incoming links are open as may be.
    fn is_full(&self) -> bool {
        self.count(|state| state == LinkState::Open { incoming: true }) >= self.options.max_incoming
    }

    fn count(&self, matches: impl Fn(LinkState) -> bool) -> usize {
        self.links.values().filter(|entry| matches(entry.state)).count()
    }

    fn add(&mut self, state: LinkState, address: SocketAddr) -> (LinkId, SharedOutbound) {
        let link = LinkId(self.next_id);
        self.next_id += 1;
        let outbound = SharedOutbound::default();
        self.links.insert(link, LinkEntry { state, address, outbound: outbound.clone() });
        (link, outbound)
    }

    /// Opens a link after the `Hello` of the peer has arrived. Closes it if the peer initiated it and too many are open.
    pub fn hello_received(&mut self, link: LinkId, hello: Hello) {
        let Some(entry) = self.links.get(&link) else { return };
        let incoming = entry.state != LinkState::Connecting;
        if incoming && self.is_full() {
            self.change_state(link, LinkState::Rejected, None);
        } else {
            self.change_state(link, LinkState::Open { incoming }, Some(hello));
        }
    }

    /// Removes a link whose task has ended.
    pub fn link_closed(&mut self, link: LinkId) {
        self.change_state(link, LinkState::Closed, None);
    }

    /// Changes the state of a link, and emits the resulting event, if any. All state transitions go through this
    /// function.
    fn change_state(&mut self, link: LinkId, next: LinkState, hello: Option<Hello>) {
        let Some(entry) = self.links.get_mut(&link) else { return };
        let address = entry.address;
        let event = match (entry.state, next, hello) {
            (
                LinkState::Connecting | LinkState::Accepted { .. },
                LinkState::Open { incoming },
                Some(hello),
            ) => Some(PeerEvent::Opened { link, hello, incoming, address }),
            (LinkState::Accepted { .. }, LinkState::Rejected, _) => None,
            (LinkState::Connecting, LinkState::Closed, _) => Some(PeerEvent::ConnectFailed { link }),
            (LinkState::Accepted { .. } | LinkState::Rejected, LinkState::Closed, _) => None,
            (LinkState::Open { .. }, LinkState::Closed, _) => Some(PeerEvent::Closed { link }),
            _ => return,
        };
        entry.state = next;
        match next {
            LinkState::Closed => drop(self.links.remove(&link)),
            LinkState::Rejected => entry.outbound.borrow_mut().close(),
            LinkState::Connecting | LinkState::Accepted { .. } | LinkState::Open { .. } => {}
        }
        debug!(link:% = link, address:% = address; "link {}", event.as_ref().map_or("closed before it was open", event_name));
        event.into_iter().for_each(|event| self.emit(event));
    }

    /// Emits the event for a received message.
    pub fn frame_received(&mut self, link: LinkId, body: Body) {
        self.emit(PeerEvent::Frame { link, body });
    }

    /// Queues an encoded message. Closes the link if its queue is full.
    pub fn send_message(&mut self, link: LinkId, message: &OutgoingMessage<'_>) {
        let Some(entry) = self.links.get(&link) else { return };
        let mut outbound = entry.outbound.borrow_mut();
        if outbound.push(message, self.options.max_queued_bytes).is_err() {
            warn!(link:% = link, address:% = entry.address; "closing the link: the peer reads too slowly; check its load");
            outbound.close();
        }
    }

    /// Requests that a link be closed. Its task ends soon afterwards.
    pub fn close(&mut self, link: LinkId) {
        if let Some(entry) = self.links.get(&link) {
            entry.outbound.borrow_mut().close();
        }
    }

    /// Requests that all links be closed.
    pub fn close_all(&mut self) {
        self.links.values().for_each(|entry| entry.outbound.borrow_mut().close());
    }

    /// Emits an event. The event is dropped if the receiver is gone, which means that the host is exiting.
    fn emit(&self, event: PeerEvent) {
        let _ = self.events.send(event);
    }
}

fn event_name(event: &PeerEvent) -> &'static str {
    match event {
        PeerEvent::Opened { .. } => "opened",
        PeerEvent::Frame { .. } => "message",
        PeerEvent::Closed { .. } => "closed",
        PeerEvent::ConnectFailed { .. } => "could not be established",
    }
}
