//! Which requests a draining proxy still accepts, and when it exits: a pure function of time.
//!
//! Clients keep coming for some seconds, as they cache the answers of the directory. At first all requests are
//! accepted. After that only those are accepted that are sure to have a response before the process exits: the time-out
//! of the route or the deadline of the client ends them by then. Others are rejected before they are sent to a server,
//! so that the client can go to another proxy at once.

use std::time::Duration;

/// For how long all requests are accepted. The platform excuses truncated requests at the end only if they were sent
/// within 3 s after the signal, and the signal may be noticed a little late.
const ACCEPT_ALL_TIME: Duration = Duration::from_millis(2_900);
/// The least time between the last request that is accepted whatever its time-out is, and the kill.
const FINISH_TIME: Duration = Duration::from_secs(3);
/// How long before the kill the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// How long before the exit a response must have been written.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// The deadlines of a draining proxy. Times are since the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainDeadline {
    accepts_all_until: Duration,
    exits_at: Duration,
}

impl DrainDeadline {
    /// Computes the deadlines of a proxy that was signalled at `signalled_at` and is killed `grace` later.
    pub fn new(signalled_at: Duration, grace: Duration) -> Self {
        let time_to_exit = grace.saturating_sub(EXIT_MARGIN);
        let accept_all_time = ACCEPT_ALL_TIME.min(grace.saturating_sub(FINISH_TIME));
        DrainDeadline {
            accepts_all_until: signalled_at + accept_all_time,
            exits_at: signalled_at + time_to_exit,
        }
    }

    /// Returns whether a request is accepted whose head arrived at `arrived`, and whose response is due at `due`: at
    /// the time-out of its route or the deadline of its client, whichever is first.
    pub fn accepts(&self, arrived: Duration, due: Duration) -> bool {
        arrived <= self.accepts_all_until || due <= self.final_responses_at()
    }

    /// Returns until when all requests are accepted. From then on idle connections are closed.
    pub fn accepts_all_until(&self) -> Duration {
        self.accepts_all_until
    }

    /// Returns when requests without a response get one from the proxy.
    pub fn final_responses_at(&self) -> Duration {
        self.exits_at.saturating_sub(RESPONSE_MARGIN)
    }

    /// Returns when the process exits at the latest.
    pub fn exits_at(&self) -> Duration {
        self.exits_at
    }
}
