//! The clock of the limiter.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Maximum time from the start of the clock to a timer, in seconds.
const MAX_TIMER_S: f64 = 1e6;

/// A clock in Unix seconds. The system time is read once, and the monotonic clock is used from then on, so that the time
/// never goes backwards. All limiters use Unix time, because the names of counter windows and the start times of servers
/// must mean the same at each.
#[derive(Clone, Copy)]
pub struct Clock {
    /// The start of the clock.
    instant: Instant,
    /// The Unix time at the start of the clock.
    unix: Duration,
}

impl Clock {
    /// Starts the clock at the current system time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { instant: Instant::now(), unix }
    }

    /// Converts an instant to Unix seconds.
    pub fn seconds(&self, at: Instant) -> f64 {
        (self.unix + at.saturating_duration_since(self.instant)).as_secs_f64()
    }

    /// Returns the current time in Unix seconds.
    pub fn now(&self) -> f64 {
        self.seconds(Instant::now())
    }

    /// Converts Unix seconds to an instant, at most [`MAX_TIMER_S`] after the start of the clock.
    pub fn instant(&self, seconds: f64) -> Instant {
        let after = (seconds - self.unix.as_secs_f64()).clamp(0.0, MAX_TIMER_S);
        self.instant + Duration::from_secs_f64(after)
    }
}
