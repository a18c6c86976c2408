//! Limits the time for which a response waits for its client to read.

use crate::socket::Socket;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep_until, Instant, Sleep};

/// A timer that runs while bytes of a response wait for the client to read.
pub(crate) struct WriteTimer {
    stall_timeout: Duration,
    /// `None` while no bytes wait.
    sleep: Option<Pin<Box<Sleep>>>,
}

impl WriteTimer {
    /// Creates a timer that expires once the client has read nothing for `stall_timeout`.
    pub(crate) fn new(stall_timeout: Duration) -> Self {
        WriteTimer { stall_timeout, sleep: None }
    }

    /// Is ready once bytes wait, and the client has read nothing for the stall timeout or `deadline` is over.
    pub(crate) fn poll_expired(
        &mut self,
        socket: &Socket,
        deadline: Option<Instant>,
        cx: &mut Context<'_>,
    ) -> Poll<()> {
        let Some(blocked_since) = socket.write_blocked_since() else {
            self.sleep = None;
            return Poll::Pending;
        };
        let stalled_at = blocked_since + self.stall_timeout;
        let expires_at = deadline.map_or(stalled_at, |deadline| deadline.min(stalled_at));
        let sleep = self.sleep.get_or_insert_with(|| Box::pin(sleep_until(expires_at)));
        if sleep.deadline() != expires_at {
            sleep.as_mut().reset(expires_at);
        }
        sleep.as_mut().poll(cx)
    }
}
