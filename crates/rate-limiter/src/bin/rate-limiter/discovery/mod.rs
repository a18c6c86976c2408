//! Client of the discovery service: watches the server list, and resumes the watch after it ends.

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
use quillpulley_http1::ClientConnection;
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

/// Maximum time without a message or an empty line on a watch. Discovery sends an empty line every 2 s while nothing
/// changes, so that silence reveals a network partition, which causes no error.
///
/// A change that discovery publishes takes effect 6 s after the watch became idle, or 4 s after a move, even if the limiter
/// did not receive it. This timeout, two calls without a response, and the backoffs between them take less than that.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum time from the start of a call to the first message if the list is pushed. The agent on the local machine
/// responds immediately or not at all.
const PUSHED_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time from the start of a call to the first message if the list is polled. A single discovery service serves all
/// limiters one after the other.
const POLLED_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum delay before the next watch if the limiter does not request one.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Why a watch ended.
#[derive(Debug, Display)]
enum WatchError {
    /// cannot connect: {0}
    Connect(io::Error),
    /// cannot build the request: {0}
    Request(hyper::http::Error),
    /// the connection was lost before the response
    NoResponse,
    /// timeout before the response
    ResponseTimeout,
    /// unexpected status {0}
    Status(StatusCode),
    /// timeout without a message on the watch
    Idle,
    /// discovery ended the watch
    Ended,
    /// the connection of the watch was lost: {0}
    Broken(hyper::Error),
    /// {0}
    Decode(DecodeError),
}

/// A watch whose response head was received.
struct OpenWatch {
    connection: ClientConnection,
    response: Response<Incoming>,
}

/// The client of the discovery service.
pub struct Discovery {
    address: Cell<SocketAddr>,
    /// Notified when the address changes. Ends the current watch, or the delay before the next one.
    address_changed: Notify,
    /// Notified when the limiter requests a watch. Ends the delay before the next watch.
    watch_requested: Notify,
    /// Notified when a message was received completely.
    updated: Notify,
    /// The number of consecutive watches that ended without an update.
    failures: Cell<u64>,
    /// Maximum time from the start of a call to the first message.
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

    /// Sets the address. A watch at the old address ends immediately, and a new watch continues after the last received
    /// version.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.address_changed.notify_one();
        }
    }

    /// Requests a watch without further delay. Has no effect while a watch is open.
    pub fn request_watch(&self) {
        self.watch_requested.notify_one();
    }

    /// Waits until a message was received.
    pub async fn first_update(&self) {
        self.updated.notified().await;
    }

    /// Watches the server list until the future is dropped. `after` is the version that the limiter already has.
    pub async fn watch(self: Rc<Self>, host: Rc<Host>, mut after: Option<u64>) {
        loop {
            let watching = async {
                let Err(error) = self.watch_once(&host, self.address.get(), &mut after).await;
                self.log_failure(&error);
                // Discards a request that was made while the watch was still open.
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

    /// Logs a failure if the number of consecutive failures is a power of two, so that a discovery service that stays down
    /// does not fill the log.
    fn log_failure(&self, error: &WatchError) {
        let failures = self.failures.get() + 1;
        self.failures.set(failures);
        if failures.is_power_of_two() {
            warn!(error:%, failures; "the watch of the server list failed");
        }
    }

    /// Records that the watch works, which resets the number of consecutive failures.
    fn record_update(&self) {
        self.updated.notify_one();
        let failures = self.failures.replace(0);
        if failures > 0 {
            info!(failures; "the watch of the server list works again");
        }
    }

    /// Connects, sends the request for a watch, and waits for the response head.
    async fn open_watch(&self, address: SocketAddr, after: Option<u64>) -> Result<OpenWatch, WatchError> {
        let connection = ClientConnection::connect(address, &self.open_sockets, CONNECTION_LIMITS).await;
        let mut connection = connection.map_err(WatchError::Connect)?;
        let response = connection.send(watch_request(address, after)?).await;
        let response = response.map_err(|_| WatchError::NoResponse)?;
        Ok(OpenWatch { connection, response })
    }

    /// Runs one watch and applies its updates until it ends. `after` is set to the version of each update.
    async fn watch_once(
        &self,
        host: &Rc<Host>,
        address: SocketAddr,
        after: &mut Option<u64>,
    ) -> Result<Infallible, WatchError> {
        // Discovery sends the first message with the response, even if nothing has changed.
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
            // The timeout is not extended within a message. Otherwise a peer could keep the watch open by sending only
            // white space within a message.
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
