//! The processes of the simulation: event loops that connect the real state machines to the simulated network, as the
//! event loops of the program connect them to sockets.

pub mod agent;
pub mod control;
pub mod proxy;

use quillpulley_protocol::{Body, Hello, Revision, Subscribe, Update, UpdateKind};
use quillpulley_state_sync::{Change, Store};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The identifier of a connection, which both of its ends use.
pub type LinkId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessKind {
    Control,
    Agent,
    Proxy,
}

/// The address of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Address {
    pub ip: Ipv4Addr,
    pub kind: ProcessKind,
}

/// An event that a process handles.
pub enum Input {
    Opened {
        link: LinkId,
        hello: Hello,
        incoming: bool,
    },
    Frame {
        link: LinkId,
        body: Body,
    },
    /// A link has closed or could not be opened.
    Closed {
        link: LinkId,
    },
    Datagram {
        from: SocketAddr,
        body: Body,
    },
    /// SIGTERM.
    Shutdown,
    /// Root only: publish these changes.
    Publish(Vec<Change>),
}

/// What a process does.
pub enum Output {
    Connect {
        link: LinkId,
        to: Address,
    },
    Send {
        links: Vec<LinkId>,
        body: Body,
    },
    Close(LinkId),
    Datagram {
        to: SocketAddr,
        body: Body,
    },
    StopListening,
    Exit,
    /// A line for the history of the machine.
    Log(String),
}

/// What a process needs while it handles an event.
pub struct Context<'a> {
    /// The time since the start of the process.
    pub now: Duration,
    pub next_link: &'a mut LinkId,
    pub outputs: Vec<Output>,
}

impl Context<'_> {
    pub fn connect(&mut self, to: Address) -> LinkId {
        let link = *self.next_link;
        *self.next_link += 1;
        self.outputs.push(Output::Connect { link, to });
        link
    }

    pub fn send(&mut self, links: Vec<LinkId>, body: Body) {
        self.outputs.push(Output::Send { links, body });
    }

    pub fn close(&mut self, link: LinkId) {
        self.outputs.push(Output::Close(link));
    }

    pub fn log(&mut self, line: impl Into<String>) {
        self.outputs.push(Output::Log(line.into()));
    }
}

/// A process.
pub trait Host {
    fn handle(&mut self, context: &mut Context, input: Input);

    /// Handles the timers that are due.
    fn tick(&mut self, context: &mut Context);

    /// Returns when [`Host::tick`] must be called next.
    fn next_wake(&self, now: Duration) -> Duration;

    /// Returns the hello that the process sends on each of its links.
    fn hello(&self) -> Hello;

    fn revision(&self) -> Revision;

    fn store(&self) -> &Store;

    /// Returns the maximum number of incoming connections.
    fn max_incoming(&self) -> usize;
}

/// Returns a line for the history about a subscription that is sent to the parent.
fn subscription_text(subscribe: &Subscribe) -> String {
    format!("subscribes at revision {}", subscribe.revision.tick)
}

/// Returns a line for the history about a response to a subscription, or `None` for other updates.
fn response_text(update: &Update) -> Option<String> {
    let bytes: usize = update.items.iter().map(|item| item.key.len() + item.value.len()).sum();
    (update.kind == UpdateKind::RangeRepair).then(|| {
        format!("response from revision {} to {}, {bytes} bytes", update.base.tick, update.revision.tick)
    })
}
