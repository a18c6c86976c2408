//! The operator API: reads requests, passes them to the main thread, and writes its responses.
//!
//! Reader threads parse requests and never wait for a response. The main thread decides the responses, and
//! writer threads write them, so that neither a slow caller nor a command in flight delays other requests.
//! Immediately before a response is written, the writer checks the clock: if the lease on which the response
//! relies has ended, the caller is asked to retry.

pub mod http;
mod render;
mod request;

pub use request::{Operation, MAX_BODY_BYTES};

use crate::control::clock::Clock;
use crate::control::response::{Response, TimedResponse};
use crate::HostError;
use http::Handler;
use request::RequestError;
use std::net::TcpListener;
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use tiny_http::Request;

const READER_THREADS: usize = 6;
const WRITER_THREADS: usize = 2;

/// A request from an operator, with the handle through which it is answered.
pub struct ApiRequest {
    /// The requested operation.
    pub operation: Operation,
    /// The time at which the request head had been read.
    pub received_at: Duration,
    /// The handle through which the caller is answered.
    pub responder: Responder,
}

/// Sends the response to one request. If it is dropped unused, the caller gets status 500.
pub struct Responder {
    request: Request,
    responses: Sender<PendingResponse>,
}

struct PendingResponse {
    request: Request,
    response: TimedResponse,
}

impl Responder {
    /// Passes the response to a writer thread, which writes it if it is still valid by then, and asks the
    /// caller to retry otherwise.
    pub fn send(self, response: TimedResponse) {
        let pending = PendingResponse { request: self.request, response };
        if self.responses.send(pending).is_err() {
            log::warn!("a response to an operator is lost: all writer threads have ended");
        }
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
/// thread is overloaded. The expiry of responses is checked against `clock`.
///
/// # Errors
/// [`HostError::Runtime`] if the threads cannot be started.
pub fn serve<D>(listener: TcpListener, clock: Clock, deliver: D) -> Result<(), HostError>
where
    D: Fn(Box<ApiRequest>) -> Result<(), Box<ApiRequest>> + Send + Sync + 'static,
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
) -> Result<(), HostError>
where
    D: Fn(Box<ApiRequest>) -> Result<(), Box<ApiRequest>> + Send + Sync + 'static,
{
    let (responses, pending) = mpsc::channel();
    let reader_clock = clock.clone();
    let writer = Writer { pending: Arc::new(Mutex::new(pending)), clock, faults };
    for _ in 0..WRITER_THREADS {
        let writer = writer.clone();
        thread::Builder::new().spawn(move || writer.write_all()).map_err(HostError::Runtime)?;
    }
    let handler: Handler =
        Arc::new(move |request| handle_request(request, reader_clock.now(), &responses, &deliver));
    http::serve(listener, READER_THREADS, handler)
}

/// The state that the writer threads share.
#[derive(Clone)]
struct Writer {
    pending: Arc<Mutex<Receiver<PendingResponse>>>,
    clock: Clock,
    faults: Faults,
}

impl Writer {
    fn write_all(&self) {
        loop {
            let next = self.pending.lock().unwrap_or_else(PoisonError::into_inner).recv();
            let Ok(PendingResponse { request, response }) = next else { return };
            self.write(request, response);
        }
    }

    fn write(&self, request: Request, response: TimedResponse) {
        let response = match self.faults.skip_lease_check() {
            true => response.unchecked().clone(),
            false => response.checked_by(&self.clock),
        };
        let response = render::render(request.url(), response);
        http::respond(request, response);
    }
}

fn handle_request<D>(
    mut request: Request,
    received_at: Duration,
    responses: &Sender<PendingResponse>,
    deliver: &D,
) where
    D: Fn(Box<ApiRequest>) -> Result<(), Box<ApiRequest>>,
{
    match request::parse(&mut request) {
        Ok(operation) => {
            let responder = Responder { request, responses: responses.clone() };
            if let Err(returned) = deliver(Box::new(ApiRequest { operation, received_at, responder })) {
                returned.responder.send(TimedResponse::without_expiry(Response::Unavailable));
            }
        }
        Err(RequestError::Incomplete(reason)) => {
            log::debug!(reason = reason.as_str(); "received an incomplete request from an operator");
        }
        Err(error) => http::respond(request, render::error(error.status(), &error.to_string())),
    }
}
