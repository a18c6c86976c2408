//! The load of all servers, from the reports in their responses.
//!
//! A report tells the load that all limiters together put on a server. One of many limiters cannot see that in its own
//! attempts: with a hundred of them, most servers have no attempt in flight from here at any moment, and all would look
//! alike.

use crate::interface::LoadReport;

/// The time constant with which a report decays, in time scales: by then its queue has been worked off or has grown.
const REPORT_DECAY: f64 = 1.5;
/// The time constant of the mean over all servers, in time scales.
const MEAN_DECAY: f64 = 1.0;
/// The most weight of one report in that mean: one server is not the fleet.
const MAX_REPORT_WEIGHT: f64 = 0.3;
/// Queued requests per unit of capacity from which the fleet is overloaded. Requests queue only when all slots are in
/// use.
const OVERLOAD_QUEUE: f64 = 0.3;
/// Further queued requests per unit of capacity for which all requests would be shed.
const FULL_SHED_QUEUE: f64 = 2.0;
/// The most requests that are shed: the end of an overload shows only in requests that are sent.
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
    /// Records the report of a server with a capacity, and returns its load if it tells it.
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

    /// Returns the expected load of a server: as it reported, and with time more and more like the mean.
    pub(super) fn expected(&self, reported: Option<&ReportedLoad>, now: f64, time_scale: f64) -> f64 {
        reported.map_or(self.load, |reported| {
            let decay = (-(now - reported.at) / (REPORT_DECAY * time_scale)).exp();
            self.load + (reported.load - self.load) * decay
        })
    }

    /// Returns the fraction of the requests that the servers cannot serve, by the queues at them.
    pub(super) fn shed_fraction(&self) -> f64 {
        ((self.queue - OVERLOAD_QUEUE) / FULL_SHED_QUEUE).clamp(0.0, MAX_SHED)
    }
}
