//! Builds the directory from the published proxy endpoints and from those that report to this process.
//!
//! While the published state is fresh, only published endpoints are used, because all endpoints are reported
//! to the primary. Once the published state has not advanced for a second, the endpoints that report to this
//! process are added. After [`STALE_AFTER`] only the latter are used, because it is unknown whether other
//! endpoints still run.

use super::reported_endpoints::ReportedEndpoints;
use super::{Coverage, Directory};
use crate::control::distribution::endpoint_registry::is_suspected;
use quillpulley_load_balancer::HomeTable;
use quillpulley_protocol::{decode_value, EndpointState, ProxyEndpoint, ProxyEndpointRef};
use quillpulley_serving_config::published::{route_of, PublishedKey, ENDPOINT_PREFIX, ROUTE_PREFIX};
use quillpulley_state_sync::{ChangedKey, Store, SubtreeState, SyncNode};
use std::collections::BTreeMap;
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

/// Time that a process waits for more endpoints after it has learned of the first one, unless the published
/// state is fresh.
const INITIAL_WAIT: Duration = Duration::from_millis(1500);
/// Time after which published endpoints are no longer used, measured from the last advance of the published
/// state. An election takes less time.
pub const STALE_AFTER: Duration = Duration::from_secs(3);
/// Time after the start or an election during which some endpoints may not have been reported to the primary
/// yet.
pub const SETTLING_TIME: Duration = Duration::from_secs(3);

/// The state from which the directory is built.
pub struct DirectoryInputs<'a> {
    /// Whether the published state is up to date.
    pub fresh: bool,
    /// The time at which the published state last advanced; `None` if it never has.
    pub last_advanced: Option<Duration>,
    /// The epoch of the published state.
    pub epoch: u64,
    /// The published state.
    pub store: &'a Store,
    /// The reports that this process has received from its subtree of the relay tree.
    pub subtree: &'a SubtreeState,
}

impl<'a> DirectoryInputs<'a> {
    /// Returns the state of a node of the relay tree at `now`.
    pub fn at<Child: Copy + Eq + Hash + Ord>(now: Duration, sync_node: &'a SyncNode<Child>) -> Self {
        DirectoryInputs {
            fresh: sync_node.is_fresh(now),
            last_advanced: sync_node.last_advanced(),
            epoch: sync_node.revision().epoch,
            store: sync_node.store(),
            subtree: sync_node.subtree(),
        }
    }

    fn is_stale(&self, now: Duration) -> bool {
        !self.fresh && self.last_advanced.is_none_or(|advanced| now >= advanced + STALE_AFTER)
    }
}

/// Builds directories, and tracks whether enough endpoints are known to answer clients.
#[derive(Default)]
pub struct DirectoryBuilder {
    /// The time at which the first endpoint became known; `None` before.
    first_known_at: Option<Duration>,
    /// Whether the initial wait has ended: an endpoint was known, and either the published state was fresh or
    /// `INITIAL_WAIT` had passed.
    has_waited: bool,
    reported: ReportedEndpoints,
    homes: HomeCache,
    epoch: Option<Epoch>,
    is_settled: bool,
    coverage: Coverage,
    was_fresh: bool,
}

/// An epoch of the published state, and the time at which this process first saw it.
#[derive(Clone, Copy)]
struct Epoch {
    number: u64,
    began_at: Duration,
}

/// The home regions of the published routes, recomputed after the routes have changed.
#[derive(Default)]
struct HomeCache {
    table: Arc<HomeTable>,
    is_current: bool,
}

impl DirectoryBuilder {
    /// Builds the directory at `now`.
    pub fn build(&mut self, now: Duration, inputs: &DirectoryInputs<'_>) -> Directory {
        self.was_fresh = inputs.fresh;
        self.reported.update(now, inputs.subtree, inputs.fresh);
        let endpoints = self.known_endpoints(now, inputs);
        if !endpoints.is_empty() {
            let first_known_at = *self.first_known_at.get_or_insert(now);
            self.has_waited |= inputs.fresh || now >= first_known_at + INITIAL_WAIT;
        }
        self.update_epoch(now, inputs);
        self.coverage = self.coverage(inputs.is_stale(now));
        Directory { endpoints, coverage: self.coverage, homes: self.homes.table(inputs.store) }
    }

    fn coverage(&self, is_stale: bool) -> Coverage {
        match (self.has_waited, is_stale) {
            (false, _) => Coverage::TooFew,
            (true, true) => Coverage::OwnReports,
            (true, false) if !self.is_settled => Coverage::Settling,
            (true, false) => Coverage::All,
        }
    }

    /// Records that published items have changed. Returns whether that may change the directory.
    pub fn items_changed(&mut self, changed: &[ChangedKey]) -> bool {
        let has = |prefix: &str| changed.iter().any(|changed| changed.key.starts_with(prefix));
        let routes_changed = has(ROUTE_PREFIX);
        self.homes.is_current &= !routes_changed;
        routes_changed || has(ENDPOINT_PREFIX)
    }

    /// Returns whether the directory may change merely because time passes. `is_fresh` tells whether the
    /// published state is fresh.
    pub fn depends_on_time(&self, is_fresh: bool) -> bool {
        !(self.coverage == Coverage::All && self.was_fresh && is_fresh)
    }

    fn update_epoch(&mut self, now: Duration, inputs: &DirectoryInputs<'_>) {
        if self.epoch.is_none_or(|epoch| epoch.number != inputs.epoch) {
            self.epoch = Some(Epoch { number: inputs.epoch, began_at: now });
        }
        self.is_settled = self.epoch.is_some_and(|epoch| now >= epoch.began_at + SETTLING_TIME);
    }

    fn known_endpoints(&self, now: Duration, inputs: &DirectoryInputs<'_>) -> Vec<ProxyEndpoint> {
        let published = || published(inputs.store);
        if inputs.is_stale(now) {
            return self.reported.endpoints().cloned().collect();
        }
        let mut endpoints: BTreeMap<String, ProxyEndpoint> = published().collect();
        if inputs.fresh && !endpoints.is_empty() {
            return endpoints.into_values().collect();
        }
        endpoints.retain(|name, _| !is_suspected(inputs.subtree, name));
        for endpoint in self.reported.endpoints() {
            let is_newer = endpoints.get(&endpoint.name).is_none_or(|known| rank(endpoint) > rank(known));
            if is_newer {
                endpoints.insert(endpoint.name.clone(), endpoint.clone());
            }
        }
        endpoints.into_values().collect()
    }
}

impl HomeCache {
    fn table(&mut self, store: &Store) -> Arc<HomeTable> {
        if !self.is_current {
            let routes: Vec<_> =
                store.with_prefix(ROUTE_PREFIX).filter_map(|(key, value)| route_of(key, value)).collect();
            let homes = routes.iter().map(|route| (route.host.as_str(), route.home_regions.as_slice()));
            self.table = Arc::new(HomeTable::new(homes));
            self.is_current = true;
        }
        self.table.clone()
    }
}

fn published(store: &Store) -> impl Iterator<Item = (String, ProxyEndpoint)> + '_ {
    let items = store
        .iter()
        .filter(|(key, _)| matches!(PublishedKey::parse(key), Some(PublishedKey::ProxyEndpoint(_))));
    items
        .filter_map(|(_, value)| decode_value::<ProxyEndpointRef, ProxyEndpoint>(value).ok())
        .map(|endpoint| (endpoint.name.clone(), endpoint))
}

/// Returns the rank of an endpoint's reported state: the higher rank is the newer state. A later incarnation
/// is newer, and within an incarnation the later lifecycle state.
fn rank(endpoint: &ProxyEndpoint) -> (u64, u8) {
    let progress = match endpoint.state {
        EndpointState::Starting => 0,
        EndpointState::Ready => 1,
        EndpointState::Draining => 2,
    };
    (endpoint.incarnation, progress)
}
