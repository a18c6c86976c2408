//! Starts the parts of a proxy and ends them.

use super::client_service::{ClientService, RECORDED};
use super::departure::Departure;
use super::faults::Faults;
use super::feed_client::FeedClient;
use super::health::check_servers;
use super::memory::BodyBudget;
use super::plane::{Parts, Plane};
use super::pool::Pool;
use super::ready::{self, ReadyService};
use crate::peer::bind;
use crate::signals::ProcessSignal;
use crate::{HostError, Settings};
use quillpulley_http1_client::{ConnectionOptions, Connections};
use quillpulley_load_balancer::{Balancer, Options, Place, WaitingLimits};
use quillpulley_retry_budget::{Options as BudgetOptions, RetryBudgets};
use quillpulley_serving_config::Limits;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep_until, timeout_at, MissedTickBehavior};

/// Descriptors that are none of the process's sockets.
const RESERVED_FILES: usize = 200;
/// Descriptors for listeners, the agent, the runtime and whatever is being accepted.
const RESERVED_SOCKETS: usize = 40;
/// Of the descriptors for connections the part for clients, who keep theirs while they ask for nothing.
const CLIENTS_SHARE: f64 = 0.6;
/// What a client's connection takes with a stream on it, that of its server included: 42 KB were measured.
const CONNECTION_BYTES: usize = 48 * 1024;
/// The part of the process's memory for connections.
const CONNECTIONS_SHARE: f64 = 0.4;
const MEGABYTE: f64 = 1024.0 * 1024.0;
/// Requests that may wait for places at servers of one service.
const MOST_WAITING: usize = 512;
/// hyper needs a buffer of this size at least.
const MIN_BUFFER: usize = 8 * 1024;
/// The time between two looks at which connections have been idle or slow for too long.
const SWEEP: Duration = Duration::from_millis(500);

/// Where a proxy can be reached.
pub struct Listeners {
    /// For clients.
    pub endpoint: TcpListener,
    /// For checks.
    pub ready: TcpListener,
}

impl Listeners {
    /// At the addresses of the settings.
    pub async fn bind(settings: &Settings) -> Result<Listeners, HostError> {
        let unusable = |error| HostError::Settings(error);
        let front = settings.front_address().map_err(unusable)?;
        let ready = settings.ready_address().map_err(unusable)?;
        Ok(Listeners { endpoint: bind(front).await?, ready: bind(ready).await? })
    }
}

/// Serves until it is told to stop and has done so. Must be called on a tokio `LocalSet`.
pub async fn serve(settings: Settings, listeners: Listeners, commands: UnboundedReceiver<ProcessSignal>) {
    serve_with_faults(settings, listeners, commands, Faults::default()).await;
}

/// The same with deliberate faults, for tests.
pub async fn serve_with_faults(
    settings: Settings,
    listeners: Listeners,
    mut commands: UnboundedReceiver<ProcessSignal>,
    faults: Faults,
) {
    let proxy = Proxy::start(&settings, listeners, faults);
    while let Some(command) = commands.recv().await {
        match command {
            ProcessSignal::Reload => reload(),
            ProcessSignal::Shutdown => break,
        }
    }
    proxy.drain(&settings).await;
}

/// What a proxy takes from its settings holds until it ends: it only tells whether they can be used.
fn reload() {
    match Settings::from_environment() {
        Ok(_) => log::info!("the settings have changed: they hold from the next start"),
        Err(error) => log::error!("the settings have changed and cannot be used at the next start: {error}"),
    }
}

/// A proxy that serves.
struct Proxy {
    plane: Rc<Plane>,
    clients: Rc<Connections>,
    /// Tells the feed that something is to be reported at once.
    news: Rc<Notify>,
}

impl Proxy {
    fn start(settings: &Settings, listeners: Listeners, faults: Faults) -> Proxy {
        let descriptors = (settings.limits.max_descriptors as usize).saturating_sub(RESERVED_FILES);
        let descriptors = descriptors.saturating_sub(RESERVED_SOCKETS);
        let for_clients = (descriptors as f64 * CLIENTS_SHARE) as usize;
        let for_clients = for_clients.min(connections_for_memory(settings.limits.memory_mb));
        let bodies = BodyBudget::for_memory(settings.limits.memory_mb);
        let waiting = WaitingLimits { requests: MOST_WAITING, bytes: bodies.limit() / 2 };
        let plane = Plane::new(Parts {
            region: settings.region.clone(),
            balancer: balancer(settings),
            budgets: RetryBudgets::new(budget_options(settings)),
            pool: Pool::new((descriptors - for_clients).max(1)),
            bodies,
            waiting,
            faults,
        });
        let clients = Connections::new(client_options(for_clients.max(1), &Limits::default()));
        let front_address = listeners.endpoint.local_addr().ok().or(settings.listen.front);
        if let Some(address) = front_address {
            log::info!("listening for clients on {address}");
        }
        let feed = FeedClient::new(plane.clone(), settings, front_address);
        let news = feed.news();
        spawn_local(feed.run());
        spawn_local(plane.clone().keep_admitting());
        spawn_local(check_servers(plane.clone()));
        spawn_local(accept_clients(clients.clone(), listeners.endpoint, plane.clone()));
        spawn_local(accept_checks(listeners.ready, plane.clone()));
        spawn_local(sweep(clients.clone(), plane.clone(), for_clients.max(1)));
        Proxy { plane, clients, news }
    }

    /// Tells everybody that it leaves, serves those who still come, and finishes what is under way.
    async fn drain(self, settings: &Settings) {
        let plane = &self.plane;
        let departure = Departure::new(plane.now(), settings.bounds.grace);
        log::info!("told to end: {} requests are under way", plane.open_requests());
        plane.leave(departure);
        self.news.notify_one();
        sleep_until(plane.at(departure.takes_all_until())).await;
        self.clients.set_draining();
        if timeout_at(plane.at(departure.last_answer_at()), self.clients.all_closed()).await.is_ok() {
            return;
        }
        plane.call_last();
        if timeout_at(plane.at(departure.ends_at()), self.clients.all_closed()).await.is_err() {
            log::warn!("{} requests could not be finished in time", plane.open_requests());
        }
    }
}

async fn accept_clients(clients: Rc<Connections>, listener: TcpListener, plane: Rc<Plane>) {
    clients.accept(listener, ClientService::new(plane)).await;
}

async fn accept_checks(listener: TcpListener, plane: Rc<Plane>) {
    Connections::new(ready::OPTIONS).accept(listener, ReadyService::new(plane)).await;
}

/// Closes connections that have been idle or slow for too long, and keeps the limits of new ones up to date.
async fn sweep(clients: Rc<Connections>, plane: Rc<Plane>, budget: usize) {
    let mut ticks = interval(SWEEP);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        plane.pool().close_idle();
        if let Some(in_force) = plane.in_force() {
            let limits = in_force.limits();
            clients.set_options(client_options(budget, limits));
            clients.close_slow(limits.idle_timeout, limits.header_timeout);
        }
    }
}

fn client_options(budget: usize, limits: &Limits) -> ConnectionOptions {
    ConnectionOptions {
        budget,
        max_head: (limits.max_header_bytes as usize).max(MIN_BUFFER),
        record: RECORDED,
        head_time: None,
        linger: (Duration::from_millis(500), 256 * 1024),
        at_rest: Duration::from_millis(100),
        never_asked: Duration::from_millis(1_000),
        accept_pause: Duration::from_millis(20),
    }
}

/// Clients' connections that the memory is enough for.
fn connections_for_memory(megabytes: u32) -> usize {
    (f64::from(megabytes) * MEGABYTE * CONNECTIONS_SHARE) as usize / CONNECTION_BYTES
}

fn balancer(settings: &Settings) -> Balancer {
    let place = Place { zone: settings.zone.clone(), region: settings.region.clone() };
    let options = Options {
        name: settings.node_name.clone(),
        warmup_overshoot: settings.bounds.warmup_overshoot,
        warmup_slack: settings.bounds.warmup_slack,
        seed: fastrand::u64(..),
    };
    Balancer::new(place, settings.zones.clone(), options)
}

fn budget_options(settings: &Settings) -> BudgetOptions {
    let bounds = &settings.bounds;
    BudgetOptions {
        ratio: bounds.retry_budget_ratio,
        window: bounds.budget_window,
        slack: bounds.retry_slack,
    }
}
