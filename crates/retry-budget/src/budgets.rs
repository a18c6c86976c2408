//! The retry budgets of one proxy, one for each service.

use crate::cap;
use crate::share::{self, Demand};
use crate::token_bucket::TokenBucket;
use crate::window_counters::{Slot, WindowCounters};
use std::time::Duration;

/// Number of windows without requests and retries after which a service is removed. At least two, because the
/// hard cap uses the counts of the last two windows.
const IDLE_WINDOWS: u32 = 3;

/// The options of the retry budgets.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of retries that the budget allows per request (`RetryBudgetRatio`).
    pub ratio: f64,
    /// The window over which requests and retries are counted (`BudgetWindowS`).
    pub window: Duration,
    /// Number of additional retries per window that the whole system may send (`RetrySlack`).
    pub slack: f64,
}

/// The counters of a service in the latest window, of one proxy or summed over all proxies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceUsage {
    /// Name of the service.
    pub service: String,
    /// Requests received from clients.
    pub requests: u32,
    /// Retries that were sent.
    pub retries: u32,
    /// Retries that were rejected for lack of budget.
    pub rejected_retries: u32,
}

/// The retry budgets of one proxy. In all methods, `now` is the time since the start of the process.
pub struct RetryBudgets {
    options: Options,
    /// A linear search is used, because a deployment has only a few services.
    services: Vec<Budget>,
    /// Maximum number of proxies known to be live at the same time; 0 before the first complete totals.
    max_proxies: usize,
}

/// The budget of one service.
struct Budget {
    service: String,
    counts: WindowCounters,
    bucket: TokenBucket,
    last_used: Duration,
}

impl RetryBudgets {
    /// Creates budgets without counts. The number of proxies is unknown until the first complete totals.
    pub fn new(options: Options) -> Self {
        RetryBudgets { options, services: Vec::new(), max_proxies: 0 }
    }

    /// Sets [`Options::ratio`] and [`Options::slack`].
    pub fn set_limit(&mut self, ratio: f64, slack: f64) {
        self.options = Options { ratio, slack, ..self.options };
    }

    /// Counts a client's request to a service.
    pub fn record_request(&mut self, now: Duration, service: &str) {
        let budget = self.budget(now, service);
        budget.counts.advance(now);
        let slot = budget.counts.current_slot();
        slot.requests = slot.requests.saturating_add(1);
        budget.last_used = now;
    }

    /// Returns whether a retry may be sent now, and counts it as sent or as rejected.
    pub fn try_retry(&mut self, now: Duration, service: &str) -> bool {
        let Options { ratio, window, slack } = self.options;
        let share_of_slack = cap::slack_share(slack, self.max_proxies, now, window);
        let budget = self.budget(now, service);
        budget.last_used = now;
        let newest = budget.counts.advance(now);
        let allowed = budget.try_take(now, newest, ratio, share_of_slack);
        let slot = budget.counts.current_slot();
        let count = if allowed { &mut slot.retries } else { &mut slot.rejected_retries };
        *count = count.saturating_add(1);
        allowed
    }

    /// Sets the refill rate of each service's token bucket. Must be called in every exchange period, with or
    /// without totals.
    ///
    /// `totals` are the sums over `proxies` proxies, including this one. If they are not `complete`, or lack
    /// a service, the limit of the service is derived from this proxy's own counts. Idle services are
    /// removed.
    pub fn set_totals(&mut self, now: Duration, totals: &[ServiceUsage], proxies: usize, complete: bool) {
        if complete {
            self.max_proxies = self.max_proxies.max(proxies);
        }
        let Options { ratio, window, .. } = self.options;
        let idle = window * IDLE_WINDOWS;
        self.services.retain(|budget| now.saturating_sub(budget.last_used) < idle);
        for budget in &mut self.services {
            let service_totals = totals.iter().find(|totals| complete && totals.service == budget.service);
            let own = budget.counts.latest_window(now);
            let limit = limit(ratio, own, service_totals, proxies);
            budget.bucket.set_rate(now, limit / window.as_secs_f64());
        }
    }

    /// Returns this proxy's own counts in the latest window, for the exchange with the other proxies.
    /// Services without any counts are omitted.
    pub fn counts(&self, now: Duration) -> Vec<ServiceUsage> {
        let counts = self.services.iter().map(|budget| {
            let Slot { requests, retries, rejected_retries } = budget.counts.latest_window(now);
            ServiceUsage { service: budget.service.clone(), requests, retries, rejected_retries }
        });
        counts
            .filter(|counts| counts.requests > 0 || counts.retries > 0 || counts.rejected_retries > 0)
            .collect()
    }

    fn budget(&mut self, now: Duration, service: &str) -> &mut Budget {
        let known = self.services.iter().position(|budget| budget.service == service);
        let index = known.unwrap_or_else(|| {
            self.services.push(Budget::new(now, service, self.options.window));
            self.services.len() - 1
        });
        &mut self.services[index]
    }
}

impl Budget {
    fn new(now: Duration, service: &str, window: Duration) -> Self {
        Budget {
            service: service.to_owned(),
            counts: WindowCounters::new(window, now),
            bucket: TokenBucket::full(0.0, now),
            last_used: now,
        }
    }

    /// Takes a token if the hard cap allows a retry. Returns whether a token was taken.
    fn try_take(&mut self, now: Duration, newest: u64, ratio: f64, share_of_slack: f64) -> bool {
        if !cap::allows_one_more(&self.counts, newest, ratio, share_of_slack) {
            return false;
        }
        self.bucket.try_take(now)
    }
}

/// Returns the number of retries that this proxy may send per window. Without totals, it is derived from the
/// proxy's own requests.
fn limit(ratio: f64, own: Slot, totals: Option<&ServiceUsage>, proxies: usize) -> f64 {
    let Some(totals) = totals else {
        return ratio * f64::from(own.requests);
    };
    let own = f64::from(own.retries.saturating_add(own.rejected_retries));
    let total = f64::from(totals.retries.saturating_add(totals.rejected_retries));
    let target = ratio * f64::from(totals.requests);
    let used = f64::from(totals.retries);
    share::limit(&Demand { target, own, total, used, proxies })
}
