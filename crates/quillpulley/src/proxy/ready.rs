//! The platform's checks: `GET /v1/ready`.

use super::plane::Plane;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use quillpulley_http1_client::{Connection, ConnectionOptions, Service};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

const PATH: &str = "/v1/ready";

/// Few come, and seldom.
pub const OPTIONS: ConnectionOptions = ConnectionOptions {
    budget: 16,
    max_head: 8 * 1024,
    record: 1,
    head_time: Some(Duration::from_secs(10)),
    linger: (Duration::ZERO, 0),
    at_rest: Duration::from_millis(100),
    never_asked: Duration::from_millis(100),
    accept_pause: Duration::from_millis(100),
};

/// Tells whether this proxy may get clients.
pub struct ReadyService {
    plane: Rc<Plane>,
}

impl ReadyService {
    /// Of this proxy.
    pub fn new(plane: Rc<Plane>) -> Rc<Self> {
        Rc::new(ReadyService { plane })
    }

    fn status(&self, method: &Method, path: &str) -> StatusCode {
        match (path, method) {
            (PATH, &Method::GET | &Method::HEAD) if self.plane.is_ready() => StatusCode::OK,
            (PATH, &Method::GET | &Method::HEAD) => StatusCode::SERVICE_UNAVAILABLE,
            (PATH, _) => StatusCode::METHOD_NOT_ALLOWED,
            _ => StatusCode::NOT_FOUND,
        }
    }
}

impl Service for ReadyService {
    type Body = Full<Bytes>;

    async fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        _: Rc<Connection>,
        _: Option<Instant>,
    ) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        *response.status_mut() = self.status(request.method(), request.uri().path());
        response
    }

    fn accept_failed(&self, error: &io::Error) {
        log::warn!("cannot accept checks ({error}): raise the limit of open files if this goes on");
    }
}
