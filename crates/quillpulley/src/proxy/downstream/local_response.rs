//! Responses that the proxy gives by itself, without a server.

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::StatusCode;
use std::time::Duration;

/// A response of the proxy itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalResponse {
    /// The status.
    pub status: StatusCode,
    /// The time after which the client may try again, if the request has not executed.
    pub retry_after: Option<Duration>,
    /// Whether the connection is closed, as the rest of the request was not read or must not be.
    pub closes_connection: bool,
}

impl LocalResponse {
    /// Creates a response on a connection that stays open.
    pub fn status(status: StatusCode) -> Self {
        LocalResponse { status, retry_after: None, closes_connection: false }
    }

    /// Creates a response on a connection that is closed after it.
    pub fn closing(status: StatusCode) -> Self {
        LocalResponse { closes_connection: true, ..LocalResponse::status(status) }
    }

    /// Creates the response to a request that has not executed and will not.
    pub fn unavailable(retry_after: Duration) -> Self {
        LocalResponse {
            retry_after: Some(retry_after),
            ..LocalResponse::status(StatusCode::SERVICE_UNAVAILABLE)
        }
    }

    /// Returns the same response on a connection that is closed if `closes` holds, or it was to be closed anyway.
    pub fn or_closing(self, closes: bool) -> Self {
        LocalResponse { closes_connection: self.closes_connection || closes, ..self }
    }

    /// Returns the header `Retry-After`: seconds with a fraction.
    pub fn retry_after_header(&self) -> Option<(HeaderName, HeaderValue)> {
        let seconds = self.retry_after?.as_secs_f64();
        Some((RETRY_AFTER, HeaderValue::try_from(format!("{seconds:.3}")).ok()?))
    }

    /// Returns the body: the reason phrase of the status.
    pub fn body(&self) -> Bytes {
        Bytes::from_static(self.status.canonical_reason().unwrap_or_default().as_bytes())
    }
}
