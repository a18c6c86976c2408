//! Chooses a server for each request, by the published list of servers and by each server's load, health,
//! speed, warm-up and cached prompt prefixes.

mod ablation;
mod choice;
mod condition_cost;
mod eligibility;
mod engine_cost;
mod in_flight;
mod listing;
mod options;
mod outcome;
mod outlier_detection;
mod plain_score;
mod prefill_time;
mod prefix_cache;
mod server;
mod server_load;
mod service;
mod service_rate;
mod slow_start;
mod unseen_load;

pub use ablation::Ablation;
pub use in_flight::{HealthCheckResult, Ticket};
pub use options::{Options, ProxyPeer};
pub use outcome::{Choice, FailureKind, Outcome};
pub use prefill_time::PrefillTime;
pub use quillpulley_protocol::Locality;
pub use server::{server_hash, ServerInfo};

use in_flight::{InFlight, RequestKey};
use prefix_cache::PrefixCacheIndex;
use quillpulley_protocol as protocol;
use quillpulley_serving_config::Service;
use server::Server;
use service::{ServiceSettings, ServiceState};
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

slotmap::new_key_type! {
    /// The key of a server, valid until the server is removed from the list.
    pub struct ServerKey;
}

/// Tracks servers and requests in flight, and chooses a server for each request.
pub struct Balancer {
    locality: Locality,
    zones: BTreeMap<String, String>,
    options: Options,
    random: fastrand::Rng,
    servers: SlotMap<ServerKey, Server>,
    by_id: HashMap<String, ServerKey>,
    services: HashMap<String, ServiceState>,
    evacuated_zones: BTreeSet<String>,
    /// The zones whose evacuation has ended recently.
    restored_zones: BTreeSet<String>,
    proxies: Vec<ProxyPeer>,
    requests: SlotMap<RequestKey, InFlight>,
    prefix_cache: PrefixCacheIndex,
}

impl Balancer {
    /// Creates a balancer that knows no servers and no other proxies. `zones` maps each zone to its region.
    pub fn new(locality: Locality, zones: BTreeMap<String, String>, options: Options) -> Self {
        Balancer {
            random: fastrand::Rng::with_seed(options.seed),
            locality,
            zones,
            options,
            servers: SlotMap::with_key(),
            by_id: HashMap::new(),
            services: HashMap::new(),
            evacuated_zones: BTreeSet::new(),
            restored_zones: BTreeSet::new(),
            proxies: Vec::new(),
            requests: SlotMap::with_key(),
            prefix_cache: PrefixCacheIndex::default(),
        }
    }

    /// Sets [`Options::warmup_overshoot`] and [`Options::warmup_slack`]. They apply from the next call of
    /// [`Balancer::set_services`] on.
    pub fn set_slow_start_limit(&mut self, overshoot: f64, slack: f64) {
        self.options.warmup_overshoot = overshoot;
        self.options.warmup_slack = slack;
    }

    /// Sets the services of the active configuration.
    pub fn set_services<'a>(&mut self, services: impl IntoIterator<Item = &'a Service>) {
        self.services.values_mut().for_each(|service| service.settings = ServiceSettings::default());
        let Options { warmup_overshoot, warmup_slack, .. } = self.options;
        for service in services {
            let settings = ServiceSettings::new(service, warmup_overshoot, warmup_slack);
            self.services.entry(service.name.clone()).or_default().settings = settings;
        }
        self.update_slow_start_senders();
    }

    /// Sets the live proxies, including this one. Until it is called, a cold server of a service with slow
    /// start gets at most one request per second, and none if a warm server may be used instead.
    pub fn set_proxies(&mut self, proxies: Vec<ProxyPeer>) {
        self.proxies = proxies;
        self.update_slow_start_senders();
    }

    /// Sets the load of each server, summed over all proxies including this one. A server without an entry
    /// has no load.
    pub fn set_totals(&mut self, now: Duration, totals: &[protocol::ServerLoad]) {
        let by_hash: HashMap<u64, &protocol::ServerLoad> =
            totals.iter().map(|load| (load.server, load)).collect();
        for server in self.servers.values_mut() {
            server.load.set_total(now, by_hash.get(&server.hash).copied());
        }
    }

    /// Returns the load that this proxy puts on each server, to be reported to the other proxies. Servers
    /// without load are left out. Requests that wait for an unresponsive server are reported as failures, so
    /// that the other proxies avoid it before their own requests have waited as long.
    pub fn own_loads(&mut self, now: Duration) -> Vec<protocol::ServerLoad> {
        let services = &self.services;
        let report = |server: &mut Server| {
            let (failed, _) = server.failures.decayed_counts(now);
            let service = services.get(&server.info.service);
            let unanswered_requests =
                service.map(|service| server.load.unanswered_requests(now, &service.rate));
            server.load.report(server.hash, failed + unanswered_requests.unwrap_or_default())
        };
        let loads = self.servers.values_mut().map(report);
        loads.filter(|load| load.running > 0 || load.waiting > 0 || load.failures > 0).collect()
    }

    /// Returns the listed information about a server; `None` if the server is no longer listed.
    pub fn server(&self, key: ServerKey) -> Option<&ServerInfo> {
        Some(&self.servers.get(key)?.info)
    }

    /// Returns whether a server is listed and may get requests. A server that was chosen earlier may have
    /// started to drain or been evacuated since.
    pub fn is_usable(&self, key: ServerKey) -> bool {
        self.servers.get(key).is_some_and(Server::is_usable)
    }

    /// Sets the remaining warm-up time that a server reports, which was asked at `asked_at`.
    pub fn set_warmup_remaining(
        &mut self,
        now: Duration,
        key: ServerKey,
        asked_at: Duration,
        remaining: Duration,
    ) {
        if let Some(server) = self.servers.get_mut(key) {
            server.set_warmup_remaining(now, asked_at, remaining);
        }
    }
}
