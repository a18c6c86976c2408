//! Measures the age of the published state at the proxies.

use std::collections::BTreeMap;

/// The time after the end of a machine's own trouble from which its state must be current.
pub const SETTLING_TIME_US: u64 = 6_000_000;

/// What a proxy has received.
#[derive(Clone, Copy, Debug, Default)]
struct Received {
    tick: u64,
    version: u64,
}

/// A machine whose state was older than the bound.
#[derive(Clone, Copy, Debug)]
pub struct LateMachine {
    /// When its state first was older than the bound.
    pub since: u64,
    pub max_age_us: u64,
    /// When it was the oldest.
    pub at: u64,
}

/// The ages of the published state at all proxies.
///
/// The age of a proxy's state is the time since the root has published the first revision, or the first version of the
/// configuration, that the proxy has not received.
pub struct Measurement {
    bound_us: u64,
    /// The times at which the root published revisions, by their ticks.
    revisions: Vec<u64>,
    /// The times at which the root published versions of the configuration.
    versions: Vec<u64>,
    received: Vec<Received>,
    /// When the trouble of each machine ended; `u64::MAX` while it lasts.
    untroubled_since: Vec<u64>,
    pub late: BTreeMap<usize, LateMachine>,
    /// The greatest age, with the machine and the time.
    pub oldest: Option<(u64, usize, u64)>,
}

impl Measurement {
    pub fn new(machines: usize, bound_us: u64) -> Self {
        Measurement {
            bound_us,
            revisions: vec![0],
            versions: vec![0],
            received: vec![Received::default(); machines],
            untroubled_since: vec![0; machines],
            late: BTreeMap::new(),
            oldest: None,
        }
    }

    /// Records that the root has published all revisions up to `tick`.
    pub fn revision_published(&mut self, now: u64, tick: u64) {
        while (self.revisions.len() as u64) <= tick {
            self.revisions.push(now);
        }
    }

    /// Records that the next version of the configuration is published. Returns this version.
    pub fn publish_version(&mut self, now: u64) -> u64 {
        self.versions.push(now);
        self.versions.len() as u64 - 1
    }

    /// Returns whether the proxy of a machine had another revision when [`Measurement::received`] was last called.
    pub fn is_new(&self, machine: usize, tick: u64) -> bool {
        self.received[machine].tick != tick
    }

    /// Records what the proxy of a machine has now, after the age of what it had before was checked.
    pub fn received(&mut self, now: u64, machine: usize, tick: u64, version: u64) {
        self.check(now, machine);
        self.received[machine] = Received { tick, version };
    }

    pub fn trouble_began(&mut self, machine: usize) {
        self.untroubled_since[machine] = u64::MAX;
    }

    pub fn trouble_ended(&mut self, now: u64, machine: usize) {
        self.untroubled_since[machine] = now;
    }

    pub fn is_troubled(&self, machine: usize) -> bool {
        self.untroubled_since[machine] == u64::MAX
    }

    /// Returns the age of the state of a machine's proxy.
    pub fn age(&self, now: u64, machine: usize) -> u64 {
        let received = self.received[machine];
        let missing = |published: &[u64], last: u64| published.get(last as usize + 1).copied();
        let since = [missing(&self.revisions, received.tick), missing(&self.versions, received.version)];
        since.into_iter().flatten().min().map_or(0, |since| now.saturating_sub(since))
    }

    /// Checks the age of the state of a machine's proxy, unless the machine had trouble of its own recently.
    pub fn check(&mut self, now: u64, machine: usize) {
        if now < self.untroubled_since[machine].saturating_add(SETTLING_TIME_US) {
            return;
        }
        let age = self.age(now, machine);
        if self.oldest.is_none_or(|(oldest, ..)| age > oldest) {
            self.oldest = Some((age, machine, now));
        }
        if age > self.bound_us {
            let late = self.late.entry(machine).or_insert(LateMachine { since: now, max_age_us: 0, at: now });
            if age > late.max_age_us {
                (late.max_age_us, late.at) = (age, now);
            }
        }
    }
}
