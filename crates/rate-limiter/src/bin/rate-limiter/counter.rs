//! Client of the counter service, which adds to named counters and returns their totals. It uses a small pool of
//! persistent connections.

use crate::host::Host;
use crate::upstream::CONNECTION_LIMITS;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use log::warn;
use quillpulley_http1::{ClientConnection, ResponseError};
use rate_limiter::{Outcome, Settings};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{timeout_at, Instant};

/// Maximum number of open calls, each on its own connection. Since a connection carries one call at a time, a call can
/// never read a late response to another call.
pub const MAX_CALLS: usize = 8;
/// Idle connections are closed after this time, before the counter closes them (after about 10 s or less).
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// The delay after a failed connection attempt, which doubles with each consecutive failure up to `MAX_BACKOFF`. The
/// delays are short because the limiter calls the counter rarely while it is down, and only these calls detect that it
/// has recovered.
const MIN_BACKOFF: Duration = Duration::from_millis(25);
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum number of doublings of the backoff, to avoid an overflow.
const MAX_DOUBLINGS: u32 = 8;
/// The timeout of a call in seconds if the settings contain none.
const DEFAULT_TIMEOUT_S: f64 = 0.05;
/// The bounds of a counter's time to live, in milliseconds.
const MIN_TTL_MS: f64 = 1.0;
const MAX_TTL_MS: f64 = 60_000.0;
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// A call to the counter.
pub struct CounterRequest {
    /// The name of the counter.
    pub name: String,
    /// The amount to add; 0 to only read the total.
    pub amount: f64,
    /// The time to live of a new counter, in seconds.
    pub ttl: f64,
}

/// The result of a call, and its connection if the connection can be reused.
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

/// The client of the counter service.
pub struct Counter {
    address: Cell<Option<SocketAddr>>,
    timeout: Duration,
    idle: RefCell<Vec<ClientConnection>>,
    open_sockets: Rc<Cell<usize>>,
    /// The number of calls that are awaiting their response.
    open_calls: Cell<usize>,
    /// The number of consecutive failed connection attempts, and the earliest time of the next attempt.
    connect_failures: Cell<u32>,
    retry_at: Cell<Option<Instant>>,
    /// The number of invalid responses so far.
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

    /// Sets the address for new calls. Open calls continue at the old address. Idle connections to the old address are
    /// closed, because a call would be lost if the counter closed such a connection at the same time.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(Some(address)) != Some(address) {
            self.idle.borrow_mut().clear();
            self.connect_failures.set(0);
            self.retry_at.set(None);
        }
    }

    /// Starts a call. Its response is passed to the host.
    ///
    /// # Errors
    /// The outcome if the call cannot be started. Nothing is added in this case.
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
            // Idle connections are connected to the current address, which may have changed since the call started.
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
                // The counter may have added the amount, or may still add it. The connection is closed so that a late
                // response is not read as the response to another call.
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
                // A failure at an old address says nothing about the current one.
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
                self.log_invalid(format_args!("invalid total in the response to {target}"));
                CounterResult::failed(Outcome::Timeout)
            }
            (status, _) => {
                if status != StatusCode::SERVICE_UNAVAILABLE {
                    self.log_invalid(format_args!("unexpected status {status} for {target}"));
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

    /// Logs an invalid response if the number of invalid responses is a power of two, so that a counter that stays broken
    /// does not fill the log.
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
