//! Responses to clients.

use crate::proxy::downstream::local_response::LocalResponse;
use crate::proxy::headers;
use crate::proxy::streaming::event_stream::{EventStream, StreamError};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::http::response::Parts;
use hyper::Response;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A response to a client.
pub type ClientResponse = Response<ResponseBody>;

/// The body of a response to a client.
pub enum ResponseBody {
    /// A body that is complete; `None` once it has been read.
    Complete(Option<Bytes>),
    /// A body that is streamed from a server.
    Stream(Box<EventStream>),
}

/// Returns a server's response as it is forwarded to the client, without hop-by-hop headers.
pub fn from_server(mut head: Parts, body: ResponseBody) -> ClientResponse {
    headers::remove_connection_headers(&mut head.headers);
    Response::from_parts(head, body)
}

/// Returns the HTTP response for a response that the proxy generated itself.
pub fn from_local(local: &LocalResponse) -> ClientResponse {
    let mut response = Response::new(ResponseBody::Complete(Some(local.body())));
    *response.status_mut() = local.status;
    if let Some((name, value)) = local.retry_after_header() {
        response.headers_mut().insert(name, value);
    }
    if local.closes_connection {
        close_connection(&mut response);
    }
    response
}

/// Adds `Connection: close`, so that the connection is closed after the response.
pub fn close_connection(response: &mut ClientResponse) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        match &mut *self {
            ResponseBody::Complete(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            ResponseBody::Stream(stream) => Pin::new(stream).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Complete(body) => body.as_ref().is_none_or(Bytes::is_empty),
            ResponseBody::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Complete(body) => SizeHint::with_exact(body.as_ref().map_or(0, Bytes::len) as u64),
            ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}
