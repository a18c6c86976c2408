//! What the head of a server's response means.

use crate::proxy::headers::{self, KEEP_ALIVE, NOT_EXECUTED, REQUEST_ID, RESPONSE_SEAL};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::StatusCode;
use std::time::Duration;

/// How long a server keeps an idle connection if it does not say.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
const IDENTITY: &str = "identity";

/// What the head of a server's response means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseVerdict {
    /// A success that can be forwarded.
    Success,
    /// An error of the server that can be forwarded: the request has executed.
    Failure,
    /// An error with a status that promises what the server does not: the request may have executed.
    UnmarkedRejection,
    /// The request did not execute.
    NotExecuted {
        /// Whether that is because the server is full.
        full: bool,
    },
    /// The request did not execute: another server listens at the address.
    Misdirected,
    /// The response to another request, or one that breaks the protocol.
    Invalid,
}

/// Classifies the head of a response to the request with an id.
pub fn classify(head: &Parts, id: &HeaderValue) -> ResponseVerdict {
    if headers::single(&head.headers, &REQUEST_ID) != Some(id) {
        return ResponseVerdict::Invalid;
    }
    let not_executed = head.headers.contains_key(NOT_EXECUTED);
    match head.status {
        // Informational responses before the final one are skipped by hyper; any other was not asked for.
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

/// Returns whether the server vouches for the response, and nobody has encoded it since.
fn is_sealed(headers: &HeaderMap) -> bool {
    let encoding = headers.get(CONTENT_ENCODING);
    let is_identity =
        encoding.is_none_or(|encoding| encoding.as_bytes().eq_ignore_ascii_case(IDENTITY.as_bytes()));
    is_identity && headers.contains_key(RESPONSE_SEAL)
}

/// Returns whether the end of the body can be known without the end of the connection. If not, an orderly close of the
/// connection ends the body, and a reset truncates it.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns how long the server keeps the connection while it is idle; none if it closes it after this response.
pub fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    if !is_framed(headers) || headers::closes_connection(headers) {
        return None;
    }
    let value = headers::single_text(headers, &KEEP_ALIVE);
    Some(value.and_then(keep_alive_seconds).map_or(DEFAULT_KEEP_ALIVE, Duration::from_secs))
}

/// Parses `timeout=5, max=100`, or the seconds alone.
fn keep_alive_seconds(value: &str) -> Option<u64> {
    let mut parameters = value.split(',').map(str::trim);
    let timeout = parameters.find_map(|parameter| parameter.strip_prefix("timeout="));
    timeout.unwrap_or(value).trim().parse().ok()
}
