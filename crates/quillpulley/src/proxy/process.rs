//! Runs the proxy process: starts its tasks, and drains it on shutdown.

use crate::buffer_budget::BufferBudget;
use crate::peer::bind;
use crate::proxy::downstream::client_service::{ClientService, RECORDED_BYTES};
use crate::proxy::downstream::readiness::{self, ReadinessService};
use crate::proxy::faults::Experiment;
use crate::proxy::shutdown::drain_deadline::DrainDeadline;
use crate::proxy::state::{Components, ProxyState};
use crate::proxy::sync::sync_client::SyncClient;
use crate::proxy::upstream::connection_pool::ConnectionPool;
use crate::proxy::upstream::health_check::check_servers;
use crate::runtime::block_on;
use crate::settings_watch::{LoadSettings, Section, SettingsWatch};
use crate::signals::{self, ProcessSignal};
use crate::{HostError, Settings};
use quillpulley_http1::{ConnectionManager, ConnectionOptions, Linger};
use quillpulley_load_balancer::{Ablation, Balancer, Locality, Options, QueueLimits};
use quillpulley_retry_budget::{Options as BudgetOptions, RetryBudgets};
use quillpulley_serving_config::Limits;
use quillpulley_settings::Bounds;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep_until, timeout_at, MissedTickBehavior};

/// File descriptors reserved for what is not a socket.
const RESERVED_FILE_DESCRIPTORS: usize = 200;
/// File descriptors reserved for listeners, the agent, the runtime and connections that are being accepted.
const RESERVED_SOCKET_DESCRIPTORS: usize = 40;
/// Fraction of the remaining descriptors that client connections may use; connections to servers use the
/// others. Clients get more, as their connections stay open while idle.
const CLIENT_DESCRIPTOR_FRACTION: f64 = 0.6;
/// Memory for a client connection that carries a stream, including its upstream connection: 42 KB were
/// measured.
const CONNECTION_MEMORY_BYTES: usize = 48 * 1024;
/// Fraction of the process's memory that connections may use.
const CONNECTION_MEMORY_FRACTION: f64 = 0.4;
const BYTES_PER_MEGABYTE: f64 = 1024.0 * 1024.0;
/// Maximum number of queued requests of a service.
const MAX_QUEUED_REQUESTS: usize = 512;
/// Minimum buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Maximum time for which a client may read nothing of its response. Longer than TCP needs to send again after
/// a link was cut for 6 s.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after which a client that reads nothing of its response may be closed to free a connection or memory.
const WRITE_STALL_GRACE: Duration = Duration::from_secs(5);
/// Time after which a client that has not sent its whole request may be closed to free a connection.
const RECEIVE_GRACE: Duration = Duration::from_secs(5);
/// Interval at which idle and slow connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// The sections of the settings that a running proxy applies. Of `Bounds`, `BudgetWindowS` applies from the next start, as
/// the counts of the budgets are kept by window.
const APPLIED_SECTIONS: [Section; 2] = [Section::Zones, Section::Bounds];
/// Interval at which the settings file is read without a signal.
const SETTINGS_READ_INTERVAL: Duration = Duration::from_secs(3);

/// The sockets that a proxy listens on.
pub struct Listeners {
    /// The listener for client requests.
    pub clients: TcpListener,
    /// The listener for readiness checks.
    pub readiness: TcpListener,
}

impl Listeners {
    /// Binds the addresses from the settings.
    ///
    /// # Errors
    /// [`HostError`] if an address is missing or cannot be bound.
    pub async fn bind(settings: &Settings) -> Result<Listeners, HostError> {
        let clients = settings.front_address().map_err(HostError::Settings)?;
        let readiness = settings.ready_address().map_err(HostError::Settings)?;
        Ok(Listeners { clients: bind(clients).await?, readiness: bind(readiness).await? })
    }
}

/// Runs a proxy until the process receives a shutdown signal and the proxy has drained.
///
/// # Errors
/// [`HostError`] if the proxy cannot start.
pub fn run(settings: Settings, experiment: Experiment) -> Result<(), HostError> {
    block_on(async {
        let signals = signals::subscribe()?;
        let listeners = Listeners::bind(&settings).await?;
        serve(settings, listeners, signals, Box::new(Settings::from_environment), experiment).await;
        Ok(())
    })
}

/// Serves clients until a shutdown signal is received and the proxy has drained, with injected faults or disabled mechanisms
/// for tests and experiments. Must be called on a tokio `LocalSet`.
pub async fn serve(
    settings: Settings,
    listeners: Listeners,
    mut signals: UnboundedReceiver<ProcessSignal>,
    load_settings: LoadSettings,
    experiment: Experiment,
) {
    let proxy = Proxy::start(&settings, listeners, experiment);
    let mut settings =
        SettingsWatch::new(proxy.state.now(), settings, &APPLIED_SECTIONS, SETTINGS_READ_INTERVAL);
    loop {
        tokio::select! {
            signal = signals.recv() => match signal {
                Some(ProcessSignal::Reload) => {}
                Some(ProcessSignal::Shutdown) | None => break,
            },
            () = sleep_until(proxy.state.instant_at(settings.next_reading())) => {}
        }
        if settings.update(proxy.state.now(), load_settings()) {
            proxy.apply(settings.settings());
        }
    }
    proxy.drain(settings.settings()).await;
}

/// A running proxy.
struct Proxy {
    state: Rc<ProxyState>,
    clients: Rc<ConnectionManager>,
    /// Notified to send the next report to the agent immediately.
    urgent_report: Rc<Notify>,
}

impl Proxy {
    fn start(settings: &Settings, listeners: Listeners, experiment: Experiment) -> Proxy {
        let descriptors =
            (settings.limits.max_descriptors as usize).saturating_sub(RESERVED_FILE_DESCRIPTORS);
        let descriptors = descriptors.saturating_sub(RESERVED_SOCKET_DESCRIPTORS);
        let max_client_connections = (descriptors as f64 * CLIENT_DESCRIPTOR_FRACTION) as usize;
        let max_client_connections =
            max_client_connections.min(max_connections_for_memory(settings.limits.memory_mb));
        let buffers = BufferBudget::for_memory(settings.limits.memory_mb);
        let queue_limits = QueueLimits { requests: MAX_QUEUED_REQUESTS, bytes: buffers.limit() / 2 };
        let clients =
            ConnectionManager::new(client_options(max_client_connections.max(1), &Limits::default()));
        let manager = clients.clone();
        buffers.set_shortage_handler(move || manager.close_most_stalled_response());
        let state = ProxyState::new(Components {
            region: settings.region.clone(),
            balancer: balancer(settings, experiment.ablation),
            budgets: RetryBudgets::new(budget_options(settings)),
            pool: ConnectionPool::new((descriptors - max_client_connections).max(1)),
            buffers,
            queue_limits,
            faults: experiment.faults,
        });
        let address = listeners.clients.local_addr().ok().or(settings.listen.front);
        if let Some(address) = address {
            log::info!(address:% = address; "listening for clients");
        }
        let sync_client = SyncClient::new(state.clone(), settings, address);
        let urgent_report = sync_client.urgent_report();
        spawn_local(sync_client.run());
        spawn_local(state.admission.clone().poll_queues());
        spawn_local(check_servers(state.clone()));
        spawn_local(accept_clients(clients.clone(), listeners.clients, state.clone()));
        spawn_local(accept_readiness_checks(listeners.readiness, state.clone()));
        spawn_local(sweep_connections(clients.clone(), state.clone(), max_client_connections.max(1)));
        Proxy { state, clients, urgent_report }
    }

    /// Applies settings that have changed.
    fn apply(&self, settings: &Settings) {
        let Bounds { warmup_overshoot, warmup_slack, retry_budget_ratio, retry_slack, .. } = settings.bounds;
        self.state.upstreams.set_zones(&settings.zones);
        self.state.upstreams.set_slow_start_limit(warmup_overshoot, warmup_slack);
        if let Some(config) = self.state.config.get() {
            self.state.upstreams.set_services(config.services());
        }
        self.state.retry_budgets.set_limit(retry_budget_ratio, retry_slack);
        self.state.admission.admit_all();
    }

    /// Publishes that the proxy drains, keeps serving requests that arrive meanwhile, and completes open
    /// requests.
    async fn drain(self, settings: &Settings) {
        let state = &self.state;
        let now = state.now();
        let deadline = DrainDeadline::new(now, settings.bounds.grace);
        log::info!(open_requests = state.open_requests.len(); "SIGTERM received, draining");
        state.lifecycle.begin_drain(now, deadline);
        self.urgent_report.notify_one();
        sleep_until(state.instant_at(deadline.closes_idle_at())).await;
        self.clients.set_draining();
        if timeout_at(state.instant_at(deadline.response_cutoff()), self.clients.all_closed()).await.is_ok() {
            return;
        }
        state.lifecycle.signal_response_cutoff();
        if timeout_at(state.instant_at(deadline.exits_at()), self.clients.all_closed()).await.is_err() {
            log::warn!(open_requests = state.open_requests.len(); "exiting with requests still open");
        }
    }
}

async fn accept_clients(clients: Rc<ConnectionManager>, listener: TcpListener, state: Rc<ProxyState>) {
    clients.accept(listener, ClientService::new(state)).await;
}

async fn accept_readiness_checks(listener: TcpListener, state: Rc<ProxyState>) {
    ConnectionManager::new(readiness::OPTIONS).accept(listener, ReadinessService::new(state)).await;
}

/// Periodically closes idle and slow connections, and applies the active limits to new client connections.
async fn sweep_connections(clients: Rc<ConnectionManager>, state: Rc<ProxyState>, max_connections: usize) {
    let mut ticks = interval(SWEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        state.upstreams.pool().close_expired();
        if let Some(config) = state.config.get() {
            let limits = config.limits();
            clients.set_options(client_options(max_connections, limits));
            clients.close_slow(limits.idle_timeout, limits.header_timeout);
        }
    }
}

fn client_options(max_connections: usize, limits: &Limits) -> ConnectionOptions {
    ConnectionOptions {
        max_connections,
        max_header_bytes: (limits.max_header_bytes as usize).max(MIN_BUFFER_BYTES),
        recorded_bytes: RECORDED_BYTES,
        header_timeout: None,
        linger: Linger { time: Duration::from_millis(500), bytes: 256 * 1024 },
        idle_grace: Duration::from_millis(100),
        first_request_grace: Duration::from_millis(1_000),
        receive_grace: Some(RECEIVE_GRACE),
        write_stall_timeout: WRITE_STALL_TIMEOUT,
        write_stall_grace: WRITE_STALL_GRACE,
        accept_retry_delay: Duration::from_millis(20),
        plain_heads: false,
        half_close: false,
    }
}

/// Returns the number of client connections that fit into the memory available for connections.
fn max_connections_for_memory(megabytes: u32) -> usize {
    (f64::from(megabytes) * BYTES_PER_MEGABYTE * CONNECTION_MEMORY_FRACTION) as usize
        / CONNECTION_MEMORY_BYTES
}

fn balancer(settings: &Settings, ablation: Ablation) -> Balancer {
    let locality = Locality { zone: settings.zone.clone(), region: settings.region.clone() };
    let options = Options {
        name: settings.node_name.clone(),
        warmup_overshoot: settings.bounds.warmup_overshoot,
        warmup_slack: settings.bounds.warmup_slack,
        seed: fastrand::u64(..),
        ablation,
    };
    Balancer::new(locality, settings.zones.clone(), options)
}

fn budget_options(settings: &Settings) -> BudgetOptions {
    let bounds = &settings.bounds;
    BudgetOptions {
        ratio: bounds.retry_budget_ratio,
        window: bounds.budget_window,
        slack: bounds.retry_slack,
    }
}
