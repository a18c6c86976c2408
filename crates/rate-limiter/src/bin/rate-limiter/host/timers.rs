//! The timers of the limiter.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::future::pending;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// A queue of timers, ordered by the time at which they expire.
#[derive(Default)]
pub struct Timers {
    queue: RefCell<BinaryHeap<Reverse<(Instant, u64)>>>,
    /// Notified when a timer is added that expires before all others.
    earlier_added: Notify,
}

impl Timers {
    /// Adds a timer that expires at `at`.
    pub fn add(&self, at: Instant, token: u64) {
        let is_first = self.next_expiry().is_none_or(|next| at < next);
        self.queue.borrow_mut().push(Reverse((at, token)));
        if is_first {
            self.earlier_added.notify_one();
        }
    }

    /// Waits until at least one timer has expired, and returns the tokens of all expired timers. A timer that is added
    /// while these are handled is returned by a later call, even if it expires immediately.
    pub async fn expired(&self) -> Vec<u64> {
        loop {
            let next = self.next_expiry();
            let wait = async {
                match next {
                    Some(at) => sleep_until(at).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                () = wait => return self.take_expired(Instant::now()),
                () = self.earlier_added.notified() => {}
            }
        }
    }

    fn next_expiry(&self) -> Option<Instant> {
        self.queue.borrow().peek().map(|Reverse((at, _))| *at)
    }

    fn take_expired(&self, now: Instant) -> Vec<u64> {
        let mut queue = self.queue.borrow_mut();
        let mut expired = Vec::new();
        while let Some(Reverse((_, token))) = queue.peek().filter(|Reverse((at, _))| *at <= now) {
            expired.push(*token);
            queue.pop();
        }
        expired
    }
}
