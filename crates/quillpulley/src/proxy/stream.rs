//! The body of a streamed answer: passes events on as they come, and takes a stream up elsewhere where it may.
//!
//! Nothing is read from the server that has not been asked for by the client's connection, which asks as far as its
//! buffer goes. Dropped before its end (the client has left), it closes the connection to the server.

use super::answer;
use super::events::{EventSplitter, Position};
use super::forward::{Answer, Forwarding, OpenAnswer, Unanswered};
use super::memory::HeldBytes;
use super::plane::OpenRequest;
use super::request::Job;
use super::run::Run;
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

/// Why a stream breaks off: its connection to the client is closed, so that it does not look complete.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StreamError {
    /// the server broke the stream off: look for its cause there
    Broken,
    /// the time of the request is over: raise TimeoutMs of the route if that is too soon
    TimedOut,
}

impl std::error::Error for StreamError {}

type Resumption = Pin<Box<dyn Future<Output = (Box<Forwarding>, Result<Answer, Unanswered>)>>>;

/// Where the events come from.
enum Source {
    /// A server.
    Server(Box<ServerSource>),
    /// It broke off, and another server is looked for.
    Resuming(Resumption),
    /// The server has ended it properly.
    Complete,
    /// It broke off.
    Cut,
}

/// A server that streams its answer.
struct ServerSource {
    forwarding: Box<Forwarding>,
    run: Run,
    body: Incoming,
    /// How long the server keeps the connection, if at all.
    keep_alive: Option<Duration>,
}

/// The body of a streamed answer.
pub struct EventStream {
    source: Source,
    /// For streams that may be taken up.
    splitter: Option<EventSplitter>,
    /// Whether the server at hand has sent a piece.
    begun: bool,
    due: Pin<Box<Sleep>>,
    _held: (OpenRequest, HeldBytes),
}

impl EventStream {
    /// Creates the body of an answer, and its head, which is to be passed on.
    pub fn new(
        mut forwarding: Box<Forwarding>,
        answer: OpenAnswer,
        held: (OpenRequest, HeldBytes),
    ) -> (Parts, Self) {
        let Job { request, plan } = forwarding.job();
        let splitter = plan.resumable.then(|| EventSplitter::new(request.last_event_id()));
        let due = Box::pin(sleep_until(request.due));
        forwarding.head_passed();
        let (head, source) = Source::server(forwarding, answer);
        (head, EventStream { source, splitter, begun: false, due, _held: held })
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamError>>> {
        if self.due.as_mut().poll(cx).is_ready() {
            self.change_source(Source::Cut);
            return Poll::Ready(Some(Err(StreamError::TimedOut)));
        }
        loop {
            match &mut self.source {
                Source::Server(server) => match ready!(server.run.poll_data(cx, &mut server.body)) {
                    Some(Ok(data)) => {
                        if let Some(data) = self.take(data) {
                            return Poll::Ready(Some(Ok(data)));
                        }
                    }
                    Some(Err(_)) => self.broken(),
                    None => return Poll::Ready(self.finish().map(Ok)),
                },
                Source::Resuming(resumption) => {
                    let (forwarding, result) = ready!(resumption.as_mut().poll(cx));
                    self.resumed(forwarding, result);
                }
                Source::Complete => return Poll::Ready(None),
                Source::Cut => return Poll::Ready(Some(Err(StreamError::Broken))),
            }
        }
    }

    /// Takes a piece of the stream, and gives what can be passed on now.
    fn take(&mut self, data: Bytes) -> Option<Bytes> {
        if !self.begun {
            self.begun = true;
            if let Source::Server(server) = &self.source {
                server.run.started();
            }
        }
        match &mut self.splitter {
            Some(splitter) => splitter.push(&data),
            None => Some(data),
        }
    }

    /// Handles that the server has ended the stream properly.
    fn finish(&mut self) -> Option<Bytes> {
        if let Source::Server(server) = self.change_source(Source::Complete) {
            server.run.end_whole(Outcome::Served, server.keep_alive);
        }
        self.splitter.as_mut().and_then(EventSplitter::finish)
    }

    /// The server has broken the stream off.
    fn broken(&mut self) {
        let Source::Server(server) = self.change_source(Source::Cut) else { return };
        let ServerSource { mut forwarding, run, .. } = *server;
        run.end(Outcome::Failed(FailureKind::BrokeOff));
        let Some(splitter) = &mut self.splitter else { return };
        if !splitter.restart() {
            return;
        }
        let after = match splitter.position() {
            Position::After(id) => Some(id.clone()),
            Position::Start | Position::Unnamed => None,
        };
        self.begun = false;
        self.change_source(Source::Resuming(Box::pin(async move {
            let result = forwarding.resume(after).await;
            (forwarding, result)
        })));
    }

    fn resumed(&mut self, mut forwarding: Box<Forwarding>, result: Result<Answer, Unanswered>) {
        self.change_source(match result {
            Ok(Answer::Stream(answer)) => {
                forwarding.head_passed();
                // The head stays that of the first server.
                Source::server(forwarding, *answer).1
            }
            Ok(Answer::Whole(..)) | Err(_) => Source::Cut,
        });
    }

    /// Returns every change of state happens here. Gives the state before.
    fn change_source(&mut self, source: Source) -> Source {
        std::mem::replace(&mut self.source, source)
    }
}

impl Source {
    /// Returns the head and the source of the body.
    fn server(forwarding: Box<Forwarding>, answer: OpenAnswer) -> (Parts, Source) {
        let OpenAnswer { head, body, run } = answer;
        let keep_alive = answer::keep_alive(&head.headers);
        (head, Source::Server(Box::new(ServerSource { forwarding, run, body, keep_alive })))
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
