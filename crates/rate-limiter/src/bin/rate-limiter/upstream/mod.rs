//! The server side: the table of listed servers, idle connections, attempts and probes.

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
use quillpulley_http1::ClientConnection;
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

/// Idle connections are closed after this fraction of the server's idle timeout. If a request were sent while the server
/// closes the connection, it would end with a reset, and it would be unknown whether it was executed.
const IDLE_FRACTION: f64 = 0.5;
/// The idle timeout of servers in seconds if the settings contain none.
const DEFAULT_IDLE_TIMEOUT_S: f64 = 10.0;
/// The connect timeout in seconds if the settings contain none.
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 0.25;
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
const PROBE_PATH: &str = "/metrics/load";
/// The interval between checks of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// The parts of a server list entry that are needed for connections.
pub struct ListedServer {
    pub address: SocketAddr,
    pub state: ServerState,
}

struct Server {
    listed: ListedServer,
    /// Idle connections, the most recently used one last.
    idle: Vec<ClientConnection>,
}

/// The table of listed servers and their idle connections.
pub struct Servers {
    servers: RefCell<HashMap<ServerId, Server>>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    /// The number of open sockets.
    open_sockets: Rc<Cell<usize>>,
    /// Maximum number of open sockets.
    max_open_sockets: usize,
    /// Maximum units of a request.
    max_units: f64,
}

impl Servers {
    /// Creates an empty table for up to `max_open_sockets` connections.
    pub fn new(settings: &Settings, max_open_sockets: usize) -> Self {
        let positive_or =
            |value: f64, default| if value > 0.0 && value.is_finite() { value } else { default };
        let server_idle_timeout = positive_or(settings.server_idle_timeout, DEFAULT_IDLE_TIMEOUT_S);
        Servers {
            servers: RefCell::default(),
            connect_timeout: Duration::from_secs_f64(positive_or(
                settings.connect_timeout,
                DEFAULT_CONNECT_TIMEOUT_S,
            )),
            idle_timeout: Duration::from_secs_f64(IDLE_FRACTION * server_idle_timeout),
            open_sockets: Rc::default(),
            max_open_sockets,
            max_units: positive_or(settings.max_units, f64::MAX),
        }
    }

    /// Inserts, updates or removes a server according to its list entry. Its idle connections are closed if its address has
    /// changed or if it is not in service.
    pub fn update(&self, id: &ServerId, listed: ListedServer) {
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

    /// Returns the ids of all servers in the table.
    pub fn ids(&self) -> Vec<ServerId> {
        self.servers.borrow().keys().cloned().collect()
    }

    /// Periodically closes connections that have been idle for too long or were closed by their servers, until the future
    /// is dropped.
    pub async fn close_idle(&self) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            for server in self.servers.borrow_mut().values_mut() {
                server.idle.retain(|connection| self.is_reusable(connection));
            }
        }
    }

    /// Probes the load of a server, and reports the result to the host.
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

    /// Returns the address of a server, or `None` if the server is not in service.
    fn address(&self, id: &ServerId) -> Option<SocketAddr> {
        let servers = self.servers.borrow();
        let listed = &servers.get(id)?.listed;
        (listed.state == ServerState::InService).then_some(listed.address)
    }

    fn is_reusable(&self, connection: &ClientConnection) -> bool {
        connection.idle_time() < self.idle_timeout && connection.is_usable()
    }

    /// Takes the most recently used idle connection whose reuse delay is over. Connections that turn out not to be reusable
    /// are closed.
    fn reuse(&self, id: &ServerId) -> Option<ClientConnection> {
        let mut servers = self.servers.borrow_mut();
        let idle = &mut servers.get_mut(id)?.idle;
        let next_idle =
            || idle.iter().rposition(ClientConnection::is_reuse_delay_over).map(|index| idle.remove(index));
        std::iter::from_fn(next_idle).find(|connection| self.is_reusable(connection))
    }

    /// Waits until a connection is ready for another request, and adds it to the idle connections of its server.
    async fn return_when_ready(&self, id: &ServerId, reusable: Option<ReusableConnection>) {
        let Some(ReusableConnection { address, mut connection }) = reusable else { return };
        if !connection.wait_ready().await || self.address(id) != Some(address) {
            return;
        }
        if let Some(server) = self.servers.borrow_mut().get_mut(id) {
            server.idle.push(connection);
        }
    }

    /// Returns whether another connection may be opened. At the maximum, this closes the connection that has been idle
    /// longest, and returns false if no connection is idle.
    fn ensure_descriptor(&self) -> bool {
        if self.open_sockets.get() < self.max_open_sockets {
            return true;
        }
        let mut servers = self.servers.borrow_mut();
        let candidates = servers.values_mut().filter(|server| !server.idle.is_empty());
        let oldest = candidates.min_by_key(|server| server.idle[0].last_used_at());
        oldest.map(|server| server.idle.remove(0)).is_some()
    }
}
