//! The part of a client's request that is forwarded to servers.

use super::headers::{CORRELATION_ID, IDEMPOTENCY_KEY, TIME_REMAINING};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE, HOST};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Uri};
use std::net::SocketAddr;
use tokio::time::Instant;

/// The data from which the requests to servers are built. It is the same for all attempts.
pub struct ForwardedRequest {
    pub method: Method,
    pub target: PathAndQuery,
    pub correlation_id: HeaderValue,
    pub idempotency_key: Option<HeaderValue>,
    pub content_type: Option<HeaderValue>,
    pub body: Bytes,
    /// The time by which the client must get the final response.
    pub deadline: Instant,
}

impl ForwardedRequest {
    /// Builds the request for a server. The header [`TIME_REMAINING`] gives the time until `give_up_at`, when the attempt
    /// ends.
    pub fn for_server(&self, address: SocketAddr, give_up_at: Instant) -> Request<Full<Bytes>> {
        let remaining = give_up_at.saturating_duration_since(Instant::now()).as_micros();
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.target.clone());
        let headers = request.headers_mut();
        let mut insert = |name, value: Option<HeaderValue>| value.map(|value| headers.insert(name, value));
        insert(HOST, HeaderValue::try_from(address.to_string()).ok());
        insert(CORRELATION_ID, Some(self.correlation_id.clone()));
        insert(IDEMPOTENCY_KEY, self.idempotency_key.clone());
        insert(CONTENT_TYPE, self.content_type.clone());
        insert(TIME_REMAINING, HeaderValue::try_from(format!("{remaining}u")).ok());
        request
    }
}
