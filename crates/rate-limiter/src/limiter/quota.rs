//! The quotas of tenants: token buckets, each filled by this limiter's share of the quota.
//!
//! The share of the quota is this limiter's share of the tenant's demand, as the counter tells it. Without recent
//! totals it is an even share.

use super::counter_sync::CounterSync;
use super::heavy_hitters::{HeavyHitters, LISTED_FRACTION};
use super::{hash, moving_average, Context};
use crate::interface::{Action, CounterResponse, Outcome, Plan, Settings};
use std::collections::BTreeMap;
use std::sync::Arc;

pub(super) use super::counter_sync::COUNTER_WINDOW;

/// Requests of even demand that every share starts with, so that one request of many is no share.
const PRIOR_REQUESTS: f64 = 2.0;
/// Counter windows after which totals count as missing while the counter responds.
const STALE_WINDOWS: f64 = 2.0;
/// Seconds without a request after which a tenant whose bucket is full may be forgotten, and between checks for them.
const IDLE_TIME: f64 = 60.0;
/// As far as the quota is idle, the fraction of the plan's burst that a bucket of less than one request may borrow.
const SMALL_BUCKET_BORROWED_BURST: f64 = 0.7;
/// As far as the quota is idle, the fraction of its own burst that any other bucket may borrow.
const BORROWED_BURST: f64 = 0.3;
/// Divisors are at least this.
const EPSILON: f64 = 1e-9;

/// The totals of a tenant over all limiters, as this limiter last learned them. Rates are in units per second.
#[derive(Clone, Copy, Default)]
pub(super) struct Totals {
    pub(super) own_demand: f64,
    pub(super) demand: f64,
    pub(super) used: f64,
    pub(super) updated_at: f64,
    /// Seconds over which the rates are averaged.
    pub(super) averaging_time: f64,
}

/// A tenant at this limiter.
#[derive(Default)]
pub(super) struct Tenant {
    /// The index of the plan.
    pub(super) plan: usize,
    /// Limiters that the tenant can come through.
    pub(super) limiters: f64,
    pub(super) tokens: f64,
    /// When the bucket was refilled last.
    refilled_at: f64,
    /// Tokens of the hard rate limit.
    hard_tokens: f64,
    pub(super) in_flight: u32,
    /// Units to be reported to the counter: admitted, and rejected.
    pub(super) unreported_used: f64,
    pub(super) unreported_rejected: f64,
    /// Whether a call to the counter is open.
    pub(super) is_reporting: bool,
    pub(super) next_report: f64,
    pub(super) last_report: f64,
    /// Mean seconds between two reports.
    pub(super) report_interval: f64,
    /// The latest response of the counter.
    pub(super) counted: CounterState,
    pub(super) totals: Option<Totals>,
}

/// A number on the counter, in steps: those admitted and those rejected in a window.
#[derive(Clone, Copy)]
pub(super) struct CounterState {
    pub(super) window: i64,
    pub(super) used: f64,
    pub(super) rejected: f64,
}

impl Default for CounterState {
    fn default() -> Self {
        CounterState { window: i64::MIN, used: 0.0, rejected: 0.0 }
    }
}

impl CounterState {
    /// Returns the number in a window, which is zero if another one was counted last.
    pub(super) fn in_window(self, window: i64) -> CounterState {
        match self.window == window {
            true => self,
            false => CounterState { window, used: 0.0, rejected: 0.0 },
        }
    }
}

/// A bucket after its refill.
struct Refilled {
    /// This limiter's share of the quota, in units per second.
    rate: f64,
    /// Units that the bucket may borrow.
    borrowed_burst: f64,
}

/// A request that its quota rejects.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaExceeded {
    /// Seconds after which the client may try again.
    pub(super) retry_after: f64,
}

/// Returns this limiter's share of a quota, in units per second: by its share of the demand, raised towards an even
/// share by the part of the quota that is unused.
fn quota_share(quota: f64, limiters: f64, request_units: f64, totals: Option<&Totals>) -> f64 {
    let even_share = quota / limiters.max(1.0);
    let Some(totals) = totals.filter(|totals| totals.demand > 0.0) else { return even_share };
    let prior = PRIOR_REQUESTS * request_units;
    let weight = (totals.own_demand * totals.averaging_time + prior / limiters.max(1.0))
        / (totals.demand * totals.averaging_time + prior);
    let weighted = quota * weight.clamp(0.0, 1.0);
    weighted.max(even_share.min(weighted + (quota - totals.used).max(0.0)))
}

/// Returns whether a plan's burst, spread over a tenant's limiters, is less than the smallest request at each. Nearly
/// every request then finds a bucket that holds one request all the same, and no totals.
pub(super) fn is_scattered(plan: &Plan, limiters: f64) -> bool {
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
            // A restart must not draw the hard rate limit's burst again: the share is empty when the limiter starts.
            hard_tokens: (plan.hard_rate / limiters * age).min(plan.hard_burst / limiters),
            next_report: context.now,
            last_report: started_at,
            report_interval: super::counter_sync::REPORT_INTERVAL,
            ..Tenant::default()
        }
    }

    /// Returns the totals, unless they are missing.
    fn known_totals(&self, counter_is_up: bool, now: f64) -> Option<&Totals> {
        let is_recent = |totals: &&Totals| now - totals.updated_at <= STALE_WINDOWS * COUNTER_WINDOW;
        self.totals.as_ref().filter(|totals| counter_is_up && is_recent(totals))
    }

    /// Refills the bucket, and the share of the hard rate limit. Tokens above a lowered burst are kept.
    fn refill(&mut self, plan: &Plan, units: f64, counter_is_up: bool, now: f64) -> Refilled {
        let known = self.known_totals(counter_is_up, now).copied();
        let rate = quota_share(plan.rate, self.limiters, units, known.as_ref());
        let burst = rate * plan.burst / plan.rate.max(EPSILON);
        let refilled = self.tokens + rate * (now - self.refilled_at);
        self.tokens = refilled.min(burst.max(units).max(self.tokens));
        let (hard_rate, hard_burst) = (plan.hard_rate / self.limiters, plan.hard_burst / self.limiters);
        self.hard_tokens = (self.hard_tokens + hard_rate * (now - self.refilled_at)).min(hard_burst);
        self.refilled_at = now;
        // A bucket of less than one request rejects most requests however idle the quota is. Other buckets lag behind
        // load that moves here, a restart, and lost calls. If many limiters lend the same idle units within a report
        // interval, the quota is exceeded.
        let idle = known.map_or(0.0, |totals| (1.0 - totals.used / plan.rate.max(EPSILON)).max(0.0));
        let max_borrowed_burst =
            if burst < units { SMALL_BUCKET_BORROWED_BURST * plan.burst } else { BORROWED_BURST * burst };
        Refilled { rate, borrowed_burst: max_borrowed_burst * idle }
    }

    /// Returns whether the tenant may be forgotten: its bucket and its hard rate limit would be full.
    fn can_be_forgotten(&self, context: Context<'_>) -> bool {
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

    /// Adds a tenant that is not known, and sets how many limiters it can come through.
    pub(super) fn put(
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

    /// Decides whether the quota allows a request. Must be followed by [`Quotas::take`] if it is sent.
    ///
    /// # Errors
    /// [`QuotaExceeded`] if it does not.
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
        let scattered = is_scattered(plan, tenant.limiters);
        if is_retry && tenant.totals.is_none() && scattered {
            // Rejected by a limiter that knew more, or while the servers were full: each of hundreds of limiters would
            // admit it once. By then the quota itself has grown by as much.
            return exceeded(units / plan.rate);
        }
        // By its share of the quota each limiter would admit that share of what it sees: one that sees little admits by
        // chance.
        let over_quota = tenant.known_totals(counter_is_up, context.now);
        let over_quota = over_quota.filter(|totals| totals.demand > plan.rate);
        let own_fraction = over_quota.map(|totals| LISTED_FRACTION * plan.rate / totals.demand);
        let admitted_fraction =
            self.heavy_hitters.admitted_fraction(key, context.now).or(own_fraction).filter(|_| scattered);
        if admitted_fraction.is_some_and(|fraction| rng.f64() >= fraction) {
            return exceeded(units / plan.rate);
        }
        let Refilled { rate, borrowed_burst } = tenant.refill(plan, units, counter_is_up, context.now);
        if plan.rate > 0.0 && tenant.tokens + borrowed_burst < units {
            // If the quota is idle, the next totals matter more than the time until the bucket is refilled.
            let refill_time = (units - tenant.tokens - borrowed_burst) / rate.max(1e-3);
            let next_totals = (tenant.next_report - context.now).max(0.0);
            return exceeded(if borrowed_burst > 0.0 { refill_time.min(next_totals) } else { refill_time });
        }
        if plan.hard_rate > 0.0 && tenant.hard_tokens < units {
            return exceeded((units - tenant.hard_tokens) / (plan.hard_rate / tenant.limiters));
        }
        Ok(())
    }

    /// Takes the units of a request that is sent.
    pub(super) fn take(&mut self, key: &str, units: f64) {
        if let Some(tenant) = self.tenants.get_mut(key) {
            tenant.tokens -= units;
            tenant.hard_tokens -= units;
        }
    }

    /// Returns whether a tenant has its share of the plan's limit in flight from here; the share is one attempt at
    /// least.
    pub(super) fn is_at_in_flight_limit(&self, context: Context<'_>, key: &str) -> bool {
        let Some(tenant) = self.tenants.get(key) else { return true };
        let even_share = 1.0 / tenant.limiters;
        let max_in_flight = context.settings.plans[tenant.plan].max_in_flight;
        let totals = tenant.totals.filter(|totals| totals.demand > 0.0);
        let share = totals.map_or(even_share, |totals| totals.own_demand / totals.demand);
        max_in_flight > 0.0
            && f64::from(tenant.in_flight) >= (max_in_flight * share.max(even_share)).round().max(1.0)
    }

    /// Reports the units of a request to the counter, now or with a later request.
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

    /// Handles a response of the counter, and returns a further call that follows from it.
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
        let learned = tenant.apply_response(plan, context.now, &report, response);
        if let Some(demand) = learned.filter(|_| is_scattered(plan, tenant.limiters)) {
            self.heavy_hitters.record_demand(&report.tenant, plan, &demand);
        }
        None
    }

    /// Reads the list of heavy hitters on. Due once a tick.
    pub(super) fn read_heavy_hitters(
        &mut self,
        context: Context<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<Action> {
        self.counter.is_up().then(|| self.heavy_hitters.tick(context.now, rng)).flatten()
    }

    /// Forgets tenants without a request for long, whose bucket and hard rate limit would be full: forgotten sooner,
    /// each would get them full again. Does nothing unless a check is due since the last tick.
    pub(super) fn forget_idle_tenants(&mut self, context: Context<'_>, last_tick: f64) {
        if (context.now / IDLE_TIME).floor() > (last_tick / IDLE_TIME).floor() {
            self.tenants.retain(|_, tenant| !tenant.can_be_forgotten(context));
        }
    }
}

/// Returns the name of a tenant's number on the counter in a window.
pub(super) fn counter_name(key: &str, window: i64) -> String {
    format!("{:016x}.{window}", hash(key))
}

/// Returns the mean of a rate after a span of time, in units per second.
pub(super) fn mean_rate(mean: f64, units: f64, span: f64, averaging_time: f64) -> f64 {
    moving_average(mean, units / span, 1.0 - (-span / averaging_time).exp())
}
