//! The state of every link, changed in one place, where its events arise.

use super::outbound::Outbound;
use super::{LinkId, PeerEvent};
use log::{debug, warn};
use quillpulley_protocol::{Body, Hello, Lane};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedSender;

/// A link's queue, which its task empties.
pub type SharedOutbound = Rc<RefCell<Outbound>>;

/// How far a link is.
pub enum LinkState {
    /// It was asked for, and the other side has not said `Hello`.
    Connecting,
    /// The other side connected, and has not said `Hello`.
    Accepted,
    /// Both sides may send.
    Open,
    /// It is gone.
    Closed,
}

struct Entry {
    state: LinkState,
    address: SocketAddr,
    outbound: SharedOutbound,
}

/// All links that are not closed.
pub struct Table {
    links: BTreeMap<LinkId, Entry>,
    next: u64,
    events: UnboundedSender<PeerEvent>,
    maximum_queued: usize,
}

impl Table {
    /// No links.
    pub fn new(events: UnboundedSender<PeerEvent>, maximum_queued: usize) -> Table {
        Table { links: BTreeMap::new(), next: 1, events, maximum_queued }
    }

    /// Returns a link that this side asks for.
    pub fn add_outgoing(&mut self, address: SocketAddr) -> (LinkId, SharedOutbound) {
        self.add(LinkState::Connecting, address)
    }

    /// Returns a link that the other side asks for.
    pub fn add_incoming(&mut self, address: SocketAddr) -> (LinkId, SharedOutbound) {
        self.add(LinkState::Accepted, address)
    }

    fn add(&mut self, state: LinkState, address: SocketAddr) -> (LinkId, SharedOutbound) {
        let link = LinkId(self.next);
        self.next += 1;
        let outbound = SharedOutbound::default();
        self.links.insert(link, Entry { state, address, outbound: outbound.clone() });
        (link, outbound)
    }

    /// The other side has said who it is.
    pub fn open(&mut self, link: LinkId, hello: Hello) {
        self.change(link, LinkState::Open, Some(hello));
    }

    /// The link's task has ended.
    pub fn closed(&mut self, link: LinkId) {
        self.change(link, LinkState::Closed, None);
    }

    /// The one change of a link's state, with the event that it leads to.
    fn change(&mut self, link: LinkId, next: LinkState, hello: Option<Hello>) {
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
        debug!("{link} to {address}: {}", event.as_ref().map_or("never opened", event_name));
        event.into_iter().for_each(|event| self.tell(event));
    }

    /// Passes on a message.
    pub fn frame(&mut self, link: LinkId, body: Body) {
        self.tell(PeerEvent::Frame { link, body });
    }

    /// Queues a message that is encoded already.
    pub fn send_message(&mut self, link: LinkId, lane: Lane, message: &[u8]) {
        let Some(entry) = self.links.get(&link) else { return };
        let mut outbound = entry.outbound.borrow_mut();
        if outbound.push(lane, message, self.maximum_queued).is_err() {
            warn!("{link} to {}: closed, the peer reads too slowly: check its load", entry.address);
            outbound.end();
        }
    }

    /// Ends a link.
    pub fn close(&mut self, link: LinkId) {
        if let Some(entry) = self.links.get(&link) {
            entry.outbound.borrow_mut().end();
        }
    }

    /// Ends all links.
    pub fn close_all(&mut self) {
        self.links.values().for_each(|entry| entry.outbound.borrow_mut().end());
    }

    /// A host that no longer reads its events is ending.
    fn tell(&self, event: PeerEvent) {
        let _ = self.events.send(event);
    }
}

fn event_name(event: &PeerEvent) -> &'static str {
    match event {
        PeerEvent::Opened { .. } => "opened",
        PeerEvent::Frame { .. } => "message",
        PeerEvent::Closed { .. } => "closed",
        PeerEvent::ConnectFailed { .. } => "no connection",
    }
}
