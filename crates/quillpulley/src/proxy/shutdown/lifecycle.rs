//! The lifecycle of a proxy, from start to drain: a pure state machine. Times are since the start of the
//! process.

use quillpulley_protocol::EndpointState;
use std::time::Duration;

/// Maximum time that a proxy with a configuration waits for fresh published state, which may never arrive,
/// before it is ready anyway.
const FRESHNESS_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time since the start of the process by which a proxy has received a configuration, even if the control
/// plane starts at the same time.
const STARTUP_TIME: Duration = Duration::from_millis(1_600);
/// Minimum `Retry-After` while there is no configuration: a client that retries too early is rejected again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// An event in the lifecycle of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A configuration has become active.
    ConfigurationKnown,
    /// The published state is fresh.
    Fresh,
    /// The process received a shutdown signal.
    Drain,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No configuration is active. `fresh` is whether the published state has been fresh.
    Starting { fresh: bool },
    /// A configuration is active since this time, but it may be out of date.
    Unconfirmed { since: Duration },
    /// The proxy serves clients.
    Ready,
    /// The proxy drains: it still serves requests that arrive, but is not published as ready.
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
    /// Handles an event. Every stage change happens here.
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

    /// Returns whether the proxy is draining.
    pub fn is_draining(&self) -> bool {
        self.stage == Stage::Draining
    }

    /// Returns the state to publish for this proxy.
    pub fn endpoint_state(&self, now: Duration) -> EndpointState {
        match self.stage {
            Stage::Ready => EndpointState::Ready,
            Stage::Unconfirmed { since } if now >= since + FRESHNESS_TIMEOUT => EndpointState::Ready,
            Stage::Starting { .. } | Stage::Unconfirmed { .. } => EndpointState::Starting,
            Stage::Draining => EndpointState::Draining,
        }
    }

    /// Returns whether new clients may be directed to this proxy.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.endpoint_state(now) == EndpointState::Ready
    }
}

/// Returns the `Retry-After` of a proxy that has run for `age` and has no configuration.
pub fn startup_retry_after(age: Duration) -> Duration {
    STARTUP_TIME.saturating_sub(age).max(MIN_RETRY_AFTER)
}
