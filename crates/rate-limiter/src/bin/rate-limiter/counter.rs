//! The counter service: adds to a named number and reads it, on a few kept connections.

use crate::host::Host;
use crate::upstream::CONNECTION_LIMITS;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use log::warn;
use quillpulley_http1_client::{ClientConnection, ResponseError};
use rate_limiter::{Outcome, Settings};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{timeout_at, Instant};

/// The most open calls, each on a connection of its own. Responses on a connection come in order, however late: a call
/// can never read the response to another one.
pub const MAX_CALLS: usize = 8;
/// Idle connections are closed after this time, well before the counter closes them (after about 10 s or less).
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// The backoff after a failed connect, which doubles with each further one up to the second figure. It is short, as the
/// limiter calls seldom while the counter is down, and its calls are what detects that it is back.
const MIN_BACKOFF: Duration = Duration::from_millis(25);
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// The most doublings that are computed.
const MAX_DOUBLINGS: u32 = 8;
/// The time-out of a call in seconds, if the settings do not say it.
const DEFAULT_TIMEOUT_S: f64 = 0.05;
/// The bounds of the time until a number is forgotten, in milliseconds.
const MIN_TTL_MS: f64 = 1.0;
const MAX_TTL_MS: f64 = 60_000.0;
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// A call to the counter.
pub struct CounterRequest {
    pub name: String,
    pub amount: f64,
    /// Seconds until the number is forgotten.
    pub ttl: f64,
}

/// The result of a call, and its connection if it can be reused.
struct CounterResult {
    outcome: Outcome,
    total: f64,
    reusable: Option<ClientConnection>,
}

impl CounterResult {
    fn failed(outcome: Outcome) -> Self {
        CounterResult { outcome, total: 0.0, reusable: None }
    }
}

pub struct Counter {
    address: Cell<Option<SocketAddr>>,
    timeout: Duration,
    idle: RefCell<Vec<ClientConnection>>,
    open_sockets: Rc<Cell<usize>>,
    /// Calls without a response.
    open_calls: Cell<usize>,
    /// Failed connects in a row, and when the next is tried.
    connect_failures: Cell<u32>,
    retry_at: Cell<Option<Instant>>,
    /// Invalid responses so far.
    invalid_responses: Cell<u64>,
}

impl Counter {
    pub fn new(address: Option<SocketAddr>, settings: &Settings) -> Self {
        let timeout = settings.counter_timeout;
        let timeout = if timeout > 0.0 && timeout.is_finite() { timeout } else { DEFAULT_TIMEOUT_S };
        Counter {
            address: Cell::new(address),
            timeout: Duration::from_secs_f64(timeout),
            idle: RefCell::default(),
            open_sockets: Rc::default(),
            open_calls: Cell::new(0),
            connect_failures: Cell::new(0),
            retry_at: Cell::new(None),
            invalid_responses: Cell::new(0),
        }
    }

    /// Sets the address of later calls. Open calls end where they are. Idle connections to the old address are closed,
    /// as a call that crosses their close there is lost.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(Some(address)) != Some(address) {
            self.idle.borrow_mut().clear();
            self.connect_failures.set(0);
            self.retry_at.set(None);
        }
    }

    /// Starts a call, whose response goes to the host.
    ///
    /// # Errors
    /// The outcome if no call can be made; nothing is added then.
    pub fn call(self: &Rc<Self>, host: &Rc<Host>, call: CounterRequest) -> Result<(), Outcome> {
        let address = self.address.get().ok_or(Outcome::ConnectFailed)?;
        if self.retry_at.get().is_some_and(|retry_at| Instant::now() < retry_at) {
            return Err(Outcome::ConnectFailed);
        }
        if self.open_calls.get() >= MAX_CALLS {
            return Err(Outcome::Rejected);
        }
        self.open_calls.set(self.open_calls.get() + 1);
        spawn_local(self.clone().run(host.clone(), address, call));
        Ok(())
    }

    async fn run(self: Rc<Self>, host: Rc<Host>, address: SocketAddr, call: CounterRequest) {
        let started_at = Instant::now();
        let CounterResult { outcome, total, reusable } = self.exchange(address, &call).await;
        self.open_calls.set(self.open_calls.get() - 1);
        host.counter_response(call.name, outcome, total, started_at.elapsed());
        let Some(mut connection) = reusable else { return };
        if connection.wait_ready().await && self.address.get() == Some(address) {
            self.idle.borrow_mut().push(connection);
        }
    }

    async fn exchange(&self, address: SocketAddr, call: &CounterRequest) -> CounterResult {
        let until = Instant::now() + self.timeout;
        let CounterRequest { name, amount, ttl } = call;
        let ttl_ms = (ttl * MILLISECONDS_PER_SECOND).clamp(MIN_TTL_MS, MAX_TTL_MS).round();
        let target = format!("/tally/{name}?n={amount}&keep_ms={ttl_ms}");
        loop {
            // The address may change between two tries: idle connections lead to the current one.
            let idle = if self.address.get() == Some(address) { self.reuse() } else { None };
            let is_reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => match self.connect(address, until).await {
                    Some(connection) => connection,
                    None => return CounterResult::failed(Outcome::ConnectFailed),
                },
            };
            let request = Request::post(&target).header(HOST, address.to_string()).body(Full::default());
            let Ok(request) = request else { return CounterResult::failed(Outcome::ConnectFailed) };
            return match timeout_at(until, connection.exchange(request)).await {
                Ok(Ok(response)) => self.classify(&target, response, connection),
                Ok(Err(ResponseError::NotSent)) if is_reused => continue,
                Ok(Err(ResponseError::NotSent)) => CounterResult::failed(Outcome::ConnectFailed),
                // The amount may have been added, or may be later: a call without a response. Its connection is closed,
                // so that nobody reads a late response.
                Ok(Err(ResponseError::Broken | ResponseError::TooLarge)) | Err(_) => {
                    CounterResult::failed(Outcome::Timeout)
                }
            };
        }
    }

    async fn connect(&self, address: SocketAddr, until: Instant) -> Option<ClientConnection> {
        let connecting = ClientConnection::connect(address, &self.open_sockets, CONNECTION_LIMITS);
        match timeout_at(until, connecting).await {
            Ok(Ok(connection)) => {
                self.connect_failures.set(0);
                Some(connection)
            }
            Ok(Err(_)) => {
                // An old address that refuses says nothing about the current one.
                if self.address.get() == Some(address) {
                    self.record_connect_failure();
                }
                None
            }
            Err(_) => None,
        }
    }

    fn classify(
        &self,
        target: &str,
        response: Response<bytes::Bytes>,
        connection: ClientConnection,
    ) -> CounterResult {
        let text = std::str::from_utf8(response.body()).ok();
        let total = text.and_then(|text| text.trim().parse::<f64>().ok()).filter(|total| total.is_finite());
        match (response.status(), total) {
            (StatusCode::OK, Some(total)) => {
                CounterResult { outcome: Outcome::Completed, total, reusable: Some(connection) }
            }
            (StatusCode::OK, None) => {
                self.log_invalid(format_args!("a response to {target} has no total"));
                CounterResult::failed(Outcome::Timeout)
            }
            (status, _) => {
                if status != StatusCode::SERVICE_UNAVAILABLE {
                    self.log_invalid(format_args!("{status} for {target}"));
                }
                CounterResult { outcome: Outcome::Rejected, total: 0.0, reusable: Some(connection) }
            }
        }
    }

    fn reuse(&self) -> Option<ClientConnection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| connection.idle_time() < IDLE_TIMEOUT);
        let next_idle =
            || idle.iter().rposition(ClientConnection::is_reuse_delay_over).map(|index| idle.remove(index));
        std::iter::from_fn(next_idle).find(ClientConnection::is_usable)
    }

    /// Logs the first invalid response and then fewer and fewer: a counter that is broken all day must not fill the
    /// log.
    fn log_invalid(&self, text: std::fmt::Arguments<'_>) {
        let count = self.invalid_responses.get() + 1;
        self.invalid_responses.set(count);
        if count.is_power_of_two() {
            warn!(count; "{text}");
        }
    }

    fn record_connect_failure(&self) {
        let failures = self.connect_failures.get();
        let backoff = MIN_BACKOFF * (1 << failures.min(MAX_DOUBLINGS));
        self.connect_failures.set(failures + 1);
        self.retry_at.set(Some(Instant::now() + backoff.min(MAX_BACKOFF)));
    }
}
