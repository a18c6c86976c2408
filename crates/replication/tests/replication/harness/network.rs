//! Links between machines: delays, losses, duplicates and partitions, separately for each direction.

use std::collections::BTreeSet;

/// The delay of the late copies of replies.
const LATE_DELAY_MS: std::ops::Range<u64> = 500..3000;

/// The delays of messages in milliseconds, and the rates of faults per thousand messages.
#[derive(Clone, Copy, Debug)]
pub struct NetworkOptions {
    pub min_delay_ms: u64,
    pub max_delay_ms: u64,
    /// Messages per thousand that are lost.
    pub lost: u32,
    /// Messages per thousand that arrive twice.
    pub duplicated: u32,
    /// Messages per thousand that take up to a second longer.
    pub delayed: u32,
    /// Replies of witnesses per thousand of which a copy arrives up to 3 seconds later, when the receiver may
    /// lead in another epoch.
    pub late: u32,
}

impl Default for NetworkOptions {
    fn default() -> Self {
        NetworkOptions { min_delay_ms: 5, max_delay_ms: 25, lost: 0, duplicated: 0, delayed: 0, late: 0 }
    }
}

/// The options of all links, and the partitioned ones.
#[derive(Clone, Debug)]
pub struct Network {
    pub options: NetworkOptions,
    partitions: BTreeSet<(usize, usize)>,
}

impl Network {
    pub fn new(options: NetworkOptions) -> Self {
        Network { options, partitions: BTreeSet::new() }
    }

    /// Partitions one direction of a link.
    pub fn partition(&mut self, from: usize, to: usize) {
        self.partitions.insert((from, to));
    }

    pub fn heal(&mut self, from: usize, to: usize) {
        self.partitions.remove(&(from, to));
    }

    pub fn heal_all(&mut self) {
        self.partitions.clear();
    }

    pub fn can_send(&self, from: usize, to: usize) -> bool {
        !self.partitions.contains(&(from, to))
    }

    pub fn can_exchange(&self, one: usize, other: usize) -> bool {
        self.can_send(one, other) && self.can_send(other, one)
    }

    /// Returns the delay of the late copy of a reply in milliseconds; `None` if there is no such copy.
    pub fn late_copy_delay(&self, from: usize, to: usize, random: &mut fastrand::Rng) -> Option<u64> {
        let is_late = self.options.late > 0 && random.u32(0..1000) < self.options.late;
        (is_late && self.can_send(from, to)).then(|| random.u64(LATE_DELAY_MS))
    }

    /// Returns the delay of each copy of a message in milliseconds; empty if the message is lost.
    pub fn delivery_delays(&self, from: usize, to: usize, random: &mut fastrand::Rng) -> Vec<u64> {
        let options = &self.options;
        if !self.can_send(from, to) || random.u32(0..1000) < options.lost {
            return Vec::new();
        }
        let copies = if random.u32(0..1000) < options.duplicated { 2 } else { 1 };
        let mut delay = || {
            let late = if random.u32(0..1000) < options.delayed { random.u64(0..1000) } else { 0 };
            late + random.u64(options.min_delay_ms..=options.max_delay_ms)
        };
        (0..copies).map(|_| delay()).collect()
    }
}
