//! The limits of incoming connections.

use std::time::Duration;

/// The limits on reading from a connection after its last response while the client still sends. Closing the
/// connection with unread bytes would reset it, and the client might lose the response.
#[derive(Clone, Copy, Debug)]
pub struct Linger {
    /// The maximum time.
    pub time: Duration,
    /// The maximum number of bytes.
    pub bytes: usize,
}

/// The limit on the time in which a client reads a complete response.
#[derive(Clone, Copy, Debug)]
pub struct WriteLimit {
    /// The time for a response of any length.
    pub base: Duration,
    /// The minimum rate at which the client has to read, in bytes per second.
    pub min_rate: f64,
}

impl WriteLimit {
    /// Returns the time in which a response of `bytes` bytes has to be read.
    pub(crate) fn time(&self, bytes: usize) -> Duration {
        self.base + Duration::from_secs_f64(bytes as f64 / self.min_rate)
    }
}

/// The limits of incoming connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionOptions {
    /// The maximum number of open connections. When it is reached, the connection that has been idle longest
    /// is closed to make room for a new one.
    pub max_connections: usize,
    /// The maximum size of the head of a request, and of the part of a response that hyper buffers, in bytes.
    pub max_header_bytes: usize,
    /// The number of bytes that are recorded of the input of a new connection, at least 1 (see
    /// [`Socket::record_input`](crate::Socket::record_input)).
    pub recorded_bytes: usize,
    /// The maximum time from the opening of a connection, or from its last response, to the end of the head
    /// of its next request. It also limits the time that a connection is idle. If it is `None`, the owner
    /// limits both times by calls of [`ConnectionManager::close_slow`](super::ConnectionManager::close_slow).
    pub header_timeout: Option<Duration>,
    /// The limits on reading from a connection after its last response.
    pub linger: Linger,
    /// The minimum idle time of a connection before it is closed to make room for a new one, or by
    /// [`ConnectionManager::all_closed`](super::ConnectionManager::all_closed). Before that, the request that it was opened for is most likely on
    /// its way.
    pub idle_grace: Duration,
    /// The minimum idle time before a connection on which no complete head of a request has arrived is closed
    /// to make room for a new one. If it is shorter than [`ConnectionOptions::idle_grace`], a new connection waits for it
    /// rather than displace a client that has sent requests.
    pub first_request_grace: Duration,
    /// The minimum time for which a request must have been arriving before its connection is closed to make room
    /// for a new one. If it is `None`, connections are not closed for that.
    pub receive_grace: Option<Duration>,
    /// The maximum time for which a client may read nothing of a response that waits for it. The connection
    /// is closed then.
    pub write_stall_timeout: Duration,
    /// The minimum time for which a client must have read nothing of a response before its connection is
    /// closed to make room for a new one, or by [`ConnectionManager::close_most_stalled_response`](super::ConnectionManager::close_most_stalled_response).
    pub write_stall_grace: Duration,
    /// The delay before accepting is retried after a failure, which most likely means that there are no free
    /// file descriptors, or when all connections are busy.
    pub accept_retry_delay: Duration,
    /// Whether the heads of responses have the names of their headers in title case, and no date.
    pub plain_heads: bool,
    /// Whether a client that has ended its sending still gets its response.
    pub half_close: bool,
}
