//! Tenant quotas: one token bucket per tenant, refilled at this limiter's share of the tenant's quota.
//!
//! The share is proportional to this limiter's part of the tenant's total demand, which the counter service provides.
//! Without recent totals, the quota is divided evenly among the tenant's limiters.

use super::counter_sync::CounterSync;
use super::heavy_hitters::{HeavyHitters, GRANTED_QUOTA_FRACTION};
use super::{hash, moving_average, Context};
use crate::interface::{Action, CounterResponse, Outcome, Plan, Settings};
use std::collections::BTreeMap;
use std::sync::Arc;

pub(super) use super::counter_sync::COUNTER_WINDOW;

/// The number of requests, divided evenly among the limiters, that is added to the measured demand when shares are
/// computed. It keeps a single request from changing a share much.
const PRIOR_REQUESTS: f64 = 2.0;
/// The age in counter windows after which totals are treated as missing, even while the counter responds.
const MAX_TOTALS_AGE_WINDOWS: f64 = 2.0;
/// Seconds without a request after which a tenant with a full bucket may be evicted. Also the interval in seconds
/// between checks for such tenants.
const IDLE_TIME: f64 = 60.0;
/// The fraction of the plan's burst that a bucket smaller than one request may borrow if the quota is completely idle.
/// The borrowed amount is proportional to the idle fraction of the quota.
const SMALL_BUCKET_BORROWED_BURST: f64 = 0.7;
/// The fraction of its own burst that any other bucket may borrow if the quota is completely idle. The borrowed amount
/// is proportional to the idle fraction of the quota.
const BORROWED_BURST: f64 = 0.3;
/// Minimum divisor, which avoids division by zero.
const EPSILON: f64 = 1e-9;

/// The latest known totals of a tenant over all limiters. Rates are in units per second.
#[derive(Clone, Copy, Default)]
pub(super) struct Totals {
    /// The demand at this limiter, admitted and rejected.
    pub(super) own_demand: f64,
    /// The demand at all limiters, admitted and rejected.
    pub(super) demand: f64,
    /// The admitted part of `demand`.
    pub(super) admitted: f64,
    pub(super) updated_at: f64,
    /// The time constant of the averaged rates, in seconds.
    pub(super) averaging_time: f64,
}

/// The state of a tenant at this limiter.
#[derive(Default)]
pub(super) struct Tenant {
    /// The index of the plan.
    pub(super) plan: usize,
    /// The number of limiters that receive requests of the tenant.
    pub(super) limiters: f64,
    /// Available units of this limiter's share of the quota. Negative after borrowing, or after the units of a
    /// post-paid request were corrected upwards.
    pub(super) tokens: f64,
    /// When the bucket was last refilled.
    refilled_at: f64,
    /// Available units of this limiter's share of the hard rate limit.
    hard_tokens: f64,
    /// Attempts in flight from this limiter.
    pub(super) in_flight: u32,
    /// Units admitted and rejected that are not yet reported to the counter.
    pub(super) unreported_admitted: f64,
    pub(super) unreported_rejected: f64,
    /// Whether a report to the counter is awaiting its response.
    pub(super) is_reporting: bool,
    /// The earliest time of the next report.
    pub(super) next_report: f64,
    pub(super) last_report: f64,
    /// The mean time between two reports, in seconds.
    pub(super) report_interval: f64,
    /// The latest response of the counter.
    pub(super) counted: CounterState,
    /// `None` until the first counter response, and after the counter has lost its numbers.
    pub(super) totals: Option<Totals>,
}

/// The decoded value of a tenant's counter: the steps admitted and rejected in one window. See
/// [`counter_sync`](super::counter_sync) for steps and windows.
#[derive(Clone, Copy)]
pub(super) struct CounterState {
    pub(super) window: i64,
    pub(super) admitted: f64,
    pub(super) rejected: f64,
}

impl Default for CounterState {
    fn default() -> Self {
        CounterState { window: i64::MIN, admitted: 0.0, rejected: 0.0 }
    }
}

impl CounterState {
    /// Returns the state in a window, which is zero if this state belongs to another window.
    pub(super) fn in_window(self, window: i64) -> CounterState {
        match self.window == window {
            true => self,
            false => CounterState { window, admitted: 0.0, rejected: 0.0 },
        }
    }
}

/// The result of refilling a bucket.
struct Refilled {
    /// This limiter's share of the quota, in units per second.
    rate: f64,
    /// Units by which the bucket may currently be overdrawn.
    borrowed_burst: f64,
}

/// The error for a request that exceeds its tenant's quota.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaExceeded {
    /// Seconds after which the client may retry.
    pub(super) retry_after: f64,
}

/// Returns this limiter's share of a quota, in units per second. It is proportional to this limiter's share of the
/// demand, and is raised by the unused part of the quota up to an even share.
fn quota_share(quota: f64, limiters: f64, request_units: f64, totals: Option<&Totals>) -> f64 {
    let even_share = quota / limiters.max(1.0);
    let Some(totals) = totals.filter(|totals| totals.demand > 0.0) else { return even_share };
    let prior = PRIOR_REQUESTS * request_units;
    let weight = (totals.own_demand * totals.averaging_time + prior / limiters.max(1.0))
        / (totals.demand * totals.averaging_time + prior);
    let weighted = quota * weight.clamp(0.0, 1.0);
    weighted.max(even_share.min(weighted + (quota - totals.admitted).max(0.0)))
}

/// Returns whether the plan's burst, divided among the tenant's limiters, is less than one unit at each limiter. Since a
/// new bucket always holds at least one request, nearly every request then meets a bucket that admits it, at a limiter
/// without totals for the tenant.
pub(super) fn has_fractional_burst(plan: &Plan, limiters: f64) -> bool {
    plan.rate > 0.0 && plan.burst / limiters < 1.0
}

impl Tenant {
    fn new(context: Context<'_>, plan_index: usize, limiters: f64, units: f64, started_at: f64) -> Self {
        let plan = &context.settings.plans[plan_index];
        let age = context.now - started_at;
        Tenant {
            plan: plan_index,
            limiters,
            tokens: (plan.burst / limiters).max(units),
            refilled_at: context.now,
            // The hard rate limit starts without tokens and accrues them from the start of the limiter. Otherwise each
            // restart would grant the whole burst again.
            hard_tokens: (plan.hard_rate / limiters * age).min(plan.hard_burst / limiters),
            next_report: context.now,
            last_report: started_at,
            report_interval: super::counter_sync::REPORT_INTERVAL,
            ..Tenant::default()
        }
    }

    /// Returns the totals, or `None` if they are missing or stale, or the counter is down.
    fn known_totals(&self, counter_is_up: bool, now: f64) -> Option<&Totals> {
        let is_recent = |totals: &&Totals| now - totals.updated_at <= MAX_TOTALS_AGE_WINDOWS * COUNTER_WINDOW;
        self.totals.as_ref().filter(|totals| counter_is_up && is_recent(totals))
    }

    /// Refills the buckets of the quota and of the hard rate limit. If the burst of the quota shrinks, tokens above it
    /// are kept.
    fn refill(&mut self, plan: &Plan, units: f64, counter_is_up: bool, now: f64) -> Refilled {
        let known = self.known_totals(counter_is_up, now).copied();
        let rate = quota_share(plan.rate, self.limiters, units, known.as_ref());
        let burst = rate * plan.burst / plan.rate.max(EPSILON);
        let refilled = self.tokens + rate * (now - self.refilled_at);
        self.tokens = refilled.min(burst.max(units).max(self.tokens));
        let (hard_rate, hard_burst) = (plan.hard_rate / self.limiters, plan.hard_burst / self.limiters);
        self.hard_tokens = (self.hard_tokens + hard_rate * (now - self.refilled_at)).min(hard_burst);
        self.refilled_at = now;
        // Without borrowing, a bucket smaller than one request would reject most requests even if the quota is idle. The
        // shares of other buckets lag behind when load moves to this limiter, after a restart, and after lost counter
        // calls. The amount is limited because many limiters can borrow the same idle units within one report interval,
        // which exceeds the quota.
        let idle = known.map_or(0.0, |totals| (1.0 - totals.admitted / plan.rate.max(EPSILON)).max(0.0));
        let max_borrowed_burst =
            if burst < units { SMALL_BUCKET_BORROWED_BURST * plan.burst } else { BORROWED_BURST * burst };
        Refilled { rate, borrowed_burst: max_borrowed_burst * idle }
    }

    /// Returns whether the tenant can be evicted: it is idle, and the buckets of its quota and of its hard rate limit
    /// would be full after a refill.
    fn can_be_evicted(&self, context: Context<'_>) -> bool {
        let plan = &context.settings.plans[self.plan];
        let idle_time = context.now - self.refilled_at;
        let missing = (plan.burst / self.limiters).max(context.settings.max_units) - self.tokens;
        let is_full =
            idle_time * plan.rate / self.limiters >= missing && idle_time * plan.hard_rate >= plan.hard_burst;
        let is_busy = self.is_reporting || self.in_flight > 0 || idle_time < IDLE_TIME;
        let has_quota = plan.rate.max(plan.hard_rate) > 0.0;
        !is_busy && (!has_quota || is_full)
    }
}

/// The quotas of all tenants at this limiter.
pub(super) struct Quotas {
    started_at: f64,
    tenants: BTreeMap<Arc<str>, Tenant>,
    counter: CounterSync,
    heavy_hitters: HeavyHitters,
}

impl Quotas {
    pub(super) fn new(settings: &Settings, now: f64) -> Self {
        Quotas {
            started_at: now,
            tenants: BTreeMap::new(),
            counter: CounterSync::new(now),
            heavy_hitters: HeavyHitters::new(settings),
        }
    }

    pub(super) fn get(&self, key: &str) -> Option<&Tenant> {
        self.tenants.get(key)
    }

    pub(super) fn get_mut(&mut self, key: &str) -> Option<&mut Tenant> {
        self.tenants.get_mut(key)
    }

    /// Inserts a tenant if it is unknown, and updates the number of limiters that receive its requests.
    pub(super) fn upsert(
        &mut self,
        context: Context<'_>,
        key: &Arc<str>,
        plan: usize,
        limiters: u32,
        units: f64,
    ) {
        let limiters = f64::from(limiters.clamp(1, context.settings.limiter_count.max(1)));
        let started_at = self.started_at;
        let tenant = self.tenants.entry(key.clone());
        let tenant = tenant.or_insert_with(|| Tenant::new(context, plan, limiters, units, started_at));
        tenant.limiters = limiters;
    }

    /// Checks whether the quota allows a request. If the request is then sent, the caller must call [`Quotas::consume`].
    ///
    /// # Errors
    /// [`QuotaExceeded`] if the quota does not allow it.
    pub(super) fn check(
        &mut self,
        context: Context<'_>,
        key: &Arc<str>,
        units: f64,
        is_retry: bool,
        rng: &mut fastrand::Rng,
    ) -> Result<(), QuotaExceeded> {
        let counter_is_up = self.counter.is_up();
        let exceeded = |retry_after| Err(QuotaExceeded { retry_after });
        let Some(tenant) = self.tenants.get_mut(key) else { return exceeded(0.0) };
        let plan = &context.settings.plans[tenant.plan];
        let fractional_burst = has_fractional_burst(plan, tenant.limiters);
        if is_retry && tenant.totals.is_none() && fractional_burst {
            // Another limiter rejected the request, because it had totals for the tenant or because the servers were
            // overloaded. Without this check, each of hundreds of limiters would admit one such retry. After the
            // returned delay, the whole quota has accrued enough units for the request.
            return exceeded(units / plan.rate);
        }
        // A limiter that receives few requests of a tenant cannot enforce a small share with tokens. If the tenant
        // exceeds its quota, the limiter admits each request with the probability that the quota allows.
        let over_quota = tenant.known_totals(counter_is_up, context.now);
        let over_quota = over_quota.filter(|totals| totals.demand > plan.rate);
        let own_fraction = over_quota.map(|totals| GRANTED_QUOTA_FRACTION * plan.rate / totals.demand);
        let admitted_fraction = self
            .heavy_hitters
            .admitted_fraction(key, context.now)
            .or(own_fraction)
            .filter(|_| fractional_burst);
        if admitted_fraction.is_some_and(|fraction| rng.f64() >= fraction) {
            return exceeded(units / plan.rate);
        }
        let Refilled { rate, borrowed_burst } = tenant.refill(plan, units, counter_is_up, context.now);
        if plan.rate > 0.0 && tenant.tokens + borrowed_burst < units {
            // If the quota is partly idle, new totals may admit the request before the bucket is refilled.
            let refill_time = (units - tenant.tokens - borrowed_burst) / rate.max(1e-3);
            let next_totals = (tenant.next_report - context.now).max(0.0);
            return exceeded(if borrowed_burst > 0.0 { refill_time.min(next_totals) } else { refill_time });
        }
        if plan.hard_rate > 0.0 && tenant.hard_tokens < units {
            return exceeded((units - tenant.hard_tokens) / (plan.hard_rate / tenant.limiters));
        }
        Ok(())
    }

    /// Deducts the units of a request that is sent.
    pub(super) fn consume(&mut self, key: &str, units: f64) {
        if let Some(tenant) = self.tenants.get_mut(key) {
            tenant.tokens -= units;
            tenant.hard_tokens -= units;
        }
    }

    /// Returns whether a tenant has reached this limiter's share of the plan's in-flight limit. The share is at least
    /// one attempt.
    pub(super) fn is_at_in_flight_limit(&self, context: Context<'_>, key: &str) -> bool {
        let Some(tenant) = self.tenants.get(key) else { return true };
        let even_share = 1.0 / tenant.limiters;
        let max_in_flight = context.settings.plans[tenant.plan].max_in_flight;
        let totals = tenant.totals.filter(|totals| totals.demand > 0.0);
        let share = totals.map_or(even_share, |totals| totals.own_demand / totals.demand);
        max_in_flight > 0.0
            && f64::from(tenant.in_flight) >= (max_in_flight * share.max(even_share)).round().max(1.0)
    }

    /// Reports the units of a request to the counter, either now or together with a later request.
    pub(super) fn report(
        &mut self,
        context: Context<'_>,
        key: &Arc<str>,
        units: f64,
        admitted: bool,
        rng: &mut fastrand::Rng,
    ) -> Option<Action> {
        let tenant = self.tenants.get_mut(key)?;
        self.counter.report(context, key, tenant, units, admitted, rng)
    }

    /// Handles a response of the counter. Returns a follow-up call to the counter, if one is necessary.
    pub(super) fn counter_response(
        &mut self,
        context: Context<'_>,
        response: &CounterResponse,
        rng: &mut fastrand::Rng,
    ) -> Option<Action> {
        self.counter.record_response(context.settings, response);
        let Some(report) = self.counter.take_report(&response.name) else {
            let total = (response.outcome == Outcome::Completed).then_some(response.total);
            let sampling_rate = self.counter.sampling_rate();
            return self.heavy_hitters.counter_response(
                &response.name,
                total,
                context.now,
                sampling_rate,
                rng,
            );
        };
        let tenant = self.tenants.get_mut(&report.tenant)?;
        let plan = &context.settings.plans[tenant.plan];
        let demand = tenant.apply_response(plan, context.now, &report, response);
        if let Some(demand) = demand.filter(|_| has_fractional_burst(plan, tenant.limiters)) {
            self.heavy_hitters.record_demand(&report.tenant, plan, &demand);
        }
        None
    }

    /// Continues reading the list of heavy hitters. Must be called once per tick.
    pub(super) fn read_heavy_hitters(
        &mut self,
        context: Context<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<Action> {
        self.counter.is_up().then(|| self.heavy_hitters.tick(context.now, rng)).flatten()
    }

    /// Evicts idle tenants whose quota and hard rate limit would be full again. Evicting a tenant sooner would reset its
    /// partly used buckets. Does nothing unless a multiple of [`IDLE_TIME`] has passed since the last tick.
    pub(super) fn evict_idle_tenants(&mut self, context: Context<'_>, last_tick: f64) {
        if (context.now / IDLE_TIME).floor() > (last_tick / IDLE_TIME).floor() {
            self.tenants.retain(|_, tenant| !tenant.can_be_evicted(context));
        }
    }
}

/// Returns the name of a tenant's counter for a window.
pub(super) fn counter_name(key: &str, window: i64) -> String {
    format!("{:016x}.{window}", hash(key))
}

/// Returns the moving average of a rate, in units per second, after `units` were added in `span` seconds.
pub(super) fn mean_rate(mean: f64, units: f64, span: f64, averaging_time: f64) -> f64 {
    moving_average(mean, units / span, 1.0 - (-span / averaging_time).exp())
}
