//! Whether a proxy may serve clients: a pure state machine. Times are since the start of the process.

use quillpulley_protocol::EndpointState;
use std::time::Duration;

/// How long a proxy with a configuration waits for fresh published state, which it may never get.
const FRESHNESS_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long after its start a proxy knows a configuration, also if the control plane starts at the same time.
const STARTUP_TIME: Duration = Duration::from_millis(1_600);
/// The least advice after that time. A client that tries again too early is rejected again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// What happens to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A configuration is known.
    ConfigurationKnown,
    /// The published state is fresh.
    Fresh,
    /// The process is signalled to shut down.
    Drain,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No configuration is known. The published state may have been fresh already.
    Starting { fresh: bool },
    /// A configuration is known since this time, and may be out of date.
    Unconfirmed { since: Duration },
    /// The proxy serves clients.
    Ready,
    /// The proxy serves the clients that still come.
    Draining,
}

/// The lifecycle of a proxy.
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
    /// Handles an event. Every change of stage happens here.
    pub fn handle(&mut self, now: Duration, event: Event) {
        self.stage = match (self.stage, event) {
            (Stage::Draining, _) | (_, Event::Drain) => Stage::Draining,
            (Stage::Starting { .. }, Event::Fresh) => Stage::Starting { fresh: true },
            (Stage::Starting { fresh: true }, Event::ConfigurationKnown) => Stage::Ready,
            (Stage::Starting { fresh: false }, Event::ConfigurationKnown) => {
                Stage::Unconfirmed { since: now }
            }
            (Stage::Unconfirmed { .. }, Event::Fresh) => Stage::Ready,
            (Stage::Unconfirmed { .. } | Stage::Ready, _) => self.stage,
        };
    }

    /// Returns whether the proxy drains.
    pub fn is_draining(&self) -> bool {
        self.stage == Stage::Draining
    }

    /// Returns the state that is published.
    pub fn endpoint_state(&self, now: Duration) -> EndpointState {
        match self.stage {
            Stage::Ready => EndpointState::Ready,
            Stage::Unconfirmed { since } if now >= since + FRESHNESS_TIMEOUT => EndpointState::Ready,
            Stage::Starting { .. } | Stage::Unconfirmed { .. } => EndpointState::Starting,
            Stage::Draining => EndpointState::Draining,
        }
    }

    /// Returns whether new clients may come.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.endpoint_state(now) == EndpointState::Ready
    }
}

/// Returns when clients may try again at a proxy that has run for `age` and knows no configuration.
pub fn retry_after_start(age: Duration) -> Duration {
    STARTUP_TIME.saturating_sub(age).max(MIN_RETRY_AFTER)
}
