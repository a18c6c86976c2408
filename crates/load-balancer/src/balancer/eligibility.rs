//! Determines which servers may get a request now.

use super::ablation::Ablation;
use super::outlier_detection::HealthStatus;
use super::prefix_cache::{PrefixKey, LONG_PREFIX_TOKENS};
use super::server::Server;
use super::service::{ServiceSettings, ServiceState};
use super::service_rate::ServiceRate;
use super::slow_start::SlowStartShare;
use super::{Balancer, ServerKey};
use crate::demand::Demand;
use std::time::Duration;

/// The queue of a server for urgent requests, as a fraction of its slots. Urgent requests may be sent to a
/// server beyond its slots, so that they find capacity when other requests do not.
const URGENT_QUEUE_FRACTION: f64 = 0.25;
/// A server with at least this fraction of its slots occupied counts as busy. It has capacity only for
/// requests that do not have to wait long for the prompts queued at the server: prefilling these must take
/// less than the fraction of the request's target latency that is given below for urgent requests and for
/// other requests. Late responses are worth little and delay other requests.
const BUSY_FRACTION: f64 = 0.5;
const URGENT_PREFILL_FRACTION: f64 = 0.9;
const OTHER_PREFILL_FRACTION: f64 = 0.6;
/// While more than this fraction of all slots is occupied, requests with long shared segments wait for a
/// server that has cached them.
const CACHED_ONLY_OCCUPANCY: f64 = 0.75;
/// A server that has to prefill at most this fraction of the shared tokens counts as having cached them.
const MAX_UNCACHED_FRACTION: f64 = 0.5;
/// A proxy may use this multiple of its even share of a server's connections, because few proxies need their
/// share at the same time.
const CONNECTION_SHARE_FACTOR: f64 = 1.5;
/// The minimum number of connections to a server that a proxy may use.
const MIN_CONNECTIONS: f64 = 2.0;

/// The eligibility of a server for a request, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Eligibility {
    /// The server has capacity.
    Eligible,
    /// The server has capacity, but is unresponsive.
    Unresponsive,
    /// The server has capacity, but was ejected because it failed.
    Ejected,
    /// The server is healthy, but has no capacity.
    Full,
    /// The server must not get any request now.
    Ineligible,
}

impl Eligibility {
    /// Returns whether a request may be sent to the server.
    pub(super) fn may_send(self) -> bool {
        self < Eligibility::Full
    }
}

/// A usable server in a region in which the request may be served.
pub(super) struct Candidate {
    pub(super) key: ServerKey,
    pub(super) eligibility: Eligibility,
    /// The fraction of the request's shared tokens that the server is expected to have to prefill.
    pub(super) uncached_fraction: f64,
}

/// The criteria by which the eligibility of the servers for a request is determined.
struct EligibilityPolicy<'a> {
    now: Duration,
    settings: &'a ServiceSettings,
    /// Whether the request has the highest priority of all requests to the service so far.
    urgent: bool,
    /// A busy server has capacity only if fewer tokens than this wait to be prefilled.
    max_prefill_tokens: f64,
    rate: ServiceRate,
    /// The maximum number of requests of this proxy at a server, each of which uses a connection.
    connection_quota: u32,
    /// This proxy's share of the requests to a cold server while the live proxies are unknown; `None` if a
    /// warm server is available, so that cold servers get no requests.
    fallback_share: Option<SlowStartShare>,
    /// Whether the live proxies are known and include this one.
    knows_proxies: bool,
    ablation: Ablation,
}

impl Balancer {
    /// Returns the candidates for a request with their eligibility, without the servers in `exclude`.
    pub(super) fn candidates(
        &self,
        now: Duration,
        service: &ServiceState,
        demand: &Demand<'_>,
        exclude: &[ServerKey],
    ) -> Vec<Candidate> {
        let allowed = self.allowed(service, demand);
        let mut candidates = ranked_candidates(&allowed, demand);
        let eligibility_policy = self.eligibility_policy(now, service, demand, &allowed);
        for (candidate, (_, server)) in candidates.iter_mut().zip(&allowed) {
            candidate.eligibility = eligibility_policy.eligibility(server);
        }
        exclude_ejected_minority(&mut candidates);
        candidates.retain(|candidate| !exclude.contains(&candidate.key));
        if !self.options.ablation.cached_only()
            && demand.shared_tokens() >= LONG_PREFIX_TOKENS
            && eligibility_policy.occupancy_of(&allowed) > CACHED_ONLY_OCCUPANCY
        {
            restrict_to_cached(&mut candidates);
        }
        candidates
    }

    /// Returns the number of prompt tokens that a server is expected to have to prefill for a request.
    pub(super) fn prefill_tokens(&self, now: Duration, key: ServerKey, demand: &Demand<'_>) -> u32 {
        let cached = self.prefix_cache.cached_tokens(now, key, demand.segments);
        let by_own_requests = demand.prompt_tokens.saturating_sub(cached);
        let Some(service) = self.services.get(demand.service) else { return by_own_requests };
        let candidates = ranked_candidates(&self.allowed(service, demand), demand);
        let candidate = candidates.iter().find(|candidate| candidate.key == key);
        let cached_fraction = candidate.map_or(0.0, |candidate| 1.0 - candidate.uncached_fraction);
        let cached_by_rank = (f64::from(demand.shared_tokens()) * cached_fraction) as u32;
        by_own_requests.min(demand.prompt_tokens.saturating_sub(cached_by_rank))
    }

    /// Returns the usable servers in the regions in which the request may be served.
    fn allowed(&self, service: &ServiceState, demand: &Demand<'_>) -> Vec<(ServerKey, &Server)> {
        let servers = service.servers.iter().filter_map(|key| Some((*key, self.servers.get(*key)?)));
        let is_allowed =
            |server: &Server| server.is_usable() && demand.may_be_served_in(&server.info.locality.region);
        servers.filter(|(_, server)| is_allowed(server)).collect()
    }

    fn eligibility_policy<'a>(
        &self,
        now: Duration,
        service: &'a ServiceState,
        demand: &Demand<'_>,
        allowed: &[(ServerKey, &Server)],
    ) -> EligibilityPolicy<'a> {
        let urgent = service.highest_priority.is_none_or(|highest| demand.priority <= highest);
        let prefill_fraction = if urgent { URGENT_PREFILL_FRACTION } else { OTHER_PREFILL_FRACTION };
        let max_prefill_ms = demand.target_latency.as_secs_f64() * 1e3 * prefill_fraction;
        let has_warm_server = allowed.iter().any(|(_, server)| !server.is_warming(now));
        EligibilityPolicy {
            now,
            settings: &service.settings,
            urgent,
            max_prefill_tokens: service.rate.prefill.tokens_within(max_prefill_ms),
            rate: service.rate,
            connection_quota: self.connection_quota(&service.settings),
            fallback_share: (!has_warm_server).then_some(SlowStartShare::SINGLE_REQUEST),
            ablation: self.options.ablation,
            knows_proxies: self.proxies.iter().any(|proxy| proxy.name == self.options.name),
        }
    }

    /// Returns the maximum number of connections to a server that this proxy may use.
    fn connection_quota(&self, settings: &ServiceSettings) -> u32 {
        if settings.max_connections == 0 {
            return u32::MAX;
        }
        let even_share = f64::from(settings.max_connections) / self.proxies.len().max(1) as f64;
        let share = (even_share * CONNECTION_SHARE_FACTOR).max(MIN_CONNECTIONS) as u32;
        share.min(settings.max_connections)
    }
}

impl EligibilityPolicy<'_> {
    fn eligibility(&self, server: &Server) -> Eligibility {
        if !self.slow_start_allows(server) {
            return Eligibility::Ineligible;
        }
        let has_capacity = self.has_capacity(server);
        match self.health_status(server) {
            HealthStatus::Ejected if has_capacity => Eligibility::Ejected,
            HealthStatus::Ejected => Eligibility::Ineligible,
            HealthStatus::Healthy | HealthStatus::ProbeDue if !has_capacity => Eligibility::Full,
            HealthStatus::Healthy | HealthStatus::ProbeDue
                if !self.ablation.unresponsive_detection()
                    && server.load.is_unresponsive(self.now, &self.rate) =>
            {
                Eligibility::Unresponsive
            }
            HealthStatus::Healthy | HealthStatus::ProbeDue => Eligibility::Eligible,
        }
    }

    fn health_status(&self, server: &Server) -> HealthStatus {
        if self.ablation.outlier_detection() {
            return HealthStatus::Healthy;
        }
        server.health.status(self.now, self.urgent)
    }

    /// Returns the fraction of the slots of all servers that is occupied.
    fn occupancy_of(&self, servers: &[(ServerKey, &Server)]) -> f64 {
        let requests: f64 = servers.iter().map(|(_, server)| server.load.total(self.now).requests()).sum();
        let slots: f64 = servers.iter().map(|(_, server)| self.settings.slots(&server.info)).sum();
        requests / slots.max(1.0)
    }

    fn has_capacity(&self, server: &Server) -> bool {
        let slots = self.settings.slots(&server.info);
        let queue = if self.urgent && !self.ablation.urgent_queue() {
            (slots * URGENT_QUEUE_FRACTION).ceil()
        } else {
            0.0
        };
        let load = server.load.total(self.now);
        let prefills_in_time = self.ablation.busy_limit()
            || load.requests() < slots * BUSY_FRACTION
            || load.waiting_tokens < self.max_prefill_tokens;
        let has_free_slot =
            load.requests() < slots + queue && server.load.own_requests() < self.connection_quota;
        let reports_full = !self.ablation.full_time() && server.reports_full(self.now);
        has_free_slot && prefills_in_time && !reports_full
    }

    fn slow_start_allows(&self, server: &Server) -> bool {
        if self.ablation.slow_start() {
            return true;
        }
        let Some(share) = self.settings.slow_start_share.filter(|_| server.is_warming(self.now)) else {
            return true;
        };
        if self.knows_proxies {
            return server.is_slow_start_sender && server.recent_sends.allows(self.now, share);
        }
        self.fallback_share.is_some_and(|fallback_share| server.recent_sends.allows(self.now, fallback_share))
    }
}

/// Returns the allowed servers as candidates whose eligibility is not determined yet. Their uncached
/// fractions follow from the ranks of the servers in the rendezvous hashing of the request's prefix; they are
/// 1 if the route is not sticky or the prompt has no shared segments.
fn ranked_candidates(allowed: &[(ServerKey, &Server)], demand: &Demand<'_>) -> Vec<Candidate> {
    let candidate = |key| Candidate { key, eligibility: Eligibility::Ineligible, uncached_fraction: 1.0 };
    let mut candidates: Vec<Candidate> = allowed.iter().map(|(key, _)| candidate(*key)).collect();
    let Some(prefix) = PrefixKey::for_demand(demand).filter(|_| demand.sticky) else { return candidates };
    let score = |index: &usize| std::cmp::Reverse(prefix.score(allowed[*index].1.hash));
    let mut order: Vec<usize> = (0..allowed.len()).collect();
    order.sort_by_cached_key(score);
    let mut ranks_in_regions: Vec<(&str, usize)> = Vec::new();
    for (rank, index) in order.into_iter().enumerate() {
        let region = &allowed[index].1.info.locality.region;
        let rank_in_region = next_rank(&mut ranks_in_regions, region);
        candidates[index].uncached_fraction = prefix.uncached_fraction(rank, rank_in_region);
    }
    candidates
}

/// Returns how many servers of a region have been ranked so far, and counts one more.
fn next_rank<'a>(ranks_in_regions: &mut Vec<(&'a str, usize)>, region: &'a str) -> usize {
    match ranks_in_regions.iter_mut().find(|(known, _)| *known == region) {
        Some((_, count)) => {
            *count += 1;
            *count - 1
        }
        None => {
            ranks_in_regions.push((region, 1));
            0
        }
    }
}

/// Makes ejected servers ineligible, unless they are more than half of the candidates. If most servers fail,
/// the fault may be at this proxy, and the ejected servers remain eligible as a last resort.
fn exclude_ejected_minority(candidates: &mut [Candidate]) {
    let ejected = candidates.iter().filter(|candidate| candidate.eligibility == Eligibility::Ejected).count();
    if ejected * 2 > candidates.len() {
        return;
    }
    for candidate in candidates {
        if candidate.eligibility == Eligibility::Ejected {
            candidate.eligibility = Eligibility::Ineligible;
        }
    }
}

/// Restricts a request with long shared segments to the servers that have cached them, if any of these is
/// healthy. To prefill the segments again at another server would take the time of several requests.
fn restrict_to_cached(candidates: &mut [Candidate]) {
    let has_cached = |candidate: &Candidate| candidate.uncached_fraction <= MAX_UNCACHED_FRACTION;
    let is_available =
        |candidate: &Candidate| matches!(candidate.eligibility, Eligibility::Eligible | Eligibility::Full);
    if !candidates.iter().any(|candidate| has_cached(candidate) && is_available(candidate)) {
        return;
    }
    for candidate in candidates.iter_mut().filter(|candidate| !has_cached(candidate)) {
        candidate.eligibility = candidate.eligibility.max(Eligibility::Full);
    }
}
