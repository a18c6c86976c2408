//! Responses to operators, and until when they may be given.
//!
//! Only the primary knows the newest state, and only while its lease runs. A response is decided by one thread and
//! written by another, and the process may be suspended between the two. So a response carries the end of the lease
//! under which it was decided, and the writer checks the clock again.

use crate::control::clock::Clock;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A response of the operator's API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// The command is in effect, and survives the failures that the deployment tolerates.
    Acknowledged,
    /// The newest configuration, as it was sent. Responses that wait for slow callers share it.
    Configuration(Arc<[u8]>),
    /// What this process knows of the control nodes, as JSON.
    Status(Vec<u8>),
    /// There is no configuration yet.
    NoConfiguration,
    /// The configuration builds on another version than the active one.
    Conflict {
        /// The active version.
        current: u64,
    },
    /// Whether the configuration was applied is not known any more: it builds on a version older than the history.
    HistoryExpired {
        /// The oldest base that the history still has.
        oldest: u64,
    },
    /// The command is invalid, for this reason.
    Invalid(String),
    /// Another process is the primary.
    Redirect(SocketAddr),
    /// The outcome is not known: the caller has to send the command again, here or elsewhere.
    Unavailable,
}

/// A response that may be given until a certain time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedResponse {
    response: Response,
    expires_at: Duration,
    /// How many jumps of the clock were known when it was decided.
    known_jumps: u64,
}

impl TimedResponse {
    /// Creates a response that relies on a lease which ends at `expires_at`.
    pub fn until(expires_at: Duration, response: Response) -> Self {
        TimedResponse { response, expires_at, known_jumps: 0 }
    }

    /// Creates a response that relies on no lease.
    pub fn without_expiry(response: Response) -> Self {
        TimedResponse { response, expires_at: Duration::MAX, known_jumps: 0 }
    }

    /// Returns the same response, decided when so many jumps of the clock were known.
    pub fn decided_after(self, known_jumps: u64) -> Self {
        TimedResponse { known_jumps, ..self }
    }

    /// Returns the response as it was decided.
    pub fn decided(&self) -> &Response {
        &self.response
    }

    /// Returns until when it may be given.
    pub fn expires_at(&self) -> Duration {
        self.expires_at
    }

    /// Returns the response at `now`: [`Response::Unavailable`] once the lease has ended.
    pub fn at(self, now: Duration) -> Response {
        if now < self.expires_at {
            self.response
        } else {
            Response::Unavailable
        }
    }

    /// Returns the response at this moment of a clock. After a jump of the clock nothing is known of a lease that was
    /// held before.
    pub fn by(self, clock: &Clock) -> Response {
        let relies_on_lease = self.expires_at != Duration::MAX;
        if relies_on_lease && clock.jumps() != self.known_jumps {
            return Response::Unavailable;
        }
        self.at(clock.now())
    }
}
