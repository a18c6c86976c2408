//! When the proxy is ready for clients, and how it drains.

pub mod drain_deadline;
pub mod lifecycle;
pub mod proxy_lifecycle;
