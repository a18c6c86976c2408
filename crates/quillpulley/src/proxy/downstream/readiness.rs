//! Readiness checks of the platform: `GET /v1/ready`.

use crate::proxy::state::ProxyState;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use quillpulley_http1::{ConnectionOptions, Linger, ServerConnection, Service};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

const PATH: &str = "/v1/ready";

/// Limits of the connections for readiness checks. Checks are rare, but callers that stall must not hold them up.
pub const OPTIONS: ConnectionOptions = ConnectionOptions {
    max_connections: 128,
    max_header_bytes: 8 * 1024,
    recorded_bytes: 1,
    header_timeout: Some(Duration::from_secs(10)),
    linger: Linger { time: Duration::ZERO, bytes: 0 },
    idle_grace: Duration::from_millis(100),
    first_request_grace: Duration::from_millis(100),
    receive_grace: Some(Duration::from_secs(1)),
    write_stall_timeout: Duration::from_secs(10),
    write_stall_grace: Duration::from_secs(1),
    accept_retry_delay: Duration::from_millis(20),
    plain_heads: false,
    half_close: false,
};

/// Responds to readiness checks: 200 if this proxy is ready for clients, else 503.
pub struct ReadinessService {
    state: Rc<ProxyState>,
}

impl ReadinessService {
    /// Creates the readiness service of a proxy.
    pub fn new(state: Rc<ProxyState>) -> Rc<Self> {
        Rc::new(ReadinessService { state })
    }

    fn status(&self, method: &Method, path: &str) -> StatusCode {
        if path != PATH {
            return StatusCode::NOT_FOUND;
        }
        if method != Method::GET && method != Method::HEAD {
            return StatusCode::METHOD_NOT_ALLOWED;
        }
        match self.state.lifecycle.is_ready(self.state.now()) {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl Service for ReadinessService {
    type Body = Full<Bytes>;

    async fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        _: Rc<ServerConnection>,
        _: Option<Instant>,
    ) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        *response.status_mut() = self.status(request.method(), request.uri().path());
        response
    }

    fn accept_failed(&self, error: &io::Error) {
        log::warn!(
            error:% = error;
            "cannot accept connections for readiness checks: raise the limit of open files if this persists"
        );
    }
}
