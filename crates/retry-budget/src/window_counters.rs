//! The counters of a service, in a ring buffer of time slots.

use std::time::Duration;

/// Number of slots in a budget window.
pub(crate) const SLOTS_PER_WINDOW: u64 = 20;

/// Number of slots in the ring buffer: two windows and the current slot, rounded up to a power of two.
const RING_SLOTS: usize = 64;

/// The counters of one slot, or their sums over several slots.
#[derive(Clone, Copy, Default)]
pub(crate) struct Slot {
    pub(crate) requests: u32,
    pub(crate) retries: u32,
    pub(crate) rejected_retries: u32,
}

/// A ring buffer of the latest slots. Slots are numbered from the start of the process.
pub(crate) struct WindowCounters {
    slot_length: Duration,
    slots: [Slot; RING_SLOTS],
    /// Number of the newest slot.
    newest: u64,
}

impl WindowCounters {
    pub(crate) fn new(window: Duration, now: Duration) -> Self {
        let slot_length = (window / SLOTS_PER_WINDOW as u32).max(Duration::from_nanos(1));
        let mut counts = WindowCounters { slot_length, slots: [Slot::default(); RING_SLOTS], newest: 0 };
        counts.newest = counts.slot_number(now);
        counts
    }

    fn slot_number(&self, now: Duration) -> u64 {
        (now.as_nanos() / self.slot_length.as_nanos()) as u64
    }

    /// Advances to the slot that contains `now`, and clears the slots that began since the last call. Returns
    /// the number of the newest slot.
    pub(crate) fn advance(&mut self, now: Duration) -> u64 {
        let number = self.slot_number(now);
        let elapsed = number.saturating_sub(self.newest).min(RING_SLOTS as u64);
        for step in 1..=elapsed {
            self.slots[((self.newest + step) % RING_SLOTS as u64) as usize] = Slot::default();
        }
        self.newest = self.newest.max(number);
        self.newest
    }

    /// Returns the newest slot.
    pub(crate) fn current_slot(&mut self) -> &mut Slot {
        &mut self.slots[(self.newest % RING_SLOTS as u64) as usize]
    }

    /// Returns the counters of the slot with this number. They are zero if the slot has not begun or is no
    /// longer kept.
    pub(crate) fn slot(&self, number: i64) -> Slot {
        let newest = self.newest as i64;
        if number < 0 || number > newest || number <= newest - RING_SLOTS as i64 {
            return Slot::default();
        }
        self.slots[(number % RING_SLOTS as i64) as usize]
    }

    /// Returns the sums over the window that ends with the slot that contains `now`.
    pub(crate) fn latest_window(&self, now: Duration) -> Slot {
        let number = self.slot_number(now).max(self.newest) as i64;
        let mut sum = Slot::default();
        for slot in (number - SLOTS_PER_WINDOW as i64 + 1)..=number {
            let Slot { requests, retries, rejected_retries } = self.slot(slot);
            sum.requests = sum.requests.saturating_add(requests);
            sum.retries = sum.retries.saturating_add(retries);
            sum.rejected_retries = sum.rejected_retries.saturating_add(rejected_retries);
        }
        sum
    }
}
