//! The scorer of servers that run a model.
//!
//! The candidate of least cost is chosen. The unit of cost is a prompt token that is prefilled again: it takes the
//! server's time, and has a price if another server has cached it.

use super::ablation::Ablation;
use super::condition_cost::ConditionCosts;
use super::eligibility::Candidate;
use super::prefill_time::PrefillTime;
use super::server::{Distance, Server};
use super::service::{Medians, ServiceSettings, ServiceState};
use crate::demand::Demand;
use std::time::Duration;

/// The cost of a token that is queued before the request. It is low: the time to prefill the prompt elsewhere would be
/// as long.
const QUEUED_TOKEN_COST: f64 = 0.05;
/// The cost of a first byte after the target latency; less from this fraction of it on.
const LATE_COST: f64 = 4_000.0;
const LATE_FROM: f64 = 0.5;
/// A long prompt pauses the streams at the server. For each stream, tokens beyond this number cost this fraction of a
/// token.
const INTERFERENCE: f64 = 0.3;
const INTERFERENCE_FROM: f64 = 8_000.0;
/// The cost of another region: the round trip and the price of its bytes. A body of 18 kB costs as much as prefilling
/// about 1,300 tokens, so that prompts with longer shared segments are sent to the region that has cached them.
const OTHER_REGION_COST: f64 = 500.0;
const OTHER_REGION_BYTES_PER_TOKEN: f64 = 24.0;
/// The cost of another zone of the region.
const OTHER_ZONE_COST: f64 = 100.0;
const OTHER_ZONE_BYTES_PER_TOKEN: f64 = 32.0;
/// The bytes of a stream per token.
const BYTES_PER_OUTPUT_TOKEN: f64 = 12.0;
/// The cost of load: a server with many requests is slower for each token, a little at first and more when it is
/// nearly full. It is less than prefilling a long prefix, so that a full fleet does not spend its time on prefilling
/// prefixes again.
const OCCUPANCY_COST: f64 = 500.0;
const OCCUPANCY_CUBED_COST: f64 = 2_000.0;
/// The cost of a cold server, which has cached nothing and is slow.
const CONDITION: ConditionCosts = ConditionCosts { slow: 1_500.0, failing: 8_000.0, warming: 1_000.0 };

/// What the candidates of a request have in common.
pub(super) struct EngineCosts<'a> {
    now: Duration,
    demand: &'a Demand<'a>,
    settings: ServiceSettings,
    shared_tokens: f64,
    own_tokens: f64,
    prefill_time: PrefillTime,
    private_tokens: f64,
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
            private_tokens: service.rate.private_tokens(),
            medians: service.medians,
            ablation,
        }
    }

    /// Returns the cost of a candidate that has cached `cached` tokens of the prompt for this proxy, if `unseen`
    /// requests have been sent to it beside those that are known.
    pub(super) fn of(&self, candidate: &Candidate, server: &Server, cached: u32, unseen: f64) -> f64 {
        let shared = self.prefill_cost(candidate, cached);
        shared
            + self.queueing_cost(server, shared + self.own_tokens)
            + self.interference_cost(server, shared + self.own_tokens)
            + self.network_cost(server)
            + self.occupancy_cost(server, unseen)
            + self.condition_cost(server)
    }

    fn prefill_cost(&self, candidate: &Candidate, cached: u32) -> f64 {
        if self.ablation.prefix_affinity() {
            return 0.0;
        }
        let by_rank = candidate.uncached_fraction * self.shared_tokens;
        by_rank.min((self.shared_tokens - f64::from(cached)).max(0.0))
    }

    /// Returns the cost of the time to the first byte, which is low until that may be late.
    fn queueing_cost(&self, server: &Server, prefilled_here: f64) -> f64 {
        if self.ablation.queueing_cost() {
            return 0.0;
        }
        let tokens = server.load.total(self.now).waiting_tokens;
        let objective_ms = (self.demand.objective.as_secs_f64() * 1e3).max(1.0);
        let part = self.prefill_time.first_byte_ms(tokens + prefilled_here) / objective_ms;
        let late = ((part - LATE_FROM) / (1.0 - LATE_FROM)).clamp(0.0, 1.0);
        tokens * QUEUED_TOKEN_COST + late * LATE_COST
    }

    /// Returns the cost of the streams that pause while a long prompt is prefilled.
    fn interference_cost(&self, server: &Server, prefilled_here: f64) -> f64 {
        if self.ablation.interference_cost() {
            return 0.0;
        }
        let interfering = (prefilled_here - INTERFERENCE_FROM).max(0.0);
        server.load.total(self.now).running * interfering * INTERFERENCE
    }

    fn network_cost(&self, server: &Server) -> f64 {
        if self.ablation.network_cost() {
            return 0.0;
        }
        let output = f64::from(self.demand.output_tokens) * BYTES_PER_OUTPUT_TOKEN;
        let bytes = self.demand.body_bytes as f64 + output;
        match server.distance {
            Distance::SameZone => 0.0,
            Distance::SameRegion => OTHER_ZONE_COST + bytes / OTHER_ZONE_BYTES_PER_TOKEN,
            Distance::Far => OTHER_REGION_COST + bytes / OTHER_REGION_BYTES_PER_TOKEN,
        }
    }

    fn occupancy_cost(&self, server: &Server, unseen: f64) -> f64 {
        if self.ablation.occupancy_cost() {
            return 0.0;
        }
        let requests = server.load.total(self.now).requests() + unseen;
        let slots = requests / self.settings.slots(&server.info);
        let used = server.load.memory(self.now, self.private_tokens) + unseen * self.private_tokens;
        let memory = self.settings.memory_tokens().map_or(0.0, |tokens| used / f64::from(tokens));
        let occupancy = slots.max(memory);
        OCCUPANCY_COST * occupancy + OCCUPANCY_CUBED_COST * occupancy.max(0.0).powi(3)
    }

    fn condition_cost(&self, server: &Server) -> f64 {
        if self.ablation.condition_cost() {
            return 0.0;
        }
        CONDITION.of(server, &self.medians, self.now)
    }
}
