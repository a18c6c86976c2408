//! The attempts of a request: sends, slow attempts, retries, and the final response.
//!
//! Invariants: a request that is not idempotent is retried only if no earlier attempt can have executed it. A request with
//! an idempotency key is retried only while the servers deduplicate it.

use super::admission::TIMER_MARGIN_ROUNDS;
use super::outlier_detection::LatencySample;
use super::{context, moving_average, Context, Limiter, Timer, MEAN_LATENCY_GAIN, TICK_INTERVAL};
use crate::interface::{
    Action, AttemptResult, Class, Idempotency, Outcome, Request, RequestId, Scope, ServerId,
};
use std::sync::Arc;

/// The time after which an attempt is slow, as a multiple of the mean latency.
const SLOW_FACTOR: f64 = 6.0;
/// Minimum time after which an attempt is slow, as a fraction of the target latency.
const MIN_SLOW_FRACTION: f64 = 0.5;
/// Maximum time after which an attempt is slow, as a fraction of the target latency.
const MAX_SLOW_FRACTION: f64 = 0.8;
/// The fraction of the deduplication window during which a keyed request may be retried.
const DEDUPLICATION_FRACTION: f64 = 0.9;
/// The latency ratio recorded for a server that rejects a request. A rejection is immediate, and the server would
/// otherwise look like the least loaded one.
const REJECTION_SLOWNESS: f64 = 10.0;
/// Minimum mean latency in seconds, used as a divisor.
const MIN_LATENCY: f64 = 1e-6;

/// One send of a request to a server.
pub(super) struct Attempt {
    server: ServerId,
    pub(super) zone: Arc<str>,
    pub(super) cell: i64,
    sent_at: f64,
    /// Whether the attempt has no outcome yet.
    is_open: bool,
    /// Whether the attempt is included in `Server::in_flight`.
    is_in_flight: bool,
    /// Whether the server may have executed the request. True until an outcome proves that it did not.
    may_have_executed: bool,
}

/// An admitted request.
pub(super) struct OpenRequest {
    tenant: Arc<str>,
    /// The index of the class.
    pub(super) class: usize,
    units: f64,
    /// The time at which the client gives up.
    deadline: f64,
    /// Whether a streamed response has started.
    pub(super) streaming: bool,
    /// Whether the request has its final response. It is then kept only until its attempts have their outcomes.
    pub(super) done: bool,
    attempts: Vec<Attempt>,
}

impl OpenRequest {
    pub(super) fn new(request: &Request, class: usize, units: f64) -> Self {
        OpenRequest {
            tenant: request.tenant.clone(),
            class,
            units,
            deadline: request.deadline,
            streaming: false,
            done: false,
            attempts: Vec::new(),
        }
    }

    /// Returns whether an attempt was made at a server.
    pub(super) fn was_sent_to(&self, server: &ServerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.server == *server)
    }

    /// Returns the first attempt that may have executed the request.
    pub(super) fn first_possible_execution(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_executed)
    }

    fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_open)
    }

    /// Returns the time until which a keyed request may be retried. Returns `None` if the class is not keyed, or if no
    /// attempt can have executed the request.
    fn deduplicated_until(&self, context: Context<'_>) -> Option<f64> {
        let class = &context.settings.classes[self.class];
        let first = self.first_possible_execution().filter(|_| class.idempotency == Idempotency::Keyed)?;
        let margin = context.settings.round_interval * TIMER_MARGIN_ROUNDS;
        Some(first.sent_at + class.deduplication_window * DEDUPLICATION_FRACTION - margin)
    }
}

impl Limiter {
    /// Starts an attempt of a request at a server.
    pub(super) fn send(&mut self, id: RequestId, server: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(target) = self.servers.get(&server) else { return };
        // Connecting takes time. The request must still be within the deduplication window when it is sent.
        let send_by = request.deduplicated_until(context!(self));
        request.attempts.push(Attempt {
            server: server.clone(),
            zone: target.zone.clone(),
            cell: target.cell,
            sent_at: now,
            is_open: true,
            is_in_flight: true,
            may_have_executed: true,
        });
        self.servers.record_send(context!(self), &server);
        if let Some(tenant) = self.quotas.get_mut(&request.tenant) {
            tenant.in_flight += 1;
        }
        let target_latency = self.settings.classes[request.class].target_latency;
        let usual = SLOW_FACTOR * self.mean_latency[request.class] * request.units.max(1.0);
        let slow_after = usual.clamp(MIN_SLOW_FRACTION * target_latency, MAX_SLOW_FRACTION * target_latency);
        if now + slow_after < request.deadline {
            actions.push(Action::SetTimer { at: now + slow_after, token: Timer::SlowAttempt(id).token() });
        }
        actions.push(Action::Send { id, server, timeout: 0.0, send_by });
    }

    /// Returns whether a request may be retried, regardless of the retry budget.
    fn may_retry(&self, request: &OpenRequest) -> bool {
        let class = &self.settings.classes[request.class];
        let has_time = request.deadline - self.now > self.mean_latency[request.class];
        let has_attempts = (request.attempts.len() as u32) < self.settings.max_attempts;
        if request.done || request.streaming || !has_attempts || !has_time {
            return false;
        }
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => request.first_possible_execution().is_none(),
            Idempotency::Keyed => {
                request.deduplicated_until(context!(self)).is_none_or(|until| self.now < until)
            }
        }
    }

    /// Retries a request if the retry budget allows it and a server is available. Returns whether it was sent.
    fn try_retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let seed = self.rng.u64(..);
        let Some(request) = self.requests.get(&id) else { return false };
        if !self.retry_budget.allows_retry() || !self.may_retry(request) {
            return false;
        }
        let Some(server) = self.servers.choose(context!(self), request, seed) else { return false };
        self.retry_budget.withdraw();
        self.send(id, server, actions);
        true
    }

    /// Checks whether the latest attempt of a request is slow. If so, records it against the server, and cancels it in
    /// favour of a retry if the server is unresponsive.
    pub(super) fn check_slow_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.done && !request.streaming)
        else {
            return;
        };
        let Some(attempt) = request.attempts.last().filter(|attempt| attempt.is_open) else { return };
        let (class, server, sent_at) = (request.class, attempt.server.clone(), attempt.sent_at);
        let number = request.attempts.len() as u32 - 1;
        let target_latency = self.settings.classes[class].target_latency;
        let elapsed = self.now - sent_at;
        let may_retry = self.may_retry(request) && self.retry_budget.allows_retry();
        let usual = self.mean_latency[class] * request.units.max(1.0);
        let round = self.settings.round_interval;
        let was_stalled = self.now <= self.stalled_until + round && sent_at < self.stalled_until;
        if elapsed < MIN_SLOW_FRACTION * target_latency {
            return;
        }
        if elapsed >= target_latency {
            return self.remove_from_in_flight(id, number);
        }
        let next = if was_stalled { self.now + TICK_INTERVAL } else { sent_at + target_latency + round };
        actions.push(Action::SetTimer { at: next, token: Timer::SlowAttempt(id).token() });
        if was_stalled {
            return;
        }
        // A server that has responded since the attempt began is slow but alive. Ejecting it would move its load to
        // other servers.
        if self.servers.get(&server).is_some_and(|state| state.last_success < self.now - elapsed) {
            self.servers.record_failure(context!(self), &server);
        }
        let ratio = elapsed / usual.max(MIN_LATENCY);
        self.servers.record_latency(context!(self), &server, class, ratio, LatencySample::Partial);
        let is_unresponsive = self.servers.get(&server).is_some_and(|state| state.is_unresponsive(class));
        if may_retry && is_unresponsive && self.settings.may_cancel {
            // Only one attempt may be open, so the retry follows when this attempt reports its outcome.
            actions.push(Action::Cancel { id, attempt: number });
        }
    }

    /// Records the load that a server reported with a response.
    pub(super) fn record_load_report(&mut self, result: &AttemptResult) {
        let context = context!(self);
        let request = self.requests.get(&result.id);
        let attempt = request.and_then(|request| request.attempts.get(result.attempt as usize));
        let Some(id) = attempt.map(|attempt| attempt.server.clone()) else { return };
        self.servers.record_load_report(context, &id, &result.report);
    }

    /// Removes an attempt from its server's in-flight count, because it has its outcome, or is so late that the request or
    /// its response may be lost.
    fn remove_from_in_flight(&mut self, id: RequestId, number: u32) {
        let request = self.requests.get_mut(&id);
        let attempt = request.and_then(|request| request.attempts.get_mut(number as usize));
        let Some(attempt) = attempt else { return };
        if std::mem::take(&mut attempt.is_in_flight) {
            if let Some(server) = self.servers.get_mut(&attempt.server) {
                server.in_flight = server.in_flight.saturating_sub(1);
            }
        }
    }

    /// Handles the outcome of an attempt.
    pub(super) fn attempt_finished(&mut self, result: &AttemptResult, actions: &mut Vec<Action>) {
        let AttemptResult { id, attempt: number, finished, outcome, .. } = *result;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.get_mut(number as usize).filter(|attempt| attempt.is_open);
        let Some(attempt) = attempt else { return };
        attempt.is_open = false;
        attempt.may_have_executed =
            !matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        let server = attempt.server.clone();
        let (class, units, was_done) = (request.class, request.units, request.done);
        let tenant = request.tenant.clone();
        self.remove_from_in_flight(id, number);
        self.correct_units(&tenant, units, result);
        match outcome {
            Outcome::Completed => self.record_response(&server, class, units, result),
            Outcome::Rejected => {
                let sample = LatencySample::Complete;
                self.servers.record_latency(context!(self), &server, class, REJECTION_SLOWNESS, sample);
            }
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => {
                self.servers.record_failure(context!(self), &server);
            }
            Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => {}
        }
        if finished || was_done {
            return self.finish(id, actions);
        }
        let has_open_attempt = self.requests.get(&id).is_some_and(OpenRequest::has_open_attempt);
        if !has_open_attempt && !self.try_retry(id, actions) {
            self.finish_without_retry(id, actions);
        }
    }

    /// Releases the tenant's in-flight slot. If requests are post-paid, replaces the estimated units by the actual units
    /// of the response.
    fn correct_units(&mut self, tenant: &str, estimate: f64, result: &AttemptResult) {
        let now = self.now;
        let actual = result.units.unwrap_or(0.0);
        let must_correct = result.outcome == Outcome::Completed && actual > 0.0 && self.settings.post_paid;
        let Some(tenant) = self.quotas.get_mut(tenant) else { return };
        tenant.in_flight = tenant.in_flight.saturating_sub(1);
        if must_correct {
            tenant.tokens -= actual - estimate;
            let correction = if now < tenant.next_report { actual - estimate } else { 0.0 };
            tenant.unreported_admitted = (tenant.unreported_admitted + correction).max(0.0);
        }
    }

    /// Records a completed response for its server, the mean latency of its class, and the retry budget.
    fn record_response(&mut self, server: &ServerId, class: usize, units: f64, result: &AttemptResult) {
        let latency = result.elapsed / units.max(1.0);
        let ratio = latency / self.mean_latency[class].max(MIN_LATENCY);
        self.servers.record_latency(context!(self), server, class, ratio, LatencySample::Complete);
        self.mean_latency[class] = moving_average(self.mean_latency[class], latency, MEAN_LATENCY_GAIN);
        if result.attempt > 0 && result.elapsed < self.settings.classes[class].target_latency {
            self.retry_budget.record_success();
        }
        if let Some(server) = self.servers.get_mut(server) {
            server.record_success(self.now);
        }
    }

    /// Gives the final response to a request that is not retried. It is rejected if the client may safely retry it, and
    /// failed otherwise.
    fn finish_without_retry(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.done) else { return };
        let class = &self.settings.classes[request.class];
        if is_safe_to_retry(class) || request.first_possible_execution().is_none() {
            return self.reject_overloaded(id, actions);
        }
        actions.push(Action::Fail { id });
        self.finish(id, actions);
    }

    /// Marks a request as done, cancels its open attempts, and removes it once all its attempts have their outcomes.
    pub(super) fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.done && self.settings.may_cancel && !request.streaming {
            let open = request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_open);
            actions.extend(open.map(|(number, _)| Action::Cancel { id, attempt: number as u32 }));
        }
        request.done = true;
        if !request.has_open_attempt() {
            self.requests.remove(&id);
        }
    }
}

/// Returns whether clients may retry requests of a class that may have executed. The retry can reach any limiter, and
/// through it any server.
fn is_safe_to_retry(class: &Class) -> bool {
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed => class.scope == Scope::All,
        Idempotency::NonIdempotent => false,
    }
}
