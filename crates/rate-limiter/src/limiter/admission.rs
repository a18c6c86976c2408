//! Admission: each request is immediately either sent to a server or rejected; there is no queue. The tenant's quota is
//! checked first, then the load of the servers.

use super::attempts::OpenRequest;
use super::quota::QuotaExceeded;
use super::{context, Context, Limiter, Timer};
use crate::interface::{Action, Request, RequestId};

/// The delay after which a client may retry if the servers were overloaded or did not respond, as a multiple of
/// [`Context::time_scale`]. By then, much of the queue has been processed.
const RETRY_AFTER: f64 = 0.5;
/// Scales up the shed probability of classes with a lower value per second of work than the best class.
const LOW_VALUE_SHED_FACTOR: f64 = 4.0;
/// Multiplies the shed probability of requests that are likely to exceed their tenant's quota.
const OVER_QUOTA_SHED_FACTOR: f64 = 4.0;
/// How early a timer fires before a deadline, in multiples of `Settings::round_interval`.
pub(super) const TIMER_MARGIN_ROUNDS: f64 = 2.0;

impl Limiter {
    /// Admits a request and sends it to a server, or rejects it.
    pub(super) fn admit(&mut self, request: Request, actions: &mut Vec<Action>) {
        let class = self.settings.classes.iter().position(|class| *class.name == *request.class);
        let plan = self.settings.plans.iter().position(|plan| *plan.name == *request.plan);
        let (Some(class), Some(plan)) = (class, plan) else {
            return self.reject(request.id, 0.0, actions);
        };
        let final_response_at = request.deadline - TIMER_MARGIN_ROUNDS * self.settings.round_interval;
        if final_response_at <= self.now {
            // The client no longer waits for the response, so that executing the request would be wasted work.
            return self.reject_overloaded(request.id, actions);
        }
        let (units, key) = (request.units.max(0.0), &request.tenant);
        self.retry_budget.record_request();
        self.quotas.upsert(context!(self), key, plan, request.tenant_limiters, units);
        let checked = self.quotas.check(context!(self), key, units, request.is_retry, &mut self.rng);
        if let Err(QuotaExceeded { retry_after }) = checked {
            if !request.is_retry {
                // The demand of a retry was already counted by the limiter that received the first try.
                actions.extend(self.quotas.report(context!(self), key, units, false, &mut self.rng));
            }
            return self.reject(request.id, retry_after, actions);
        }
        let open = OpenRequest::new(&request, class, units);
        let seed = self.rng.u64(..);
        let is_shed = self.shed_probability(&request, class, plan) > self.rng.f64();
        let is_rejected = is_shed || self.quotas.is_at_in_flight_limit(context!(self), key);
        let server = if is_rejected { None } else { self.servers.choose(context!(self), &open, seed) };
        let Some(server) = server else { return self.reject_overloaded(request.id, actions) };
        self.quotas.consume(key, units);
        actions.extend(self.quotas.report(context!(self), key, units, true, &mut self.rng));
        self.requests.insert(request.id, open);
        actions.push(Action::SetTimer { at: final_response_at, token: Timer::Deadline(request.id).token() });
        self.send(request.id, server, actions);
    }

    /// Returns the probability of shedding a request. It is 0 unless the servers are overloaded, and higher for classes
    /// with a low value per second of work and for requests that are likely to exceed their tenant's quota.
    ///
    /// A request is likely to exceed the quota if its tenant's demand does. If no totals are known for the tenant, this
    /// holds for retries, most of which another limiter rejected because of the quota.
    fn shed_probability(&self, request: &Request, class: usize, plan: usize) -> f64 {
        let value = |class: usize| self.settings.classes[class].value / self.mean_latency[class].max(1e-6);
        let best = (0..self.mean_latency.len()).map(value).fold(0.0, f64::max);
        let value_factor = 1.0 + LOW_VALUE_SHED_FACTOR * (1.0 - value(class) / best.max(1e-9));
        let rate = self.settings.plans[plan].rate;
        let totals = self.quotas.get(&request.tenant).and_then(|tenant| tenant.totals);
        let is_over_quota = rate > 0.0 && totals.map_or(request.is_retry, |totals| totals.demand > rate);
        let quota_factor = if is_over_quota { OVER_QUOTA_SHED_FACTOR } else { 1.0 };
        self.servers.load.shed_fraction() * value_factor * quota_factor
    }

    /// Rejects a request because the servers are overloaded or do not respond.
    pub(super) fn reject_overloaded(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let retry_after = RETRY_AFTER * context!(self).time_scale();
        self.reject(id, retry_after, actions);
    }

    /// Rejects a request, which the client may safely retry after `retry_after` seconds.
    fn reject(&mut self, id: RequestId, retry_after: f64, actions: &mut Vec<Action>) {
        let retry_after = match self.settings.may_send_retry_after {
            true => retry_after.clamp(0.0, self.settings.max_retry_after.max(0.0)),
            false => 0.0,
        };
        actions.push(Action::Reject { id, retry_after });
        self.finish(id, actions);
    }
}
