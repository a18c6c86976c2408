//! The HTTP service for clients: reads each request, has it forwarded, and responds.
//!
//! A request passes through these methods: `accept` reads and checks it, `forward` has it sent to servers,
//! and `respond` (of [`Service`]) returns the response. If the client closes its connection, the request ends
//! in any of them.

use crate::buffer_budget::BufferReservation;
use crate::proxy::config::active_config::{ActiveConfig, RouteDecision};
use crate::proxy::downstream::local_response::LocalResponse;
use crate::proxy::downstream::open_requests::OpenRequest;
use crate::proxy::downstream::request::{head_bytes, ClientRequest, RequestContext, RequestHead};
use crate::proxy::downstream::response::{self, ClientResponse, ResponseBody};
use crate::proxy::retry::forwarding::{ForwardError, Forwarding, UpstreamResponse};
use crate::proxy::shutdown::lifecycle;
use crate::proxy::state::ProxyState;
use crate::proxy::streaming::event_stream::EventStream;
use crate::proxy::upstream::upstream_request::BufferedBody;
use crate::request_body::{read_body, BodyError, ReservationPolicy};
use hyper::body::{Body, Incoming};
use hyper::{Request, StatusCode};
use quillpulley_http1::{ServerConnection, Service, WriteLimit};
use std::future::{poll_fn, Future};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// `Retry-After` for a request whose id belongs to a request that is still open.
const DUPLICATE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` for a request that cannot be completed before this proxy exits: zero, as another proxy can
/// serve it at once.
const DRAINING_RETRY_AFTER: Duration = Duration::ZERO;
/// `Retry-After` for a request without a known route while the published state is stale.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` for a request whose body does not fit into the memory budget.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// How long after its deadline a response must have been written.
const WRITE_MARGIN: Duration = Duration::from_millis(200);
/// The limit on the time in which clients read complete responses after their deadline. It grows with their length,
/// as the server has executed the request.
const COMPLETE_WRITE_LIMIT: WriteLimit = WriteLimit { base: WRITE_MARGIN, min_rate: 32.0 * 1024.0 };
/// Number of received bytes to record on a connection: one is enough to detect that a request has begun.
pub const RECORDED_BYTES: usize = 1;

/// The service for clients.
pub struct ClientService {
    state: Rc<ProxyState>,
}

/// A request that was accepted.
struct AcceptedRequest {
    context: RequestContext,
    /// The registration of the request, which is held until the response was written.
    open_request: OpenRequest,
    /// The memory of the body of the request.
    reservation: BufferReservation,
}

/// A response from a server.
struct ForwardedResponse {
    response: ClientResponse,
    /// The memory of a complete body; `None` for a stream.
    reservation: Option<BufferReservation>,
}

/// The head of a request, and the route decision for it.
struct RoutedHead {
    head: RequestHead,
    decision: RouteDecision,
    deadline: Instant,
}

impl ClientService {
    /// Creates the client service of a proxy.
    pub fn new(state: Rc<ProxyState>) -> Rc<Self> {
        Rc::new(ClientService { state })
    }

    async fn serve(
        &self,
        request: Request<Incoming>,
        connection: &Rc<ServerConnection>,
    ) -> Result<ClientResponse, LocalResponse> {
        let socket = connection.socket();
        let AcceptedRequest { context, open_request, reservation } = self.accept(request).await?;
        connection.request_received();
        let mut closed = pin!(socket.peer_closed());
        // A client may have closed its connection before it was accepted; its request is not sent to a
        // server.
        if poll_fn(|cx| Poll::Ready(closed.as_mut().poll(cx).is_ready())).await {
            return Err(client_closed_response());
        }
        let forwarded = tokio::select! {
            biased;
            forwarded = self.forward(context, reservation, connection) => forwarded,
            () = closed => Err(client_closed_response()),
        };
        match forwarded {
            Ok(ForwardedResponse { response, reservation }) => {
                connection.hold_until_written((open_request, reservation));
                Ok(response)
            }
            Err(local) => {
                connection.hold_until_written(open_request);
                Err(local)
            }
        }
    }

    /// Reads a request and checks it: head, route, size limits, and a unique id.
    async fn accept(&self, request: Request<Incoming>) -> Result<AcceptedRequest, LocalResponse> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let has_body = !body.is_end_stream();
        // The connection has to be closed after a response that is sent before the body was read.
        let without_reading_body = |response: LocalResponse| response.closing_if(has_body);
        let config = self.state.config.get().ok_or_else(|| without_reading_body(self.starting_response()))?;
        let limits = config.limits();
        if head_bytes(&head) > limits.max_header_bytes as usize {
            return Err(LocalResponse::closing(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
        }
        let head = RequestHead::read(head)?;
        let RoutedHead { head, decision, deadline } =
            self.route(&config, head, arrived).map_err(without_reading_body)?;
        let mut reservation = self.state.upstreams.buffers().reservation();
        let max_bytes = limits.max_body_bytes as usize;
        let reading = read_body(body, max_bytes, ReservationPolicy::BeforeReading, &mut reservation);
        let body = timeout_at(deadline, reading).await;
        let body = body.map_err(|_| LocalResponse::closing(StatusCode::REQUEST_TIMEOUT))?;
        let body = body.map_err(body_error_response)?;
        let open_request = self.open_request(&head)?;
        let request = ClientRequest::new(head, body, arrived, deadline);
        let context = RequestContext { request, decision };
        Ok(AcceptedRequest { context, open_request, reservation })
    }

    /// Finds the route of a request. Called before the body is read, so that a request can be rejected
    /// without reading it.
    fn route(
        &self,
        config: &ActiveConfig,
        head: RequestHead,
        arrived: Instant,
    ) -> Result<RoutedHead, LocalResponse> {
        let state = &self.state;
        let host = head.host.to_str().unwrap_or_default();
        let decision = config.decide(host, head.target.path()).ok_or_else(|| self.no_route_response())?;
        state.home_demand.count(state.now(), config, host, &decision.home_regions);
        let deadline = head.deadline(arrived, decision.timeout);
        if !state.lifecycle.accepts(state.since_start(deadline)) {
            return Err(LocalResponse::unavailable(DRAINING_RETRY_AFTER));
        }
        Ok(RoutedHead { head, decision, deadline })
    }

    /// Registers an open request. Clients use a new id for every request, so a request whose id is already
    /// open is a duplicate.
    fn open_request(&self, head: &RequestHead) -> Result<OpenRequest, LocalResponse> {
        let open_request = self.state.open_requests.open(&head.id);
        open_request.ok_or_else(|| LocalResponse::unavailable(DUPLICATE_RETRY_AFTER))
    }

    /// Returns the response to requests that arrive before a configuration is known.
    fn starting_response(&self) -> LocalResponse {
        LocalResponse::unavailable(lifecycle::startup_retry_after(self.state.now()))
    }

    /// Returns the response to a request without a route. If the published state is stale, another proxy may
    /// know a route that this proxy does not know.
    fn no_route_response(&self) -> LocalResponse {
        match self.state.is_fresh() {
            true => LocalResponse::status(StatusCode::NOT_FOUND),
            false => LocalResponse::unavailable(STALE_RETRY_AFTER),
        }
    }

    async fn forward(
        &self,
        context: RequestContext,
        reservation: BufferReservation,
        connection: &Rc<ServerConnection>,
    ) -> Result<ForwardedResponse, LocalResponse> {
        let deadline = context.request.deadline;
        let mut forwarding = Box::new(Forwarding::new(self.state.clone(), context));
        match forwarding.forward().await {
            Ok(UpstreamResponse::Complete(head, BufferedBody { bytes, reservation })) => {
                let start = deadline.max(Instant::now());
                connection.limit_write_time(start, COMPLETE_WRITE_LIMIT, bytes.len());
                let response = response::from_server(head, ResponseBody::Complete(Some(bytes)));
                Ok(ForwardedResponse { response, reservation: Some(reservation) })
            }
            Ok(UpstreamResponse::Stream(upstream)) => {
                // A stream checks its deadline only when it is polled, and it is not polled while the client
                // does not read.
                connection.set_write_deadline(deadline + WRITE_MARGIN);
                let client = connection.socket().clone();
                let (head, stream) = EventStream::new(forwarding, *upstream, reservation, client);
                let response = response::from_server(head, ResponseBody::Stream(Box::new(stream)));
                Ok(ForwardedResponse { response, reservation: None })
            }
            Err(ForwardError::Local(response)) => Err(response),
            Err(ForwardError::Truncated) => Err(LocalResponse::status(StatusCode::BAD_GATEWAY)),
        }
    }
}

impl Service for ClientService {
    type Body = ResponseBody;

    async fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<ServerConnection>,
        _accepted_at: Option<Instant>,
    ) -> ClientResponse {
        let served = self.serve(request, &connection).await;
        let mut response = served.unwrap_or_else(|local| response::from_local(&local));
        if self.state.lifecycle.is_draining() {
            response::close_connection(&mut response);
        }
        response
    }

    fn accept_failed(&self, error: &io::Error) {
        log::warn!(
            error:% = error;
            "cannot accept client connections: raise the limit of open files if this persists"
        );
    }
}

/// Returns the response to a request whose body was not read. It closes the connection, as the rest of the body
/// is not read either.
fn body_error_response(error: BodyError) -> LocalResponse {
    match error {
        BodyError::TooLarge => LocalResponse::closing(StatusCode::PAYLOAD_TOO_LARGE),
        BodyError::OutOfMemory => LocalResponse::unavailable(NO_MEMORY_RETRY_AFTER).closing_if(true),
        BodyError::Incomplete => LocalResponse::closing(StatusCode::BAD_REQUEST),
    }
}

/// Returns a placeholder response, which is never delivered because the client has closed its connection.
fn client_closed_response() -> LocalResponse {
    LocalResponse::closing(StatusCode::BAD_GATEWAY)
}
