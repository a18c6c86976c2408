//! The types that a limiter and its host exchange: settings, events and actions. They contain no decision logic.
//!
//! Unless stated otherwise, times are in seconds on the host's clock, and durations are in seconds.

mod action;
mod event;
mod server;
mod settings;

pub use action::Action;
pub use event::{AttemptResult, CounterResponse, Event, LoadReport, Outcome, Request};
pub use server::{ServerEntry, ServerId, ServerState};
pub use settings::{Class, Idempotency, Plan, Scope, Settings};

/// The id of a client's request, unique within a limiter.
pub type RequestId = u64;
