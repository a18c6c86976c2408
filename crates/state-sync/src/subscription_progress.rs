//! The progress of a node's subscription to its parent, for the host's log.

use displaydoc::Display;
use std::time::Duration;

/// The progress of the subscription to the present parent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SubscriptionProgress {
    /// none
    None,
    /// no response for {waiting:?} after {attempts} attempts
    Waiting {
        /// The time since the first attempt.
        waiting: Duration,
        /// How often the subscription was sent.
        attempts: u32,
    },
    /// {bytes} bytes after {after:?}
    Answered {
        /// The time from the first attempt to the response.
        after: Duration,
        /// The size of the items in the response.
        bytes: usize,
    },
}

/// Measures the time from a subscription to its response.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) enum SubscriptionTimer {
    #[default]
    Idle,
    Waiting {
        since: Duration,
        attempts: u32,
    },
    Answered {
        after: Duration,
        bytes: usize,
    },
}

impl SubscriptionTimer {
    /// Records that the subscription was sent. It is another attempt if the one before has no response.
    pub(crate) fn sent(&mut self, now: Duration) {
        *self = match *self {
            SubscriptionTimer::Waiting { since, attempts } => {
                SubscriptionTimer::Waiting { since, attempts: attempts.saturating_add(1) }
            }
            SubscriptionTimer::Idle | SubscriptionTimer::Answered { .. } => {
                SubscriptionTimer::Waiting { since: now, attempts: 1 }
            }
        };
    }

    /// Records that the response was applied.
    pub(crate) fn answered(&mut self, now: Duration, bytes: usize) {
        if let SubscriptionTimer::Waiting { since, .. } = *self {
            *self = SubscriptionTimer::Answered { after: now.saturating_sub(since), bytes };
        }
    }

    pub(crate) fn is_answered(&self) -> bool {
        matches!(self, SubscriptionTimer::Answered { .. })
    }

    /// Records that the parent was changed or lost.
    pub(crate) fn reset(&mut self) {
        *self = SubscriptionTimer::Idle;
    }

    pub(crate) fn progress(&self, now: Duration) -> SubscriptionProgress {
        match *self {
            SubscriptionTimer::Idle => SubscriptionProgress::None,
            SubscriptionTimer::Waiting { since, attempts } => {
                SubscriptionProgress::Waiting { waiting: now.saturating_sub(since), attempts }
            }
            SubscriptionTimer::Answered { after, bytes } => SubscriptionProgress::Answered { after, bytes },
        }
    }
}
