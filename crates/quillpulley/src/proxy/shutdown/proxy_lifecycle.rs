//! The lifecycle of this proxy, in cells that all requests share.

use super::drain_deadline::DrainDeadline;
use super::lifecycle::{Event, Lifecycle};
use quillpulley_protocol::EndpointState;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;

/// The lifecycle of this proxy and the deadlines of its drain. Times are since the start of the process.
#[derive(Default)]
pub struct ProxyLifecycle {
    lifecycle: Cell<Lifecycle>,
    drain_deadline: Cell<Option<DrainDeadline>>,
    response_cutoff_reached: Notify,
}

impl ProxyLifecycle {
    /// Handles an event. Every stage change happens here.
    pub fn handle(&self, now: Duration, event: Event) {
        let mut lifecycle = self.lifecycle.get();
        lifecycle.handle(now, event);
        self.lifecycle.set(lifecycle);
    }

    /// Begins to drain with these deadlines.
    pub fn begin_drain(&self, now: Duration, deadline: DrainDeadline) {
        self.drain_deadline.set(Some(deadline));
        self.handle(now, Event::Drain);
    }

    /// Returns whether the proxy is draining.
    pub fn is_draining(&self) -> bool {
        self.lifecycle.get().is_draining()
    }

    /// Returns whether new clients may be directed to this proxy.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.lifecycle.get().is_ready(now)
    }

    /// Returns the state to publish for this proxy.
    pub fn endpoint_state(&self, now: Duration) -> EndpointState {
        self.lifecycle.get().endpoint_state(now)
    }

    /// Returns whether to accept a request which ends by `response_deadline`. All requests are accepted unless the
    /// proxy drains.
    pub fn accepts(&self, response_deadline: Duration) -> bool {
        self.drain_deadline.get().is_none_or(|deadline| deadline.accepts(response_deadline))
    }

    /// Ends all requests that have no response yet: the proxy itself responds to them, because the process is
    /// about to exit.
    pub fn signal_response_cutoff(&self) {
        self.response_cutoff_reached.notify_waiters();
    }

    /// Waits until [`ProxyLifecycle::signal_response_cutoff`] is called.
    pub async fn response_cutoff_reached(&self) {
        self.response_cutoff_reached.notified().await;
    }
}
