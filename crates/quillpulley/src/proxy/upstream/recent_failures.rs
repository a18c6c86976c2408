//! When something failed at a server: health checks are made only for some time after that.

use std::cell::Cell;
use tokio::sync::Notify;
use tokio::time::Instant;

/// When a request or a health check failed last.
#[derive(Default)]
pub struct RecentFailures {
    last_at: Cell<Option<Instant>>,
    occurred: Notify,
}

impl RecentFailures {
    /// Records a failure.
    pub fn record(&self) {
        self.last_at.set(Some(Instant::now()));
        self.occurred.notify_one();
    }

    /// Returns when something failed last.
    pub fn last_at(&self) -> Option<Instant> {
        self.last_at.get()
    }

    /// Waits for a failure.
    pub async fn occurred(&self) {
        self.occurred.notified().await;
    }
}
