//! Computes which requests a draining proxy still accepts, and when the process exits: a pure function of
//! time.
//!
//! New requests keep arriving for some seconds, because clients cache the addresses that the directory
//! returns. A request is accepted only if the timeout of its route or the deadline of its client ends it before
//! the process exits, so that it is sure to have a response. Other requests are rejected before they are sent to a
//! server, so that the client can use another proxy at once.

use std::time::Duration;

/// How long idle connections stay open after the signal, so that requests that are on their way get a response.
const IDLE_PERIOD: Duration = Duration::from_millis(2_900);
/// Minimum time between the end of that period and SIGKILL.
const MIN_FINISH_TIME: Duration = Duration::from_secs(3);
/// How long before SIGKILL the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// How long before the exit every response must have been written.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// The deadlines of a draining proxy, as times since the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainDeadline {
    closes_idle_at: Duration,
    exits_at: Duration,
}

impl DrainDeadline {
    /// Computes the deadlines of a proxy that receives SIGTERM at `signalled_at` and SIGKILL `grace` later.
    pub fn new(signalled_at: Duration, grace: Duration) -> Self {
        let time_to_exit = grace.saturating_sub(EXIT_MARGIN);
        let idle_period = IDLE_PERIOD.min(grace.saturating_sub(MIN_FINISH_TIME));
        DrainDeadline { closes_idle_at: signalled_at + idle_period, exits_at: signalled_at + time_to_exit }
    }

    /// Returns whether to accept a request which ends by `deadline`: the end of the timeout of its route or of its
    /// client, whichever is first.
    pub fn accepts(&self, deadline: Duration) -> bool {
        deadline <= self.response_cutoff()
    }

    /// Returns the time from which idle connections are closed.
    pub fn closes_idle_at(&self) -> Duration {
        self.closes_idle_at
    }

    /// Returns the time at which the proxy itself responds to all requests that have no response yet.
    pub fn response_cutoff(&self) -> Duration {
        self.exits_at.saturating_sub(RESPONSE_MARGIN)
    }

    /// Returns the latest time at which the process exits.
    pub fn exits_at(&self) -> Duration {
        self.exits_at
    }
}
