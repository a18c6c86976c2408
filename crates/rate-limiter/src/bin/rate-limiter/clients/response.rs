//! Responses to clients.

use crate::host::FinalResponse;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// A response to a client.
pub type ClientResponse = Response<Full<Bytes>>;

/// Returns a response with a plain text body.
pub fn plain(status: StatusCode, text: impl Into<Bytes>) -> ClientResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Sets `Connection: close`, so that the connection is closed after the response.
pub fn close_connection(response: &mut ClientResponse) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Converts the final response of the host to an HTTP response.
pub fn from_final(response: FinalResponse) -> ClientResponse {
    match response {
        FinalResponse::Completed(upstream) => from_server(upstream),
        FinalResponse::Rejected(retry_after) => rejected(retry_after),
        FinalResponse::Failed => failed(),
    }
}

/// Returns the response to a request that failed and may have executed.
pub fn failed() -> ClientResponse {
    plain(StatusCode::BAD_GATEWAY, "failed\n")
}

fn from_server(upstream: Response<Bytes>) -> ClientResponse {
    let (head, body) = upstream.into_parts();
    let mut response = Response::new(Full::new(body));
    if let Some(content_type) = head.headers.get(CONTENT_TYPE) {
        response.headers_mut().insert(CONTENT_TYPE, content_type.clone());
    }
    response
}

/// Returns the response to a rejected request, which is safe to retry. `retry_after` is in seconds; if it is 0, the
/// response has no `Retry-After`.
fn rejected(retry_after: f64) -> ClientResponse {
    let mut response = plain(StatusCode::TOO_MANY_REQUESTS, "refused: trying again is harmless\n");
    if retry_after > 0.0 {
        if let Ok(value) = HeaderValue::try_from(format!("{retry_after:.3}")) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}
