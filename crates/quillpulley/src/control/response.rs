//! Responses to operators, and how long they remain valid.
//!
//! Only the primary knows the newest state, and only while it holds the lease. A response is decided by one
//! thread and written by another, and the process may be suspended between the two steps. Each response
//! therefore carries the end of the lease under which it was decided, and the writer checks the clock again.

use crate::control::clock::Clock;
use crate::control::confirmations::ConfirmationId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A response of the operator API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// The command is in effect and survives the failures that the deployment tolerates.
    Acknowledged,
    /// The newest configuration, byte for byte as it was sent. Responses that wait for slow callers share one
    /// copy.
    Configuration(Arc<[u8]>),
    /// The status of the control nodes as far as this process knows it, encoded as JSON.
    Status(Vec<u8>),
    /// No configuration has been activated yet.
    NoConfiguration,
    /// The configuration is based on another version than the active one.
    Conflict {
        /// The active version.
        current: u64,
    },
    /// It is no longer known whether the configuration was applied: its base version is older than the
    /// history.
    HistoryExpired {
        /// The oldest base version in the history.
        oldest: u64,
    },
    /// The command is invalid. Contains the reason.
    Invalid(String),
    /// The command is executed once its caller has sent it again to this process, after this response.
    ConfirmationRequired(ConfirmationId),
    /// Another process is the primary. Contains the address of its operator API.
    Redirect(SocketAddr),
    /// The outcome is unknown: the caller has to send the command again, to this node or to another one.
    Unavailable,
}

/// A response that is valid until a certain time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedResponse {
    response: Response,
    expires_at: Duration,
    /// The number of clock jumps that were known when the response was decided.
    known_jumps: u64,
}

impl TimedResponse {
    /// Creates a response that relies on a lease which ends at `expires_at`.
    pub fn expiring_at(expires_at: Duration, response: Response) -> Self {
        TimedResponse { response, expires_at, known_jumps: 0 }
    }

    /// Creates a response that relies on no lease.
    pub fn without_expiry(response: Response) -> Self {
        TimedResponse { response, expires_at: Duration::MAX, known_jumps: 0 }
    }

    /// Returns the same response, marked as decided when `known_jumps` clock jumps were known.
    pub fn with_known_jumps(self, known_jumps: u64) -> Self {
        TimedResponse { known_jumps, ..self }
    }

    /// Returns the response without checking whether it is still valid.
    pub fn unchecked(&self) -> &Response {
        &self.response
    }

    /// Returns the time at which the response expires; [`Duration::MAX`] if it relies on no lease.
    pub fn expires_at(&self) -> Duration {
        self.expires_at
    }

    /// Returns the response if it is valid at `now`, or [`Response::Unavailable`] if it has expired.
    pub fn checked_at(self, now: Duration) -> Response {
        if now < self.expires_at {
            self.response
        } else {
            Response::Unavailable
        }
    }

    /// Returns the response if it is still valid by `clock`, or [`Response::Unavailable`] otherwise. After a
    /// clock jump, a lease that was granted before the jump is no longer relied on.
    pub fn checked_by(self, clock: &Clock) -> Response {
        let relies_on_lease = self.expires_at != Duration::MAX;
        if relies_on_lease && clock.jumps() != self.known_jumps {
            return Response::Unavailable;
        }
        self.checked_at(clock.now())
    }
}
