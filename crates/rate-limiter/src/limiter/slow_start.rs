//! Slow start: a recently started server has only a fraction of its full capacity, and gets requests in proportion.
//!
//! A cold server fails if its load exceeds a multiple of its current capacity for some time. The sends to warm servers
//! give the current load per unit of weight. A server in slow start gets the same load, times its warm fraction.

use super::servers::{Server, ServerSet};
use super::{hash, Context};
use crate::interface::ServerId;

/// The load limit of a cold server, as a fraction of the load at which it fails.
const SLOW_START_FRACTION: f64 = 0.6;
/// Minimum limit of sends to a cold server in an overload window, from all limiters together.
const MIN_SLOW_START_SENDS: f64 = 4.0;

impl Server {
    /// Returns the fraction of its full capacity that a server has at its age. It grows linearly from
    /// `Settings::initial_capacity` to 1 over the warm-up time.
    pub(super) fn warm_fraction(&self, context: Context<'_>) -> f64 {
        let Context { settings, now } = context;
        let warmed_up =
            self.started_at.map_or(1.0, |at| (now - at).max(0.0) / settings.warmup_time.max(1e-9));
        settings.initial_capacity + (1.0 - settings.initial_capacity) * warmed_up.min(1.0)
    }
}

impl ServerSet {
    /// Returns whether slow start allows this limiter one more send to a server. Always true for a warm server.
    ///
    /// If the limit is less than one send per overload window, a send is allowed in that fraction of the windows. Which
    /// windows these are is pseudo-random and differs between limiters.
    pub(super) fn allows_slow_start_send(
        &self,
        context: Context<'_>,
        id: &ServerId,
        server: &Server,
    ) -> bool {
        let warm_fraction = server.warm_fraction(context);
        if warm_fraction >= 1.0 {
            return true;
        }
        let Context { settings, now } = context;
        let warm_equivalent_sends = match self.warm_weight > 0.0 {
            true => self.recent_warm_sends.len() as f64 / self.warm_weight * server.weight * warm_fraction,
            false => 0.0,
        };
        let max_sends = (warm_equivalent_sends * settings.overload_factor * SLOW_START_FRACTION)
            .max(MIN_SLOW_START_SENDS / self.limiters_per_server);
        let window = settings.overload_window.max(settings.round_interval);
        let recent_count =
            server.recent_sends.iter().filter(|sent_at| now - **sent_at <= window).count() as f64;
        if recent_count + 1.0 <= max_sends {
            return true;
        }
        let seed = hash(id) ^ (u64::from(settings.limiter_index) << 32) ^ (now / window) as u64;
        recent_count < 1.0 && fastrand::Rng::with_seed(seed).f64() < max_sends
    }

    /// Records a send to a server.
    pub(super) fn record_send(&mut self, context: Context<'_>, id: &str) {
        let Context { settings, now } = context;
        let Some(server) = self.get_mut(id) else { return };
        server.in_flight += 1;
        if server.warm_fraction(context) < 1.0 {
            server.recent_sends.retain(|sent_at| now - sent_at <= settings.overload_window);
            server.recent_sends.push(now);
        } else {
            self.recent_warm_sends.push_back(now);
        }
    }
}
