//! The mean load of all servers, from the load reports in their responses.
//!
//! A report contains the load that all limiters together put on a server. A single limiter cannot infer it from its own
//! attempts in flight: with a hundred limiters, it has none at most servers at any moment, and all servers would look
//! equally loaded.

use crate::interface::LoadReport;

/// The time constant with which a report loses its weight, as a multiple of the time scale. After that time, the reported
/// queue has been processed or has grown.
const REPORT_DECAY: f64 = 1.5;
/// The time constant of the mean over all servers, as a multiple of the time scale.
const MEAN_DECAY: f64 = 1.0;
/// Maximum weight of one report in the mean, so that no single server dominates it.
const MAX_REPORT_WEIGHT: f64 = 0.3;
/// The mean number of queued requests per unit of capacity above which the servers are overloaded. A server queues
/// requests only when all its slots are in use.
const OVERLOAD_QUEUE: f64 = 0.3;
/// The number of queued requests per unit of capacity, beyond [`OVERLOAD_QUEUE`], at which the computed shed fraction
/// reaches 1 (before it is limited to [`MAX_SHED`]).
const FULL_SHED_QUEUE: f64 = 2.0;
/// Maximum shed fraction. The end of an overload can be detected only by requests that are sent.
const MAX_SHED: f64 = 0.9;

/// The latest report of a server, in requests per unit of capacity.
#[derive(Clone, Copy)]
pub(super) struct ReportedLoad {
    load: f64,
    at: f64,
}

/// The mean load of all servers in use, in requests per unit of capacity.
#[derive(Default)]
pub(super) struct FleetLoad {
    load: f64,
    queue: f64,
    updated_at: f64,
}

impl FleetLoad {
    /// Records the report of a server with this capacity. Returns its load, or `None` if the report has no queue length.
    pub(super) fn record(
        &mut self,
        report: &LoadReport,
        capacity: f64,
        now: f64,
        time_scale: f64,
    ) -> Option<ReportedLoad> {
        let queue = report.queue?.max(0.0) / capacity;
        let load = queue + report.busy.unwrap_or(1.0).clamp(0.0, 1.0);
        let decay = (-(now - self.updated_at) / (MEAN_DECAY * time_scale)).exp();
        let weight = (1.0 - decay).min(MAX_REPORT_WEIGHT);
        self.load += (load - self.load) * weight;
        self.queue += (queue - self.queue) * weight;
        self.updated_at = now;
        Some(ReportedLoad { load, at: now })
    }

    /// Returns the expected load of a server: its reported load, which decays towards the mean load with the age of the
    /// report.
    pub(super) fn expected(&self, reported: Option<&ReportedLoad>, now: f64, time_scale: f64) -> f64 {
        reported.map_or(self.load, |reported| {
            let decay = (-(now - reported.at) / (REPORT_DECAY * time_scale)).exp();
            self.load + (reported.load - self.load) * decay
        })
    }

    /// Returns the fraction of requests to shed, computed from the mean queue length of the servers.
    pub(super) fn shed_fraction(&self) -> f64 {
        ((self.queue - OVERLOAD_QUEUE) / FULL_SHED_QUEUE).clamp(0.0, MAX_SHED)
    }
}
