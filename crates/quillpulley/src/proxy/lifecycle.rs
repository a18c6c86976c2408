//! Whether a proxy may take clients: a pure state machine. Times are since the start of the process.

use quillpulley_protocol::EndpointState;
use std::time::Duration;

/// How long fresh news are waited for once a configuration is known, as nobody may be there to give any.
const FRESH_PATIENCE: Duration = Duration::from_millis(2_500);

/// How long after its start a proxy knows a configuration, also if the core processes start at the same time.
const STARTING_TIME: Duration = Duration::from_millis(1_600);
/// How long it is expected to take at least where that time is over. One who comes too early is refused again.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// What happens to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A configuration is known.
    ConfigurationKnown,
    /// The published state is fresh.
    Fresh,
    /// It is told to end.
    Stop,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No configuration is known. The published state may have been fresh already.
    Starting { fresh: bool },
    /// A configuration is known since then, and may be out of date.
    Unconfirmed { since: Duration },
    /// It serves.
    Ready,
    /// It serves those who still come.
    Leaving,
}

/// The stage of life of a proxy.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    stage: Stage,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle { stage: Stage::Starting { fresh: false } }
    }
}

impl Lifecycle {
    /// Takes an event. Every change of stage happens here.
    pub fn handle(&mut self, now: Duration, event: Event) {
        self.stage = match (self.stage, event) {
            (Stage::Leaving, _) | (_, Event::Stop) => Stage::Leaving,
            (Stage::Starting { .. }, Event::Fresh) => Stage::Starting { fresh: true },
            (Stage::Starting { fresh: true }, Event::ConfigurationKnown) => Stage::Ready,
            (Stage::Starting { fresh: false }, Event::ConfigurationKnown) => {
                Stage::Unconfirmed { since: now }
            }
            (Stage::Unconfirmed { .. }, Event::Fresh) => Stage::Ready,
            (Stage::Unconfirmed { .. } | Stage::Ready, _) => self.stage,
        };
    }

    /// Returns whether it has been told to end.
    pub fn is_leaving(&self) -> bool {
        self.stage == Stage::Leaving
    }

    /// Returns what others are told.
    pub fn endpoint_state(&self, now: Duration) -> EndpointState {
        match self.stage {
            Stage::Ready => EndpointState::Ready,
            Stage::Unconfirmed { since } if now >= since + FRESH_PATIENCE => EndpointState::Ready,
            Stage::Starting { .. } | Stage::Unconfirmed { .. } => EndpointState::Starting,
            Stage::Leaving => EndpointState::Draining,
        }
    }

    /// Returns whether new clients may come.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.endpoint_state(now) == EndpointState::Ready
    }
}

/// After what time clients may try again at a proxy that has run for `age` and knows no configuration.
pub fn retry_after_start(age: Duration) -> Duration {
    STARTING_TIME.saturating_sub(age).max(LEAST_RETRY_AFTER)
}
