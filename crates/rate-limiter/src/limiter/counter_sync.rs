//! Shares the demand of tenants with the other limiters through the counter service.
//!
//! Each limiter adds the units that it has admitted and rejected to one counter per tenant and time window, outside the
//! request path, and reads back the total. The admitted and the rejected units are quantized to steps and packed into
//! one number, so that it does not exceed the digits that the counter stores exactly.

use super::quota::{counter_name, has_fractional_burst, mean_rate, CounterState, Tenant, Totals};
use super::{moving_average, Context};
use crate::interface::{Action, CounterResponse, Outcome, Plan, Settings};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Seconds between two reports of a tenant, apart from jitter.
pub(super) const REPORT_INTERVAL: f64 = 0.5;
/// The jitter of the report interval: it varies over this fraction of [`REPORT_INTERVAL`], centred on it.
const REPORT_JITTER: f64 = 0.2;
/// The length of a counter window in seconds. Each window has its own counter, so that the errors of lost and repeated
/// additions end with the window.
pub(super) const COUNTER_WINDOW: f64 = 20.0;
/// The time to live of a counter, in windows.
const COUNTER_TTL_WINDOWS: f64 = 2.0;
/// Maximum time to live of a counter, in seconds.
const MAX_COUNTER_TTL: f64 = 60.0;
/// The time constant of averaged rates, in mean report intervals.
const AVERAGING_REPORTS: f64 = 4.0;
/// Maximum time constant of averaged rates, in counter windows.
const MAX_AVERAGING_WINDOWS: f64 = 0.5;
/// The weight of one report interval in the moving average of the intervals.
const REPORT_INTERVAL_GAIN: f64 = 0.3;
/// Consecutive failed calls after which the counter is considered down.
const MAX_COUNTER_FAILURES: u32 = 3;
/// The initial fraction of requests that call the counter.
const INITIAL_SAMPLING_RATE: f64 = 0.5;
/// Minimum fraction of requests that call the counter.
const MIN_SAMPLING_RATE: f64 = 0.03;
/// The amount that a quick response adds to the sampling rate.
const SAMPLING_RATE_INCREASE: f64 = 0.02;
/// The factor by which a slow or missing response multiplies the sampling rate.
const SAMPLING_RATE_DECREASE: f64 = 0.85;
/// A response is quick if it takes at most this fraction of the counter timeout. The network alone may take half of the
/// timeout.
const QUICK_RESPONSE_FRACTION: f64 = 0.7;
/// A total is `admitted steps + PACKING_BASE * rejected steps`. The counter stores seven digits exactly.
const PACKING_BASE: f64 = 2_000.0;
/// Maximum rejected steps in a total.
const MAX_REJECTED_STEPS: f64 = 4_999.0;
/// The multiple of a window's quota that the steps of a total can represent, in addition to the burst.
const HEADROOM: f64 = 3.0;

/// A report to the counter that is awaiting its response.
pub(super) struct Report {
    pub(super) tenant: Arc<str>,
    window: i64,
    /// The admitted steps that this report adds.
    admitted: f64,
    /// The rejected steps that this report adds.
    rejected: f64,
}

/// The demand of a tenant over all limiters in a span of time.
pub(super) struct MeasuredDemand {
    pub(super) units: f64,
    pub(super) seconds: f64,
}

/// The state of the calls to the counter.
pub(super) struct CounterSync {
    reports: BTreeMap<String, Report>,
    /// Consecutive failed calls.
    failures: u32,
    /// The earliest time of the next call while the counter is down.
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

    /// Returns whether the counter is considered up.
    pub(super) fn is_up(&self) -> bool {
        self.failures < MAX_COUNTER_FAILURES
    }

    /// Returns the fraction of requests that call the counter.
    pub(super) fn sampling_rate(&self) -> f64 {
        self.sampling_rate
    }

    /// Reports the units of a request.
    ///
    /// Only a random sample of the requests calls the counter, so that it can serve hundreds of limiters. Their units are
    /// scaled up to represent all requests. During the report interval after a call, all units are accumulated without
    /// sampling. Rejected requests are sampled twice as often, because the response affects whether the client's next try
    /// is admitted.
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
        let call_probability =
            if admitted { self.sampling_rate } else { (2.0 * self.sampling_rate).min(1.0) };
        let must_wait =
            tenant.is_reporting || now < tenant.next_report || (!self.is_up() && now < self.retry_at);
        if !must_wait && rng.f64() >= call_probability {
            return None;
        }
        let accumulated =
            if admitted { &mut tenant.unreported_admitted } else { &mut tenant.unreported_rejected };
        *accumulated += if must_wait { units } else { units / call_probability };
        if must_wait {
            return None;
        }
        // While the counter is down, one call per interval checks whether it has recovered.
        self.retry_at = now + REPORT_INTERVAL;
        Some(self.send_report(key, tenant, plan, now, rng.f64()))
    }

    /// Returns the call that reports all accumulated units to the counter. `draw` is a random number from 0 to 1.
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
        let admitted = steps(tenant.unreported_admitted, counted.admitted, PACKING_BASE - 1.0);
        let rejected = steps(tenant.unreported_rejected, counted.rejected, MAX_REJECTED_STEPS);
        tenant.unreported_admitted = 0.0;
        tenant.unreported_rejected = 0.0;
        tenant.is_reporting = true;
        tenant.next_report = now + REPORT_INTERVAL * (1.0 - REPORT_JITTER / 2.0 + REPORT_JITTER * draw);
        let name = counter_name(key, window);
        self.reports.insert(name.clone(), Report { tenant: key.clone(), window, admitted, rejected });
        Action::AddToCounter {
            name,
            amount: admitted + rejected * PACKING_BASE,
            ttl: (COUNTER_WINDOW * COUNTER_TTL_WINDOWS).min(MAX_COUNTER_TTL),
        }
    }

    /// Adjusts the sampling rate and the number of consecutive failures by the outcome of a call.
    pub(super) fn record_response(&mut self, settings: &Settings, response: &CounterResponse) {
        let completed = response.outcome == Outcome::Completed;
        let is_quick = completed && response.elapsed <= QUICK_RESPONSE_FRACTION * settings.counter_timeout;
        self.sampling_rate = match is_quick {
            true => self.sampling_rate + SAMPLING_RATE_INCREASE,
            false => self.sampling_rate * SAMPLING_RATE_DECREASE,
        };
        self.sampling_rate = self.sampling_rate.clamp(MIN_SAMPLING_RATE, 1.0);
        if response.outcome != Outcome::Rejected {
            self.failures = if completed { 0 } else { self.failures.saturating_add(1) };
        }
    }

    /// Removes and returns the report with this counter name. Returns `None` if the call was not a report.
    pub(super) fn take_report(&mut self, name: &str) -> Option<Report> {
        self.reports.remove(name)
    }
}

/// Returns the number of units in one step, which is at least 1.
fn step_units(plan: &Plan) -> f64 {
    ((COUNTER_WINDOW * plan.rate * HEADROOM + plan.burst) / PACKING_BASE).max(1.0)
}

/// Returns the maximum number of steps that one call may add, where `max` is the maximum that the total can represent.
/// One call adds at most the limiter's share of half of `max`, and nothing once half of `max` is counted. The total thus
/// does not overflow even if all limiters have a call open.
fn max_added_steps(counted: f64, max: f64, limiters: f64) -> f64 {
    if counted > max / 2.0 {
        return 0.0;
    }
    (max / 2.0 / limiters).floor().max(1.0)
}

/// The steps that all limiters together have added to a counter since the last response to this limiter.
struct CountedSteps {
    admitted: f64,
    rejected: f64,
}

impl Tenant {
    /// Applies the response to a report. Returns the demand of the tenant since the last response, or `None` if the call
    /// failed or the counter has lost its numbers.
    pub(super) fn apply_response(
        &mut self,
        plan: &Plan,
        now: f64,
        report: &Report,
        response: &CounterResponse,
    ) -> Option<MeasuredDemand> {
        self.is_reporting = false;
        if response.outcome != Outcome::Completed {
            self.restore_unreported(plan, report, response.outcome);
            return None;
        }
        // If the counter has lost its numbers, the totals stay missing until the next response.
        let last = self.totals.take();
        let added = self.record_total(report, response.total)?;
        let window_start = report.window as f64 * COUNTER_WINDOW;
        let since = last.map_or(f64::MIN, |totals| totals.updated_at).max(window_start);
        let span = (now - since).max(REPORT_INTERVAL / 4.0);
        self.totals = Some(self.averaged_totals(plan, now, last, report, &added, span));
        Some(MeasuredDemand { units: (added.admitted + added.rejected) * step_units(plan), seconds: span })
    }

    /// Restores the units of a failed report, so that they are reported again. After a timeout they are not restored,
    /// because the counter may have added them.
    fn restore_unreported(&mut self, plan: &Plan, report: &Report, outcome: Outcome) {
        if outcome == Outcome::Timeout {
            return;
        }
        let step = step_units(plan);
        self.unreported_admitted += report.admitted * step;
        self.unreported_rejected += report.rejected * step;
    }

    /// Records the total of a counter, and returns the steps added to it since the last response. Returns `None` if they
    /// are fewer than this limiter has added itself, which means that the counter has lost its numbers.
    fn record_total(&mut self, report: &Report, total: f64) -> Option<CountedSteps> {
        let before = self.counted.in_window(report.window);
        self.counted = unpack(report.window, total);
        let admitted = self.counted.admitted - before.admitted;
        let rejected = self.counted.rejected - before.rejected;
        let is_lost = total < 0.0 || admitted < report.admitted || rejected < report.rejected;
        (!is_lost).then_some(CountedSteps { admitted, rejected })
    }

    /// Returns the totals, updated with the steps that were added in the last `span` seconds.
    fn averaged_totals(
        &mut self,
        plan: &Plan,
        now: f64,
        last: Option<Totals>,
        report: &Report,
        added: &CountedSteps,
        span: f64,
    ) -> Totals {
        // The own demand is divided by the whole time since the last report, which may have been in an earlier window.
        // Otherwise a rare request at the start of a window would look like a large share of the demand.
        let own_span = (now - self.last_report).max(REPORT_INTERVAL / 4.0);
        self.last_report = now;
        self.report_interval = moving_average(self.report_interval, own_span, REPORT_INTERVAL_GAIN);
        let averaging_time = (AVERAGING_REPORTS * self.report_interval)
            .clamp(AVERAGING_REPORTS * REPORT_INTERVAL, MAX_AVERAGING_WINDOWS * COUNTER_WINDOW);
        // A limiter that seldom receives requests of the tenant has to rely on the first totals. They get a short time
        // constant, since the initial mean of zero would otherwise dominate them.
        let is_first = last.is_none() && has_fractional_burst(plan, self.limiters);
        let time_constant = if is_first { AVERAGING_REPORTS * REPORT_INTERVAL } else { averaging_time };
        let step = step_units(plan);
        let mean = |mean: f64, steps: f64, span: f64| mean_rate(mean, steps * step, span, time_constant);
        let totals = last.unwrap_or_default();
        Totals {
            own_demand: mean(totals.own_demand, report.admitted + report.rejected, own_span),
            demand: mean(totals.demand, added.admitted + added.rejected, span),
            admitted: mean(totals.admitted, added.admitted, span),
            updated_at: now,
            averaging_time,
        }
    }
}

/// Decodes the total of a counter into the admitted and the rejected steps.
fn unpack(window: i64, total: f64) -> CounterState {
    CounterState {
        window,
        admitted: (total % PACKING_BASE).max(0.0),
        rejected: (total / PACKING_BASE).floor().max(0.0),
    }
}
