//! The retry budget: each request deposits a fraction of a retry, and a successful retry is mostly refunded.

/// The fraction of a retry that each request adds to the budget.
const DEPOSIT_PER_REQUEST: f64 = 0.1;
/// Maximum number of retries in the budget.
const MAX_BALANCE: f64 = 10.0;
/// The fraction of a retry that is refunded if the retry succeeds in time, so that more retries are sent while they
/// help.
const REFUND_PER_SUCCESS: f64 = 0.8;

/// The budget of retries, which starts full.
pub(super) struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { balance: MAX_BALANCE }
    }
}

impl RetryBudget {
    /// Adds the deposit for a client's request.
    pub(super) fn record_request(&mut self) {
        self.deposit(DEPOSIT_PER_REQUEST);
    }

    /// Adds the refund for a retry that succeeded in time.
    pub(super) fn record_success(&mut self) {
        self.deposit(REFUND_PER_SUCCESS);
    }

    /// Returns whether the budget contains at least one retry.
    pub(super) fn allows_retry(&self) -> bool {
        self.balance >= 1.0
    }

    /// Deducts a retry that is sent.
    pub(super) fn withdraw(&mut self) {
        self.balance -= 1.0;
    }

    fn deposit(&mut self, retries: f64) {
        self.balance = (self.balance + retries).min(MAX_BALANCE);
    }
}
