//! Tells which connections were opened after a moment that the service has marked.
//!
//! A connection may have waited in the kernel's queue for any time before it is accepted, so the time of its
//! acceptance does not tell when it was opened. It was opened after a mark if the queue has been found empty between
//! the mark and its acceptance.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The connections of a listener that wait in the kernel's queue.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    /// The newest mark of the service.
    marked: Cell<u64>,
    /// The newest mark after which the queue was found empty.
    found_empty: Cell<u64>,
    /// Notified when the queue has to be looked at.
    mark_set: Notify,
    /// Notified when the queue was found empty.
    emptied: Notify,
}

impl Backlog {
    /// Sets a mark, and waits until the queue has been found empty after it, for `limit` at most.
    pub async fn mark(&self, mark: u64, limit: Duration) {
        self.marked.set(self.marked.get().max(mark));
        let found_empty = async {
            while self.found_empty.get() < mark {
                let emptied = self.emptied.notified();
                self.mark_set.notify_one();
                emptied.await;
            }
        };
        if timeout(limit, found_empty).await.is_err() {
            log::debug!("new connections have to wait longer than usual to be accepted");
        }
    }

    /// Returns the mark after which the queue has to be found empty; `None` if it was.
    pub fn unobserved_mark(&self) -> Option<u64> {
        Some(self.marked.get()).filter(|marked| *marked > self.found_empty.get())
    }

    /// Waits until the queue has to be looked at.
    pub async fn mark_set(&self) {
        self.mark_set.notified().await;
    }

    /// Records that the queue was found empty after `mark` had been set.
    pub fn record_empty(&self, mark: u64) {
        self.found_empty.set(mark);
        self.emptied.notify_waiters();
    }

    /// Returns the newest mark that was set before a connection was opened which is accepted now; 0 if none is known.
    pub fn latest_mark(&self) -> u64 {
        self.found_empty.get()
    }
}
