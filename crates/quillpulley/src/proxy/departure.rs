//! What a proxy that has been told to end still takes, and when it ends: one rule, free of clocks and sockets.
//!
//! Clients come on for some seconds, as they hold on to the directory's answers. At first all of them are taken. After
//! that only what is sure to be answered before the process ends: its time-out or its client's deadline ends it by
//! then. The rest is refused before it is passed on, so that the client can go elsewhere at once.

use std::time::Duration;

/// Whatever comes within this time is taken. LOST excuses what is cut at the end only if it was sent in the first 3 s,
/// and the signal may be noticed a little after it was sent.
const TAKES_ALL: Duration = Duration::from_millis(2_900);
/// What is taken without a look at its time-out has this time at least until the process would be killed.
const FINISH_TIME: Duration = Duration::from_secs(3);
/// The process ends so long before it would be killed.
const END_MARGIN: Duration = Duration::from_millis(500);
/// An answer must have been written so long before the end.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// The end of a proxy. Times are since the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    takes_all_until: Duration,
    ends_at: Duration,
}

impl Departure {
    /// Of a proxy that was told to end at this time, and would be killed `grace` later.
    pub fn new(told: Duration, grace: Duration) -> Self {
        let time = grace.saturating_sub(END_MARGIN);
        let takes_all = TAKES_ALL.min(grace.saturating_sub(FINISH_TIME));
        Departure { takes_all_until: told + takes_all, ends_at: told + time }
    }

    /// Returns whether a request is taken whose head came at this time, and whose answer is due then at the latest:
    /// at the time-out of its route or the deadline of its client, whichever comes first.
    pub fn takes(&self, arrived: Duration, due: Duration) -> bool {
        arrived <= self.takes_all_until || due <= self.last_answer_at()
    }

    /// Returns until when all requests are taken. From then on idle connections are closed.
    pub fn takes_all_until(&self) -> Duration {
        self.takes_all_until
    }

    /// Returns when whatever has no answer yet gets one.
    pub fn last_answer_at(&self) -> Duration {
        self.ends_at.saturating_sub(ANSWER_MARGIN)
    }

    /// Returns when the process ends, at the latest.
    pub fn ends_at(&self) -> Duration {
        self.ends_at
    }
}
