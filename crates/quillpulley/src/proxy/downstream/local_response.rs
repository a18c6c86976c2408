//! Responses that the proxy generates itself, without a server.

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::StatusCode;
use std::time::Duration;

/// A response that the proxy generates itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The value of `Retry-After`. Present only if the request has not executed and will not.
    pub retry_after: Option<Duration>,
    /// Whether the connection is closed after the response, because the rest of the request was not read or
    /// must not be.
    pub closes_connection: bool,
}

impl LocalResponse {
    /// Creates a response that keeps the connection open.
    pub fn status(status: StatusCode) -> Self {
        LocalResponse { status, retry_after: None, closes_connection: false }
    }

    /// Creates a response after which the connection is closed.
    pub fn closing(status: StatusCode) -> Self {
        LocalResponse { closes_connection: true, ..LocalResponse::status(status) }
    }

    /// Creates a 503 response to a request that has not executed and will not.
    pub fn unavailable(retry_after: Duration) -> Self {
        LocalResponse {
            retry_after: Some(retry_after),
            ..LocalResponse::status(StatusCode::SERVICE_UNAVAILABLE)
        }
    }

    /// Returns the response with its connection also closed if `closes` is true.
    pub fn closing_if(self, closes: bool) -> Self {
        LocalResponse { closes_connection: self.closes_connection || closes, ..self }
    }

    /// Returns the header `Retry-After`, in seconds with three decimals. `None` if the response has no retry
    /// delay.
    pub fn retry_after_header(&self) -> Option<(HeaderName, HeaderValue)> {
        let seconds = self.retry_after?.as_secs_f64();
        Some((RETRY_AFTER, HeaderValue::try_from(format!("{seconds:.3}")).ok()?))
    }

    /// Returns the body: the reason phrase of the status.
    pub fn body(&self) -> Bytes {
        Bytes::from_static(self.status.canonical_reason().unwrap_or_default().as_bytes())
    }
}
