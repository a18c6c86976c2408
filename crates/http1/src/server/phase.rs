//! The phases of an incoming connection: a pure state machine.

use tokio::time::Instant;

/// An event in the life of an incoming connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// The complete head of a request has arrived.
    HeadArrived { at: Instant },
    /// The request has been read completely.
    RequestReceived,
    /// The body of the response was read completely, or dropped. Some of its bytes may not be written yet.
    ResponseEnded,
    /// Every byte of the response was handed to the kernel.
    ResponseWritten { at: Instant },
    /// The last response was written, and the rest of the client's input is discarded.
    LingerBegan { at: Instant },
}

/// The phase of an incoming connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No request is open, and the last response, if any, was written.
    Idle {
        /// When the connection was accepted, or when the last response was written.
        since: Instant,
    },
    /// The head of a request has arrived, and its body may not have arrived completely.
    Receiving {
        /// When the head had arrived.
        since: Instant,
    },
    /// A request has been read, and its response is not complete.
    Responding,
    /// The response is complete, but some of its bytes wait for the client to read.
    Writing,
}

impl Phase {
    /// Returns the phase after an event. Every change of the phase happens here.
    pub(crate) fn after(self, event: Event) -> Phase {
        match (self, event) {
            (_, Event::HeadArrived { at }) => Phase::Receiving { since: at },
            (Phase::Receiving { .. }, Event::RequestReceived) => Phase::Responding,
            (Phase::Receiving { .. } | Phase::Responding, Event::ResponseEnded) => Phase::Writing,
            (Phase::Writing, Event::ResponseWritten { at }) | (_, Event::LingerBegan { at }) => {
                Phase::Idle { since: at }
            }
            // The start of a streamed response is written before its end is known.
            (_, Event::RequestReceived | Event::ResponseEnded | Event::ResponseWritten { .. }) => self,
        }
    }

    /// Returns when the connection became idle, or `None` if it is not idle.
    pub(crate) fn idle_since(self) -> Option<Instant> {
        match self {
            Phase::Idle { since } => Some(since),
            Phase::Receiving { .. } | Phase::Responding | Phase::Writing => None,
        }
    }

    /// Returns since when a request is being received, or `None` if none is.
    pub(crate) fn receiving_since(self) -> Option<Instant> {
        match self {
            Phase::Receiving { since } => Some(since),
            Phase::Idle { .. } | Phase::Responding | Phase::Writing => None,
        }
    }
}
