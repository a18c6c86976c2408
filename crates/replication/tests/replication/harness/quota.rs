//! A quota in place of a share of a core: a process works at full speed until its quota is spent, and then stands still
//! for the rest of each period.

/// The length of a period.
const PERIOD_MS: u64 = 100;

/// The quota of a process, and where its periods begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// How long it works in each period.
    pub working_ms: u64,
    pub offset_ms: u64,
}

impl Quota {
    /// Returns how long a process has to wait at a time until it works again; 0 if it works.
    pub fn wait_at(self, now: u64) -> u64 {
        let phase = (now + PERIOD_MS - self.offset_ms % PERIOD_MS) % PERIOD_MS;
        if phase < self.working_ms {
            0
        } else {
            PERIOD_MS - phase
        }
    }
}
