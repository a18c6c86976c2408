//! Counters by service and by server, which are summed over proxies.

use quillpulley_protocol::{ServerLoad, ServiceCounters};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the key that identifies a server in counters: the XXH3 hash of its id.
pub fn server_key(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// The counters of a service in the latest window of the retry budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounters {
    /// Requests, without their retries.
    pub requests: u32,
    /// Retries that were sent.
    pub retries: u32,
    /// Retries that were rejected.
    pub rejected_retries: u32,
}

/// The load of a server that is caused by one or more proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadCounters {
    /// Requests in flight whose response has begun.
    pub running: u32,
    /// Requests in flight whose response has not begun.
    pub waiting: u32,
    /// Prompt tokens of the waiting requests.
    pub prompt_tokens: u32,
    /// Number of recent failures.
    pub failures: u32,
}

/// The sums of the counters of some proxies. Services and servers whose counters are all zero are omitted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CounterTable {
    /// The number of proxies in the sums.
    pub proxies: u32,
    /// The retry counters, by name of the service.
    pub services: BTreeMap<String, RetryCounters>,
    /// The load of servers, by [`server_key`].
    pub servers: BTreeMap<u64, LoadCounters>,
}

/// Counters that can be added and subtracted. Both operations wrap on overflow, so that a sum is exact again
/// after the values that caused the overflow are subtracted.
pub(crate) trait Counters: Copy + Default + Eq {
    fn plus(self, other: Self) -> Self;
    fn minus(self, other: Self) -> Self;
}

impl Counters for RetryCounters {
    fn plus(self, other: Self) -> Self {
        RetryCounters {
            requests: self.requests.wrapping_add(other.requests),
            retries: self.retries.wrapping_add(other.retries),
            rejected_retries: self.rejected_retries.wrapping_add(other.rejected_retries),
        }
    }

    fn minus(self, other: Self) -> Self {
        RetryCounters {
            requests: self.requests.wrapping_sub(other.requests),
            retries: self.retries.wrapping_sub(other.retries),
            rejected_retries: self.rejected_retries.wrapping_sub(other.rejected_retries),
        }
    }
}

impl Counters for LoadCounters {
    fn plus(self, other: Self) -> Self {
        LoadCounters {
            running: self.running.wrapping_add(other.running),
            waiting: self.waiting.wrapping_add(other.waiting),
            prompt_tokens: self.prompt_tokens.wrapping_add(other.prompt_tokens),
            failures: self.failures.wrapping_add(other.failures),
        }
    }

    fn minus(self, other: Self) -> Self {
        LoadCounters {
            running: self.running.wrapping_sub(other.running),
            waiting: self.waiting.wrapping_sub(other.waiting),
            prompt_tokens: self.prompt_tokens.wrapping_sub(other.prompt_tokens),
            failures: self.failures.wrapping_sub(other.failures),
        }
    }
}

/// A change of one entry in a table of counters. An absent entry has counters of zero.
#[derive(Clone, Debug)]
pub(crate) struct CounterChange<K, T> {
    pub(crate) key: K,
    pub(crate) old: T,
    pub(crate) new: T,
}

/// Sets an entry, or removes it if its new counters are zero. Returns the previous counters.
pub(crate) fn set_counters<K: Ord, T: Counters>(table: &mut BTreeMap<K, T>, key: K, counters: T) -> T {
    let old = if counters == T::default() { table.remove(&key) } else { table.insert(key, counters) };
    old.unwrap_or_default()
}

/// Sets the entries of a frame in a table. Unless the frame is a delta, all other entries are removed.
/// Returns the changes.
pub(crate) fn apply_counters<K: Ord + Clone, T: Counters>(
    table: &mut BTreeMap<K, T>,
    entries: impl IntoIterator<Item = (K, T)>,
    delta: bool,
) -> Vec<CounterChange<K, T>> {
    let mut before = if delta { BTreeMap::new() } else { table.clone() };
    let mut changes = Vec::new();
    for (key, new) in entries {
        before.remove(&key);
        let old = set_counters(table, key.clone(), new);
        changes.push(CounterChange { key, old, new });
    }
    for (key, old) in before {
        table.remove(&key);
        changes.push(CounterChange { key, old, new: T::default() });
    }
    changes.retain(|change| change.old != change.new);
    changes
}

/// Returns the entries that turn the table `from` into the table `to`. Entries to be removed have counters of
/// zero.
pub(crate) fn counters_between<K: Ord + Clone, T: Counters>(
    from: &BTreeMap<K, T>,
    to: &BTreeMap<K, T>,
) -> Vec<(K, T)> {
    let removed = from.keys().filter(|key| !to.contains_key(*key)).map(|key| (key.clone(), T::default()));
    let differing = to.iter().filter(|(key, counters)| from.get(*key) != Some(*counters));
    removed.chain(differing.map(|(key, counters)| (key.clone(), *counters))).collect()
}

/// Converts the entry of a service to its form in a frame.
pub(crate) fn service_counters((service, counters): (String, RetryCounters)) -> ServiceCounters {
    ServiceCounters {
        service,
        requests: counters.requests,
        retries: counters.retries,
        rejected_retries: counters.rejected_retries,
    }
}

/// Converts the entry of a service from its form in a frame.
pub(crate) fn retry_counters(entry: ServiceCounters) -> (String, RetryCounters) {
    let counters = RetryCounters {
        requests: entry.requests,
        retries: entry.retries,
        rejected_retries: entry.rejected_retries,
    };
    (entry.service, counters)
}

/// Converts the entry of a server to its form in a frame.
pub(crate) fn server_load((server, counters): (u64, LoadCounters)) -> ServerLoad {
    ServerLoad {
        server,
        running: counters.running,
        waiting: counters.waiting,
        prompt_tokens: counters.prompt_tokens,
        failures: counters.failures,
    }
}

/// Converts the entry of a server from its form in a frame.
pub(crate) fn load_counters(load: ServerLoad) -> (u64, LoadCounters) {
    let counters = LoadCounters {
        running: load.running,
        waiting: load.waiting,
        prompt_tokens: load.prompt_tokens,
        failures: load.failures,
    };
    (load.server, counters)
}
