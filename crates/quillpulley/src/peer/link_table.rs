//! The state of all links of a process. All state transitions and all events of links originate in this module.

use super::outbound::Outbound;
use super::{LinkId, PeerEvent};
use log::{debug, warn};
use quillpulley_protocol::{Body, Hello, OutgoingMessage};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedSender;

/// The outgoing messages of a link, which the link table shares with the task of the link.
pub type SharedOutbound = Rc<RefCell<Outbound>>;

/// The state of a link.
pub enum LinkState {
    /// This side initiated the connection, and the `Hello` of the peer has not arrived yet.
    Connecting,
    /// The peer initiated the connection, and its `Hello` has not arrived yet.
    Accepted,
    /// The `Hello` of the peer has arrived, and messages may be exchanged.
    Open,
    /// The link is closed and is removed from the table.
    Closed,
}

struct LinkEntry {
    state: LinkState,
    address: SocketAddr,
    outbound: SharedOutbound,
}

/// All links that are not closed.
pub struct LinkTable {
    links: BTreeMap<LinkId, LinkEntry>,
    next_id: u64,
    events: UnboundedSender<PeerEvent>,
    max_queued_bytes: usize,
}

impl LinkTable {
    /// Creates an empty table. Events are sent to `events`; `max_queued_bytes` is the limit for the queue of each link.
    pub fn new(events: UnboundedSender<PeerEvent>, max_queued_bytes: usize) -> LinkTable {
        LinkTable { links: BTreeMap::new(), next_id: 1, events, max_queued_bytes }
    }

    /// Adds a link that this side initiates.
    pub fn add_outgoing(&mut self, address: SocketAddr) -> (LinkId, SharedOutbound) {
        self.add(LinkState::Connecting, address)
    }

    /// Adds a link that the peer has initiated.
    pub fn add_incoming(&mut self, address: SocketAddr) -> (LinkId, SharedOutbound) {
        self.add(LinkState::Accepted, address)
    }

    fn add(&mut self, state: LinkState, address: SocketAddr) -> (LinkId, SharedOutbound) {
        let link = LinkId(self.next_id);
        self.next_id += 1;
        let outbound = SharedOutbound::default();
        self.links.insert(link, LinkEntry { state, address, outbound: outbound.clone() });
        (link, outbound)
    }

    /// Opens a link after the `Hello` of the peer has arrived.
    pub fn hello_received(&mut self, link: LinkId, hello: Hello) {
        self.change_state(link, LinkState::Open, Some(hello));
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
        let event = match (&entry.state, &next, hello) {
            (LinkState::Connecting, LinkState::Open, Some(hello)) => {
                Some(PeerEvent::Opened { link, hello, incoming: false, address })
            }
            (LinkState::Accepted, LinkState::Open, Some(hello)) => {
                Some(PeerEvent::Opened { link, hello, incoming: true, address })
            }
            (LinkState::Connecting, LinkState::Closed, _) => Some(PeerEvent::ConnectFailed { link }),
            (LinkState::Accepted, LinkState::Closed, _) => None,
            (LinkState::Open, LinkState::Closed, _) => Some(PeerEvent::Closed { link }),
            _ => return,
        };
        match next {
            LinkState::Closed => drop(self.links.remove(&link)),
            next => entry.state = next,
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
        if outbound.push(message, self.max_queued_bytes).is_err() {
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
