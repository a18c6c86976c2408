//! The lifecycle of this proxy, shared by all requests.

use super::drain_deadline::DrainDeadline;
use super::lifecycle::{Event, Lifecycle};
use quillpulley_protocol::EndpointState;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;

/// The stage of the lifecycle, and the deadlines of a drain. Times are since the start of the process.
#[derive(Default)]
pub struct ProxyLifecycle {
    lifecycle: Cell<Lifecycle>,
    drain_deadline: Cell<Option<DrainDeadline>>,
    final_responses: Notify,
}

impl ProxyLifecycle {
    /// Handles an event. Every change of stage happens here.
    pub fn handle(&self, now: Duration, event: Event) {
        let mut lifecycle = self.lifecycle.get();
        lifecycle.handle(now, event);
        self.lifecycle.set(lifecycle);
    }

    /// Begins to drain.
    pub fn begin_drain(&self, now: Duration, deadline: DrainDeadline) {
        self.drain_deadline.set(Some(deadline));
        self.handle(now, Event::Drain);
    }

    /// Returns whether the process drains.
    pub fn is_draining(&self) -> bool {
        self.lifecycle.get().is_draining()
    }

    /// Returns whether new clients may come.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.lifecycle.get().is_ready(now)
    }

    /// Returns the state that is published.
    pub fn endpoint_state(&self, now: Duration) -> EndpointState {
        self.lifecycle.get().endpoint_state(now)
    }

    /// Returns whether a request is accepted whose head came at `arrived`, and whose response is due at `due`.
    pub fn accepts(&self, arrived: Duration, due: Duration) -> bool {
        self.drain_deadline.get().is_none_or(|deadline| deadline.accepts(arrived, due))
    }

    /// Has all requests without a response get one now, as the process is about to exit.
    pub fn begin_final_responses(&self) {
        self.final_responses.notify_waiters();
    }

    /// Waits until all requests without a response have to get one.
    pub async fn final_responses(&self) {
        self.final_responses.notified().await;
    }
}
