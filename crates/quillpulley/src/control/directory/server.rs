//! The HTTP interface of the directory.

use super::DirectoryHandle;
use crate::control::api::http::{self, Handler, JsonResponse};
use crate::HostError;
use quillpulley_replication::Locality;
use simd_json::prelude::Writable;
use std::net::TcpListener;
use std::sync::Arc;
use tiny_http::{Method, Request};

/// Time for which clients may cache a response, in seconds, unless the settings allow less.
const TIME_TO_LIVE_S: f64 = 2.0;
/// Delay after which a client that received no address should retry, in seconds.
const RETRY_AFTER_S: &str = "0.2";
const THREADS: usize = 2;

/// Serves the directory on `listener`. `max_time_to_live_s` is the maximum time for which clients may cache a
/// response, in seconds.
///
/// # Errors
/// [`HostError::Runtime`] if the threads cannot be started.
pub fn serve(
    listener: TcpListener,
    directory: DirectoryHandle,
    max_time_to_live_s: f64,
) -> Result<(), HostError> {
    let time_to_live_s = TIME_TO_LIVE_S.min(max_time_to_live_s);
    let handler: Handler = Arc::new(move |request| handle_request(request, &directory, time_to_live_s));
    http::serve(listener, THREADS, handler)
}

fn handle_request(request: Request, directory: &DirectoryHandle, time_to_live_s: f64) {
    let response = match (request.method(), http::path(request.url())) {
        (Method::Get, "/v1/resolve") => resolve(request.url(), directory, time_to_live_s),
        (_, "/v1/resolve") => JsonResponse::new(405, b"{}".to_vec()),
        _ => JsonResponse::new(404, b"{}".to_vec()),
    };
    http::respond(request, response);
}

fn resolve(url: &str, directory: &DirectoryHandle, time_to_live_s: f64) -> JsonResponse {
    let parameter = |name| http::query_parameter(url, name).unwrap_or_default();
    let locality = Locality { zone: parameter("Zone"), region: parameter("Region") };
    let addresses = directory.get().choose(&parameter("Name"), &locality);
    if addresses.is_empty() {
        return JsonResponse::new(503, b"{}".to_vec()).with_header("Retry-After", RETRY_AFTER_S);
    }
    let body = simd_json::json!({ "Addresses": addresses, "TtlS": time_to_live_s });
    JsonResponse::new(200, body.encode().into_bytes())
}
