//! Outlier detection: determines the health of a server from the outcomes of requests.
//!
//! A server that fails several times in a row is ejected for a time that doubles with each ejection in a row.
//! After that time it gets one request as a probe, unless a health check has passed before.

use super::FailureKind;
use std::time::Duration;

/// The number of failures in a row after which a server is ejected. A failed connection ejects it at once.
const EJECTION_THRESHOLD: u32 = 2;
/// The time of the first ejection, which doubles with each further ejection in a row, and the maximum.
const FIRST_EJECTION_TIME: Duration = Duration::from_millis(500);
const MAX_EJECTION_TIME: Duration = Duration::from_secs(8);
/// How long before the end of an ejection a health check is due, so that its result is known at the end.
const CHECK_LEAD_TIME: Duration = Duration::from_millis(200);
/// How long after the end of an ejection urgent requests are used as probes. Until then, only other requests
/// or a health check probe the server.
const URGENT_PROBE_DELAY: Duration = Duration::from_millis(300);
/// The time after which a health check without a result is ignored.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether a server is healthy, ejected, or being probed after an ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EjectionState {
    /// The server responds, and has failed `failures` times since its latest response.
    Healthy { failures: u32 },
    /// The server is ejected until the time `until`, for the `count`th time in a row. `check_started_at` is
    /// when the latest health check was started; `None` if none was since the server entered this state.
    Ejected { until: Duration, count: u32, check_started_at: Option<Duration> },
    /// One request has been sent to the server as a probe. Its outcome determines the next state.
    Probing { count: u32 },
}

/// An event that concerns the health of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthEvent {
    Failed(FailureKind),
    Responded,
    ProbeStarted,
    /// The probe ended without a result.
    ProbeAbandoned,
    CheckStarted,
    CheckFailed,
}

impl HealthEvent {
    /// Returns whether the server may have restarted at the time of the event.
    fn suggests_restart(self) -> bool {
        match self {
            HealthEvent::Failed(FailureKind::ServerError | FailureKind::InvalidResponse) => false,
            HealthEvent::Failed(_) | HealthEvent::CheckFailed => true,
            HealthEvent::Responded
            | HealthEvent::ProbeStarted
            | HealthEvent::ProbeAbandoned
            | HealthEvent::CheckStarted => false,
        }
    }
}

/// Whether a server may get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthStatus {
    Healthy,
    /// The next request will be a probe.
    ProbeDue,
    Ejected,
}

/// The health of a server, and how long it has been unhealthy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    state: EjectionState,
    /// When the server became unhealthy.
    unhealthy_since: Duration,
    /// Whether the server may have restarted since. A server that responds with an error has not.
    may_have_restarted: bool,
}

impl Health {
    pub(crate) fn new() -> Self {
        Health {
            state: EjectionState::Healthy { failures: 0 },
            unhealthy_since: Duration::ZERO,
            may_have_restarted: false,
        }
    }

    /// Handles an event. This is the only method that changes the state. If the server becomes healthy again
    /// and may have restarted, returns how long it was unhealthy.
    pub(crate) fn handle(&mut self, now: Duration, event: HealthEvent) -> Option<Duration> {
        let next = self.next(now, event);
        let was_healthy = self.is_healthy();
        self.state = next;
        match (was_healthy, self.is_healthy()) {
            (true, false) => {
                self.unhealthy_since = now;
                self.may_have_restarted = event.suggests_restart();
                None
            }
            (false, false) => {
                self.may_have_restarted |= event.suggests_restart();
                None
            }
            (false, true) => self.may_have_restarted.then(|| now.saturating_sub(self.unhealthy_since)),
            (true, true) => None,
        }
    }

    fn next(&self, now: Duration, event: HealthEvent) -> EjectionState {
        match (self.state, event) {
            (_, HealthEvent::Responded) => EjectionState::Healthy { failures: 0 },
            (EjectionState::Healthy { .. }, HealthEvent::Failed(FailureKind::Connect)) => ejected(now, 1),
            (EjectionState::Healthy { failures }, HealthEvent::Failed(_))
                if failures + 1 >= EJECTION_THRESHOLD =>
            {
                ejected(now, 1)
            }
            (EjectionState::Healthy { failures }, HealthEvent::Failed(_)) => {
                EjectionState::Healthy { failures: failures + 1 }
            }
            (EjectionState::Probing { count }, HealthEvent::Failed(_)) => ejected(now, count + 1),
            (EjectionState::Probing { count }, HealthEvent::ProbeAbandoned) => {
                EjectionState::Ejected { until: now, count, check_started_at: None }
            }
            (EjectionState::Ejected { count, check_started_at: Some(_), .. }, HealthEvent::CheckFailed) => {
                ejected(now, count + 1)
            }
            (EjectionState::Ejected { count, .. }, HealthEvent::ProbeStarted) => {
                EjectionState::Probing { count }
            }
            (EjectionState::Ejected { until, count, .. }, HealthEvent::CheckStarted) => {
                EjectionState::Ejected { until, count, check_started_at: Some(now) }
            }
            // Failures of requests that were sent before the ejection are no new information.
            (state, _) => state,
        }
    }

    fn is_healthy(&self) -> bool {
        matches!(self.state, EjectionState::Healthy { .. })
    }

    /// Returns whether the server may get a request now.
    pub(crate) fn status(&self, now: Duration, urgent: bool) -> HealthStatus {
        let delay = if urgent { URGENT_PROBE_DELAY } else { Duration::ZERO };
        match self.state {
            EjectionState::Healthy { .. } => HealthStatus::Healthy,
            EjectionState::Ejected { until, check_started_at, .. }
                if now >= until + delay && !is_check_pending(check_started_at, now) =>
            {
                HealthStatus::ProbeDue
            }
            EjectionState::Ejected { .. } | EjectionState::Probing { .. } => HealthStatus::Ejected,
        }
    }

    /// Returns whether a health check is due.
    pub(crate) fn is_check_due(&self, now: Duration) -> bool {
        let EjectionState::Ejected { until, check_started_at, .. } = self.state else { return false };
        now + CHECK_LEAD_TIME >= until && !is_check_pending(check_started_at, now)
    }
}

/// Returns whether a health check has started and its result is still awaited.
fn is_check_pending(check_started_at: Option<Duration>, now: Duration) -> bool {
    check_started_at.is_some_and(|started_at| now < started_at + CHECK_TIMEOUT)
}

/// Returns the state of a server that is ejected for the `count`th time in a row.
fn ejected(now: Duration, count: u32) -> EjectionState {
    let doublings = count.saturating_sub(1).min(16);
    let time = FIRST_EJECTION_TIME.saturating_mul(1 << doublings).min(MAX_EJECTION_TIME);
    EjectionState::Ejected { until: now + time, count, check_started_at: None }
}

/// The numbers of failures and requests of a server, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureCounts {
    failures: f64,
    requests: f64,
    updated_at: Duration,
}

/// The half-life of the counts of failures and requests.
const HALF_LIFE_S: f64 = 5.0;

impl FailureCounts {
    pub(crate) fn record(&mut self, now: Duration, failed: bool) {
        let (failures, requests) = self.decayed_counts(now);
        self.failures = failures + f64::from(u8::from(failed));
        self.requests = requests + 1.0;
        self.updated_at = now;
    }

    /// Returns the numbers of failures and requests after their decay until `now`.
    pub(crate) fn decayed_counts(&self, now: Duration) -> (f64, f64) {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let remaining = 0.5_f64.powf(age / HALF_LIFE_S);
        (self.failures * remaining, self.requests * remaining)
    }
}
