//! The interface of the decisions: settings, events and actions. It decides nothing.
//!
//! Times are seconds on the host's clock. Durations are seconds.

mod action;
mod event;
mod server;
mod settings;

pub use action::Action;
pub use event::{AttemptResult, CounterResponse, Event, LoadReport, Outcome, Request};
pub use server::{ServerEntry, ServerId, ServerState};
pub use settings::{Class, Idempotency, Plan, Scope, Settings};

/// The number of a client's request, unique at its limiter.
pub type RequestId = u64;
