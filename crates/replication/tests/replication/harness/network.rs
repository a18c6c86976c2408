//! Links between machines: delays, losses, duplicates and cuts, each direction on its own.

use std::collections::BTreeSet;

/// How late the copies of answers are.
const LATE_MS: std::ops::Range<u64> = 500..3000;

/// How links behave, in milliseconds and shares of a thousand.
#[derive(Clone, Copy, Debug)]
pub struct NetworkOptions {
    pub min_delay: u64,
    pub max_delay: u64,
    /// Messages lost of a thousand.
    pub lost: u32,
    /// Messages that arrive twice of a thousand.
    pub duplicated: u32,
    /// Messages that take up to a second of a thousand.
    pub delayed: u32,
    /// Answers of witnesses that come once more of a thousand, seconds later: perhaps to a later leadership.
    pub late: u32,
}

impl Default for NetworkOptions {
    fn default() -> Self {
        NetworkOptions { min_delay: 5, max_delay: 25, lost: 0, duplicated: 0, delayed: 0, late: 0 }
    }
}

/// Which machines cannot send to which.
#[derive(Clone, Debug)]
pub struct Network {
    pub options: NetworkOptions,
    partitions: BTreeSet<(usize, usize)>,
}

impl Network {
    pub fn new(options: NetworkOptions) -> Self {
        Network { options, partitions: BTreeSet::new() }
    }

    /// Cuts one direction.
    pub fn partition(&mut self, from: usize, to: usize) {
        self.partitions.insert((from, to));
    }

    pub fn heal(&mut self, from: usize, to: usize) {
        self.partitions.remove(&(from, to));
    }

    pub fn heal_all(&mut self) {
        self.partitions.clear();
    }

    pub fn passes(&self, from: usize, to: usize) -> bool {
        !self.partitions.contains(&(from, to))
    }

    pub fn is_open(&self, one: usize, other: usize) -> bool {
        self.passes(one, other) && self.passes(other, one)
    }

    /// When a copy of an answer arrives that comes late, as a delay.
    pub fn late_delivery(&self, from: usize, to: usize, random: &mut fastrand::Rng) -> Option<u64> {
        let is_late = self.options.late > 0 && random.u32(0..1000) < self.options.late;
        (is_late && self.passes(from, to)).then(|| random.u64(LATE_MS))
    }

    /// When copies of a message arrive, as delays; none if it is lost.
    pub fn deliveries(&self, from: usize, to: usize, random: &mut fastrand::Rng) -> Vec<u64> {
        let options = &self.options;
        if !self.passes(from, to) || random.u32(0..1000) < options.lost {
            return Vec::new();
        }
        let copies = if random.u32(0..1000) < options.duplicated { 2 } else { 1 };
        let mut delay = || {
            let late = if random.u32(0..1000) < options.delayed { random.u64(0..1000) } else { 0 };
            late + random.u64(options.min_delay..=options.max_delay)
        };
        (0..copies).map(|_| delay()).collect()
    }
}
