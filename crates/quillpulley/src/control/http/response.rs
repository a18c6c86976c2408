//! Responses with a JSON body.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE};
use hyper::{Response, StatusCode};

/// A response with a JSON body and the header `Connection: close`: callers come seldom, and each of them with one
/// request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JsonResponse {
    status: StatusCode,
    headers: Vec<(HeaderName, String)>,
    body: Bytes,
}

impl JsonResponse {
    /// Creates a response without additional headers.
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        JsonResponse { status, headers: Vec::new(), body: body.into() }
    }

    /// Adds a header. A value that is not allowed in a header is left out.
    pub fn with_header(mut self, name: HeaderName, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Returns the length of the body, in bytes.
    pub fn body_bytes(&self) -> usize {
        self.body.len()
    }

    /// Converts the response to HTTP. The headers are written in this order.
    pub fn into_http(self) -> Response<Full<Bytes>> {
        let length = HeaderValue::from(self.body.len());
        let mut response = Response::new(Full::new(self.body));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(CONTENT_LENGTH, length);
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        for (name, value) in self.headers {
            if let Ok(value) = HeaderValue::try_from(value) {
                headers.insert(name, value);
            }
        }
        response
    }
}
