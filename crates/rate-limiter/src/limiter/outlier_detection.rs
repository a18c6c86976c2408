//! Outlier detection: ejects servers that fail several times in a row, and scores those that are slow.

use super::servers::{LateAttempts, Server, ServerSet};
use super::{moving_average, Context};

/// Failures in a row that eject a server.
pub(super) const MAX_FAILURES: u32 = 3;
/// The duration of the first ejection, in time scales. Each further one in a row doubles it ...
const EJECTION_TIME: f64 = 3.0;
/// ... up to this many times.
const MAX_DOUBLINGS: u32 = 3;
/// Late attempts in a row from which a server counts as unresponsive.
const UNRESPONSIVE_ATTEMPTS: u32 = 2;
/// The weight of one response in the slowness of a server.
const SLOWNESS_GAIN: f64 = 0.15;
/// The weight of one response if all responses before it have decayed.
const SLOWNESS_GAIN_AFTER_DECAY: f64 = 0.5;
/// The time constant with which slowness decays, in time scales.
const SLOWNESS_DECAY: f64 = 8.0;
/// The bounds of one latency ratio.
const MIN_RATIO: f64 = 0.1;
const MAX_RATIO: f64 = 30.0;
/// How much each late attempt of a class counts against its server for that class.
const LATE_PENALTY: f64 = 4.0;
/// The time constant with which that decays, in time scales per late attempt.
const LATE_DECAY: f64 = 8.0;

/// Whether an attempt has its response, or is late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lateness {
    /// The server has responded.
    Responded,
    /// The response takes too long.
    Late,
}

impl Server {
    /// Returns the part of the recorded slowness that has not decayed.
    fn slowness_decay(&self, context: Context<'_>) -> f64 {
        (-(context.now - self.slowness_at) / (SLOWNESS_DECAY * context.time_scale())).exp()
    }

    /// Returns the remaining slowness after it has decayed.
    fn decayed_slowness(&self, decay: f64) -> f64 {
        1.0 + (self.slowness - 1.0) * decay
    }

    /// Returns the factor by which the server is expected to be slower than usual for a class of requests.
    /// `zone_factor` is that of its zone.
    pub(super) fn expected_slowness(&self, context: Context<'_>, class: usize, zone_factor: f64) -> f64 {
        self.decayed_slowness(self.slowness_decay(context)) * zone_factor * self.late_factor(context, class)
    }

    /// Returns the factor of late attempts of a class. A server may serve other classes as usual.
    fn late_factor(&self, context: Context<'_>, class: usize) -> f64 {
        let Some(late) = self.late_attempts.get(class).filter(|late| late.count > 0) else { return 1.0 };
        let count = f64::from(late.count);
        let decay_time = LATE_DECAY * context.time_scale() * count;
        1.0 + LATE_PENALTY * count * (-(context.now - late.last) / decay_time).exp()
    }

    /// Returns whether the server does not respond to a class. One late attempt is not enough at a server that is used
    /// seldom.
    pub(super) fn is_unresponsive(&self, class: usize) -> bool {
        let late = self.late_attempts.get(class).map_or(0, |late| late.count);
        self.failures.max(late) >= UNRESPONSIVE_ATTEMPTS
    }

    /// Records a response.
    pub(super) fn record_success(&mut self, now: f64) {
        self.last_success = now;
        self.failures = 0;
        self.ejections = 0;
    }
}

impl ServerSet {
    /// Records a failure of a server. Too many in a row eject it for some time.
    pub(super) fn record_failure(&mut self, context: Context<'_>, id: &str) {
        let (now, may_eject) = (context.now, self.remaining_ejections >= 1.0);
        let Some(server) = self.get_mut(id) else { return };
        server.failures += 1;
        if server.failures >= MAX_FAILURES && server.ejected_until <= now && may_eject {
            let doublings = f64::from(1u32 << server.ejections.min(MAX_DOUBLINGS));
            server.ejected_until = now + EJECTION_TIME * context.time_scale() * doublings;
            server.ejections += 1;
            self.remaining_ejections -= 1.0;
        }
    }

    /// Records the ratio of an attempt's latency to the usual one, so far if it is late.
    pub(super) fn record_latency(
        &mut self,
        context: Context<'_>,
        id: &str,
        class: usize,
        ratio: f64,
        lateness: Lateness,
    ) {
        let now = context.now;
        let Some(server) = self.get_mut(id) else { return };
        // What has decayed weighs less against a new ratio: a server that is used seldom is judged by its last responses.
        let decay = server.slowness_decay(context);
        let gain = SLOWNESS_GAIN.max(SLOWNESS_GAIN_AFTER_DECAY * (1.0 - decay));
        let decayed = server.decayed_slowness(decay);
        server.slowness = moving_average(decayed, ratio.clamp(MIN_RATIO, MAX_RATIO), gain);
        server.slowness_at = now;
        let none = LateAttempts { count: 0, last: now };
        server.late_attempts.resize(context.settings.classes.len(), none);
        let late = &mut server.late_attempts[class];
        late.last = now;
        late.count = match lateness {
            Lateness::Responded => 0,
            Lateness::Late => late.count + 1,
        };
    }
}
