//! The merged reports of a node's own process and of its children, updated incrementally with each report.

use crate::counters::{server_load, service_counters, set_counters, CounterChange, Counters};
use crate::subtree::{endpoint_rank, DirtyKeys, SubtreeState};
use quillpulley_protocol::{Report, Totals};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// The source of a report: the node's own process or a child.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Source<Child> {
    Own,
    Child(Child),
}

/// The merged reports, and the changes that have not been sent to the parent or to the children yet.
#[derive(Debug)]
pub(crate) struct Aggregate<Child> {
    contributions: BTreeMap<Source<Child>, SubtreeState>,
    merged: SubtreeState,
    /// Changes that have not been sent to the parent.
    pub(crate) upward: PendingChanges,
    /// Changes that have not been sent to the children. Used only while the totals are this node's own sums.
    pub(crate) downward: PendingChanges,
}

/// Keys of the entries that have changed since they were last sent, and whether the number of proxies has
/// changed.
#[derive(Debug, Default)]
pub(crate) struct PendingChanges {
    endpoints: BTreeSet<String>,
    suspects: BTreeSet<String>,
    proxies_changed: bool,
    services: BTreeSet<String>,
    servers: BTreeSet<u64>,
    /// The last server that was sent. The next frame continues after it, so that servers are sent in
    /// rotation.
    cursor: u64,
}

impl PendingChanges {
    pub(crate) fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
            && self.suspects.is_empty()
            && !self.proxies_changed
            && self.services.is_empty()
            && self.servers.is_empty()
    }

    pub(crate) fn clear(&mut self) {
        *self = PendingChanges { cursor: self.cursor, ..PendingChanges::default() };
    }

    fn mark_counters(&mut self, dirty: &DirtyKeys, proxies: u32) {
        self.proxies_changed |= dirty.proxies_before != proxies;
        self.services.extend(dirty.services.iter().map(|change| change.key.clone()));
        self.servers.extend(dirty.servers.iter().map(|change| change.key));
    }

    /// Removes and returns up to `limit` servers.
    fn take_servers(&mut self, limit: usize) -> Vec<u64> {
        let after_cursor = self.servers.range((Bound::Excluded(self.cursor), Bound::Unbounded));
        let from_start = self.servers.range(..=self.cursor);
        let taken: Vec<u64> = after_cursor.chain(from_start).take(limit).copied().collect();
        for server in &taken {
            self.servers.remove(server);
            self.cursor = *server;
        }
        taken
    }
}

impl<Child: Copy + Ord> Aggregate<Child> {
    pub(crate) fn new() -> Self {
        Aggregate {
            contributions: BTreeMap::new(),
            merged: SubtreeState::default(),
            upward: PendingChanges::default(),
            downward: PendingChanges::default(),
        }
    }

    /// Returns the merged state of the subtree.
    pub(crate) fn merged(&self) -> &SubtreeState {
        &self.merged
    }

    /// Returns the state reported by a source, or `None` if it has not reported.
    pub(crate) fn contribution(&self, source: Source<Child>) -> Option<&SubtreeState> {
        self.contributions.get(&source)
    }

    /// Applies a report. Returns whether the merged endpoints or suspicions have changed.
    pub(crate) fn apply(&mut self, source: Source<Child>, report: Report) -> bool {
        let contribution = self.contributions.entry(source).or_default();
        let dirty = contribution.apply(report);
        let proxies = contribution.counters.proxies;
        self.merge_counters(&dirty, proxies);
        self.merge_depth();
        let endpoints_changed = dirty.endpoints.iter().filter(|name| self.merge_endpoint(name)).count() > 0;
        let suspects_changed = dirty.suspects.iter().filter(|name| self.merge_suspect(name)).count() > 0;
        endpoints_changed || suspects_changed
    }

    /// Removes the report of a source. Returns whether the merged endpoints or suspicions have changed.
    pub(crate) fn remove(&mut self, source: Source<Child>) -> bool {
        let changed = self.apply(source, Report::default());
        self.contributions.remove(&source);
        self.merge_depth();
        changed
    }

    /// Returns a complete report for the parent, and clears the changes pending for it.
    pub(crate) fn full_report(&mut self) -> Report {
        self.upward.clear();
        self.merged.to_report()
    }

    /// Returns a report of the changes pending for the parent, with at most `max_servers` servers.
    pub(crate) fn delta_report(&mut self, max_servers: usize) -> Report {
        let merged = &self.merged;
        let servers = self.upward.take_servers(max_servers);
        let pending = &mut self.upward;
        pending.proxies_changed = false;
        let (present, removed): (Vec<_>, Vec<_>) = std::mem::take(&mut pending.endpoints)
            .into_iter()
            .partition(|name| merged.endpoints.contains_key(name));
        let services = std::mem::take(&mut pending.services);
        let suspects = std::mem::take(&mut pending.suspects);
        Report {
            delta: true,
            depth: merged.depth,
            endpoints: present.iter().filter_map(|name| merged.endpoints.get(name)).cloned().collect(),
            removed_endpoints: removed,
            suspicions: suspects.iter().map(|suspect| merged.suspicion(suspect)).collect(),
            proxies: merged.counters.proxies,
            services: entries_for(&merged.counters.services, services).map(service_counters).collect(),
            servers: entries_for(&merged.counters.servers, servers).map(server_load).collect(),
        }
    }

    /// Returns the changes pending for the children as a frame of totals, with at most `max_servers` servers.
    pub(crate) fn delta_totals(&mut self, complete: bool, max_servers: usize) -> Totals {
        let counters = &self.merged.counters;
        let servers = self.downward.take_servers(max_servers);
        self.downward.proxies_changed = false;
        let services = std::mem::take(&mut self.downward.services);
        Totals {
            complete,
            delta: true,
            hops: 0,
            origin: 0,
            proxies: counters.proxies,
            services: entries_for(&counters.services, services).map(service_counters).collect(),
            servers: entries_for(&counters.servers, servers).map(server_load).collect(),
        }
    }

    fn merge_counters(&mut self, dirty: &DirtyKeys, proxies: u32) {
        let counters = &mut self.merged.counters;
        counters.proxies = counters.proxies.wrapping_sub(dirty.proxies_before).wrapping_add(proxies);
        add_changes(&mut counters.services, &dirty.services);
        add_changes(&mut counters.servers, &dirty.servers);
        self.upward.mark_counters(dirty, proxies);
        self.downward.mark_counters(dirty, proxies);
    }

    fn merge_depth(&mut self) {
        let depths = self.contributions.values().map(|subtree| subtree.depth.saturating_add(1));
        self.merged.depth = depths.max().unwrap_or(0);
    }

    fn merge_endpoint(&mut self, name: &str) -> bool {
        let reported = self.contributions.values().filter_map(|subtree| subtree.endpoints.get(name));
        let best = reported.max_by_key(|endpoint| endpoint_rank(endpoint));
        if best == self.merged.endpoints.get(name) {
            return false;
        }
        match best.cloned() {
            Some(endpoint) => self.merged.endpoints.insert(name.to_string(), endpoint),
            None => self.merged.endpoints.remove(name),
        };
        self.upward.endpoints.insert(name.to_string());
        true
    }

    fn merge_suspect(&mut self, suspect: &str) -> bool {
        let reported = self.contributions.values().filter_map(|subtree| subtree.suspicions.get(suspect));
        let monitors: BTreeSet<String> = reported.flatten().cloned().collect();
        let before = match monitors.is_empty() {
            true => self.merged.suspicions.remove(suspect),
            false => self.merged.suspicions.insert(suspect.to_string(), monitors),
        };
        let changed = before.as_ref() != self.merged.suspicions.get(suspect);
        if changed {
            self.upward.suspects.insert(suspect.to_string());
        }
        changed
    }
}

fn add_changes<K: Ord + Clone, T: Counters>(sums: &mut BTreeMap<K, T>, changes: &[CounterChange<K, T>]) {
    for change in changes {
        let sum = sums.get(&change.key).copied().unwrap_or_default();
        set_counters(sums, change.key.clone(), sum.minus(change.old).plus(change.new));
    }
}

/// Returns the entries for some keys, with counters of zero for keys that are not in the table.
fn entries_for<K: Ord, T: Counters, I: IntoIterator<Item = K>>(
    table: &BTreeMap<K, T>,
    keys: I,
) -> impl Iterator<Item = (K, T)> + use<'_, K, T, I> {
    keys.into_iter().map(|key| {
        let counters = table.get(&key).copied().unwrap_or_default();
        (key, counters)
    })
}
