//! The limits of messages and outgoing connections.

use quillpulley_http1_client::ConnectionLimits;
use std::time::Duration;

/// The most bytes of a body, in either direction.
pub const MAX_BODY: usize = 64 * 1024;

/// The limits of outgoing connections: to servers, to the counter and to discovery.
pub const CONNECTION_LIMITS: ConnectionLimits = ConnectionLimits {
    max_body: MAX_BODY,
    max_buffer: 32 * 1024,
    body_timeout: Duration::from_millis(250),
    reuse_delay: Duration::from_millis(10),
    ready_timeout: Duration::from_millis(100),
};
