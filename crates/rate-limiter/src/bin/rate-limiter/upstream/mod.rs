//! The servers' side: listed servers, idle connections, attempts and probes.

mod attempt;
mod connection_limits;
mod forwarded_request;
pub mod headers;
mod response;

use crate::host::Host;
use attempt::ReusableConnection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, Response};
use quillpulley_http1_client::ClientConnection;
use rate_limiter::{LoadReport, Outcome, ServerId, ServerState, Settings};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

pub use attempt::{AttemptDeadlines, AttemptHandle, AttemptId, AttemptOutcome};
pub use connection_limits::{CONNECTION_LIMITS, MAX_BODY};
pub use forwarded_request::ForwardedRequest;

/// An idle connection is closed after this fraction of the time after which the server closes it. A request that
/// crosses the server's close would end as a reset, and nobody knows whether it executed.
const IDLE_FRACTION: f64 = 0.5;
/// The server's idle time-out in seconds, if the settings do not say it.
const DEFAULT_IDLE_S: f64 = 10.0;
/// The connect time-out in seconds, if the settings do not say it.
const DEFAULT_CONNECT_S: f64 = 0.25;
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
const PROBE_PATH: &str = "/metrics/load";
/// How often idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// The listed entry of a server, as far as connections need it.
pub struct ListedServer {
    pub address: SocketAddr,
    pub state: ServerState,
}

struct Server {
    listed: ListedServer,
    /// Idle connections, the most recently used last.
    idle: Vec<ClientConnection>,
}

/// All listed servers.
pub struct Servers {
    servers: RefCell<HashMap<ServerId, Server>>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    /// The number of open sockets.
    open: Rc<Cell<usize>>,
    max_open: usize,
    /// The most units of a request.
    max_units: f64,
}

impl Servers {
    /// Creates an empty table for up to `max_open` connections.
    pub fn new(settings: &Settings, max_open: usize) -> Self {
        let or = |value: f64, default| if value > 0.0 && value.is_finite() { value } else { default };
        let server_idle_timeout = or(settings.server_idle_timeout, DEFAULT_IDLE_S);
        Servers {
            servers: RefCell::default(),
            connect_timeout: Duration::from_secs_f64(or(settings.connect_timeout, DEFAULT_CONNECT_S)),
            idle_timeout: Duration::from_secs_f64(IDLE_FRACTION * server_idle_timeout),
            open: Rc::default(),
            max_open,
            max_units: or(settings.max_units, f64::MAX),
        }
    }

    /// Applies a listed entry. Idle connections to another address, or to a server that is not in service, are closed.
    pub fn put(&self, id: &ServerId, listed: ListedServer) {
        let mut servers = self.servers.borrow_mut();
        if listed.state == ServerState::Removed {
            servers.remove(id);
            return;
        }
        match servers.get_mut(id) {
            Some(server) => {
                if server.listed.address != listed.address || listed.state != ServerState::InService {
                    server.idle.clear();
                }
                server.listed = listed;
            }
            None => {
                servers.insert(id.clone(), Server { listed, idle: Vec::new() });
            }
        }
    }

    /// Returns the ids of all servers.
    pub fn ids(&self) -> Vec<ServerId> {
        self.servers.borrow().keys().cloned().collect()
    }

    /// Closes connections that have been idle for too long or were closed by their servers, for as long as it is
    /// polled.
    pub async fn close_idle(&self) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            for server in self.servers.borrow_mut().values_mut() {
                server.idle.retain(|connection| self.is_reusable(connection));
            }
        }
    }

    /// Probes the load of a server, and reports it to the host.
    pub async fn probe(self: Rc<Self>, host: Rc<Host>, id: ServerId) {
        let (outcome, report, reusable) = match timeout(PROBE_TIMEOUT, self.exchange_probe(&id)).await {
            Ok(Some((response, reusable))) => {
                let (outcome, report) = response::classify_probe(&response);
                (outcome, report, Some(reusable))
            }
            Ok(None) => (Outcome::ConnectFailed, LoadReport::default(), None),
            Err(_) => (Outcome::Timeout, LoadReport::default(), None),
        };
        host.probe_response(id.clone(), outcome, report);
        self.return_when_ready(&id, reusable).await;
    }

    async fn exchange_probe(&self, id: &ServerId) -> Option<(Response<Bytes>, ReusableConnection)> {
        let address = self.address(id)?;
        let mut connection = match self.reuse(id) {
            Some(connection) => connection,
            None if !self.ensure_descriptor() => return None,
            None => self.connect(address, None).await.ok()?,
        };
        self.address(id).filter(|current| *current == address)?;
        let request = Request::get(PROBE_PATH).header(HOST, address.to_string());
        let response = connection.exchange(request.body(Full::default()).ok()?).await.ok()?;
        Some((response, ReusableConnection { address, connection }))
    }

    /// Returns the address of a server that is in service.
    fn address(&self, id: &ServerId) -> Option<SocketAddr> {
        let servers = self.servers.borrow();
        let listed = &servers.get(id)?.listed;
        (listed.state == ServerState::InService).then_some(listed.address)
    }

    fn is_reusable(&self, connection: &ClientConnection) -> bool {
        connection.idle_time() < self.idle_timeout && connection.is_usable()
    }

    /// Takes the idle connection that was used last and whose reuse delay is over. Drops those that cannot be reused.
    fn reuse(&self, id: &ServerId) -> Option<ClientConnection> {
        let mut servers = self.servers.borrow_mut();
        let idle = &mut servers.get_mut(id)?.idle;
        let next_idle =
            || idle.iter().rposition(ClientConnection::is_reuse_delay_over).map(|index| idle.remove(index));
        std::iter::from_fn(next_idle).find(|connection| self.is_reusable(connection))
    }

    /// Keeps a connection as idle once it is ready for the next request.
    async fn return_when_ready(&self, id: &ServerId, reusable: Option<ReusableConnection>) {
        let Some(ReusableConnection { address, mut connection }) = reusable else { return };
        if !connection.wait_ready().await || self.address(id) != Some(address) {
            return;
        }
        if let Some(server) = self.servers.borrow_mut().get_mut(id) {
            server.idle.push(connection);
        }
    }

    /// Returns whether there is a descriptor for one more connection. If necessary, the connection that has been idle
    /// longest is closed.
    fn ensure_descriptor(&self) -> bool {
        if self.open.get() < self.max_open {
            return true;
        }
        let mut servers = self.servers.borrow_mut();
        let candidates = servers.values_mut().filter(|server| !server.idle.is_empty());
        let oldest = candidates.min_by_key(|server| server.idle[0].last_used_at());
        oldest.map(|server| server.idle.remove(0)).is_some()
    }
}
