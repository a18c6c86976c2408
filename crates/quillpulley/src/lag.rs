//! Decides when to log that something lags: once it has lagged for a second, then once a second, and when it is
//! current again.

use std::time::Duration;

/// A lag is reported once it has lasted this long.
const REPORT_AFTER: Duration = Duration::from_secs(1);
/// The interval between the reports of one lag.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What to log.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum LagReport {
    /// The lag has lasted this long so far.
    Lagging(Duration),
    /// The lag has ended. It lasted this long.
    Recovered(Duration),
}

#[derive(Copy, Clone, Debug, Default)]
enum LagState {
    /// No lag is being reported.
    #[default]
    Current,
    /// A lag was last reported at `reported_at`, and has not ended.
    Lagging { reported_at: Duration },
}

/// Follows one thing that may lag. All times are measured from the start of the process.
#[derive(Debug, Default)]
pub struct LagMonitor {
    state: LagState,
    /// When the lag began that the latest update named.
    latest_since: Option<Duration>,
}

impl LagMonitor {
    /// Returns what is to be logged. `since` is when the thing was last current, or `None` if it is current now. A later
    /// time than before means that it has been current meanwhile.
    pub fn update(&mut self, now: Duration, since: Option<Duration>) -> Option<LagReport> {
        let ended = self.ended_lag(now, since);
        self.latest_since = since;
        if let Some(duration) = ended {
            self.change_state(LagState::Current);
            return Some(LagReport::Recovered(duration));
        }
        let since = since.filter(|_| now >= self.next_report())?;
        self.change_state(LagState::Lagging { reported_at: now });
        Some(LagReport::Lagging(now.saturating_sub(since)))
    }

    /// Returns when the next report is due, unless the thing is current before then.
    pub fn next_report(&self) -> Duration {
        match (self.state, self.latest_since) {
            (LagState::Lagging { reported_at }, _) => reported_at + REPORT_INTERVAL,
            (LagState::Current, Some(since)) => since + REPORT_AFTER,
            (LagState::Current, None) => Duration::MAX,
        }
    }

    /// Returns the duration of the lag that has ended since the latest update, if it was reported, or was long enough to
    /// be reported although the process did not run in time.
    fn ended_lag(&self, now: Duration, since: Option<Duration>) -> Option<Duration> {
        let duration = since.unwrap_or(now).saturating_sub(self.latest_since?);
        match self.state {
            LagState::Lagging { .. } => Some(duration).filter(|duration| !duration.is_zero()),
            LagState::Current => Some(duration).filter(|duration| *duration >= REPORT_AFTER),
        }
    }

    /// Changes the state. All state transitions go through this function.
    fn change_state(&mut self, next: LagState) {
        self.state = next;
    }
}
