//! Computes which requests a draining proxy still accepts, and when the process exits: a pure function of
//! time.
//!
//! New requests keep arriving for some seconds, because clients cache the addresses that the directory
//! returns. At first all requests are accepted. After that a request is accepted only if the timeout of its
//! route or the deadline of its client ends it before the process exits, so that it is sure to have a
//! response. Other requests are rejected before they are sent to a server, so that the client can use another
//! proxy at once.

use std::time::Duration;

/// How long all requests are accepted after the signal. The platform tolerates that requests are truncated
/// at the exit only if they were sent within 3 s after the signal; the rest of the 3 s allows for a signal
/// that is noticed late.
const ACCEPT_ALL_PERIOD: Duration = Duration::from_millis(2_900);
/// Minimum time between the end of the period in which all requests are accepted, and SIGKILL.
const MIN_FINISH_TIME: Duration = Duration::from_secs(3);
/// How long before SIGKILL the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// How long before the exit every response must have been written.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// The deadlines of a draining proxy, as times since the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainDeadline {
    accepts_all_until: Duration,
    exits_at: Duration,
}

impl DrainDeadline {
    /// Computes the deadlines of a proxy that receives SIGTERM at `signalled_at` and SIGKILL `grace` later.
    pub fn new(signalled_at: Duration, grace: Duration) -> Self {
        let time_to_exit = grace.saturating_sub(EXIT_MARGIN);
        let accept_all_period = ACCEPT_ALL_PERIOD.min(grace.saturating_sub(MIN_FINISH_TIME));
        DrainDeadline {
            accepts_all_until: signalled_at + accept_all_period,
            exits_at: signalled_at + time_to_exit,
        }
    }

    /// Returns whether to accept a request whose head arrived at `arrived`, and which ends by `deadline`: the
    /// end of the timeout of its route or of its client, whichever is first.
    pub fn accepts(&self, arrived: Duration, deadline: Duration) -> bool {
        arrived <= self.accepts_all_until || deadline <= self.response_cutoff()
    }

    /// Returns the time until which all requests are accepted. From then on idle connections are closed.
    pub fn accepts_all_until(&self) -> Duration {
        self.accepts_all_until
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
