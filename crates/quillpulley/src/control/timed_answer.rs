//! Answers to the operator with the end of what they rest on.
//!
//! What is in force is known to the primary only, and only while its lease runs. An answer is decided by one thread
//! and written by another, and the process may stand still between the two. So an answer carries the end of the
//! lease under which it was decided, and whoever writes it looks at the clock again.

use super::orders::Answer;
use std::time::Duration;

/// An answer that may be given until a certain time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedAnswer {
    answer: Answer,
    valid_until: Duration,
}

impl TimedAnswer {
    /// An answer that rests on a lease which ends at `valid_until`.
    pub fn until(valid_until: Duration, answer: Answer) -> Self {
        TimedAnswer { answer, valid_until }
    }

    /// An answer that rests on no lease and is right at any time.
    pub fn lasting(answer: Answer) -> Self {
        TimedAnswer { answer, valid_until: Duration::MAX }
    }

    /// The answer as it was decided.
    pub fn decided(&self) -> &Answer {
        &self.answer
    }

    /// Until when it may be given.
    pub fn valid_until(&self) -> Duration {
        self.valid_until
    }

    /// What may be said at `now`: nothing clear once the lease has ended.
    pub fn at(self, now: Duration) -> Answer {
        if now < self.valid_until {
            self.answer
        } else {
            Answer::Unavailable
        }
    }
}
