//! The body of a streamed response: forwards events as they arrive, and resumes a broken stream at another
//! server if the route allows it.
//!
//! Backpressure: data is read from the server only when the connection to the client polls for it, which it
//! does until its write buffer is full. If the client closes its connection, the stream ends, and the
//! connection to the server is closed.

use crate::buffer_budget::BufferReservation;
use crate::proxy::downstream::request::RequestContext;
use crate::proxy::retry::forwarding::{ForwardError, Forwarding, StreamingResponse, UpstreamResponse};
use crate::proxy::streaming::event_boundary::EventBoundary;
use crate::proxy::streaming::event_splitter::{EventSplitter, Position};
use crate::proxy::upstream::response_head;
use crate::proxy::upstream::upstream_request::UpstreamRequest;
use bytes::Bytes;
use displaydoc::Display;
use hyper::body::{Body, Frame, Incoming};
use hyper::http::response::Parts;
use quillpulley_http1::Socket;
use quillpulley_load_balancer::{FailureKind, Outcome};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{sleep_until, Sleep};

/// Why a stream was truncated. The connection to the client is then closed, so that the stream does not
/// appear complete.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StreamError {
    /// the server ended the stream before it was complete: look for the cause at the server
    Broken,
    /// the deadline passed before the stream was complete: raise TimeoutMs of the route if it is too short
    TimedOut,
    /// the client closed its connection before the stream was complete
    ClientClosed,
}

impl std::error::Error for StreamError {}

type ClientClosed = Pin<Box<dyn Future<Output = ()>>>;
type Resumption = Pin<Box<dyn Future<Output = (Box<Forwarding>, Result<UpstreamResponse, ForwardError>)>>>;

/// The source of the events.
enum Source {
    /// A server streams the response.
    Upstream(Box<UpstreamSource>),
    /// The stream broke, and another server is being found to resume it.
    Resuming(Resumption),
    /// The server has ended the stream.
    Complete,
    /// The stream is truncated, and cannot be resumed.
    Truncated,
}

/// A server that streams its response.
struct UpstreamSource {
    forwarding: Box<Forwarding>,
    request: UpstreamRequest,
    body: Incoming,
    /// How long the server keeps the connection open while it is idle. `None` if the server closes it after
    /// the response.
    keep_alive: Option<Duration>,
    /// Whether the body received so far ends with a complete event. `None` if the head tells where the body ends.
    boundary: Option<EventBoundary>,
}

impl UpstreamSource {
    /// Returns whether a body that has ended was cut off: the connection is all that marks its end, and an event
    /// is incomplete. A server whose process dies closes its connections in the same orderly way.
    fn is_cut_off(&self) -> bool {
        self.boundary.is_some_and(|boundary| boundary != EventBoundary::BetweenEvents)
    }
}

/// The body of a streamed response.
pub struct EventStream {
    source: Source,
    /// Splits the stream into events. `None` if the stream cannot be resumed, so that data is forwarded as it
    /// arrives.
    splitter: Option<EventSplitter>,
    /// Whether any data of the body was received from the current server.
    has_received_data: bool,
    deadline: Pin<Box<Sleep>>,
    /// Is ready once the client has closed its connection. hyper does not notice that while input of the client
    /// is unread.
    client_closed: ClientClosed,
    /// The memory of the body of the request, which may be sent to another server.
    _reservation: BufferReservation,
}

impl EventStream {
    /// Creates the head and the body of the response to the client, whose connection is `client`. `reservation`
    /// is the memory of the body of the request.
    pub fn new(
        mut forwarding: Box<Forwarding>,
        response: StreamingResponse,
        reservation: BufferReservation,
        client: Rc<Socket>,
    ) -> (Parts, Self) {
        let RequestContext { request, decision } = forwarding.context();
        let is_resumable = decision.resumable && !forwarding.faults().stream_resumption();
        let splitter = is_resumable.then(|| EventSplitter::new(request.last_event_id()));
        let deadline = Box::pin(sleep_until(request.deadline));
        forwarding.response_begun();
        let client_closed = Box::pin(async move { client.peer_closed().await });
        let (head, source) = Source::upstream(forwarding, response);
        let stream = EventStream {
            source,
            splitter,
            has_received_data: false,
            deadline,
            client_closed,
            _reservation: reservation,
        };
        (head, stream)
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamError>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            self.change_source(Source::Truncated);
            return Poll::Ready(Some(Err(StreamError::TimedOut)));
        }
        if self.poll_client_closed(cx) {
            self.change_source(Source::Truncated);
            return Poll::Ready(Some(Err(StreamError::ClientClosed)));
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
                        Some(Err(_)) => self.handle_broken_connection(),
                        None if upstream.is_cut_off() => self.handle_broken_connection(),
                        None => return Poll::Ready(self.handle_end().map(Ok)),
                    }
                }
                Source::Resuming(resumption) => {
                    let (forwarding, result) = ready!(resumption.as_mut().poll(cx));
                    self.handle_resumption(forwarding, result);
                }
                Source::Complete => return Poll::Ready(None),
                Source::Truncated => return Poll::Ready(Some(Err(StreamError::Broken))),
            }
        }
    }

    /// Returns whether the client has closed its connection. Not polled again after that.
    fn poll_client_closed(&mut self, cx: &mut Context<'_>) -> bool {
        !matches!(self.source, Source::Truncated) && self.client_closed.as_mut().poll(cx).is_ready()
    }

    /// Adds a chunk of the stream, and returns the data to forward now, if any.
    fn push(&mut self, data: Bytes) -> Option<Bytes> {
        if let Source::Upstream(upstream) = &mut self.source {
            upstream.boundary = upstream.boundary.map(|boundary| boundary.after(&data));
            if !self.has_received_data {
                upstream.request.record_started();
            }
        }
        self.has_received_data = true;
        match &mut self.splitter {
            Some(splitter) => splitter.push(&data),
            None => Some(data),
        }
    }

    /// Handles the end of the stream, and returns the data that is left to forward.
    fn handle_end(&mut self) -> Option<Bytes> {
        if let Source::Upstream(upstream) = self.change_source(Source::Complete) {
            upstream.request.complete(Outcome::Completed, upstream.keep_alive);
        }
        self.splitter.as_mut().and_then(EventSplitter::finish)
    }

    /// Handles a broken connection to the server: begins to resume the stream if possible, else truncates it.
    fn handle_broken_connection(&mut self) {
        let Source::Upstream(upstream) = self.change_source(Source::Truncated) else { return };
        let UpstreamSource { mut forwarding, request, .. } = *upstream;
        request.end(Outcome::Failed(FailureKind::Truncated));
        let Some(splitter) = &mut self.splitter else { return };
        if !splitter.restart() {
            return;
        }
        let after = match splitter.position() {
            Position::After(id) => Some(id.clone()),
            Position::Start | Position::WithoutId => None,
        };
        self.has_received_data = false;
        self.change_source(Source::Resuming(Box::pin(async move {
            let result = forwarding.resume(after).await;
            (forwarding, result)
        })));
    }

    /// Handles the result of resuming the stream at another server.
    fn handle_resumption(
        &mut self,
        mut forwarding: Box<Forwarding>,
        result: Result<UpstreamResponse, ForwardError>,
    ) {
        self.change_source(match result {
            Ok(UpstreamResponse::Stream(response)) => {
                forwarding.response_begun();
                // The client already has the head of the first server's response.
                let (_, source) = Source::upstream(forwarding, *response);
                source
            }
            Ok(UpstreamResponse::Complete(..)) | Err(_) => Source::Truncated,
        });
    }

    /// Replaces the source and returns the previous one. Every change of the source happens here.
    fn change_source(&mut self, source: Source) -> Source {
        std::mem::replace(&mut self.source, source)
    }
}

impl Source {
    /// Returns the head of a server's response, and the source of its body.
    fn upstream(forwarding: Box<Forwarding>, response: StreamingResponse) -> (Parts, Source) {
        let StreamingResponse { head, body, upstream_request } = response;
        let keep_alive = response_head::keep_alive(&head.headers);
        let boundary = (!response_head::is_framed(&head.headers)).then(EventBoundary::default);
        (
            head,
            Source::Upstream(Box::new(UpstreamSource {
                forwarding,
                request: upstream_request,
                body,
                keep_alive,
                boundary,
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
