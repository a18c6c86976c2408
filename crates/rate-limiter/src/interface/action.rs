//! What the host of a limiter has to do.

use super::{RequestId, ServerId};

/// An action for the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt of a request. Attempts are numbered from 0 in this order.
    Send {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// The time-out; 0 if the client's deadline bounds it.
        timeout: f64,
        /// The request must not be sent after this time, however long connecting takes; none if it may.
        send_by: Option<f64>,
    },
    /// Final response: rejected, safe to retry.
    Reject {
        /// The request.
        id: RequestId,
        /// The client should try again after this time; 0 for no advice.
        retry_after: f64,
    },
    /// Final response: failed, the request may have executed.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Add to a number on the counter service, and read it.
    AddToCounter {
        /// The name of the number.
        name: String,
        /// What to add; 0 only reads.
        amount: f64,
        /// A new number is forgotten after this time.
        ttl: f64,
    },
    /// Set a timer.
    SetTimer {
        /// When it is due.
        at: f64,
        /// The token of its [`Event::Timer`](super::Event::Timer).
        token: u64,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Watch the list of servers.
    WatchServers,
}
