//! Scores the servers of a service without an inference engine: the nearest server that is not too full is
//! the best.

use super::condition_cost::ConditionCosts;
use super::server::{Distance, Server};
use super::service::{Medians, ServiceSettings, ServiceState};
use std::cmp::Ordering;
use std::time::Duration;

/// Below this occupancy the nearest server is used. Servers at or above it are compared by occupancy.
const MAX_LOCAL_OCCUPANCY: f64 = 0.7;
/// The occupancy that is added for each condition of a server.
const CONDITION_COSTS: ConditionCosts = ConditionCosts { slow: 0.2, failing: 0.5, warming: 0.2 };

/// The score of a server; the lowest is the best.
#[derive(Clone, Copy, Debug)]
pub(super) struct Score {
    /// The distance of a server below [`MAX_LOCAL_OCCUPANCY`]; the same higher value for all others.
    tier: u8,
    occupancy: f64,
    distance: Distance,
}

impl Score {
    pub(super) fn compare(&self, other: &Score) -> Ordering {
        let by_occupancy = self.tier.cmp(&other.tier).then(self.occupancy.total_cmp(&other.occupancy));
        by_occupancy.then(self.distance.cmp(&other.distance))
    }
}

/// Computes the scores of the candidates for a request.
pub(super) struct Scorer {
    settings: ServiceSettings,
    now: Duration,
    medians: Medians,
}

impl Scorer {
    pub(super) fn new(now: Duration, service: &ServiceState) -> Self {
        Scorer { settings: service.settings, now, medians: service.medians }
    }

    pub(super) fn score(&self, server: &Server) -> Score {
        let requests = server.load.total(self.now).requests();
        let occupancy = requests / self.settings.slots(&server.info)
            + CONDITION_COSTS.cost(server, &self.medians, self.now);
        let tier = match server.distance {
            _ if occupancy >= MAX_LOCAL_OCCUPANCY => 3,
            Distance::SameZone => 0,
            Distance::SameRegion => 1,
            Distance::OtherRegion => 2,
        };
        Score { tier, occupancy, distance: server.distance }
    }
}
