//! The cost of a server's condition: slow, failing or cold.

use super::server::Server;
use super::service::Medians;
use std::time::Duration;

/// A server counts as slow if its time per token is more than this multiple of the median of its service.
const SLOWNESS_THRESHOLD: f64 = 2.0;

/// The cost of each condition, in the unit of the scorer that uses it.
pub(super) struct ConditionCosts {
    /// The cost of a slow server, for each multiple of the median time per token beyond the first.
    pub(super) slow: f64,
    /// The cost of a server that fails more often than others.
    pub(super) failing: f64,
    /// The cost of a cold server.
    pub(super) warming: f64,
}

impl ConditionCosts {
    /// Returns the cost of a server's condition now.
    pub(super) fn cost(&self, server: &Server, medians: &Medians, now: Duration) -> f64 {
        let slowness = server.speed.slowness(now, medians.token_ms);
        let slow = if slowness > SLOWNESS_THRESHOLD { (slowness - 1.0) * self.slow } else { 0.0 };
        let failing = if server.failure_rate(now) > medians.failing_above { self.failing } else { 0.0 };
        let warming = if server.is_warming(now) { self.warming } else { 0.0 };
        slow + failing + warming
    }
}
