//! Classification of the head of a server's response.

use crate::proxy::headers::{self, KEEP_ALIVE, NOT_EXECUTED, REQUEST_ID, RESPONSE_SEAL};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::StatusCode;
use std::time::Duration;

/// How long a server keeps an idle connection open if it sends no `Keep-Alive` header.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
const IDENTITY_ENCODING: &str = "identity";

/// The classification of the head of a server's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseVerdict {
    /// A successful response, which can be forwarded.
    Success,
    /// An error response, which can be forwarded: the request has executed.
    Failure,
    /// A 408, 429 or 503 response without `Quillpulley-Not-Executed`. It must not be forwarded, as the status
    /// promises that the request did not execute, but the request may have executed.
    UnmarkedRejection,
    /// The server reports that it did not execute the request.
    NotExecuted {
        /// Whether the server rejected the request because it is full.
        full: bool,
    },
    /// Another server than the intended one listens at the address (421). It did not execute the request.
    Misdirected,
    /// The response to another request, or a response that violates the protocol.
    Invalid,
}

/// Classifies the head of a response to the request with the id `id`.
pub fn classify(head: &Parts, id: &HeaderValue) -> ResponseVerdict {
    if headers::single(&head.headers, &REQUEST_ID) != Some(id) {
        return ResponseVerdict::Invalid;
    }
    let not_executed = head.headers.contains_key(NOT_EXECUTED);
    match head.status {
        // hyper skips informational responses before the final one. Any that it returns, such as 101, was not
        // requested.
        status if status.is_informational() => ResponseVerdict::Invalid,
        StatusCode::MISDIRECTED_REQUEST => ResponseVerdict::Misdirected,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS if not_executed => {
            ResponseVerdict::NotExecuted { full: true }
        }
        _ if not_executed => ResponseVerdict::NotExecuted { full: false },
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT => {
            ResponseVerdict::UnmarkedRejection
        }
        status if status.is_success() && !is_sealed(&head.headers) => ResponseVerdict::Invalid,
        status if status.is_success() => ResponseVerdict::Success,
        _ => ResponseVerdict::Failure,
    }
}

/// Returns whether the response carries the server's seal and no content encoding. An encoding would have
/// been applied after the server sealed the response.
fn is_sealed(headers: &HeaderMap) -> bool {
    let encoding = headers.get(CONTENT_ENCODING);
    let is_identity = encoding
        .is_none_or(|encoding| encoding.as_bytes().eq_ignore_ascii_case(IDENTITY_ENCODING.as_bytes()));
    is_identity && headers.contains_key(RESPONSE_SEAL)
}

/// Returns whether the head tells where the body ends. Otherwise an orderly close of the connection ends the
/// body, and a reset truncates it.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns how long the server keeps the connection open while it is idle. `None` if it closes the connection
/// after this response.
pub fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    if !is_framed(headers) || headers::closes_connection(headers) {
        return None;
    }
    let value = headers::single_text(headers, &KEEP_ALIVE);
    Some(value.and_then(parse_keep_alive_seconds).map_or(DEFAULT_KEEP_ALIVE, Duration::from_secs))
}

/// Parses the value of `Keep-Alive`, in seconds: `timeout=5, max=100`, or a number alone.
fn parse_keep_alive_seconds(value: &str) -> Option<u64> {
    let mut parameters = value.split(',').map(str::trim);
    let timeout = parameters.find_map(|parameter| parameter.strip_prefix("timeout="));
    timeout.unwrap_or(value).trim().parse().ok()
}
