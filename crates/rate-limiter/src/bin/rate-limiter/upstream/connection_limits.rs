//! Limits of message bodies and outgoing connections.

use quillpulley_http1::ConnectionLimits;
use std::time::Duration;

/// Maximum bytes of a request or response body.
pub const MAX_BODY: usize = 64 * 1024;

/// Limits of the connections to servers, to the counter, and to discovery.
pub const CONNECTION_LIMITS: ConnectionLimits = ConnectionLimits {
    max_body: MAX_BODY,
    max_buffer: 32 * 1024,
    body_timeout: Duration::from_millis(250),
    reuse_delay: Duration::from_millis(10),
    ready_timeout: Duration::from_millis(100),
};
