//! The server side: the choice of a server, connections, upstream requests, and health checks.

pub mod connection_pool;
pub mod health_check;
pub mod recent_failures;
pub mod response_head;
pub mod upstream_request;
pub mod upstreams;
