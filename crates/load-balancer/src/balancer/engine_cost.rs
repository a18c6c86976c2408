//! Computes the cost of sending a request to a server that runs an inference engine.
//!
//! The candidate with the lowest cost is chosen. The unit of cost is one prompt token that is prefilled
//! again. Prefilling it takes the server's time, and also has a price if another server has cached it.

use super::ablation::Ablation;
use super::condition_cost::ConditionCosts;
use super::eligibility::Candidate;
use super::prefill_time::PrefillTime;
use super::server::{Distance, Server};
use super::service::{Medians, ServiceSettings, ServiceState};
use crate::demand::Demand;
use std::time::Duration;

/// The cost of each token that the server has to prefill before the request. It is low, because prefilling
/// the request's own prompt at another server would take as long.
const QUEUED_TOKEN_COST: f64 = 0.05;
/// The cost of a first byte that is expected after the target latency. It rises linearly from 0, beginning at
/// the fraction `LATE_FROM_FRACTION` of the target latency.
const LATE_COST: f64 = 4_000.0;
const LATE_FROM_FRACTION: f64 = 0.5;
/// Prefilling a long prompt pauses the responses that the server streams. For each of these responses, every
/// token to prefill beyond `INTERFERENCE_FREE_TOKENS` costs `INTERFERENCE_COST`.
const INTERFERENCE_COST: f64 = 0.3;
const INTERFERENCE_FREE_TOKENS: f64 = 8_000.0;
/// The cost of a server in another region: the round trip, and the price of the transferred bytes. A body of
/// 18 kB costs as much as prefilling about 1,300 tokens, so that prompts with longer shared segments are sent
/// to the region that has cached them.
const OTHER_REGION_COST: f64 = 500.0;
const OTHER_REGION_BYTES_PER_TOKEN: f64 = 24.0;
/// The cost of a server in another zone of the same region.
const OTHER_ZONE_COST: f64 = 100.0;
const OTHER_ZONE_BYTES_PER_TOKEN: f64 = 32.0;
/// The size of a streamed response in bytes per token.
const BYTES_PER_OUTPUT_TOKEN: f64 = 12.0;
/// The cost of occupancy: a server with many requests takes longer for each token, a little at first and more
/// when it is nearly full. The cost is lower than that of prefilling a long prefix, so that full servers do
/// not spend their time on prefilling prefixes again. The terms are proportional to the occupancy and to its
/// cube.
const OCCUPANCY_COST: f64 = 500.0;
const OCCUPANCY_CUBED_COST: f64 = 2_000.0;
/// The costs of the conditions of a server. A cold server has cached nothing and is slow.
const CONDITION_COSTS: ConditionCosts = ConditionCosts { slow: 1_500.0, failing: 8_000.0, warming: 1_000.0 };

/// Computes the costs of the candidates for a request, from what they have in common.
pub(super) struct EngineCosts<'a> {
    now: Duration,
    demand: &'a Demand<'a>,
    settings: ServiceSettings,
    /// The prompt tokens in shared segments.
    shared_tokens: f64,
    /// The prompt tokens outside of shared segments.
    own_tokens: f64,
    prefill_time: PrefillTime,
    /// The mean number of tokens that a server keeps in memory for one request alone.
    mean_private_tokens: f64,
    medians: Medians,
    ablation: Ablation,
}

impl<'a> EngineCosts<'a> {
    pub(super) fn new(
        now: Duration,
        service: &ServiceState,
        demand: &'a Demand<'a>,
        ablation: Ablation,
    ) -> Self {
        let shared_tokens = demand.shared_tokens();
        EngineCosts {
            now,
            demand,
            settings: service.settings,
            shared_tokens: f64::from(shared_tokens),
            own_tokens: f64::from(demand.prompt_tokens.saturating_sub(shared_tokens)),
            prefill_time: service.rate.prefill,
            mean_private_tokens: service.rate.private_tokens(),
            medians: service.medians,
            ablation,
        }
    }

    /// Returns the cost of a candidate that has cached `cached` tokens of the prompt from requests of this
    /// proxy. `unseen` is the assumed number of requests that other proxies have sent to it since their
    /// latest load reports.
    pub(super) fn cost(&self, candidate: &Candidate, server: &Server, cached: u32, unseen: f64) -> f64 {
        let prefill = self.prefill_cost(candidate, cached);
        prefill
            + self.queueing_cost(server, prefill + self.own_tokens)
            + self.interference_cost(server, prefill + self.own_tokens)
            + self.network_cost(server)
            + self.occupancy_cost(server, unseen)
            + self.condition_cost(server)
    }

    /// Returns the number of shared tokens that the server is expected to have to prefill.
    fn prefill_cost(&self, candidate: &Candidate, cached: u32) -> f64 {
        if self.ablation.prefix_affinity() {
            return 0.0;
        }
        let by_rank = candidate.uncached_fraction * self.shared_tokens;
        by_rank.min((self.shared_tokens - f64::from(cached)).max(0.0))
    }

    /// Returns the cost of the time to the first byte, which is low unless that time approaches the target
    /// latency.
    fn queueing_cost(&self, server: &Server, prefill_tokens: f64) -> f64 {
        if self.ablation.queueing_cost() {
            return 0.0;
        }
        let tokens = server.load.total(self.now).waiting_tokens;
        let target_latency_ms = (self.demand.target_latency.as_secs_f64() * 1e3).max(1.0);
        let latency_fraction = self.prefill_time.first_byte_ms(tokens + prefill_tokens) / target_latency_ms;
        let lateness = ((latency_fraction - LATE_FROM_FRACTION) / (1.0 - LATE_FROM_FRACTION)).clamp(0.0, 1.0);
        tokens * QUEUED_TOKEN_COST + lateness * LATE_COST
    }

    /// Returns the cost of the pauses in other responses while a long prompt is prefilled.
    fn interference_cost(&self, server: &Server, prefill_tokens: f64) -> f64 {
        if self.ablation.interference_cost() {
            return 0.0;
        }
        let interfering_tokens = (prefill_tokens - INTERFERENCE_FREE_TOKENS).max(0.0);
        server.load.total(self.now).running * interfering_tokens * INTERFERENCE_COST
    }

    /// Returns the cost of the round trip and of the bytes transferred between zones or regions.
    fn network_cost(&self, server: &Server) -> f64 {
        if self.ablation.network_cost() {
            return 0.0;
        }
        let output = f64::from(self.demand.output_tokens) * BYTES_PER_OUTPUT_TOKEN;
        let bytes = self.demand.body_bytes as f64 + output;
        match server.distance {
            Distance::SameZone => 0.0,
            Distance::SameRegion => OTHER_ZONE_COST + bytes / OTHER_ZONE_BYTES_PER_TOKEN,
            Distance::OtherRegion => OTHER_REGION_COST + bytes / OTHER_REGION_BYTES_PER_TOKEN,
        }
    }

    /// Returns the cost of the server's slots or memory in use, whichever is more occupied.
    fn occupancy_cost(&self, server: &Server, unseen: f64) -> f64 {
        if self.ablation.occupancy_cost() {
            return 0.0;
        }
        let requests = server.load.total(self.now).requests() + unseen;
        let slot_occupancy = requests / self.settings.slots(&server.info);
        let used_tokens = server.load.used_memory_tokens(self.now, self.mean_private_tokens)
            + unseen * self.mean_private_tokens;
        let memory_occupancy =
            self.settings.memory_tokens().map_or(0.0, |tokens| used_tokens / f64::from(tokens));
        let occupancy = slot_occupancy.max(memory_occupancy);
        OCCUPANCY_COST * occupancy + OCCUPANCY_CUBED_COST * occupancy.max(0.0).powi(3)
    }

    fn condition_cost(&self, server: &Server) -> f64 {
        if self.ablation.condition_cost() {
            return 0.0;
        }
        CONDITION_COSTS.cost(server, &self.medians, self.now)
    }
}
