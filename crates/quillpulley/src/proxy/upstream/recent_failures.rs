//! The time of the last failure at a server. Health checks are sent only for some time after it.

use std::cell::Cell;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The last failure of a request or a health check, at any server.
#[derive(Default)]
pub struct RecentFailures {
    last_at: Cell<Option<Instant>>,
    occurred: Notify,
}

impl RecentFailures {
    /// Records that a request or a health check failed now.
    pub fn record(&self) {
        self.last_at.set(Some(Instant::now()));
        self.occurred.notify_one();
    }

    /// Returns the time of the last failure. `None` if nothing has failed yet.
    pub fn last_at(&self) -> Option<Instant> {
        self.last_at.get()
    }

    /// Waits for the next failure. Returns at once if one was recorded since the last wait.
    pub async fn occurred(&self) {
        self.occurred.notified().await;
    }
}
