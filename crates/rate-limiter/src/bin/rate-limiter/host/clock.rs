//! The clock of the decisions.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The longest time until a timer, in seconds.
const MAX_TIMER_S: f64 = 1e6;

/// A clock in Unix seconds, read once and continued by the monotonic clock. It never steps back, and is the same at all
/// limiters: the names of counter windows and the starts of servers depend on that.
#[derive(Clone, Copy)]
pub struct Clock {
    instant: Instant,
    unix: Duration,
}

impl Clock {
    /// Reads the time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { instant: Instant::now(), unix }
    }

    /// Converts an instant to seconds.
    pub fn seconds(&self, at: Instant) -> f64 {
        (self.unix + at.saturating_duration_since(self.instant)).as_secs_f64()
    }

    /// Returns the current time in seconds.
    pub fn now(&self) -> f64 {
        self.seconds(Instant::now())
    }

    /// Converts seconds to an instant.
    pub fn instant(&self, seconds: f64) -> Instant {
        let after = (seconds - self.unix.as_secs_f64()).clamp(0.0, MAX_TIMER_S);
        self.instant + Duration::from_secs_f64(after)
    }
}
