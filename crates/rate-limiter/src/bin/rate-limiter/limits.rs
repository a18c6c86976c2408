//! What messages and connections may take, on the side of clients and of servers alike.

use quillpulley_http1_client::LinkOptions;
use std::time::Duration;

/// Bodies hold at most this many bytes, in either direction.
pub const MAX_BODY: usize = 64 * 1024;

/// The limits of outgoing connections: to servers, to the counter and to discovery.
pub const LINK: LinkOptions = LinkOptions {
    max_body: MAX_BODY,
    max_buffer: 32 * 1024,
    answer: Duration::from_millis(250),
    rest: Duration::from_millis(10),
    settle: Duration::from_millis(100),
};
