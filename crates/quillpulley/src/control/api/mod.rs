//! The operator API: reads requests, passes them to the main thread, and writes its responses.
//!
//! One thread serves all connections, and waits for no caller. The main thread decides the responses. Immediately
//! before a response is written, the clock is checked: if the lease on which the response relies has ended, the
//! caller is asked to retry. A command whose caller has closed its connection is not executed: the caller has sent
//! it again elsewhere. A command that has to be confirmed is redirected to the same node. It is sent again on
//! a new connection, as each response ends its connection, and that connection tells that it was sent after the
//! redirect (see [`ServerConnection::set_mark`]).

mod render;
mod request;

pub use request::{Operation, MAX_BODY_BYTES};

use crate::buffer_budget::BufferBudget;
use crate::control::clock::Clock;
use crate::control::confirmations::{ConfirmationId, Receipt};
use crate::control::http::{self, Handler, JsonResponse};
use crate::control::response::{Response, TimedResponse};
use crate::HostError;
use hyper::body::Incoming;
use hyper::Request;
use quillpulley_http1::{PeerWatch, ServerConnection, Socket};
use request::ReceivedOperation;
use std::future::pending;
use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Maximum memory of the bodies that are being read, or wait for the main thread, in bytes.
const BODY_MEMORY_BYTES: usize = 32 * 1024 * 1024;
/// Time for which a command waits before it is passed on. If its caller had closed the connection when the command
/// was still on its way, the end of the connection mostly follows within this time.
const COMMAND_SETTLE_TIME: Duration = Duration::from_millis(20);
/// Maximum time for which a redirect waits until the connections that were opened before have been accepted.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(200);

/// A request from an operator, with the handle through which it is answered.
pub struct ApiRequest {
    /// The requested operation.
    pub operation: Operation,
    /// How and when it arrived.
    pub receipt: Receipt,
    /// The handle through which the caller is answered.
    pub responder: Responder,
}

/// Sends the response to one request. If it is dropped unused, the caller is asked to retry.
pub struct Responder {
    response: oneshot::Sender<TimedResponse>,
    /// Watches the caller of a command.
    caller: Option<PeerWatch>,
}

impl Responder {
    /// Passes on the response, which is written if it is still valid by then. Otherwise the caller is asked to
    /// retry.
    pub fn send(self, response: TimedResponse) {
        if self.response.send(response).is_err() {
            log::debug!("a response is dropped: its caller has gone");
        }
    }

    /// Returns whether the caller of a command has closed its connection by now.
    pub fn caller_has_gone(&self) -> bool {
        self.response.is_closed() || self.caller.as_ref().is_some_and(PeerWatch::has_closed)
    }
}

/// The responses that are being written.
#[derive(Clone, Default)]
pub struct UnwrittenResponses(Arc<AtomicUsize>);

impl UnwrittenResponses {
    /// Returns whether every response was written, or its caller has gone.
    pub fn is_empty(&self) -> bool {
        self.0.load(Ordering::Acquire) == 0
    }

    fn add(&self) -> UnwrittenResponse {
        self.0.fetch_add(1, Ordering::AcqRel);
        UnwrittenResponse(self.0.clone())
    }
}

/// A response that is being written until this is dropped.
struct UnwrittenResponse(Arc<AtomicUsize>);

impl Drop for UnwrittenResponse {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

quillpulley_fault_injection::define_faults! {
    /// Faults that tests inject into the API.
    #[doc(hidden)]
    Faults {
        /// Responses are written without checking whether the lease has ended.
        skip_lease_check,
    }
}

/// Serves the API on `listener`. `deliver` passes a request to the main thread, or returns it if the main
/// thread is overloaded. The expiry of responses is checked against `clock`. Returns the responses that are being
/// written.
///
/// # Errors
/// [`HostError::Runtime`] if the thread cannot be started.
pub fn serve<D>(listener: TcpListener, clock: Clock, deliver: D) -> Result<UnwrittenResponses, HostError>
where
    D: Fn(Box<ApiRequest>) -> Result<(), Box<ApiRequest>> + Send + 'static,
{
    serve_with_faults(listener, clock, Faults::default(), deliver)
}

/// Serves the API with injected `faults`, for tests.
#[doc(hidden)]
pub fn serve_with_faults<D>(
    listener: TcpListener,
    clock: Clock,
    faults: Faults,
    deliver: D,
) -> Result<UnwrittenResponses, HostError>
where
    D: Fn(Box<ApiRequest>) -> Result<(), Box<ApiRequest>> + Send + 'static,
{
    let address = listener.local_addr().map_err(HostError::Runtime)?;
    let unwritten = UnwrittenResponses::default();
    let added = unwritten.clone();
    http::serve(listener, move || ApiHandler {
        address,
        clock,
        faults,
        deliver,
        unwritten: added,
        bodies: BufferBudget::new(BODY_MEMORY_BYTES),
    })?;
    Ok(unwritten)
}

/// Handles the requests on all connections.
struct ApiHandler<D> {
    /// The address to which callers are redirected that have to confirm a command.
    address: SocketAddr,
    clock: Clock,
    faults: Faults,
    deliver: D,
    unwritten: UnwrittenResponses,
    bodies: BufferBudget,
}

impl<D> Handler for ApiHandler<D>
where
    D: Fn(Box<ApiRequest>) -> Result<(), Box<ApiRequest>> + 'static,
{
    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: &Rc<ServerConnection>,
    ) -> JsonResponse {
        let sent_after = ConfirmationId(connection.opened_after());
        let receipt = Receipt { received_at: self.clock.now(), sent_after };
        let target = request.uri().path_and_query().map(ToString::to_string).unwrap_or_default();
        let received = match request::read(request, &self.bodies).await {
            Ok(received) => received,
            Err(error) => return render::error(error.status(), &error.to_string()),
        };
        connection.request_received();
        let ReceivedOperation { operation, reservation } = received;
        let response = self.decide(operation, receipt, connection.socket()).await;
        drop(reservation);
        connection.hold_until_written(self.unwritten.add());
        if let Response::ConfirmationRequired(ConfirmationId(mark)) = response {
            connection.set_mark(mark, BACKLOG_TIMEOUT).await;
        }
        render::render(&target, self.address, response)
    }
}

impl<D> ApiHandler<D>
where
    D: Fn(Box<ApiRequest>) -> Result<(), Box<ApiRequest>> + 'static,
{
    /// Has the main thread decide an operation. A command is given up if its caller closes the connection.
    async fn decide(&self, operation: Operation, receipt: Receipt, socket: &Socket) -> Response {
        let is_command = matches!(operation, Operation::Execute(_));
        let mut caller_gone = pin!(async {
            match is_command {
                true => socket.peer_closed().await,
                // A caller that has only ended its sending still reads, and reading changes nothing.
                false => pending().await,
            }
        });
        // The end of the connection may arrive right behind the command.
        if is_command && timeout(COMMAND_SETTLE_TIME, caller_gone.as_mut()).await.is_ok() {
            return Response::Unavailable;
        }
        let (sender, decided) = oneshot::channel();
        let caller = if is_command { socket.peer_watch().ok() } else { None };
        let responder = Responder { response: sender, caller };
        let request = Box::new(ApiRequest { operation, receipt, responder });
        if (self.deliver)(request).is_err() {
            log::info!("the caller is asked to retry: too many requests wait for the main thread");
            return Response::Unavailable;
        }
        tokio::select! {
            biased;
            decided = decided => decided.map_or(Response::Unavailable, |response| self.checked(response)),
            () = caller_gone => Response::Unavailable,
        }
    }

    /// Returns a response if it is still valid.
    fn checked(&self, response: TimedResponse) -> Response {
        if self.faults.skip_lease_check() {
            return response.unchecked().clone();
        }
        let checked = response.clone().checked_by(&self.clock);
        if checked != *response.unchecked() {
            log::info!("the caller is asked to retry: the lease of its response has ended");
        }
        checked
    }
}
