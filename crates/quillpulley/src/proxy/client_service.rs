//! The clients' side: reads and checks requests, has them forwarded, and writes the answers.

use super::answer::OwnAnswer;
use super::forward::{Answer, Forwarding, Unanswered};
use super::memory::HeldBytes;
use super::plane::{OpenRequest, Plane};
use super::reply::{self, Reply, ReplyBody};
use super::request::{head_bytes, ClientRequest, Job, RequestHead};
use super::stream::EventStream;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::{Request, StatusCode};
use quillpulley_http1_client::{Connection, Service};
use std::future::{poll_fn, Future};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::{sleep_until, timeout_at, Instant};

/// When a client may come again where the memory for bodies is taken, or its request is open already.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// When it may come again where this proxy ends too soon: at once, as others serve it.
const LEAVING_RETRY_AFTER: Duration = Duration::ZERO;
/// When it may come again where no route is known for it, and none of late is known either.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// A stream that goes on for so long after its time is over is not read.
const UNREAD_MARGIN: Duration = Duration::from_millis(200);
/// So much of what comes in is recorded: enough to tell that a request has begun.
pub const RECORDED: usize = 1;

/// The service for clients.
pub struct ClientService {
    plane: Rc<Plane>,
}

/// A request that was taken, with what it holds until it is answered.
struct Taken {
    job: Job,
    open: OpenRequest,
    held: HeldBytes,
}

impl ClientService {
    /// Over what all requests share.
    pub fn new(plane: Rc<Plane>) -> Rc<Self> {
        Rc::new(ClientService { plane })
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        connection: &Rc<Connection>,
    ) -> Result<Reply, OwnAnswer> {
        let socket = connection.socket();
        let taken = self.take(request).await?;
        let mut left = pin!(socket.peer_left());
        // One that left while its connection waited to be accepted is not sent on at all.
        if poll_fn(|cx| Poll::Ready(left.as_mut().poll(cx).is_ready())).await {
            return Err(client_left());
        }
        tokio::select! {
            biased;
            reply = self.forward(taken, connection) => reply,
            () = left => Err(client_left()),
        }
    }

    /// Reads a request whole and checks it.
    async fn take(&self, request: Request<Incoming>) -> Result<Taken, OwnAnswer> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let has_body = !body.is_end_stream();
        let before_body = |answer: OwnAnswer| OwnAnswer { closes: answer.closes || has_body, ..answer };
        let in_force = self.plane.in_force();
        let in_force =
            in_force.ok_or_else(|| before_body(OwnAnswer::refusal(self.plane.starting_retry_after())))?;
        let limits = in_force.limits();
        if head_bytes(&head) > limits.max_header_bytes as usize {
            return Err(OwnAnswer::closing(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
        }
        let head = RequestHead::read(head)?;
        let host = head.host.to_str().unwrap_or_default();
        let plan = in_force.find(host, head.target.path());
        let plan = plan.ok_or_else(|| before_body(self.no_route()))?;
        self.plane.count_homes(&in_force, host, &plan.homes);
        let due = head.due(arrived, plan.timeout);
        if !self.plane.takes(arrived, due) {
            return Err(before_body(OwnAnswer::refusal(LEAVING_RETRY_AFTER)));
        }
        let mut held = self.plane.bodies().hold();
        let reading = read_body(body, limits.max_body_bytes as usize, &mut held);
        let body = timeout_at(due, reading).await;
        let body = body.map_err(|_| OwnAnswer::closing(StatusCode::REQUEST_TIMEOUT))??;
        // Ids are new with every request. One that is open already is a copy of it.
        let open = self.plane.open(&head.id).ok_or(OwnAnswer::refusal(BUSY_RETRY_AFTER))?;
        let request = ClientRequest::new(head, body, arrived, due);
        Ok(Taken { job: Job { request, plan }, open, held })
    }

    /// Returns where the published state is not fresh, another proxy may know a route that this one has not heard of.
    fn no_route(&self) -> OwnAnswer {
        match self.plane.is_fresh() {
            true => OwnAnswer::status(StatusCode::NOT_FOUND),
            false => OwnAnswer::refusal(STALE_RETRY_AFTER),
        }
    }

    async fn forward(&self, taken: Taken, connection: &Rc<Connection>) -> Result<Reply, OwnAnswer> {
        let Taken { job, mut open, held } = taken;
        let due = job.request.due;
        let mut forwarding = Box::new(Forwarding::new(self.plane.clone(), job));
        match forwarding.forward().await {
            Ok(Answer::Whole(head, body)) => Ok(reply::from_server(head, ReplyBody::Whole(Some(body)))),
            Ok(Answer::Stream(answer)) => {
                open.guard(cut_unread(connection.clone(), due));
                let (head, stream) = EventStream::new(forwarding, *answer, (open, held));
                Ok(reply::from_server(head, ReplyBody::Stream(Box::new(stream))))
            }
            Err(Unanswered::Own(answer)) => Err(answer),
            Err(Unanswered::Cut) => Err(OwnAnswer::status(StatusCode::BAD_GATEWAY)),
        }
    }
}

impl Service for ClientService {
    type Body = ReplyBody;

    async fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<Connection>,
        _first: Option<Instant>,
    ) -> Reply {
        let socket = connection.socket();
        socket.record(0);
        let answer = self.answer(request, &connection).await;
        let mut reply = answer.unwrap_or_else(|own| reply::own(&own));
        if self.plane.is_leaving() {
            reply::close(&mut reply);
        }
        socket.record(RECORDED);
        reply
    }

    fn accept_failed(&self, error: &io::Error) {
        log::warn!("cannot accept clients ({error}): raise the limit of open files if this goes on");
    }
}

/// A stream ends itself when its time is over, but only while its client reads: the next piece is not asked for
/// before there is room for it. Then its connection is closed.
async fn cut_unread(connection: Rc<Connection>, due: Instant) {
    sleep_until(due + UNREAD_MARGIN).await;
    connection.cut();
}

/// Nobody reads it.
fn client_left() -> OwnAnswer {
    OwnAnswer::closing(StatusCode::BAD_GATEWAY)
}

/// Reads a body of at most so many bytes.
async fn read_body(mut body: Incoming, most: usize, held: &mut HeldBytes) -> Result<Bytes, OwnAnswer> {
    let too_large = OwnAnswer::closing(StatusCode::PAYLOAD_TOO_LARGE);
    let no_memory = OwnAnswer { closes: true, ..OwnAnswer::refusal(BUSY_RETRY_AFTER) };
    // The size that a length announces is held at once, so that what has begun to be read can be read on.
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > most {
        return Err(too_large);
    }
    if !held.grow_to(announced) {
        return Err(no_memory);
    }
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Err(OwnAnswer::closing(StatusCode::BAD_REQUEST)) };
        let Ok(data) = frame.into_data() else { continue };
        if data.len() == announced {
            return Ok(data);
        }
        if all.is_empty() {
            all.reserve(announced.max(data.len()));
        }
        if all.len() + data.len() > most {
            return Err(too_large);
        }
        if !held.grow_to(all.len() + data.len()) {
            return Err(no_memory);
        }
        all.extend_from_slice(&data);
    }
    Ok(all.freeze())
}
