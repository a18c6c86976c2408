//! When something failed at a server: health checks are made only for some time after that.

use std::cell::Cell;
use tokio::sync::Notify;
use tokio::time::Instant;

/// When a request or a check failed at a server.
#[derive(Default)]
pub struct Failures {
    last: Cell<Option<Instant>>,
    happened: Notify,
}

impl Failures {
    /// One failed just now.
    pub fn note(&self) {
        self.last.set(Some(Instant::now()));
        self.happened.notify_one();
    }

    /// Returns the last one.
    pub fn last(&self) -> Option<Instant> {
        self.last.get()
    }

    /// Waits for one.
    pub async fn happened(&self) {
        self.happened.notified().await;
    }
}
