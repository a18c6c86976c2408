//! The result of choosing a server for a request, and the outcome of a request at a server.

use super::ServerKey;
use std::time::Duration;

/// The result of choosing a server for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send the request to this server.
    Send(ServerKey),
    /// There are usable servers for the request, but none of them may get it now.
    Full {
        /// How long the client should wait before it retries.
        retry_after: Duration,
    },
    /// There is no usable server for the request.
    NoServer,
}

/// Why a request failed at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be established.
    Connect,
    /// The connection was reset or closed before the response began.
    ResetBeforeResponse,
    /// The response ended before it was complete.
    Truncated,
    /// The response was not complete before the timeout.
    Timeout,
    /// The response is invalid, or is the response to another request.
    InvalidResponse,
    /// The server responded with an error status.
    ServerError,
}

/// The outcome of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was received completely.
    Completed,
    /// The request failed.
    Failed(FailureKind),
    /// The server reports that it did not execute the request.
    NotExecuted {
        /// Whether the reason is that the server is full.
        full: bool,
    },
    /// Another server listens at the address (status 421). The listed server gets no requests until its entry
    /// changes.
    Misdirected,
    /// The client closed its connection, or the request was cancelled. This does not affect the health of the
    /// server.
    ClientClosed,
}
