//! The HTTP interface of the directory.

use super::DirectoryHandle;
use crate::control::http::{self, url, Handler, JsonResponse};
use crate::HostError;
use hyper::body::Incoming;
use hyper::header::RETRY_AFTER;
use hyper::{Method, Request, StatusCode};
use quillpulley_http1::ServerConnection;
use quillpulley_replication::Locality;
use simd_json::prelude::Writable;
use std::net::TcpListener;
use std::rc::Rc;

/// Time for which clients may cache a response, in seconds, unless the settings allow less.
const TIME_TO_LIVE_S: f64 = 2.0;
/// Delay after which a client that received no address should retry, in seconds.
const RETRY_AFTER_S: &str = "0.2";

/// Serves the directory on `listener`. `max_time_to_live_s` is the maximum time for which clients may cache a
/// response, in seconds.
///
/// # Errors
/// [`HostError::Runtime`] if the thread cannot be started.
pub fn serve(
    listener: TcpListener,
    directory: DirectoryHandle,
    max_time_to_live_s: f64,
) -> Result<(), HostError> {
    let time_to_live_s = TIME_TO_LIVE_S.min(max_time_to_live_s);
    http::serve(listener, move || DirectoryHandler { directory, time_to_live_s })
}

/// Responds to `GET /v1/resolve`.
struct DirectoryHandler {
    directory: DirectoryHandle,
    time_to_live_s: f64,
}

impl Handler for DirectoryHandler {
    async fn handle(self: Rc<Self>, request: Request<Incoming>, _: &Rc<ServerConnection>) -> JsonResponse {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/resolve") => self.resolve(request.uri().query().unwrap_or_default()),
            (_, "/v1/resolve") => JsonResponse::new(StatusCode::METHOD_NOT_ALLOWED, "{}"),
            _ => JsonResponse::new(StatusCode::NOT_FOUND, "{}"),
        }
    }
}

impl DirectoryHandler {
    fn resolve(&self, query: &str) -> JsonResponse {
        let parameter = |name| url::query_parameter(query, name).unwrap_or_default();
        let locality = Locality { zone: parameter("Zone"), region: parameter("Region") };
        let addresses = self.directory.get().choose(&parameter("Name"), &locality);
        if addresses.is_empty() {
            return JsonResponse::new(StatusCode::SERVICE_UNAVAILABLE, "{}")
                .with_header(RETRY_AFTER, RETRY_AFTER_S);
        }
        let body = simd_json::json!({ "Addresses": addresses, "TtlS": self.time_to_live_s });
        JsonResponse::new(StatusCode::OK, body.encode())
    }
}
