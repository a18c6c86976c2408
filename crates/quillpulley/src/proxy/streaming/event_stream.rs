//! The body of a streamed response: passes events on as they come, and resumes a broken stream at another server where
//! the route allows it.
//!
//! Nothing is read from the server that the client's connection has not asked for, which asks as far as its buffer
//! goes. Dropped before its end (the client has closed its connection), it closes the connection to the server.

use crate::proxy::admission::buffer_budget::BufferReservation;
use crate::proxy::downstream::open_requests::OpenRequest;
use crate::proxy::downstream::request::RequestContext;
use crate::proxy::retry::forwarding::{ForwardError, Forwarding, StreamingResponse, UpstreamResponse};
use crate::proxy::streaming::event_splitter::{EventSplitter, Position};
use crate::proxy::upstream::response_head;
use crate::proxy::upstream::upstream_request::UpstreamRequest;
use bytes::Bytes;
use displaydoc::Display;
use hyper::body::{Body, Frame, Incoming};
use hyper::http::response::Parts;
use quillpulley_load_balancer::{FailureKind, Outcome};
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{sleep_until, Sleep};

/// Why a stream is truncated. The connection to the client is closed, so that the stream does not look complete.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StreamError {
    /// the server broke the stream off: look for its cause there
    Broken,
    /// the time of the request is over: raise TimeoutMs of the route if that is too soon
    TimedOut,
}

impl std::error::Error for StreamError {}

/// What a request holds while its response is streamed.
pub struct StreamGuards {
    /// The request is open.
    pub open: OpenRequest,
    /// The memory of its body.
    pub reservation: BufferReservation,
}

type Resumption = Pin<Box<dyn Future<Output = (Box<Forwarding>, Result<UpstreamResponse, ForwardError>)>>>;

/// Where the events come from.
enum Source {
    /// A server sends them.
    Upstream(Box<UpstreamSource>),
    /// The stream broke, and another server is being looked for.
    Resuming(Resumption),
    /// The server has completed the stream.
    Complete,
    /// The stream is truncated.
    Truncated,
}

/// A server that streams its response.
struct UpstreamSource {
    forwarding: Box<Forwarding>,
    request: UpstreamRequest,
    body: Incoming,
    /// How long the server keeps the connection, if at all.
    keep_alive: Option<Duration>,
}

/// The body of a streamed response.
pub struct EventStream {
    source: Source,
    /// Splits streams that may be resumed into events.
    splitter: Option<EventSplitter>,
    /// Whether the current server has sent anything.
    has_begun: bool,
    due: Pin<Box<Sleep>>,
    _guards: StreamGuards,
}

impl EventStream {
    /// Creates the head and the body of a response to a client.
    pub fn new(
        mut forwarding: Box<Forwarding>,
        response: StreamingResponse,
        guards: StreamGuards,
    ) -> (Parts, Self) {
        let RequestContext { request, decision } = forwarding.context();
        let is_resumable = decision.resumable && !forwarding.faults().stream_resumption();
        let splitter = is_resumable.then(|| EventSplitter::new(request.last_event_id()));
        let due = Box::pin(sleep_until(request.due));
        forwarding.response_begun();
        let (head, source) = Source::upstream(forwarding, response);
        (head, EventStream { source, splitter, has_begun: false, due, _guards: guards })
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamError>>> {
        if self.due.as_mut().poll(cx).is_ready() {
            self.change_source(Source::Truncated);
            return Poll::Ready(Some(Err(StreamError::TimedOut)));
        }
        loop {
            match &mut self.source {
                Source::Upstream(upstream) => {
                    match ready!(upstream.request.poll_data(cx, &mut upstream.body)) {
                        Some(Ok(data)) => {
                            if let Some(events) = self.push(data) {
                                return Poll::Ready(Some(Ok(events)));
                            }
                        }
                        Some(Err(_)) => self.connection_broken(),
                        None => return Poll::Ready(self.finish().map(Ok)),
                    }
                }
                Source::Resuming(resumption) => {
                    let (forwarding, result) = ready!(resumption.as_mut().poll(cx));
                    self.resumed(forwarding, result);
                }
                Source::Complete => return Poll::Ready(None),
                Source::Truncated => return Poll::Ready(Some(Err(StreamError::Broken))),
            }
        }
    }

    /// Adds a chunk of the stream, and returns what can be forwarded now.
    fn push(&mut self, data: Bytes) -> Option<Bytes> {
        if !self.has_begun {
            self.has_begun = true;
            if let Source::Upstream(upstream) = &self.source {
                upstream.request.record_started();
            }
        }
        match &mut self.splitter {
            Some(splitter) => splitter.push(&data),
            None => Some(data),
        }
    }

    /// Handles that the server has completed the stream, and returns the rest of it.
    fn finish(&mut self) -> Option<Bytes> {
        if let Source::Upstream(upstream) = self.change_source(Source::Complete) {
            upstream.request.complete(Outcome::Completed, upstream.keep_alive);
        }
        self.splitter.as_mut().and_then(EventSplitter::finish)
    }

    /// Handles that the connection to the server broke.
    fn connection_broken(&mut self) {
        let Source::Upstream(upstream) = self.change_source(Source::Truncated) else { return };
        let UpstreamSource { mut forwarding, request, .. } = *upstream;
        request.end(Outcome::Failed(FailureKind::Truncated));
        let Some(splitter) = &mut self.splitter else { return };
        if !splitter.restart() {
            return;
        }
        let after = match splitter.position() {
            Position::After(id) => Some(id.clone()),
            Position::Start | Position::Unnamed => None,
        };
        self.has_begun = false;
        self.change_source(Source::Resuming(Box::pin(async move {
            let result = forwarding.resume(after).await;
            (forwarding, result)
        })));
    }

    /// Handles the response of another server, or that there is none.
    fn resumed(&mut self, mut forwarding: Box<Forwarding>, result: Result<UpstreamResponse, ForwardError>) {
        self.change_source(match result {
            Ok(UpstreamResponse::Stream(response)) => {
                forwarding.response_begun();
                // The client has the head of the first server.
                let (_, source) = Source::upstream(forwarding, *response);
                source
            }
            Ok(UpstreamResponse::Complete(..)) | Err(_) => Source::Truncated,
        });
    }

    /// Replaces the source and returns the one before. Every change of source happens here.
    fn change_source(&mut self, source: Source) -> Source {
        std::mem::replace(&mut self.source, source)
    }
}

impl Source {
    /// Returns the head of a response, and the source of its body.
    fn upstream(forwarding: Box<Forwarding>, response: StreamingResponse) -> (Parts, Source) {
        let StreamingResponse { head, body, upstream_request } = response;
        let keep_alive = response_head::keep_alive(&head.headers);
        (
            head,
            Source::Upstream(Box::new(UpstreamSource {
                forwarding,
                request: upstream_request,
                body,
                keep_alive,
            })),
        )
    }
}

impl Body for EventStream {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        let next = ready!(self.poll_next(cx));
        Poll::Ready(next.map(|data| data.map(Frame::data)))
    }
}
