//! The retry budgets, shared by all requests.

use quillpulley_retry_budget::{RetryBudgets, ServiceUsage};
use std::cell::RefCell;
use std::time::Duration;

/// The retry budgets of all services. Times are since the start of the process.
pub struct SharedRetryBudgets(RefCell<RetryBudgets>);

impl SharedRetryBudgets {
    /// Shares budgets.
    pub fn new(budgets: RetryBudgets) -> Self {
        SharedRetryBudgets(RefCell::new(budgets))
    }

    /// Records a request of a client.
    pub fn record_request(&self, now: Duration, service: &str) {
        self.0.borrow_mut().record_request(now, service);
    }

    /// Returns whether a retry may be sent now, and counts it as sent or as rejected.
    pub fn try_retry(&self, now: Duration, service: &str) -> bool {
        self.0.borrow_mut().try_retry(now, service)
    }

    /// Sets the usage of all proxies together. Due every exchange period.
    pub fn set_totals(&self, now: Duration, totals: &[ServiceUsage], proxies: usize, is_complete: bool) {
        self.0.borrow_mut().set_totals(now, totals, proxies, is_complete);
    }

    /// Returns the usage of this proxy in the latest window.
    pub fn usage(&self, now: Duration) -> Vec<ServiceUsage> {
        self.0.borrow().counts(now)
    }
}
