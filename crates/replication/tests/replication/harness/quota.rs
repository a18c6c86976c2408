//! A CPU quota, as opposed to a share of a core: in each period a process runs at full speed until its quota
//! is used up, and is then throttled for the rest of the period.

/// The length of a quota period.
const PERIOD_MS: u64 = 100;

/// The quota of a process, and the offset of its periods.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// The time for which the process may run in each period.
    pub runtime_ms: u64,
    pub offset_ms: u64,
}

impl Quota {
    /// Returns how long a process is throttled from the time `now` on, in milliseconds; 0 if it may run.
    pub fn throttled_for(self, now: u64) -> u64 {
        let phase = (now + PERIOD_MS - self.offset_ms % PERIOD_MS) % PERIOD_MS;
        if phase < self.runtime_ms {
            0
        } else {
            PERIOD_MS - phase
        }
    }
}
