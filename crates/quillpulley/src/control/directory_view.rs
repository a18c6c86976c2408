//! What the directory tells, made of the published fronts and of those that report to this process.
//!
//! While the published state is fresh it alone counts: the primary hears all. Once no news has come for a second the
//! fronts that are reported to this process itself are added, and after [`OUT_OF_TOUCH_AFTER`] only these count:
//! whether others still run is not known.

use super::directory::{Coverage, Directory};
use super::endpoint_registry::is_suspected;
use super::reported_endpoints::ReportedEndpoints;
use quillpulley_load_balancer::HomeTable;
use quillpulley_protocol::{decode_value, EndpointState, ProxyEndpoint, ProxyEndpointRef};
use quillpulley_serving_config::published::{route_of, PublishedKey, ENDPOINT_PREFIX, ROUTE_PREFIX};
use quillpulley_state_sync::{ChangedKey, FeedNode, Store, Subtree};
use std::collections::BTreeMap;
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

/// Without fresh published state a process that has just started waits for so long, once it knows any front,
/// whether there are more.
const PATIENCE: Duration = Duration::from_millis(1500);
/// After the latest news the published fronts count for so long. An election takes less.
pub const OUT_OF_TOUCH_AFTER: Duration = Duration::from_secs(3);
/// After the start and after an election it takes so long until all fronts have been reported to the primary.
pub const SETTLING: Duration = Duration::from_secs(3);

/// What a core process knows at a moment.
pub struct Known<'a> {
    /// Whether the published state is up to date.
    pub fresh: bool,
    /// When the latest news came, if any did.
    pub last_moved: Option<Duration>,
    /// The epoch of the published state.
    pub epoch: u64,
    /// The published state.
    pub store: &'a Store,
    /// What is reported to this process.
    pub subtree: &'a Subtree,
}

impl<'a> Known<'a> {
    /// What a node of the relay tree knows at `now`.
    pub fn at<Child: Copy + Eq + Hash + Ord>(now: Duration, feed: &'a FeedNode<Child>) -> Self {
        Known {
            fresh: feed.is_fresh(now),
            last_moved: feed.last_moved(),
            epoch: feed.revision().epoch,
            store: feed.store(),
            subtree: feed.subtree(),
        }
    }

    fn is_out_of_touch(&self, now: Duration) -> bool {
        !self.fresh && self.last_moved.is_none_or(|moved| now >= moved + OUT_OF_TOUCH_AFTER)
    }
}

/// Keeps track of whether enough is known, and of what changes with time.
#[derive(Default)]
pub struct DirectoryView {
    first_known: Option<Duration>,
    complete: bool,
    reported: ReportedEndpoints,
    homes: Homes,
    epoch: Option<Epoch>,
    settled: bool,
    coverage: Coverage,
    fresh: bool,
}

/// An epoch of the published state, and when it was seen first.
#[derive(Clone, Copy)]
struct Epoch {
    number: u64,
    since: Duration,
}

/// The homes in the published routes.
#[derive(Default)]
struct Homes {
    table: Arc<HomeTable>,
    known: bool,
}

impl DirectoryView {
    /// What the directory is to tell at `now`.
    pub fn directory(&mut self, now: Duration, known: &Known<'_>) -> Directory {
        self.fresh = known.fresh;
        self.reported.update(now, known.subtree, known.fresh);
        let endpoints = self.known_endpoints(now, known);
        if !endpoints.is_empty() {
            let first_known = *self.first_known.get_or_insert(now);
            self.complete |= known.fresh || now >= first_known + PATIENCE;
        }
        self.settle(now, known);
        self.coverage = self.coverage(known.is_out_of_touch(now));
        Directory { endpoints, coverage: self.coverage, homes: self.homes.read(known.store) }
    }

    fn coverage(&self, out_of_touch: bool) -> Coverage {
        match (self.complete, out_of_touch) {
            (false, _) => Coverage::TooFew,
            (true, true) => Coverage::OwnReports,
            (true, false) if !self.settled => Coverage::Settling,
            (true, false) => Coverage::All,
        }
    }

    /// Published items have changed. Says whether that may change what the directory tells.
    pub fn published(&mut self, changed: &[ChangedKey]) -> bool {
        let has = |prefix: &str| changed.iter().any(|changed| changed.key.starts_with(prefix));
        let routes_changed = has(ROUTE_PREFIX);
        self.homes.known &= !routes_changed;
        routes_changed || has(ENDPOINT_PREFIX)
    }

    /// Whether time alone may change what the directory tells; `fresh` is whether the published state is.
    pub fn is_waiting(&self, fresh: bool) -> bool {
        !(self.coverage == Coverage::All && self.fresh && fresh)
    }

    fn settle(&mut self, now: Duration, known: &Known<'_>) {
        if self.epoch.is_none_or(|epoch| epoch.number != known.epoch) {
            self.epoch = Some(Epoch { number: known.epoch, since: now });
        }
        self.settled = self.epoch.is_some_and(|epoch| now >= epoch.since + SETTLING);
    }

    fn known_endpoints(&self, now: Duration, known: &Known<'_>) -> Vec<ProxyEndpoint> {
        let published = || published(known.store);
        if known.is_out_of_touch(now) {
            return self.reported.endpoints().cloned().collect();
        }
        let mut endpoints: BTreeMap<String, ProxyEndpoint> = published().collect();
        if known.fresh && !endpoints.is_empty() {
            return endpoints.into_values().collect();
        }
        endpoints.retain(|name, _| !is_suspected(known.subtree, name));
        for endpoint in self.reported.endpoints() {
            let is_newer = endpoints.get(&endpoint.name).is_none_or(|known| rank(endpoint) > rank(known));
            if is_newer {
                endpoints.insert(endpoint.name.clone(), endpoint.clone());
            }
        }
        endpoints.into_values().collect()
    }
}

impl Homes {
    fn read(&mut self, store: &Store) -> Arc<HomeTable> {
        if !self.known {
            let routes: Vec<_> =
                store.with_prefix(ROUTE_PREFIX).filter_map(|(key, value)| route_of(key, value)).collect();
            let homes = routes.iter().map(|route| (route.host.as_str(), route.home_regions.as_slice()));
            self.table = Arc::new(HomeTable::new(homes));
            self.known = true;
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

/// A later life counts more, and in one life the state from which there is no way back.
fn rank(endpoint: &ProxyEndpoint) -> (u64, u8) {
    let progress = match endpoint.state {
        EndpointState::Starting => 0,
        EndpointState::Ready => 1,
        EndpointState::Draining => 2,
    };
    (endpoint.incarnation, progress)
}
