//! The listed servers, and the subset of them that this limiter uses.
//!
//! Each limiter uses a few servers only, and all limiters are spread evenly over the servers. Each opens its own
//! connections, which cost the server work and the request time, and learns of each server from its own responses: with
//! fewer servers, connections are reused and reports are recent.

use super::fleet_load::{FleetLoad, ReportedLoad};
use super::{hash, Context};
use crate::interface::{LoadReport, ServerEntry, ServerId, ServerState};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Limiters that use a server. Too few, and their loads do not even out at the server.
const LIMITERS_PER_SERVER: f64 = 12.0;
/// The fewest servers that a limiter uses.
const MIN_SUBSET: f64 = 6.0;
/// The fraction of all servers that may be ejected (half may be partitioned).
const MAX_EJECTED: f64 = 0.6;
/// The fractional part of the golden ratio, whose multiples spread evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_75;

/// The least capacity by which loads are divided.
const MIN_CAPACITY: f64 = 1e-6;

/// The late attempts of a class at a server.
#[derive(Clone, Copy)]
pub(super) struct LateAttempts {
    /// Since the server last responded to that class.
    pub(super) count: u32,
    /// The time of the latest.
    pub(super) last: f64,
}

/// A listed server, and what this limiter has seen of it.
#[derive(Default)]
pub(super) struct Server {
    pub(super) zone: Arc<str>,
    pub(super) cell: i64,
    pub(super) weight: f64,
    pub(super) state: ServerState,
    pub(super) started_at: Option<f64>,
    /// The ratio of its latency to the usual one, and when that was updated.
    pub(super) slowness: f64,
    pub(super) slowness_at: f64,
    /// Attempts in flight from this limiter.
    pub(super) in_flight: u32,
    pub(super) reported_load: Option<ReportedLoad>,
    pub(super) last_success: f64,
    /// Failures in a row.
    pub(super) failures: u32,
    /// By class.
    pub(super) late_attempts: Vec<LateAttempts>,
    /// Ejections in a row.
    pub(super) ejections: u32,
    pub(super) ejected_until: f64,
    /// The sends of the latest overload window, while the server warms up.
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

    /// Returns the capacity of the server, relative to others, by its weight and warm-up.
    pub(super) fn capacity(&self, context: Context<'_>) -> f64 {
        self.warm_fraction(context) * self.weight
    }
}

/// All listed servers.
#[derive(Default)]
pub(super) struct ServerSet {
    servers: BTreeMap<ServerId, Server>,
    /// The servers in the order of their hashes, the same at every limiter.
    ring: Vec<ServerId>,
    /// How many servers this limiter uses.
    pub(super) subset_size: f64,
    /// How many limiters use a server.
    pub(super) limiters_per_server: f64,
    /// How many more servers may be ejected.
    pub(super) remaining_ejections: f64,
    pub(super) load: FleetLoad,
    /// The sends to warm servers in the latest overload window.
    pub(super) recent_warm_sends: VecDeque<f64>,
    /// The weight of the warm servers in use.
    pub(super) warm_weight: f64,
}

impl ServerSet {
    pub(super) fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut Server> {
        self.servers.get_mut(id)
    }

    /// Replaces the list. Servers that are not in it are removed.
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
                // A restarted process has nothing in common with the one before but the attempts in flight.
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

    /// Updates what is kept over all servers. Due once a tick, so that no request has to do it.
    pub(super) fn refresh(&mut self, context: Context<'_>) {
        let Context { settings, now } = context;
        let limiters = f64::from(settings.limiter_count.max(1));
        let in_service = || self.servers.values().filter(|server| server.is_in_service());
        let count = in_service().count() as f64;
        let ejected = in_service().filter(|server| server.ejected_until > now).count() as f64;
        self.remaining_ejections = count * MAX_EJECTED - ejected;
        self.subset_size =
            (count * LIMITERS_PER_SERVER / limiters).ceil().clamp(MIN_SUBSET.min(count), count);
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

    /// Returns the servers in this limiter's order. The limiters start evenly spread over the ring.
    pub(super) fn in_ring_order(&self, context: Context<'_>) -> impl Iterator<Item = (&ServerId, &Server)> {
        let offset = (f64::from(context.settings.limiter_index) * GOLDEN_RATIO).fract();
        let start = ((offset * self.ring.len() as f64) as usize).min(self.ring.len());
        let ids = self.ring[start..].iter().chain(&self.ring[..start]);
        ids.map(|id| (id, &self.servers[id]))
    }
}
