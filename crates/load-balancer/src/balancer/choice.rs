//! The choice of a server for a request.

use super::candidates::Candidate;
use super::engine::EngineCosts;
use super::plain::{Rating, Ratings};
use super::service::ServiceState;
use super::{Balancer, Choice, ServerKey};
use crate::demand::Demand;
use std::cmp::Ordering;
use std::time::Duration;

/// A client that found no place should come again after half a mean request, within these bounds.
const RETRY_AFTER_LEAST: Duration = Duration::from_millis(200);
const RETRY_AFTER_MOST: Duration = Duration::from_secs(2);
/// Chance spreads the times at which clients come again between these parts of it.
const RETRY_SPREAD: (f64, f64) = (0.75, 1.25);

impl Balancer {
    /// Chooses a server for a request, other than those that are excluded.
    pub fn choose(&mut self, now: Duration, demand: &Demand<'_>, exclude: &[ServerKey]) -> Choice {
        let random = self.random.f64();
        if let Some(service) = self.services.get_mut(demand.service) {
            service.note_priority(demand.priority);
            service.refresh_medians(now, &self.servers);
        }
        let Some(service) = self.services.get(demand.service) else { return Choice::NoServer };
        let mut candidates = self.candidates(now, service, demand, exclude);
        let Some(best) = candidates.iter().map(|candidate| candidate.standing).min() else {
            return Choice::NoServer;
        };
        if !best.is_open() {
            return Choice::Full { retry_after: retry_after(service, random) };
        }
        candidates.retain(|candidate| candidate.standing == best);
        let chosen = match service.settings.engine {
            Some(_) => self.cheapest(now, service, demand, &candidates),
            None => self.best_rated(now, service, &candidates, random),
        };
        chosen.map_or(Choice::NoServer, Choice::Send)
    }

    fn cheapest(
        &self,
        now: Duration,
        service: &ServiceState,
        demand: &Demand<'_>,
        candidates: &[Candidate],
    ) -> Option<ServerKey> {
        let costs = EngineCosts::new(now, service, demand);
        let cost = |candidate: &Candidate| {
            let kept = self.kept.read_tokens(now, candidate.key, demand.prefix);
            costs.of(candidate, &self.servers[candidate.key], kept)
        };
        let with_costs = candidates.iter().map(|candidate| (candidate.key, cost(candidate)));
        with_costs.min_by(|(_, one), (_, other)| one.total_cmp(other)).map(|(key, _)| key)
    }

    /// Of equal ones, one by chance: else all limiters would choose the same.
    fn best_rated(
        &self,
        now: Duration,
        service: &ServiceState,
        candidates: &[Candidate],
        random: f64,
    ) -> Option<ServerKey> {
        let ratings = Ratings::new(now, service);
        let mut best: Vec<(ServerKey, Rating)> = Vec::new();
        for candidate in candidates {
            let rating = ratings.of(&self.servers[candidate.key]);
            match best.first().map_or(Ordering::Less, |(_, best)| rating.compare(best)) {
                Ordering::Greater => {}
                Ordering::Equal => best.push((candidate.key, rating)),
                Ordering::Less => best = vec![(candidate.key, rating)],
            }
        }
        let index = (random * best.len() as f64) as usize;
        best.get(index).map(|(key, _)| *key)
    }
}

fn retry_after(service: &ServiceState, random: f64) -> Duration {
    let half = service.pace.whole_mean() / 2;
    let spread = RETRY_SPREAD.0 + (RETRY_SPREAD.1 - RETRY_SPREAD.0) * random;
    half.mul_f64(spread).clamp(RETRY_AFTER_LEAST, RETRY_AFTER_MOST)
}
