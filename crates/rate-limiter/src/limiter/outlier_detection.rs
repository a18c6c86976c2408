//! Outlier detection: ejects servers after consecutive failures, and tracks the slowness of each server.

use super::servers::{LateAttempts, Server, ServerSet};
use super::{moving_average, Context};

/// Consecutive failures after which a server is ejected.
pub(super) const MAX_FAILURES: u32 = 3;
/// The duration of the first ejection, as a multiple of the time scale. Each consecutive ejection doubles the duration.
const EJECTION_TIME: f64 = 3.0;
/// Maximum number of doublings of the duration of an ejection.
const MAX_DOUBLINGS: u32 = 3;
/// Consecutive late attempts or failures after which a server is considered unresponsive.
const UNRESPONSIVE_ATTEMPTS: u32 = 2;
/// Minimum weight of one response in the slowness of a server.
const SLOWNESS_GAIN: f64 = 0.15;
/// The weight of one response if all earlier responses have decayed.
const SLOWNESS_GAIN_AFTER_DECAY: f64 = 0.5;
/// The time constant with which slowness decays towards 1, as a multiple of the time scale.
const SLOWNESS_DECAY: f64 = 8.0;
/// The bounds to which a latency ratio is clamped.
const MIN_LATENCY_RATIO: f64 = 0.1;
const MAX_LATENCY_RATIO: f64 = 30.0;
/// The amount that each late attempt of a class adds to the server's slowness factor for that class.
const LATE_PENALTY: f64 = 4.0;
/// The time constant with which [`LATE_PENALTY`] decays, as a multiple of the time scale, per late attempt.
const LATE_DECAY: f64 = 8.0;

/// Whether a recorded latency is that of a response, or the time so far of a late attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LatencySample {
    /// The server has responded, so that the latency is final.
    Complete,
    /// The attempt is late and has no response yet, so that the latency will be higher.
    Partial,
}

impl Server {
    /// Returns the remaining fraction of the recorded slowness, from 1 when it is recorded towards 0.
    fn slowness_decay(&self, context: Context<'_>) -> f64 {
        (-(context.now - self.slowness_at) / (SLOWNESS_DECAY * context.time_scale())).exp()
    }

    /// Returns the recorded slowness after its deviation from 1 has decayed to the fraction `decay`.
    fn decayed_slowness(&self, decay: f64) -> f64 {
        1.0 + (self.slowness - 1.0) * decay
    }

    /// Returns the factor by which the server is expected to be slower than the mean for a class of requests.
    /// `zone_factor` is the factor for the zone of the server.
    pub(super) fn expected_slowness(&self, context: Context<'_>, class: usize, zone_factor: f64) -> f64 {
        self.decayed_slowness(self.slowness_decay(context)) * zone_factor * self.late_factor(context, class)
    }

    /// Returns the slowness factor for late attempts of a class. It is tracked by class, since the server may serve other
    /// classes normally.
    fn late_factor(&self, context: Context<'_>, class: usize) -> f64 {
        let Some(late) = self.late_attempts.get(class).filter(|late| late.count > 0) else { return 1.0 };
        let count = f64::from(late.count);
        let decay_time = LATE_DECAY * context.time_scale() * count;
        1.0 + LATE_PENALTY * count * (-(context.now - late.last) / decay_time).exp()
    }

    /// Returns whether the server is unresponsive to a class. A single late attempt is not sufficient, since it may be the
    /// only recent attempt at a seldom used server.
    pub(super) fn is_unresponsive(&self, class: usize) -> bool {
        let late = self.late_attempts.get(class).map_or(0, |late| late.count);
        self.failures.max(late) >= UNRESPONSIVE_ATTEMPTS
    }

    /// Records a completed response, which ends a series of failures and ejections.
    pub(super) fn record_success(&mut self, now: f64) {
        self.last_success = now;
        self.failures = 0;
        self.ejections = 0;
    }
}

impl ServerSet {
    /// Records a failure of a server, and ejects the server after [`MAX_FAILURES`] consecutive failures.
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

    /// Records the ratio of an attempt's latency to the mean latency. For a late attempt, it is the latency so far.
    pub(super) fn record_latency(
        &mut self,
        context: Context<'_>,
        id: &str,
        class: usize,
        ratio: f64,
        sample: LatencySample,
    ) {
        let now = context.now;
        let Some(server) = self.get_mut(id) else { return };
        // The more the recorded slowness has decayed, the more weight a new ratio gets, so that the slowness of a seldom
        // used server follows its latest responses.
        let decay = server.slowness_decay(context);
        let gain = SLOWNESS_GAIN.max(SLOWNESS_GAIN_AFTER_DECAY * (1.0 - decay));
        let decayed = server.decayed_slowness(decay);
        server.slowness = moving_average(decayed, ratio.clamp(MIN_LATENCY_RATIO, MAX_LATENCY_RATIO), gain);
        server.slowness_at = now;
        let none = LateAttempts { count: 0, last: now };
        server.late_attempts.resize(context.settings.classes.len(), none);
        let late = &mut server.late_attempts[class];
        late.last = now;
        late.count = match sample {
            LatencySample::Complete => 0,
            LatencySample::Partial => late.count + 1,
        };
    }
}
