//! Selects a server for a request: the best of a few random candidates, by slowness and load.

use super::attempts::OpenRequest;
use super::outlier_detection::MAX_FAILURES;
use super::servers::{Server, ServerSet};
use super::Context;
use crate::interface::{Idempotency, Scope, ServerId};

/// Maximum attempts in flight at a server from all limiters together, per unit of its capacity.
const MAX_IN_FLIGHT: f64 = 5.0;
/// Minimum in-flight limit of a single limiter at a server. It can exceed the limiter's share of [`MAX_IN_FLIGHT`],
/// because only a few of many limiters use a server at the same time.
const MIN_IN_FLIGHT_LIMIT: f64 = 2.0;
/// The number of candidates compared for a request is this factor times the subset size, divided by the number of
/// limiters per server. The more limiters share the servers, the more of them would choose the same best server. They
/// then compare fewer candidates, down to the better of two random ones.
const CANDIDATE_FACTOR: f64 = 4.0;
/// Minimum number of candidates that are compared.
const MIN_CANDIDATES: f64 = 2.0;
/// The factor by which the slowness of a server in another zone is multiplied.
const OTHER_ZONE_FACTOR: f64 = 1.1;
/// The factor by which the slowness of a server is multiplied if the request was sent to it before.
const TRIED_FACTOR: f64 = 10.0;
/// Maximum relative jitter of scores, which breaks ties.
const JITTER: f64 = 0.05;

/// A server with capacity for the request.
struct Candidate<'a> {
    id: &'a ServerId,
    /// Random rank. The candidates with the lowest ranks are compared.
    rank: f64,
    /// Expected slowness under load. The candidate with the lowest score is chosen.
    score: f64,
}

/// The ejected server whose ejection ends first.
#[derive(Clone, Copy)]
struct NextReadmission<'a> {
    id: &'a ServerId,
    until: f64,
}

impl ServerSet {
    /// Chooses a server for a request. Returns `None` if no server that is allowed for the request has capacity.
    pub(super) fn choose(&self, context: Context<'_>, request: &OpenRequest, seed: u64) -> Option<ServerId> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut candidates = Vec::new();
        let mut next_readmission: Option<NextReadmission<'_>> = None;
        let mut considered = 0.0;
        let in_service = self.in_ring_order(context).filter(|(_, server)| server.is_in_service());
        for (id, server) in in_service.filter(|(_, server)| request.allows_server(context, server)) {
            if server.ejected_until > context.now {
                let is_first = next_readmission.is_none_or(|next| server.ejected_until < next.until);
                if server.in_flight == 0 && is_first {
                    next_readmission = Some(NextReadmission { id, until: server.ejected_until });
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
        let compared_count = CANDIDATE_FACTOR * self.subset_size / self.limiters_per_server;
        candidates.truncate(compared_count.max(MIN_CANDIDATES) as usize);
        let best = candidates.iter().min_by(|a, b| a.score.total_cmp(&b.score)).map(|best| best.id);
        // If every server is ejected, the one that is readmitted first still gets a request at a time, so that a false
        // detection does not stop all traffic.
        let fallback = next_readmission.filter(|_| considered == 0.0).map(|next| next.id);
        best.or(fallback).cloned()
    }

    /// Returns whether a server has capacity for one more attempt from this limiter.
    fn has_capacity(&self, context: Context<'_>, id: &ServerId, server: &Server) -> bool {
        let capacity_limit = MAX_IN_FLIGHT * server.capacity(context) / self.limiters_per_server;
        let limit = match server.failures >= MAX_FAILURES {
            true => 1.0,
            false => capacity_limit.max(MIN_IN_FLIGHT_LIMIT),
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
        let expected_load =
            self.load.expected(server.reported_load.as_ref(), context.now, context.time_scale());
        let own_load = (f64::from(server.in_flight) + 1.0 / self.limiters_per_server) / capacity;
        let score = slowness * (1.0 + own_load + expected_load) * (1.0 + JITTER * rng.f64());
        // Weighted random sampling by exponential ranks: the probability of the lowest rank is proportional to capacity
        // divided by slowness.
        let rank = -(1.0 - rng.f64()).ln() * slowness / capacity;
        Candidate { id, rank, score }
    }

    /// Returns the slowness of a server for a request, including the penalties for its zone, for failures, and for
    /// earlier attempts of the request.
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
    /// Returns whether the request may be sent to a server. A keyed request may be sent only to servers that deduplicate
    /// it together with the first server that may have executed it.
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
