//! The retry budgets of a proxy for all services.

use crate::cap;
use crate::share::{self, Demand};
use crate::token_bucket::TokenBucket;
use crate::window_counters::{Slot, WindowCounters};
use std::time::Duration;

/// A service without requests and retries for this many windows is forgotten. At least two, as the hard cap needs
/// their counts.
const IDLE_WINDOWS: u32 = 3;

/// The limits of the budget.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Retries for each request (`RetryBudgetRatio`).
    pub ratio: f64,
    /// The window of the budget (`BudgetWindowS`).
    pub window: Duration,
    /// Additional retries of the whole system in a window (`RetrySlack`).
    pub slack: f64,
}

/// The counters of a service in the latest window, of one proxy or summed over all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceUsage {
    /// Name of the service.
    pub service: String,
    /// Requests taken from clients.
    pub requests: u32,
    /// Retries that were sent.
    pub retries: u32,
    /// Retries that were rejected for lack of budget.
    pub rejected_retries: u32,
}

/// The retry budgets of one proxy. `now` is the time since the start of the process.
pub struct RetryBudgets {
    options: Options,
    /// A deployment has a few services, so they are searched in order.
    services: Vec<Budget>,
    /// The greatest number of proxies that were known to be live at once.
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
    /// Creates budgets without counts, and without other proxies.
    pub fn new(options: Options) -> Self {
        RetryBudgets { options, services: Vec::new(), max_proxies: 0 }
    }

    /// Counts a client's request to a service.
    pub fn record_request(&mut self, now: Duration, service: &str) {
        let budget = self.budget(now, service);
        budget.counts.advance(now);
        let slot = budget.counts.present();
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
        let retries = budget.take(now, newest, ratio, share_of_slack);
        let slot = budget.counts.present();
        let count = if retries { &mut slot.retries } else { &mut slot.rejected_retries };
        *count = count.saturating_add(1);
        retries
    }

    /// Sets the rate of each service's bucket. Due every exchange period, with or without totals.
    ///
    /// `totals` are sums over `proxies` proxies, this one included. If they are not `complete`, or lack a service,
    /// its limit is derived from the own counts. Idle services are forgotten.
    pub fn set_totals(&mut self, now: Duration, totals: &[ServiceUsage], proxies: usize, complete: bool) {
        if complete {
            self.max_proxies = self.max_proxies.max(proxies);
        }
        let Options { ratio, window, .. } = self.options;
        let idle = window * IDLE_WINDOWS;
        self.services.retain(|budget| now.saturating_sub(budget.last_used) < idle);
        for budget in &mut self.services {
            let of_service = totals.iter().find(|totals| complete && totals.service == budget.service);
            let own = budget.counts.latest_window(now);
            let limit = limit(ratio, own, of_service, proxies);
            budget.bucket.set_rate(now, limit / window.as_secs_f64());
        }
    }

    /// Returns the own counts of the latest window, for the exchange.
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

    /// Takes a token, if the hard cap allows it.
    fn take(&mut self, now: Duration, newest: u64, ratio: f64, share_of_slack: f64) -> bool {
        if !cap::allows_one_more(&self.counts, newest, ratio, share_of_slack) {
            return false;
        }
        self.bucket.take(now)
    }
}

/// Returns the retries that may be sent in a window. Without totals, it is derived from the own requests.
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
