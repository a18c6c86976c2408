//! Chooses a server for a request among the candidates.

use super::eligibility::Candidate;
use super::engine_cost::EngineCosts;
use super::plain_score::{Score, Scorer};
use super::service::ServiceState;
use super::unseen_load::UnseenLoad;
use super::{Balancer, Choice, ServerKey};
use crate::demand::Demand;
use std::cmp::Ordering;
use std::time::Duration;

/// A client that finds no capacity is told to retry after half of the mean duration of a request, within
/// these limits.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// The minimum and maximum of the random factor on the time until the retry.
const RETRY_JITTER: (f64, f64) = (0.75, 1.25);

impl Balancer {
    /// Chooses a server for a request. The servers in `exclude` are not chosen.
    pub fn choose(&mut self, now: Duration, demand: &Demand<'_>, exclude: &[ServerKey]) -> Choice {
        let random = self.random.f64();
        let seed = self.random.u64(..);
        if let Some(service) = self.services.get_mut(demand.service) {
            service.record_priority(demand.priority);
            service.refresh_medians(now, &self.servers);
        }
        let Some(service) = self.services.get(demand.service) else { return Choice::NoServer };
        let mut candidates = self.candidates(now, service, demand, exclude);
        let Some(best) = candidates.iter().map(|candidate| candidate.eligibility).min() else {
            return Choice::NoServer;
        };
        if !best.may_send() {
            return Choice::Full { retry_after: retry_after(service, random) };
        }
        candidates.retain(|candidate| candidate.eligibility == best);
        let chosen = match service.settings.engine {
            Some(_) => self.lowest_cost(now, service, demand, &candidates, seed),
            None => self.best_scored(now, service, &candidates, random),
        };
        chosen.map_or(Choice::NoServer, Choice::Send)
    }

    /// Returns the candidate with the lowest cost.
    fn lowest_cost(
        &self,
        now: Duration,
        service: &ServiceState,
        demand: &Demand<'_>,
        candidates: &[Candidate],
        seed: u64,
    ) -> Option<ServerKey> {
        let costs = EngineCosts::new(now, service, demand, self.options.ablation);
        let other_proxies = self.proxies.len().saturating_sub(1);
        let unseen_load =
            UnseenLoad::new(service.rate.sends_per_second(now), other_proxies, service.servers.len());
        let mut random = fastrand::Rng::with_seed(seed);
        let mut cost = |candidate: &Candidate| {
            let cached = self.prefix_cache.cached_tokens(now, candidate.key, demand.segments);
            let unseen = match self.options.ablation.unseen_load() {
                true => 0.0,
                false => unseen_load.sample(&mut random),
            };
            costs.cost(candidate, &self.servers[candidate.key], cached, unseen)
        };
        let with_costs = candidates.iter().map(|candidate| (candidate.key, cost(candidate)));
        with_costs.min_by(|(_, one), (_, other)| one.total_cmp(other)).map(|(key, _)| key)
    }

    /// Returns a random candidate among those with the best score. If the choice among equals were not
    /// random, all proxies would choose the same server.
    fn best_scored(
        &self,
        now: Duration,
        service: &ServiceState,
        candidates: &[Candidate],
        random: f64,
    ) -> Option<ServerKey> {
        let scorer = Scorer::new(now, service);
        let mut best: Vec<(ServerKey, Score)> = Vec::new();
        for candidate in candidates {
            let score = scorer.score(&self.servers[candidate.key]);
            match best.first().map_or(Ordering::Less, |(_, best)| score.compare(best)) {
                Ordering::Greater => {}
                Ordering::Equal => best.push((candidate.key, score)),
                Ordering::Less => best = vec![(candidate.key, score)],
            }
        }
        let index = (random * best.len() as f64) as usize;
        best.get(index).map(|(key, _)| *key)
    }
}

fn retry_after(service: &ServiceState, random: f64) -> Duration {
    let half = service.rate.mean_duration() / 2;
    let jitter = RETRY_JITTER.0 + (RETRY_JITTER.1 - RETRY_JITTER.0) * random;
    half.mul_f64(jitter).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
