//! The servers known from discovery, and the subset of them that this limiter uses.
//!
//! Each limiter uses only a few servers, and the limiters are spread evenly over all servers. Opening a connection costs
//! the server work and delays the request, and a limiter learns the state of a server only from responses to its own
//! requests. With a small subset, connections are reused and load reports are recent.

use super::fleet_load::{FleetLoad, ReportedLoad};
use super::{hash, Context};
use crate::interface::{LoadReport, ServerEntry, ServerId, ServerState};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// The target number of limiters that use each server. With too few, differences between the loads of limiters do not
/// average out at the server.
const TARGET_LIMITERS_PER_SERVER: f64 = 12.0;
/// Minimum number of servers that a limiter uses, if there are as many.
const MIN_SUBSET_SIZE: f64 = 6.0;
/// Maximum fraction of all servers that may be ejected at once. It exceeds one half because a network partition can cut
/// off half of the servers.
const MAX_EJECTED_FRACTION: f64 = 0.6;
/// The fractional part of the golden ratio. Its multiples modulo 1 are spread evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_75;

/// Minimum capacity used as a divisor of loads.
const MIN_CAPACITY: f64 = 1e-6;

/// The consecutive late attempts of a class at a server. An attempt is late if it is slow and has no response yet.
#[derive(Clone, Copy)]
pub(super) struct LateAttempts {
    /// The number of late attempts since the server last responded to a request of the class.
    pub(super) count: u32,
    /// The time of the latest late attempt.
    pub(super) last: f64,
}

/// A server known from discovery, and the state that this limiter has observed.
#[derive(Default)]
pub(super) struct Server {
    pub(super) zone: Arc<str>,
    pub(super) cell: i64,
    pub(super) weight: f64,
    pub(super) state: ServerState,
    pub(super) started_at: Option<f64>,
    /// The moving average of the ratio of the server's latency to the mean latency, and the time of its last update.
    pub(super) slowness: f64,
    pub(super) slowness_at: f64,
    /// Attempts in flight from this limiter.
    pub(super) in_flight: u32,
    pub(super) reported_load: Option<ReportedLoad>,
    /// The time of the last completed response.
    pub(super) last_success: f64,
    /// Consecutive failures.
    pub(super) failures: u32,
    /// Late attempts by class index. Empty until the first latency is recorded.
    pub(super) late_attempts: Vec<LateAttempts>,
    /// Consecutive ejections without a completed response in between.
    pub(super) ejections: u32,
    pub(super) ejected_until: f64,
    /// The times of sends in the latest overload window. Recorded only while the server warms up.
    pub(super) recent_sends: Vec<f64>,
}

impl Server {
    fn new(entry: &ServerEntry, in_flight: u32) -> Self {
        Server {
            zone: entry.zone.clone(),
            cell: entry.cell,
            started_at: entry.started_at,
            slowness: 1.0,
            in_flight,
            ejected_until: f64::MIN,
            ..Server::default()
        }
    }

    /// Returns whether new requests may be sent to the server.
    pub(super) fn is_in_service(&self) -> bool {
        self.state == ServerState::InService
    }

    /// Returns the capacity of the server relative to others: its weight times its warm fraction.
    pub(super) fn capacity(&self, context: Context<'_>) -> f64 {
        self.warm_fraction(context) * self.weight
    }
}

/// All servers known from discovery.
#[derive(Default)]
pub(super) struct ServerSet {
    servers: BTreeMap<ServerId, Server>,
    /// The servers in the order of their hashes, which is the same at every limiter.
    ring: Vec<ServerId>,
    /// The number of servers that this limiter uses.
    pub(super) subset_size: f64,
    /// The mean number of limiters that use a server, at least 1.
    pub(super) limiters_per_server: f64,
    /// The number of further servers that may be ejected. Recomputed in each tick.
    pub(super) remaining_ejections: f64,
    pub(super) load: FleetLoad,
    /// The times of sends to warm servers in the latest overload window.
    pub(super) recent_warm_sends: VecDeque<f64>,
    /// The total weight of the warm servers in this limiter's subset.
    pub(super) warm_weight: f64,
}

impl ServerSet {
    pub(super) fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut Server> {
        self.servers.get_mut(id)
    }

    /// Applies a complete list. Servers that are not in it are removed.
    pub(super) fn replace(&mut self, context: Context<'_>, entries: &[ServerEntry]) {
        for (id, server) in &mut self.servers {
            if entries.iter().all(|entry| entry.id != *id) {
                server.state = ServerState::Removed;
            }
        }
        self.update(context, entries);
    }

    /// Applies changed entries of the list.
    pub(super) fn update(&mut self, context: Context<'_>, entries: &[ServerEntry]) {
        for entry in entries {
            let server = self.servers.entry(entry.id.clone()).or_insert_with(|| Server::new(entry, 0));
            if server.started_at != entry.started_at && entry.started_at.is_some() {
                // The server process was restarted. Only the count of attempts in flight carries over.
                *server = Server::new(entry, server.in_flight);
            }
            server.state = entry.state;
            server.weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
        }
        self.servers.retain(|_, server| server.state != ServerState::Removed || server.in_flight > 0);
        self.ring = self.servers.keys().cloned().collect();
        self.ring.sort_by_key(|id| hash(id));
        self.refresh(context);
    }

    /// Recomputes the aggregates over all servers. Called once per tick and after each list update, so that requests do
    /// not have to compute them.
    pub(super) fn refresh(&mut self, context: Context<'_>) {
        let Context { settings, now } = context;
        let limiters = f64::from(settings.limiter_count.max(1));
        let in_service = || self.servers.values().filter(|server| server.is_in_service());
        let count = in_service().count() as f64;
        let ejected = in_service().filter(|server| server.ejected_until > now).count() as f64;
        self.remaining_ejections = count * MAX_EJECTED_FRACTION - ejected;
        self.subset_size =
            (count * TARGET_LIMITERS_PER_SERVER / limiters).ceil().clamp(MIN_SUBSET_SIZE.min(count), count);
        self.limiters_per_server = (limiters * self.subset_size / f64::max(count, 1.0)).max(1.0);
        let used = self.in_ring_order(context).take(self.subset_size as usize);
        let warm = used.filter(|(_, server)| server.warm_fraction(context) >= 1.0);
        self.warm_weight = warm.map(|(_, server)| server.weight).sum();
        self.recent_warm_sends.retain(|sent_at| now - sent_at <= settings.overload_window);
    }

    /// Records the load that a server reported.
    pub(super) fn record_load_report(&mut self, context: Context<'_>, id: &str, report: &LoadReport) {
        let (now, time_scale) = (context.now, context.time_scale());
        let Some(server) = self.servers.get_mut(id) else { return };
        let capacity = server.capacity(context).max(MIN_CAPACITY);
        server.reported_load = self.load.record(report, capacity, now, time_scale).or(server.reported_load);
    }

    /// Returns the servers in ring order, beginning at this limiter's position. The positions of the limiters are spread
    /// evenly over the ring.
    pub(super) fn in_ring_order(&self, context: Context<'_>) -> impl Iterator<Item = (&ServerId, &Server)> {
        let offset = (f64::from(context.settings.limiter_index) * GOLDEN_RATIO).fract();
        let start = ((offset * self.ring.len() as f64) as usize).min(self.ring.len());
        let ids = self.ring[start..].iter().chain(&self.ring[..start]);
        ids.map(|id| (id, &self.servers[id]))
    }
}
