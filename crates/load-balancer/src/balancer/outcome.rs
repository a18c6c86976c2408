//! The choice of a server for a request, and the outcome of the request.

use super::ServerKey;
use std::time::Duration;

/// The choice of a server for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send the request to this server.
    Send(ServerKey),
    /// All eligible servers are full.
    Full {
        /// When a server may have capacity.
        retry_after: Duration,
    },
    /// No server is eligible.
    NoServer,
}

/// Why a request failed at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be established.
    Connect,
    /// The connection was reset or closed before the response began.
    ResetBeforeResponse,
    /// The response was truncated.
    Truncated,
    /// The response was not complete in time.
    Timeout,
    /// The response is invalid, or belongs to another request.
    InvalidResponse,
    /// The server responded with an error of its own.
    ServerError,
}

/// The outcome of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response is complete.
    Completed,
    /// The request failed.
    Failed(FailureKind),
    /// The server reports that it did not execute the request.
    NotExecuted {
        /// Whether that is because the server is full.
        full: bool,
    },
    /// Another server listens at the address (421). This one is not eligible until its listed entry changes.
    Misdirected,
    /// The client closed its connection, or the request was cancelled. This says nothing about the server.
    ClientClosed,
}
