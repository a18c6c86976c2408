//! The monotonic clock that all threads of a control node share.
//!
//! A monotonic clock may stop while the whole machine is stopped, for example while a virtual machine is
//! paused or migrated to another host. The time of day, which is set by the host or by a time server, then
//! advances by more than the monotonic clock does. [`Clock`] counts such jumps, so that a lease that was
//! granted before a jump is no longer relied on. If both clocks of the machine stopped, the process cannot
//! detect it.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Minimum difference that counts as a jump. Smaller differences are covered by the safety margin of the
/// lease, of which this threshold is a part.
const JUMP_THRESHOLD: Duration = Duration::from_millis(50);

/// A reading of both clocks of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The time since the start of the process, by the monotonic clock.
    pub monotonic: Duration,
    /// The time of day, measured from an arbitrary fixed point in time.
    pub time_of_day: Duration,
}

impl ClockReading {
    /// Returns by how much more the time of day has advanced than the monotonic clock since `earlier`; zero
    /// if it has advanced less.
    fn gain_since(&self, earlier: ClockReading) -> Duration {
        let by_monotonic = self.monotonic.saturating_sub(earlier.monotonic);
        let by_time_of_day = self.time_of_day.saturating_sub(earlier.time_of_day);
        by_time_of_day.saturating_sub(by_monotonic)
    }
}

/// Counts the jumps that consecutive readings show.
#[derive(Debug)]
struct JumpCounter {
    last: ClockReading,
    jumps: u64,
}

impl JumpCounter {
    fn observe(&mut self, reading: ClockReading) -> u64 {
        if reading.monotonic >= self.last.monotonic {
            if reading.gain_since(self.last) >= JUMP_THRESHOLD {
                self.jumps += 1;
            }
            self.last = reading;
        }
        self.jumps
    }
}

/// A monotonic clock that keeps running while the process is suspended, and that counts how often it stopped
/// together with the machine.
#[derive(Clone)]
pub struct Clock {
    read: Arc<dyn Fn() -> ClockReading + Send + Sync>,
    counter: Arc<Mutex<JumpCounter>>,
}

impl Clock {
    /// Creates a clock that starts at zero now.
    pub fn start() -> Self {
        let start = Instant::now();
        Clock::from_readings(move || ClockReading {
            monotonic: start.elapsed(),
            time_of_day: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
        })
    }

    /// Creates a clock that returns the time that `read` returns, and that never jumps.
    pub fn from_fn(read: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
        Clock::from_readings(move || {
            let now = read();
            ClockReading { monotonic: now, time_of_day: now }
        })
    }

    /// Creates a clock that takes the readings of both clocks from `read`.
    pub fn from_readings(read: impl Fn() -> ClockReading + Send + Sync + 'static) -> Self {
        let counter = JumpCounter { last: read(), jumps: 0 };
        Clock { read: Arc::new(read), counter: Arc::new(Mutex::new(counter)) }
    }

    /// Returns the time since the start, by the monotonic clock.
    pub fn now(&self) -> Duration {
        (self.read)().monotonic
    }

    /// Reads both clocks and returns the number of jumps since the start, that is, how often the monotonic
    /// clock has stopped together with the machine.
    pub fn jumps(&self) -> u64 {
        let mut counter = self.counter.lock().unwrap_or_else(PoisonError::into_inner);
        // The clocks are read under the lock so that readings are observed in the order in which they were
        // taken.
        counter.observe((self.read)())
    }
}
