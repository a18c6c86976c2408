//! The attempts of a request: sends, slow attempts, retries, and the final response.
//!
//! Invariant: a request that is not idempotent is sent again only if no attempt may have executed it; a keyed one only
//! within the time in which the servers deduplicate it.

use super::admission::ROUND_MARGIN;
use super::outlier_detection::Lateness;
use super::{context, moving_average, Context, Limiter, Timer, MEAN_LATENCY_GAIN, TICK_INTERVAL};
use crate::interface::{
    Action, AttemptResult, Class, Idempotency, Outcome, Request, RequestId, Scope, ServerId,
};
use std::sync::Arc;

/// An attempt is slow after this multiple of the usual latency, ...
const SLOW_FACTOR: f64 = 6.0;
/// ... but not before this fraction of the target latency, ...
const MIN_SLOW_FRACTION: f64 = 0.5;
/// ... and after this fraction of it at the latest.
const MAX_SLOW_FRACTION: f64 = 0.8;
/// The fraction of the deduplication window in which a keyed request may be sent again.
const DEDUPLICATION_FRACTION: f64 = 0.9;
/// The slowness that a server shows by rejecting a request. It responds at once, and would otherwise look like the
/// least loaded.
const REJECTION_SLOWNESS: f64 = 10.0;
/// The least usual latency in seconds.
const MIN_LATENCY: f64 = 1e-6;

/// One send of a request to a server.
pub(super) struct Attempt {
    server: ServerId,
    pub(super) zone: Arc<str>,
    pub(super) cell: i64,
    sent_at: f64,
    /// Whether it has no outcome yet.
    is_open: bool,
    /// Whether it counts as in flight at its server.
    is_counted: bool,
    /// Whether it may have executed, unless its outcome proves the contrary.
    may_have_executed: bool,
}

/// A request that was admitted.
pub(super) struct OpenRequest {
    tenant: Arc<str>,
    /// The index of the class.
    pub(super) class: usize,
    units: f64,
    due: f64,
    pub(super) streaming: bool,
    /// Whether it has its final response, and only outcomes of its attempts are missing.
    pub(super) done: bool,
    attempts: Vec<Attempt>,
}

impl OpenRequest {
    pub(super) fn new(request: &Request, class: usize, units: f64) -> Self {
        OpenRequest {
            tenant: request.tenant.clone(),
            class,
            units,
            due: request.due,
            streaming: false,
            done: false,
            attempts: Vec::new(),
        }
    }

    /// Returns whether the request was sent to a server.
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

    /// Returns until when a keyed request that may have executed may be sent again.
    fn deduplicated_until(&self, context: Context<'_>) -> Option<f64> {
        let class = &context.settings.classes[self.class];
        let first = self.first_possible_execution().filter(|_| class.idempotency == Idempotency::Keyed)?;
        let margin = context.settings.round_interval * ROUND_MARGIN;
        Some(first.sent_at + class.deduplication_window * DEDUPLICATION_FRACTION - margin)
    }
}

impl Limiter {
    /// Sends a request to a server.
    pub(super) fn send(&mut self, id: RequestId, server: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(target) = self.servers.get(&server) else { return };
        // Connecting may take some time: the deduplication window has to hold then too.
        let send_by = request.deduplicated_until(context!(self));
        request.attempts.push(Attempt {
            server: server.clone(),
            zone: target.zone.clone(),
            cell: target.cell,
            sent_at: now,
            is_open: true,
            is_counted: true,
            may_have_executed: true,
        });
        self.servers.record_send(context!(self), &server);
        if let Some(tenant) = self.quotas.get_mut(&request.tenant) {
            tenant.in_flight += 1;
        }
        let target_latency = self.settings.classes[request.class].target_latency;
        let usual = SLOW_FACTOR * self.mean_latency[request.class] * request.units.max(1.0);
        let slow_after = usual.clamp(MIN_SLOW_FRACTION * target_latency, MAX_SLOW_FRACTION * target_latency);
        if now + slow_after < request.due {
            actions.push(Action::SetTimer { at: now + slow_after, token: Timer::SlowAttempt(id).token() });
        }
        actions.push(Action::Send { id, server, timeout: 0.0, send_by });
    }

    /// Returns whether the rules allow to send a request again.
    fn may_retry(&self, request: &OpenRequest) -> bool {
        let class = &self.settings.classes[request.class];
        let has_time = request.due - self.now > self.mean_latency[request.class];
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

    /// Sends a request again, within the retry budget. Returns whether it was sent.
    fn try_retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let seed = self.rng.u64(..);
        let Some(request) = self.requests.get(&id) else { return false };
        if !self.retry_budget.allows_retry() || !self.may_retry(request) {
            return false;
        }
        let Some(server) = self.servers.choose(context!(self), request, seed) else { return false };
        self.retry_budget.take();
        self.send(id, server, actions);
        true
    }

    /// Handles an attempt that may take too long: it counts against the server, and is cancelled in favour of a retry
    /// if the server seems not to respond.
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
            return self.uncount(id, number);
        }
        let next = if was_stalled { self.now + TICK_INTERVAL } else { sent_at + target_latency + round };
        actions.push(Action::SetTimer { at: next, token: Timer::SlowAttempt(id).token() });
        if was_stalled {
            return;
        }
        // A server that has responded since is slow, not lost: if it were ejected, others would get its load.
        if self.servers.get(&server).is_some_and(|state| state.last_success < self.now - elapsed) {
            self.servers.record_failure(context!(self), &server);
        }
        let ratio = elapsed / usual.max(MIN_LATENCY);
        self.servers.record_latency(context!(self), &server, class, ratio, Lateness::Late);
        let is_unresponsive = self.servers.get(&server).is_some_and(|state| state.is_unresponsive(class));
        if may_retry && is_unresponsive && self.settings.may_cancel {
            // Only one attempt may be open: the outcome of this one brings the next.
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

    /// Stops counting an attempt as in flight at its server: it has its outcome, or is so late that it may be lost.
    fn uncount(&mut self, id: RequestId, number: u32) {
        let request = self.requests.get_mut(&id);
        let attempt = request.and_then(|request| request.attempts.get_mut(number as usize));
        let Some(attempt) = attempt else { return };
        if std::mem::take(&mut attempt.is_counted) {
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
        self.uncount(id, number);
        self.correct_units(&tenant, units, result);
        match outcome {
            Outcome::Completed => self.record_response(&server, class, units, result),
            Outcome::Rejected => {
                let responded = Lateness::Responded;
                self.servers.record_latency(context!(self), &server, class, REJECTION_SLOWNESS, responded);
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
            self.give_up(id, actions);
        }
    }

    /// Corrects the units of a tenant by those that a response tells, if they were an estimate.
    fn correct_units(&mut self, tenant: &str, estimate: f64, result: &AttemptResult) {
        let now = self.now;
        let actual = result.units.unwrap_or(0.0);
        let must_correct = result.outcome == Outcome::Completed && actual > 0.0 && self.settings.post_paid;
        let Some(tenant) = self.quotas.get_mut(tenant) else { return };
        tenant.in_flight = tenant.in_flight.saturating_sub(1);
        if must_correct {
            tenant.tokens -= actual - estimate;
            let correction = if now < tenant.next_report { actual - estimate } else { 0.0 };
            tenant.unreported_used = (tenant.unreported_used + correction).max(0.0);
        }
    }

    /// Records the latency of a response.
    fn record_response(&mut self, server: &ServerId, class: usize, units: f64, result: &AttemptResult) {
        let latency = result.elapsed / units.max(1.0);
        let ratio = latency / self.mean_latency[class].max(MIN_LATENCY);
        self.servers.record_latency(context!(self), server, class, ratio, Lateness::Responded);
        self.mean_latency[class] = moving_average(self.mean_latency[class], latency, MEAN_LATENCY_GAIN);
        if result.attempt > 0 && result.elapsed < self.settings.classes[class].target_latency {
            self.retry_budget.record_success();
        }
        if let Some(server) = self.servers.get_mut(server) {
            server.record_success(self.now);
        }
    }

    /// Gives the final response to a request without another attempt: rejected if that is safe to promise, else failed.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.done) else { return };
        let class = &self.settings.classes[request.class];
        if is_safe_to_retry(class) || request.first_possible_execution().is_none() {
            return self.reject_overloaded(id, actions);
        }
        actions.push(Action::Fail { id });
        self.finish(id, actions);
    }

    /// Marks a request as done, cancels its open attempts, and forgets it once all its attempts have their outcomes.
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

/// Returns whether clients may retry requests of a class that may have executed: at any limiter, and so at any server.
fn is_safe_to_retry(class: &Class) -> bool {
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed => class.scope == Scope::All,
        Idempotency::NonIdempotent => false,
    }
}
