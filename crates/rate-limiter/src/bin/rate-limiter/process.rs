//! The process: starts all parts, reloads addresses on SIGHUP, and shuts down gracefully on SIGTERM.

use crate::clients::Clients;
use crate::config::{Addresses, ConfigError, Setup};
use crate::counter::{Counter, MAX_CALLS};
use crate::discovery::Discovery;
use crate::host::Host;
use crate::upstream::Servers;
use displaydoc::Display;
use log::{info, warn};
use rate_limiter::Settings;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// How long connections are still accepted after SIGTERM. New connections arrive for up to 0.4 s after it.
const ACCEPT_TIME: Duration = Duration::from_millis(600);
/// Upper limit in seconds of the longest deadline when the time of SIGKILL is computed: SIGKILL follows SIGTERM after
/// the longest deadline, at most this value, plus 0.7 s.
const MAX_KILL_DEADLINE_S: f64 = 3.0;
/// Maximum time for which a shutdown waits for open requests, in seconds, apart from [`DRAIN_MARGIN`]. The shutdown
/// waits for the longest deadline if that is shorter.
const MAX_DRAIN_S: f64 = 60.0;
/// How long a shutdown waits for open requests beyond the longest deadline.
const DRAIN_MARGIN: Duration = Duration::from_millis(50);
/// Maximum time for which the limiter waits for the first update from discovery before it becomes ready.
const FIRST_UPDATE_TIMEOUT: Duration = Duration::from_millis(500);
/// File descriptors reserved for the listener, the runtime, discovery and connections that are being accepted.
const RESERVED_DESCRIPTORS: usize = 24;
/// The fraction of the memory that the bodies of open requests may use. Responses may use the same amount again, and
/// each connection has a buffer of a few kilobytes.
const BODY_MEMORY_FRACTION: f64 = 0.125;
const BYTES_PER_MEGABYTE: f64 = 1024.0 * 1024.0;
/// The exit code after a panic.
const PANIC_EXIT_CODE: i32 = 101;

/// Why the process failed.
#[derive(Debug, Display)]
pub enum ProcessError {
    /// {0}
    Config(ConfigError),
    /// cannot start the runtime: {0}
    Runtime(io::Error),
    /// cannot install a handler for {name}: {error}
    Signal { name: &'static str, error: io::Error },
    /// cannot listen on {address}: {error}
    Listen { address: SocketAddr, error: io::Error },
    /// cannot read the address of the listening socket: {0}
    LocalAddress(io::Error),
    /// {0} requests were still open at shutdown
    OpenRequests(usize),
}

/// Runs a limiter until it is terminated.
///
/// # Errors
/// [`ProcessError`] if the limiter cannot start, or if requests are still open when it ends.
pub fn run(setup: Setup) -> Result<(), ProcessError> {
    exit_on_panic();
    let runtime = Builder::new_current_thread().enable_all().build().map_err(ProcessError::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(setup))
}

/// Makes any panic end the process. After a panic, the limiter may have lost track of open requests and has to be
/// restarted.
fn exit_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        std::process::exit(PANIC_EXIT_CODE);
    }));
}

async fn serve(setup: Setup) -> Result<(), ProcessError> {
    // The handlers are installed before anything else, since a signal without a handler ends the process.
    let mut terminate = subscribe(SignalKind::terminate(), "SIGTERM")?;
    let hangup = subscribe(SignalKind::hangup(), "SIGHUP")?;
    let address = setup.listen;
    let listener =
        TcpListener::bind(address).await.map_err(|error| ProcessError::Listen { address, error })?;
    let bound = listener.local_addr().map_err(ProcessError::LocalAddress)?;
    let longest_deadline = longest_deadline(&setup.settings);
    let path = setup.path.clone();

    let (host, clients) = start(setup);
    spawn_local(reload(hangup, path, host.clone()));
    let accepting = spawn_local({
        let clients = clients.clone();
        async move { clients.accept(listener).await }
    });
    info!(address:% = bound; "listening for clients");
    spawn_local(become_ready(host.clone(), clients.clone()));

    terminate.recv().await;
    info!(open_requests = host.open_requests(); "SIGTERM received, completing open requests");
    drain(&clients, longest_deadline).await;
    accepting.abort();
    match host.open_requests() {
        0 => Ok(()),
        open => Err(ProcessError::OpenRequests(open)),
    }
}

fn subscribe(kind: SignalKind, name: &'static str) -> Result<Signal, ProcessError> {
    signal(kind).map_err(|error| ProcessError::Signal { name, error })
}

/// Returns the longest deadline of all classes, in seconds.
fn longest_deadline(settings: &Settings) -> f64 {
    settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max)
}

/// Starts the tasks of all parts.
fn start(setup: Setup) -> (Rc<Host>, Rc<Clients>) {
    let Setup { discovery, counter, settings, known_servers, seed, max_sockets, memory_mb, .. } = setup;
    // Each request may need two sockets: one to its client and one to a server.
    let sockets = max_sockets.saturating_sub(RESERVED_DESCRIPTORS + MAX_CALLS).max(2);
    let servers = Servers::new(&settings, sockets / 2);
    let counter = Counter::new(counter, &settings);
    let discovery = Discovery::new(discovery, &settings);
    let host = Host::new(settings.clone(), seed, servers, counter, discovery);
    let body_budget = (memory_mb * BODY_MEMORY_FRACTION * BYTES_PER_MEGABYTE) as usize;
    let clients = Clients::new(host.clone(), settings, sockets - sockets / 2, body_budget);

    spawn_local(host.clone().run_timers());
    spawn_local({
        let servers = host.servers().clone();
        async move { servers.close_idle().await }
    });
    let version = known_servers.as_ref().map(|known| known.generation);
    if let Some(mut known) = known_servers {
        known.reset = true;
        host.update_servers(&known);
    }
    spawn_local(host.discovery().clone().watch(host.clone(), version));
    (host, clients)
}

/// Marks the limiter as ready after the first update from discovery, or after a timeout. It waits for the update because
/// the server list from the configuration may be out of date.
async fn become_ready(host: Rc<Host>, clients: Rc<Clients>) {
    let _ = timeout(FIRST_UPDATE_TIMEOUT, host.discovery().first_update()).await;
    clients.set_ready();
}

/// Reloads the addresses of discovery and the counter from the configuration file at each SIGHUP. Environment variables
/// apply only at startup. Signals that arrive during a reload cause one further reload.
async fn reload(mut hangup: Signal, path: String, host: Rc<Host>) {
    while hangup.recv().await.is_some() {
        let Addresses { discovery, counter } = match Addresses::read(&path) {
            Ok(addresses) => addresses,
            Err(error) => {
                warn!(path, error:%; "SIGHUP received, cannot reload addresses");
                continue;
            }
        };
        info!(discovery:?, counter:?; "SIGHUP received, addresses reloaded");
        if let Some(address) = discovery {
            host.discovery().set_address(address);
        }
        if let Some(address) = counter {
            host.counter().set_address(address);
        }
    }
}

/// Completes open requests and closes all connections. `longest_deadline` is in seconds.
async fn drain(clients: &Clients, longest_deadline: f64) {
    // Requests that arrive late must also have their responses before SIGKILL.
    let respond_by = Duration::from_secs_f64(longest_deadline.clamp(0.0, MAX_KILL_DEADLINE_S)) + ACCEPT_TIME;
    clients.drain(Instant::now() + respond_by);
    sleep(ACCEPT_TIME).await;
    let drain_time = Duration::from_secs_f64(longest_deadline.clamp(0.0, MAX_DRAIN_S)) + DRAIN_MARGIN;
    // Connections that are still open after this time have no request, or an incomplete one.
    let _ = timeout(drain_time, clients.all_closed()).await;
}
