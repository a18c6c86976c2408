//! Answers to clients.

use super::answer::OwnAnswer;
use super::headers;
use super::stream::{EventStream, StreamError};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::http::response::Parts;
use hyper::Response;
use std::pin::Pin;
use std::task::{Context, Poll};

/// An answer to a client.
pub type Reply = Response<ReplyBody>;

/// Its body.
pub enum ReplyBody {
    /// It is whole, until it has been taken.
    Whole(Option<Bytes>),
    /// It comes piece by piece.
    Stream(Box<EventStream>),
}

/// Returns a server's answer.
pub fn from_server(mut head: Parts, body: ReplyBody) -> Reply {
    headers::remove_connection_headers(&mut head.headers);
    Response::from_parts(head, body)
}

/// Returns the limiter's own answer.
pub fn own(answer: &OwnAnswer) -> Reply {
    let mut reply = Response::new(ReplyBody::Whole(Some(answer.text())));
    *reply.status_mut() = answer.status;
    if let Some((name, value)) = answer.retry_after_value() {
        reply.headers_mut().insert(name, value);
    }
    if answer.closes {
        close(&mut reply);
    }
    reply
}

/// The connection is closed after this answer.
pub fn close(reply: &mut Reply) {
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        match &mut *self {
            ReplyBody::Whole(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            ReplyBody::Stream(stream) => Pin::new(stream).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ReplyBody::Whole(body) => body.as_ref().is_none_or(Bytes::is_empty),
            ReplyBody::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Whole(body) => SizeHint::with_exact(body.as_ref().map_or(0, Bytes::len) as u64),
            ReplyBody::Stream(_) => SizeHint::default(),
        }
    }
}
