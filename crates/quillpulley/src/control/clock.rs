//! The monotonic clock that all threads of a control node share.
//!
//! A monotonic clock may stand still with its whole machine: a virtual machine that is paused, or moved to another host.
//! Then the time of day, which its host or a time server sets, advances by more than the monotonic clock does. Such a
//! jump is counted, so that a lease that was granted before it does not count any more. A machine both of whose clocks
//! stood still cannot notice that by itself.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Differences below this are left to the safety margin of the lease, of which it is a part.
const JUMP_THRESHOLD: Duration = Duration::from_millis(50);

/// What both clocks of the machine show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The time since the start of the process, by the monotonic clock.
    pub monotonic: Duration,
    /// The time of day, since any fixed moment.
    pub time_of_day: Duration,
}

impl ClockReading {
    /// Returns by how much the time of day has advanced more than the monotonic clock since an earlier reading.
    fn gain_since(&self, earlier: ClockReading) -> Duration {
        let by_monotonic = self.monotonic.saturating_sub(earlier.monotonic);
        let by_time_of_day = self.time_of_day.saturating_sub(earlier.time_of_day);
        by_time_of_day.saturating_sub(by_monotonic)
    }
}

/// The jumps that readings in a row have shown.
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

/// A monotonic clock that goes on while the process is suspended, and counts when it stood still with the machine.
#[derive(Clone)]
pub struct Clock {
    read: Arc<dyn Fn() -> ClockReading + Send + Sync>,
    counter: Arc<Mutex<JumpCounter>>,
}

impl Clock {
    /// Creates a clock that starts at zero now.
    pub fn start() -> Self {
        let start = Instant::now();
        Clock::reading_both(move || ClockReading {
            monotonic: start.elapsed(),
            time_of_day: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
        })
    }

    /// Creates a clock that returns what `read` returns, and never jumps.
    pub fn reading(read: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
        Clock::reading_both(move || {
            let now = read();
            ClockReading { monotonic: now, time_of_day: now }
        })
    }

    /// Creates a clock that returns what `read` returns.
    pub fn reading_both(read: impl Fn() -> ClockReading + Send + Sync + 'static) -> Self {
        let counter = JumpCounter { last: read(), jumps: 0 };
        Clock { read: Arc::new(read), counter: Arc::new(Mutex::new(counter)) }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        (self.read)().monotonic
    }

    /// Returns how often the monotonic clock has stood still with the machine since the start.
    pub fn jumps(&self) -> u64 {
        let mut counter = self.counter.lock().unwrap_or_else(PoisonError::into_inner);
        // Read under the lock, so that readings are observed in their order.
        counter.observe((self.read)())
    }
}
