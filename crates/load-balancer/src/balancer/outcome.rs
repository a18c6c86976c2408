//! What is chosen for a request, and how it ended.

use super::ServerKey;
use std::time::Duration;

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// To this server.
    Send(ServerKey),
    /// All servers that it may go to have enough to do; a place may be free after this time.
    Full {
        /// When a client should come again.
        retry_after: Duration,
    },
    /// There is no server that it may go to.
    NoServer,
}

/// Why a request failed at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be made.
    Connect,
    /// The connection was reset or closed before any of the answer came.
    ResetBeforeAnswer,
    /// The answer was cut short.
    BrokeOff,
    /// Nothing came in time.
    Timeout,
    /// What came was no answer, or one that belongs to another request.
    Garbled,
    /// The server answered with a failure of its own.
    ServerError,
}

/// How a request ended at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer came.
    Served,
    /// It failed.
    Failed(FailureKind),
    /// The server says that it did not run it.
    NotExecuted {
        /// Because it has too much to do.
        full: bool,
    },
    /// Another server is at its address (421). It gets nothing more until the list tells something new of it.
    Misdirected,
    /// The client left, or the request was called off; this says nothing of the server.
    ClientLeft,
}
