//! The HTTP server of a control node, for operators and for clients that resolve proxy addresses.
//!
//! A thread serves all connections of a listener. Each of them is limited in every phase, so that a caller that
//! stalls holds nothing that others need: see [`OPTIONS`].

mod response;
pub mod url;

pub use response::JsonResponse;

use crate::HostError;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use quillpulley_http1::{
    ConnectionManager, ConnectionOptions, Linger, ServerConnection, Service, WriteLimit,
};
use socket2::{SockRef, TcpKeepalive};
use std::future::Future;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::thread;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// A connection is reset if sent data stays unacknowledged for this long (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(10);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(3);
const KEEPALIVE_PROBES: u32 = 3;
/// Maximum time for which a caller reads nothing of its response.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time in which a response is written to a caller that reads.
const WRITE_LIMIT: WriteLimit = WriteLimit { base: Duration::from_secs(10), min_rate: 128.0 * 1024.0 };

/// The limits of the connections of a listener. A node has 4,096 descriptors, of which two listeners use half.
pub const OPTIONS: ConnectionOptions = ConnectionOptions {
    max_connections: 1_000,
    max_header_bytes: 16 * 1024,
    recorded_bytes: 1,
    header_timeout: Some(Duration::from_secs(5)),
    linger: Linger { time: Duration::from_millis(500), bytes: 8 * 1024 * 1024 },
    idle_grace: Duration::from_millis(100),
    first_request_grace: Duration::from_millis(100),
    receive_grace: Some(Duration::from_millis(500)),
    write_stall_timeout: WRITE_STALL_TIMEOUT,
    write_stall_grace: Duration::from_millis(500),
    accept_retry_delay: Duration::from_millis(10),
    plain_heads: true,
    half_close: true,
};

/// Responds to the requests on all connections of a listener.
pub trait Handler: 'static {
    /// Responds to a request. The response is checked and written without a delay once the future is ready.
    /// A handler that waits for something else after it has read the request calls
    /// [`ServerConnection::request_received`] before: until then, the connection may be closed to make room.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: &Rc<ServerConnection>,
    ) -> impl Future<Output = JsonResponse>;
}

/// Sets socket options that accepted connections inherit: `TCP_NODELAY`, and keepalive and user timeouts that
/// detect unreachable peers. Failures are only logged, because connections work without these options.
pub fn set_socket_options(listener: &TcpListener) {
    let socket = SockRef::from(listener);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let set = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_keepalive(&keepalive),
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT)),
    ];
    for error in set.into_iter().filter_map(Result::err) {
        log::debug!(error:% = error; "failed to set an option of a listening socket");
    }
}

/// Serves requests on `listener` until the process ends, with a thread of its own on which `create` creates the
/// handler.
///
/// # Errors
/// [`HostError::Runtime`] if the thread cannot be started.
pub fn serve<H: Handler>(
    listener: TcpListener,
    create: impl FnOnce() -> H + Send + 'static,
) -> Result<(), HostError> {
    listener.set_nonblocking(true).map_err(HostError::Runtime)?;
    let runtime = Builder::new_current_thread().enable_all().build().map_err(HostError::Runtime)?;
    let run = move || LocalSet::new().block_on(&runtime, accept(listener, create()));
    thread::Builder::new().spawn(run).map_err(HostError::Runtime)?;
    Ok(())
}

async fn accept(listener: TcpListener, handler: impl Handler) {
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => {
            let service = Rc::new(HttpService { handler: Rc::new(handler) });
            ConnectionManager::new(OPTIONS).accept(listener, service).await;
        }
        Err(error) => log::error!(error:% = error; "cannot serve HTTP: restart the process"),
    }
}

struct HttpService<H> {
    handler: Rc<H>,
}

impl<H: Handler> Service for HttpService<H> {
    type Body = Full<Bytes>;

    async fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<ServerConnection>,
        _: Option<Instant>,
    ) -> Response<Full<Bytes>> {
        let response = self.handler.clone().handle(request, &connection).await;
        connection.limit_write_time(Instant::now(), WRITE_LIMIT, response.body_bytes());
        response.into_http()
    }

    fn accept_failed(&self, error: &io::Error) {
        log::warn!(error:% = error; "cannot accept HTTP connections: raise the limit of open files if this persists");
    }
}
