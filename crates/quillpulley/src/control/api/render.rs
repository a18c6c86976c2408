//! Conversion of responses to HTTP.

use crate::control::http::JsonResponse;
use crate::control::response::Response;
use bytes::Bytes;
use hyper::header::{LOCATION, RETRY_AFTER};
use hyper::StatusCode;
use simd_json::prelude::Writable;
use std::net::SocketAddr;

/// Delay after which a caller whose outcome is unknown should retry, in seconds.
const RETRY_AFTER_S: &str = "0.2";

/// Converts the response to a request for this path and query, which came to `own_address`, to HTTP.
pub(super) fn render(target: &str, own_address: SocketAddr, response: Response) -> JsonResponse {
    match response {
        Response::Acknowledged => JsonResponse::new(StatusCode::OK, b"{}".to_vec()),
        Response::Configuration(body) => JsonResponse::new(StatusCode::OK, Bytes::from_owner(body)),
        Response::Status(body) => JsonResponse::new(StatusCode::OK, body),
        Response::NoConfiguration => error(StatusCode::NOT_FOUND, "no configuration has been taken yet"),
        Response::Conflict { current } => error(
            StatusCode::PRECONDITION_FAILED,
            &format!("version {current} is in place: read it and build on it"),
        ),
        Response::HistoryExpired { oldest } => retry_later(&format!(
            "what was taken on versions below {oldest} is forgotten: read the configuration in force"
        )),
        Response::Invalid(reason) => error(StatusCode::BAD_REQUEST, &reason),
        Response::ConfirmationRequired(_) => redirect(own_address, target),
        Response::Redirect(primary) => redirect(primary, target),
        Response::Unavailable => retry_later("no primary has confirmed this: send it again"),
    }
}

fn redirect(address: SocketAddr, target: &str) -> JsonResponse {
    let location = format!("http://{address}{target}");
    JsonResponse::new(StatusCode::TEMPORARY_REDIRECT, b"{}".to_vec()).with_header(LOCATION, location)
}

/// Returns a response with an error status and the reason as its JSON body.
pub(super) fn error(status: StatusCode, reason: &str) -> JsonResponse {
    let body = simd_json::json!({ "Error": reason });
    JsonResponse::new(status, body.encode().into_bytes())
}

fn retry_later(reason: &str) -> JsonResponse {
    error(StatusCode::SERVICE_UNAVAILABLE, reason).with_header(RETRY_AFTER, RETRY_AFTER_S)
}
