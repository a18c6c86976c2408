//! The actions that a limiter requests from its host.

use super::{RequestId, ServerId};

/// An action for the host to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt of a request. The attempts of a request are numbered from 0 in the order of these actions.
    Send {
        /// The request.
        id: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// The timeout; 0 if only the client's deadline applies.
        timeout: f64,
        /// The request must not be sent after this time, however long connecting takes. `None` for no limit.
        send_by: Option<f64>,
    },
    /// Give the final response: rejected, and safe to retry.
    Reject {
        /// The request.
        id: RequestId,
        /// The duration after which the client should retry; 0 if the response gives none.
        retry_after: f64,
    },
    /// Give the final response: failed; the request may have executed.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an open attempt. Its outcome must still be reported.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt, from 0.
        attempt: u32,
    },
    /// Add to a counter of the counter service, and read its new total.
    AddToCounter {
        /// The name of the counter.
        name: String,
        /// The amount to add; 0 to only read the total.
        amount: f64,
        /// The time to live of the counter, if this call creates it.
        ttl: f64,
    },
    /// Set a timer. A timer cannot be cancelled.
    SetTimer {
        /// The time at which the timer fires.
        at: f64,
        /// The token to pass back with its [`Event::Timer`](super::Event::Timer).
        token: u64,
    },
    /// Probe a server for its load.
    Probe {
        /// The server to probe.
        server: ServerId,
    },
    /// Start a watch of the server list, unless one is open.
    WatchServers,
}
