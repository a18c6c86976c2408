//! The decision logic of a rate limiter in front of a shared API.
//!
//! A [`Limiter`] is a pure state machine: it performs no I/O, reads no clock, and has no global state. Its host passes
//! events ([`Event`]) to it together with the current time, and performs the resulting actions ([`Action`]). Several
//! limiters in front of the same servers jointly enforce each tenant's quota, through a counter service.
//!
//! ```
//! use rate_limiter::{Action, Event, Limiter, Settings};
//!
//! let mut limiter = Limiter::new(Settings::default(), 7, 0.0);
//! let mut actions: Vec<Action> = Vec::new();
//! limiter.handle(0.0, Event::Timer { token: 0 }, &mut actions);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// The example in the documentation, compiled as a test.
#[cfg(doctest)]
#[doc = include_str!("../../../docs/LIMITER.md")]
struct ReadmeExample;

mod interface;
mod limiter;
mod settings_file;

pub use interface::*;
pub use limiter::Limiter;
