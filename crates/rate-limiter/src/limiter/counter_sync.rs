//! The exchange of tenants' demand with the other limiters, through numbers on the counter service.
//!
//! Each limiter adds the units that it has admitted and rejected to one number per tenant and window, off the request
//! path, and reads the total back. Both parts are packed into one number, in steps, so that it stays within the digits
//! that the counter holds exactly.

use super::quota::{counter_name, is_scattered, mean_rate, CounterState, Tenant, Totals};
use super::{moving_average, Context};
use crate::interface::{Action, CounterResponse, Outcome, Plan, Settings};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The least seconds between two reports of a tenant.
pub(super) const REPORT_INTERVAL: f64 = 0.5;
/// The jitter of that interval.
const REPORT_JITTER: f64 = 0.2;
/// Seconds that share one number on the counter. Lost and doubled additions are forgotten with it.
pub(super) const COUNTER_WINDOW: f64 = 20.0;
/// Windows after which the counter forgets a number, and the most seconds that it keeps one.
const COUNTER_TTL_WINDOWS: f64 = 2.0;
const MAX_COUNTER_TTL: f64 = 60.0;
/// Rates are averaged over this many mean report intervals ...
const AVERAGING_REPORTS: f64 = 4.0;
/// ... but over this fraction of a window at most.
const MAX_AVERAGING_WINDOWS: f64 = 0.5;
/// The weight of one report interval in their mean.
const REPORT_INTERVAL_GAIN: f64 = 0.3;
/// Failed calls in a row after which the counter counts as down.
const MAX_COUNTER_FAILURES: u32 = 3;
/// The fraction of requests that call the counter, at first.
const INITIAL_SAMPLING_RATE: f64 = 0.5;
/// The least fraction of requests that call the counter.
const MIN_SAMPLING_RATE: f64 = 0.03;
/// What a quick response adds to the sampling rate.
const SAMPLING_RATE_INCREASE: f64 = 0.02;
/// The factor by which a slow or missing response lowers it.
const SAMPLING_RATE_DECREASE: f64 = 0.85;
/// The fraction of the counter's time-out within which a response is quick. The network alone may take half of it.
const QUICK_RESPONSE: f64 = 0.7;
/// Steps of a total below this are units admitted, those above units rejected (seven digits are exact).
const PACKING_BASE: f64 = 2_000.0;
const MAX_REJECTED_STEPS: f64 = 4_999.0;
/// The multiple of the quota for a window that the steps leave room for.
const HEADROOM: f64 = 3.0;

/// A report to the counter that has no response yet.
pub(super) struct Report {
    pub(super) tenant: Arc<str>,
    window: i64,
    /// The steps that were added.
    used: f64,
    rejected: f64,
}

/// The demand of a tenant over all limiters, as its totals tell it.
pub(super) struct CountedDemand {
    pub(super) units: f64,
    pub(super) seconds: f64,
}

/// The calls to the counter.
pub(super) struct CounterSync {
    reports: BTreeMap<String, Report>,
    /// Failed calls in a row.
    failures: u32,
    /// When a counter that is down may be called next.
    retry_at: f64,
    /// The fraction of requests that call the counter.
    sampling_rate: f64,
}

impl CounterSync {
    pub(super) fn new(now: f64) -> Self {
        CounterSync {
            reports: BTreeMap::new(),
            failures: 0,
            retry_at: now,
            sampling_rate: INITIAL_SAMPLING_RATE,
        }
    }

    /// Returns whether the counter responds.
    pub(super) fn is_up(&self) -> bool {
        self.failures < MAX_COUNTER_FAILURES
    }

    /// Returns the fraction of requests that call the counter.
    pub(super) fn sampling_rate(&self) -> f64 {
        self.sampling_rate
    }

    /// Reports the units of a request.
    ///
    /// A sample of the requests calls the counter and stands for all, so that the counter can bear hundreds of
    /// limiters. For an interval after a call all units are accumulated. Rejected requests are more likely to call: the
    /// response decides the client's next try.
    pub(super) fn report(
        &mut self,
        context: Context<'_>,
        key: &Arc<str>,
        tenant: &mut Tenant,
        units: f64,
        admitted: bool,
        rng: &mut fastrand::Rng,
    ) -> Option<Action> {
        let Context { settings, now } = context;
        let plan = &settings.plans[tenant.plan];
        if !settings.has_counter || plan.rate <= 0.0 {
            return None;
        }
        let chance = if admitted { self.sampling_rate } else { (2.0 * self.sampling_rate).min(1.0) };
        let must_wait =
            tenant.is_reporting || now < tenant.next_report || (!self.is_up() && now < self.retry_at);
        if !must_wait && rng.f64() >= chance {
            return None;
        }
        let accumulated =
            if admitted { &mut tenant.unreported_used } else { &mut tenant.unreported_rejected };
        *accumulated += if must_wait { units } else { units / chance };
        if must_wait {
            return None;
        }
        // One call per interval tells whether a counter that is down is back.
        self.retry_at = now + REPORT_INTERVAL;
        Some(self.send_report(key, tenant, plan, now, rng.f64()))
    }

    /// Reports all accumulated units to the counter. `draw` is a random number from 0 to 1.
    fn send_report(
        &mut self,
        key: &Arc<str>,
        tenant: &mut Tenant,
        plan: &Plan,
        now: f64,
        draw: f64,
    ) -> Action {
        let window = (now / COUNTER_WINDOW).floor() as i64;
        let counted = tenant.counted.in_window(window);
        let step = step_units(plan);
        let steps = |units: f64, counted: f64, max: f64| {
            let rounding = if units % step == 0.0 { 0.0 } else { draw };
            (units / step + rounding).floor().clamp(0.0, max_added_steps(counted, max, tenant.limiters))
        };
        let used = steps(tenant.unreported_used, counted.used, PACKING_BASE - 1.0);
        let rejected = steps(tenant.unreported_rejected, counted.rejected, MAX_REJECTED_STEPS);
        tenant.unreported_used = 0.0;
        tenant.unreported_rejected = 0.0;
        tenant.is_reporting = true;
        tenant.next_report = now + REPORT_INTERVAL * (1.0 - REPORT_JITTER / 2.0 + REPORT_JITTER * draw);
        let name = counter_name(key, window);
        self.reports.insert(name.clone(), Report { tenant: key.clone(), window, used, rejected });
        Action::AddToCounter {
            name,
            amount: used + rejected * PACKING_BASE,
            ttl: (COUNTER_WINDOW * COUNTER_TTL_WINDOWS).min(MAX_COUNTER_TTL),
        }
    }

    /// Records how the counter responds.
    pub(super) fn record_response(&mut self, settings: &Settings, response: &CounterResponse) {
        let completed = response.outcome == Outcome::Completed;
        let is_quick = completed && response.elapsed <= QUICK_RESPONSE * settings.counter_timeout;
        self.sampling_rate = match is_quick {
            true => self.sampling_rate + SAMPLING_RATE_INCREASE,
            false => self.sampling_rate * SAMPLING_RATE_DECREASE,
        };
        self.sampling_rate = self.sampling_rate.clamp(MIN_SAMPLING_RATE, 1.0);
        if response.outcome != Outcome::Rejected {
            self.failures = if completed { 0 } else { self.failures.saturating_add(1) };
        }
    }

    /// Removes the report that a response is for, if there is one.
    pub(super) fn take_report(&mut self, name: &str) -> Option<Report> {
        self.reports.remove(name)
    }
}

/// Returns how many units one step of the packed number stands for.
fn step_units(plan: &Plan) -> f64 {
    ((COUNTER_WINDOW * plan.rate * HEADROOM + plan.burst) / PACKING_BASE).max(1.0)
}

/// Returns the most steps that one call adds. Each limiter adds its share of half the digits at most, and nothing once
/// those are half full: with a call of every limiter open, they still do not overflow.
fn max_added_steps(counted: f64, max: f64, limiters: f64) -> f64 {
    if counted > max / 2.0 {
        return 0.0;
    }
    (max / 2.0 / limiters).floor().max(1.0)
}

/// The steps that all limiters together have added to a number since its last response here.
struct CountedSteps {
    used: f64,
    rejected: f64,
}

impl Tenant {
    /// Applies the response to a report, and returns the demand of the tenant if it tells it.
    pub(super) fn apply_response(
        &mut self,
        plan: &Plan,
        now: f64,
        report: &Report,
        response: &CounterResponse,
    ) -> Option<CountedDemand> {
        self.is_reporting = false;
        if response.outcome != Outcome::Completed {
            self.restore_unreported(plan, report, response.outcome);
            return None;
        }
        // The totals are missing until the next difference if the counter has lost its numbers.
        let last = self.totals.take();
        let added = self.record_total(report, response.total)?;
        let window_start = report.window as f64 * COUNTER_WINDOW;
        let since = last.map_or(f64::MIN, |totals| totals.updated_at).max(window_start);
        let span = (now - since).max(REPORT_INTERVAL / 4.0);
        self.totals = Some(self.averaged_totals(plan, now, last, report, &added, span));
        Some(CountedDemand { units: (added.used + added.rejected) * step_units(plan), seconds: span })
    }

    /// Takes the units of a failed report back, so that they are reported again. After a time-out they may have been
    /// added.
    fn restore_unreported(&mut self, plan: &Plan, report: &Report, outcome: Outcome) {
        if outcome == Outcome::Timeout {
            return;
        }
        let step = step_units(plan);
        self.unreported_used += report.used * step;
        self.unreported_rejected += report.rejected * step;
    }

    /// Records the total of a number, and returns what was added to it since the last response. Returns none if that
    /// is less than this limiter's own addition: the counter has lost its numbers.
    fn record_total(&mut self, report: &Report, total: f64) -> Option<CountedSteps> {
        let before = self.counted.in_window(report.window);
        self.counted = unpack(report.window, total);
        let used = self.counted.used - before.used;
        let rejected = self.counted.rejected - before.rejected;
        let is_lost = total < 0.0 || used < report.used || rejected < report.rejected;
        (!is_lost).then_some(CountedSteps { used, rejected })
    }

    /// Returns the totals with what was added in the last `span` seconds.
    fn averaged_totals(
        &mut self,
        plan: &Plan,
        now: f64,
        last: Option<Totals>,
        report: &Report,
        added: &CountedSteps,
        span: f64,
    ) -> Totals {
        // Own demand is spread over all the time since the last report, a part of which lies before the window:
        // otherwise a rare request looks like a large share at the start of a window.
        let own_span = (now - self.last_report).max(REPORT_INTERVAL / 4.0);
        self.last_report = now;
        self.report_interval = moving_average(self.report_interval, own_span, REPORT_INTERVAL_GAIN);
        let averaging_time = (AVERAGING_REPORTS * self.report_interval)
            .clamp(AVERAGING_REPORTS * REPORT_INTERVAL, MAX_AVERAGING_WINDOWS * COUNTER_WINDOW);
        // A tenant that is met seldom is judged by its first totals: those are not averaged with the nothing before
        // them, but over a short time.
        let is_first = last.is_none() && is_scattered(plan, self.limiters);
        let time_constant = if is_first { AVERAGING_REPORTS * REPORT_INTERVAL } else { averaging_time };
        let step = step_units(plan);
        let mean = |mean: f64, steps: f64, span: f64| mean_rate(mean, steps * step, span, time_constant);
        let totals = last.unwrap_or_default();
        Totals {
            own_demand: mean(totals.own_demand, report.used + report.rejected, own_span),
            demand: mean(totals.demand, added.used + added.rejected, span),
            used: mean(totals.used, added.used, span),
            updated_at: now,
            averaging_time,
        }
    }
}

fn unpack(window: i64, total: f64) -> CounterState {
    CounterState {
        window,
        used: (total % PACKING_BASE).max(0.0),
        rejected: (total / PACKING_BASE).floor().max(0.0),
    }
}
