//! Slow start: a server that started recently has a part of its capacity, and gets requests accordingly.
//!
//! A cold server that gets more than a multiple of its capacity for some time fails. Warm servers show what the load
//! per unit of capacity is; a server in slow start gets the same, times its warm fraction.

use super::servers::{Server, ServerSet};
use super::{hash, Context};
use crate::interface::ServerId;

/// The fraction of what a cold server can bear that is used.
const SLOW_START_FRACTION: f64 = 0.6;
/// The sends of all limiters together in an overload window that a cold server always gets.
const MIN_SLOW_START_SENDS: f64 = 4.0;

impl Server {
    /// Returns the least share of its full capacity that a server has, by its age.
    pub(super) fn warm_fraction(&self, context: Context<'_>) -> f64 {
        let Context { settings, now } = context;
        let warmed_up =
            self.started_at.map_or(1.0, |at| (now - at).max(0.0) / settings.warmup_time.max(1e-9));
        settings.initial_capacity + (1.0 - settings.initial_capacity) * warmed_up.min(1.0)
    }
}

impl ServerSet {
    /// Returns whether a server may get one more send from here, if it is cold.
    ///
    /// If its share is less than one send in a window, it gets one in that share of the windows, which differ between
    /// limiters.
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
        let like_warm = match self.warm_weight > 0.0 {
            true => self.recent_warm_sends.len() as f64 / self.warm_weight * server.weight * warm_fraction,
            false => 0.0,
        };
        let allowed = (like_warm * settings.overload_factor * SLOW_START_FRACTION)
            .max(MIN_SLOW_START_SENDS / self.limiters_per_server);
        let window = settings.overload_window.max(settings.round_interval);
        let recent = server.recent_sends.iter().filter(|sent_at| now - **sent_at <= window).count() as f64;
        if recent + 1.0 <= allowed {
            return true;
        }
        let seed = hash(id) ^ (u64::from(settings.limiter_index) << 32) ^ (now / window) as u64;
        recent < 1.0 && fastrand::Rng::with_seed(seed).f64() < allowed
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
