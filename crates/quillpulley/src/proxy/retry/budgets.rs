//! The retry budgets, shared by all requests.

use quillpulley_retry_budget::{RetryBudgets, ServiceUsage};
use std::cell::RefCell;
use std::time::Duration;

/// The retry budgets of all services, in a cell that all requests share. Times are since the start of the
/// process.
pub struct SharedRetryBudgets(RefCell<RetryBudgets>);

impl SharedRetryBudgets {
    /// Wraps retry budgets so that requests can share them.
    pub fn new(budgets: RetryBudgets) -> Self {
        SharedRetryBudgets(RefCell::new(budgets))
    }

    /// Sets the number of retries that are allowed per request, and of those that the whole system may send besides.
    pub fn set_limit(&self, ratio: f64, slack: f64) {
        self.0.borrow_mut().set_limit(ratio, slack);
    }

    /// Counts a client's request to a service.
    pub fn record_request(&self, now: Duration, service: &str) {
        self.0.borrow_mut().record_request(now, service);
    }

    /// Returns whether a retry may be sent now, and counts it as sent or as rejected. Must be called before
    /// it is sent.
    pub fn try_retry(&self, now: Duration, service: &str) -> bool {
        self.0.borrow_mut().try_retry(now, service)
    }

    /// Sets the usage summed over `proxies` proxies, from which the limit of each service is derived. Must be
    /// called in every report interval, with or without complete totals.
    pub fn set_totals(&self, now: Duration, totals: &[ServiceUsage], proxies: usize, is_complete: bool) {
        self.0.borrow_mut().set_totals(now, totals, proxies, is_complete);
    }

    /// Returns this proxy's own counts per service in the latest window.
    pub fn usage(&self, now: Duration) -> Vec<ServiceUsage> {
        self.0.borrow().counts(now)
    }
}
