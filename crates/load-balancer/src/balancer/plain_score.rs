//! The scorer of servers that run no model: the nearest server that is not too full.

use super::condition_cost::ConditionCosts;
use super::server::{Distance, Server};
use super::service::{Medians, ServiceSettings, ServiceState};
use std::cmp::Ordering;
use std::time::Duration;

/// The utilization up to which the nearest server is used. Beyond it all servers are compared.
const MAX_LOCAL_OCCUPANCY: f64 = 0.7;
/// Conditions that count as utilization.
const CONDITION: ConditionCosts = ConditionCosts { slow: 0.2, failing: 0.5, warming: 0.2 };

/// The score of a server; the lowest is the best.
#[derive(Clone, Copy, Debug)]
pub(super) struct Score {
    /// The distance, if it is not full; the same for all others.
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

/// What the candidates of a request have in common.
pub(super) struct Scorer {
    settings: ServiceSettings,
    now: Duration,
    medians: Medians,
}

impl Scorer {
    pub(super) fn new(now: Duration, service: &ServiceState) -> Self {
        Scorer { settings: service.settings, now, medians: service.medians }
    }

    pub(super) fn of(&self, server: &Server) -> Score {
        let requests = server.load.total(self.now).requests();
        let occupancy =
            requests / self.settings.slots(&server.info) + CONDITION.of(server, &self.medians, self.now);
        let tier = match server.distance {
            _ if occupancy >= MAX_LOCAL_OCCUPANCY => 3,
            Distance::SameZone => 0,
            Distance::SameRegion => 1,
            Distance::Far => 2,
        };
        Score { tier, occupancy, distance: server.distance }
    }
}
