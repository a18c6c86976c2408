//! Readiness, draining and shutdown of the proxy.

pub mod drain_deadline;
pub mod lifecycle;
pub mod proxy_lifecycle;
