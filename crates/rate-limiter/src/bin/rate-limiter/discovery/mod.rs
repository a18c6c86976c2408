//! Discovery: watches the list of servers, and resumes the watch when it breaks.

mod message_decoder;
mod update;

use crate::host::Host;
use crate::upstream::CONNECTION_LIMITS;
use bytes::Bytes;
use displaydoc::Display;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use log::{info, warn};
use message_decoder::{DecodeError, MessageDecoder};
use quillpulley_http1_client::ClientConnection;
use rate_limiter::Settings;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout, timeout_at, Instant};

pub use update::Update;

/// How long a watch may be idle. An empty line comes every 2 s while nothing changes. A peer behind a partition shows
/// no error, and simply sends nothing. What discovery publishes applies 6 s after the watch went idle, or 4 s after a
/// move, whether or not it arrived: this, two calls without a response and the backoffs between them stay below that.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a call may take to its first message if the list is pushed: the agent of this machine responds at once or
/// not at all.
const PUSHED_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The same if the list comes on request: one discovery serves all limiters in turn.
const POLLED_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest time between two watches, should the decisions not ask for one.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Why a watch ended.
#[derive(Debug, Display)]
enum WatchError {
    /// no connection: {0}
    Connect(io::Error),
    /// the request cannot be built: {0}
    Request(hyper::http::Error),
    /// the connection broke before the response
    NoResponse,
    /// no response in time
    ResponseTimeout,
    /// the response has status {0}
    Status(StatusCode),
    /// the watch was idle for too long
    Idle,
    /// the service ended the watch
    Ended,
    /// the watch broke: {0}
    Broken(hyper::Error),
    /// {0}
    Decode(DecodeError),
}

/// A watch that was accepted.
struct OpenWatch {
    connection: ClientConnection,
    response: Response<Incoming>,
}

pub struct Discovery {
    address: Cell<SocketAddr>,
    /// Notified when the address has changed: the watch, and the delay until the next one, end.
    address_changed: Notify,
    /// Notified when the decisions ask for a watch: the delay until the next one ends.
    watch_requested: Notify,
    updated: Notify,
    /// Watches in a row that ended without an update.
    failures: Cell<u64>,
    /// How long a call may take to its first message.
    response_timeout: Duration,
    open_sockets: Rc<Cell<usize>>,
}

impl Discovery {
    pub fn new(address: SocketAddr, settings: &Settings) -> Self {
        Discovery {
            response_timeout: match settings.discovery_on_request {
                true => POLLED_RESPONSE_TIMEOUT,
                false => PUSHED_RESPONSE_TIMEOUT,
            },
            address: Cell::new(address),
            address_changed: Notify::new(),
            watch_requested: Notify::new(),
            updated: Notify::new(),
            failures: Cell::new(0),
            open_sockets: Rc::default(),
        }
    }

    /// Sets the address. A watch at the old one ends at once: the new one continues after the last version.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.address_changed.notify_one();
        }
    }

    /// Asks for a watch now, unless there is one.
    pub fn request_watch(&self) {
        self.watch_requested.notify_one();
    }

    /// Waits for the first message of a watch.
    pub async fn first_update(&self) {
        self.updated.notified().await;
    }

    /// Watches the list for as long as it is polled, after the version that the host starts with.
    pub async fn watch(self: Rc<Self>, host: Rc<Host>, mut after: Option<u64>) {
        loop {
            let watching = async {
                let Err(error) = self.watch_once(&host, self.address.get(), &mut after).await;
                self.log_failure(&error);
                // A watch that was requested before this one ended is not requested again.
                let _ = timeout(Duration::ZERO, self.watch_requested.notified()).await;
                host.discovery_failed();
                let _ = timeout(MAX_RETRY_DELAY, self.watch_requested.notified()).await;
            };
            tokio::select! {
                () = watching => {}
                () = self.address_changed.notified() => {}
            }
        }
    }

    /// Logs the first failure in a row and then fewer and fewer: a discovery that is down must not fill the log.
    fn log_failure(&self, error: &WatchError) {
        let failures = self.failures.get() + 1;
        self.failures.set(failures);
        if failures.is_power_of_two() {
            warn!(error:%, failures; "watching the list of servers failed");
        }
    }

    /// Ends a series of failures.
    fn record_update(&self) {
        self.updated.notify_one();
        let failures = self.failures.replace(0);
        if failures > 0 {
            info!(failures; "watching the list of servers again");
        }
    }

    async fn open_watch(&self, address: SocketAddr, after: Option<u64>) -> Result<OpenWatch, WatchError> {
        let connection = ClientConnection::connect(address, &self.open_sockets, CONNECTION_LIMITS).await;
        let mut connection = connection.map_err(WatchError::Connect)?;
        let response = connection.send(watch_request(address, after)?).await;
        let response = response.map_err(|_| WatchError::NoResponse)?;
        Ok(OpenWatch { connection, response })
    }

    async fn watch_once(
        &self,
        host: &Rc<Host>,
        address: SocketAddr,
        after: &mut Option<u64>,
    ) -> Result<Infallible, WatchError> {
        // The first message comes with the response, whether or not anything has changed.
        let mut until = Instant::now() + self.response_timeout;
        let opened = timeout_at(until, self.open_watch(address, *after)).await;
        let OpenWatch { mut connection, response } = opened.map_err(|_| WatchError::ResponseTimeout)??;
        if response.status() != StatusCode::OK {
            return Err(WatchError::Status(response.status()));
        }
        let mut body = response.into_body();
        let mut decoder = MessageDecoder::default();
        loop {
            let frame = timeout_at(until, connection.drive(body.frame())).await;
            let frame = frame.map_err(|_| WatchError::Idle)?.ok_or(WatchError::Ended)?;
            let frame = frame.map_err(WatchError::Broken)?;
            let begins_message = !decoder.has_partial_message();
            decoder.push(frame.data_ref().map_or(&[][..], |data| data));
            while let Some(update) = decoder.next_message().map_err(WatchError::Decode)? {
                *after = Some(update.generation);
                host.update_servers(&update);
            }
            // A message that has begun must be complete within the time too: blank lines may come within it for ever.
            if begins_message || !decoder.has_partial_message() {
                until = Instant::now() + WATCH_TIMEOUT;
            }
            if !decoder.has_partial_message() {
                self.record_update();
            }
        }
    }
}

fn watch_request(address: SocketAddr, after: Option<u64>) -> Result<Request<Full<Bytes>>, WatchError> {
    let after = after.map(|version| format!("&after={version}")).unwrap_or_default();
    let request = Request::get(format!("/discovery/hosts?watch=1{after}"));
    request.header(HOST, address.to_string()).body(Full::default()).map_err(WatchError::Request)
}
