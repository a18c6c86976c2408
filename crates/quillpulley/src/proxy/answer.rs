//! What the head of a server's answer means, and the heads of answers to clients.

use super::headers::{self, KEEP_ALIVE, NOT_EXECUTED, REQUEST_ID, RESPONSE_SEAL};
use bytes::Bytes;
use hyper::header::{
    HeaderMap, HeaderValue, CONTENT_ENCODING, CONTENT_LENGTH, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::http::response::Parts;
use hyper::StatusCode;
use std::time::Duration;

/// Where a server does not say how long it keeps an idle connection.
const KEEP_ALIVE_DEFAULT: Duration = Duration::from_secs(4);
const IDENTITY: &str = "identity";

/// What the head of a server's answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A success that can be passed on.
    Success,
    /// The server's own failure, which can be passed on: it has run.
    Failure,
    /// A failure with a status that promises what the server does not: it may have run.
    UnmarkedRefusal,
    /// It did not run.
    Declined {
        /// Because the server is full.
        full: bool,
    },
    /// It did not run: another server is listening there.
    Misdirected,
    /// The answer to another request, or none of the protocol.
    Invalid,
}

/// Judges the head of an answer to the request with this id.
pub fn judge(head: &Parts, id: &HeaderValue) -> Verdict {
    if headers::single(&head.headers, &REQUEST_ID) != Some(id) {
        return Verdict::Invalid;
    }
    let declined = head.headers.contains_key(NOT_EXECUTED);
    match head.status {
        // Those that may come before an answer are passed over; another is none that was asked for.
        status if status.is_informational() => Verdict::Invalid,
        StatusCode::MISDIRECTED_REQUEST => Verdict::Misdirected,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS if declined => {
            Verdict::Declined { full: true }
        }
        _ if declined => Verdict::Declined { full: false },
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT => {
            Verdict::UnmarkedRefusal
        }
        status if status.is_success() && !is_sealed(&head.headers) => Verdict::Invalid,
        status if status.is_success() => Verdict::Success,
        _ => Verdict::Failure,
    }
}

/// Returns whether it is a server's whole answer, as the server made it.
fn is_sealed(headers: &HeaderMap) -> bool {
    let encoding = headers.get(CONTENT_ENCODING);
    let plain = encoding.is_none_or(|encoding| encoding.as_bytes().eq_ignore_ascii_case(IDENTITY.as_bytes()));
    plain && headers.contains_key(RESPONSE_SEAL)
}

/// Returns whether the end of the body can be told without the end of the connection. Where not, the connection's
/// proper end is that of the body, and a reset cuts it.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns how long the server keeps the connection of this answer while it is idle; none where it closes it.
pub fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    if !is_framed(headers) || headers::closes(headers) {
        return None;
    }
    let value = headers::single_text(headers, &KEEP_ALIVE);
    Some(value.and_then(keep_alive_seconds).map_or(KEEP_ALIVE_DEFAULT, Duration::from_secs))
}

/// `timeout=5, max=100`, or the seconds alone.
fn keep_alive_seconds(value: &str) -> Option<u64> {
    let mut parameters = value.split(',').map(str::trim);
    let timeout = parameters.find_map(|parameter| parameter.strip_prefix("timeout="));
    timeout.unwrap_or(value).trim().parse().ok()
}

/// An answer that the limiter gives by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnAnswer {
    /// Its status.
    pub status: StatusCode,
    /// The time after which the client may try again, where the request has not run.
    pub retry_after: Option<Duration>,
    /// Whether the rest of the request was not read, or must not be.
    pub closes: bool,
}

impl OwnAnswer {
    /// With this status, on a connection that goes on.
    pub fn status(status: StatusCode) -> Self {
        OwnAnswer { status, retry_after: None, closes: false }
    }

    /// With this status, on a connection that is closed after it.
    pub fn closing(status: StatusCode) -> Self {
        OwnAnswer { closes: true, ..OwnAnswer::status(status) }
    }

    /// It has not run and never will.
    pub fn refusal(retry_after: Duration) -> Self {
        OwnAnswer { retry_after: Some(retry_after), ..OwnAnswer::status(StatusCode::SERVICE_UNAVAILABLE) }
    }

    /// Returns the value of `Retry-After`: seconds with a fraction.
    pub fn retry_after_value(&self) -> Option<(hyper::header::HeaderName, HeaderValue)> {
        let seconds = self.retry_after?.as_secs_f64();
        Some((RETRY_AFTER, HeaderValue::try_from(format!("{seconds:.3}")).ok()?))
    }

    /// Its body: the status in words.
    pub fn text(&self) -> Bytes {
        Bytes::from_static(self.status.canonical_reason().unwrap_or_default().as_bytes())
    }
}
