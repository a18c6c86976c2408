//! The choice of a server for a request: the best of a few random candidates, by slowness and load.

use super::attempts::OpenRequest;
use super::outlier_detection::MAX_FAILURES;
use super::servers::{Server, ServerSet};
use super::Context;
use crate::interface::{Idempotency, Scope, ServerId};

/// The most attempts in flight at a server from all limiters together, per unit of its capacity.
const MAX_IN_FLIGHT: f64 = 5.0;
/// The least limit of one limiter, as few of many limiters meet at a server.
const MIN_IN_FLIGHT_LIMIT: f64 = 2.0;
/// The servers that are compared for a request, in subsets per limiter that shares a server. The more limiters share
/// the servers, the more all would choose the same one: then many choose the better of two random ones.
const COMPARED_SUBSETS: f64 = 4.0;
/// The least number of servers that are compared.
const MIN_COMPARED: f64 = 2.0;
/// A server of another zone counts as this much slower.
const OTHER_ZONE_FACTOR: f64 = 1.1;
/// A server that the request was sent to before counts as this much slower.
const TRIED_FACTOR: f64 = 10.0;
/// The jitter of scores, which breaks ties.
const JITTER: f64 = 0.05;

/// A server that may be chosen.
struct Candidate<'a> {
    id: &'a ServerId,
    /// The lower, the earlier the server is compared.
    rank: f64,
    /// The lower, the better.
    score: f64,
}

/// The ejected server whose ejection ends first.
#[derive(Clone, Copy)]
struct LeastEjected<'a> {
    id: &'a ServerId,
    until: f64,
}

impl ServerSet {
    /// Chooses a server for a request. Returns none if all servers that may get it are full.
    pub(super) fn choose(&self, context: Context<'_>, request: &OpenRequest, seed: u64) -> Option<ServerId> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut candidates = Vec::new();
        let mut least_ejected: Option<LeastEjected<'_>> = None;
        let mut considered = 0.0;
        let in_service = self.in_ring_order(context).filter(|(_, server)| server.is_in_service());
        for (id, server) in in_service.filter(|(_, server)| request.allows_server(context, server)) {
            if server.ejected_until > context.now {
                let is_first = least_ejected.is_none_or(|least| server.ejected_until < least.until);
                if server.in_flight == 0 && is_first {
                    least_ejected = Some(LeastEjected { id, until: server.ejected_until });
                }
                continue;
            }
            if considered >= self.subset_size {
                break;
            }
            considered += 1.0;
            if self.has_capacity(context, id, server) {
                candidates.push(self.candidate(context, request, id, server, &mut rng));
            }
        }
        candidates.sort_by(|a, b| a.rank.total_cmp(&b.rank));
        let compared = COMPARED_SUBSETS * self.subset_size / self.limiters_per_server;
        candidates.truncate(compared.max(MIN_COMPARED) as usize);
        let best = candidates.iter().min_by(|a, b| a.score.total_cmp(&b.score)).map(|best| best.id);
        // If every server is ejected, one still gets requests: a wrong detection must not stop all.
        let fallback = least_ejected.filter(|_| considered == 0.0).map(|least| least.id);
        best.or(fallback).cloned()
    }

    /// Returns whether a server may get one more attempt from here.
    fn has_capacity(&self, context: Context<'_>, id: &ServerId, server: &Server) -> bool {
        let by_capacity = MAX_IN_FLIGHT * server.capacity(context) / self.limiters_per_server;
        let limit = match server.failures >= MAX_FAILURES {
            true => 1.0,
            false => by_capacity.max(MIN_IN_FLIGHT_LIMIT),
        };
        f64::from(server.in_flight) + 1.0 <= limit && self.allows_slow_start_send(context, id, server)
    }

    fn candidate<'a>(
        &self,
        context: Context<'_>,
        request: &OpenRequest,
        id: &'a ServerId,
        server: &Server,
        rng: &mut fastrand::Rng,
    ) -> Candidate<'a> {
        let slowness = self.slowness_for(context, request, id, server);
        let capacity = server.capacity(context);
        let others = self.load.expected(server.reported_load.as_ref(), context.now, context.time_scale());
        let own = (f64::from(server.in_flight) + 1.0 / self.limiters_per_server) / capacity;
        let score = slowness * (1.0 + own + others) * (1.0 + JITTER * rng.f64());
        // An exponential race: the probability to be among the first is proportional to capacity and speed.
        let rank = -(1.0 - rng.f64()).ln() * slowness / capacity;
        Candidate { id, rank, score }
    }

    fn slowness_for(
        &self,
        context: Context<'_>,
        request: &OpenRequest,
        id: &ServerId,
        server: &Server,
    ) -> f64 {
        let zone = if *server.zone == *context.settings.zone { 1.0 } else { OTHER_ZONE_FACTOR };
        let tried = if request.was_sent_to(id) { TRIED_FACTOR } else { 1.0 };
        let failures = f64::from(1 + server.failures);
        server.expected_slowness(context, request.class, zone) * (failures * tried)
    }
}

impl OpenRequest {
    /// Returns whether a server may get the request. A keyed request stays with the servers that deduplicate it
    /// together with the first one that may have executed it.
    fn allows_server(&self, context: Context<'_>, server: &Server) -> bool {
        let class = &context.settings.classes[self.class];
        if class.idempotency != Idempotency::Keyed {
            return true;
        }
        self.first_possible_execution().is_none_or(|attempt| match class.scope {
            Scope::All => true,
            Scope::Zone => attempt.zone == server.zone,
            Scope::Cell => attempt.zone == server.zone && attempt.cell == server.cell,
        })
    }
}
