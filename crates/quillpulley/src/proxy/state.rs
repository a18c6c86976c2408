//! The state that all requests of a proxy share, and the changes that affect more than one part of it.

use crate::buffer_budget::BufferBudget;
use crate::proxy::admission::Admission;
use crate::proxy::config::active_config::{ActiveConfig, ActiveConfigCell};
use crate::proxy::config::pending_config::PendingConfigCell;
use crate::proxy::downstream::home_demand::HomeDemandCell;
use crate::proxy::downstream::open_requests::OpenRequests;
use crate::proxy::faults::Faults;
use crate::proxy::retry::budgets::SharedRetryBudgets;
use crate::proxy::shutdown::lifecycle::Event;
use crate::proxy::shutdown::proxy_lifecycle::ProxyLifecycle;
use crate::proxy::upstream::connection_pool::ConnectionPool;
use crate::proxy::upstream::upstreams::{PutServerOutcome, Upstreams};
use quillpulley_load_balancer::{Balancer, ProxyPeer, QueueLimits};
use quillpulley_protocol::Server;
use quillpulley_retry_budget::RetryBudgets;
use quillpulley_serving_config::Configuration;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The published state is stale if it has not been found fresh for this long. The sync client checks it
/// several times within this time.
const STALE_AFTER: Duration = Duration::from_secs(1);

/// The components that a [`ProxyState`] is built from.
pub struct Components {
    /// The region in which this proxy runs.
    pub region: String,
    /// The load balancer, which chooses a server for each request.
    pub balancer: Balancer,
    /// The retry budgets of all services.
    pub budgets: RetryBudgets,
    /// The pool of connections to servers.
    pub pool: Rc<ConnectionPool>,
    /// The memory budget for bodies of requests and responses.
    pub buffers: BufferBudget,
    /// The limits of each service's queue.
    pub queue_limits: QueueLimits,
    /// Faults that tests inject; none otherwise.
    pub faults: Faults,
}

/// The state that all requests of a proxy share.
pub struct ProxyState {
    /// The servers, with the connections to them.
    pub upstreams: Rc<Upstreams>,
    /// The queues of requests that wait for capacity at a server.
    pub admission: Rc<Admission>,
    /// The retry budgets of all services.
    pub retry_budgets: SharedRetryBudgets,
    /// The active configuration; empty until one is received.
    pub config: ActiveConfigCell,
    /// The published configuration that could not be activated, if there is one.
    pub pending_config: PendingConfigCell,
    /// The requests that have no complete response yet.
    pub open_requests: Rc<OpenRequests>,
    /// Whether the proxy is starting, ready or draining.
    pub lifecycle: ProxyLifecycle,
    /// Counts of requests by home region, which tell whether proxies in other regions would serve the clients
    /// better.
    pub home_demand: HomeDemandCell,
    /// Faults that tests inject; none otherwise.
    pub faults: Faults,
    /// When the published state was last fresh, since the start of the process. `None` if it never was.
    fresh_at: Cell<Option<Duration>>,
}

impl ProxyState {
    /// Creates the state of a proxy that has no configuration yet.
    pub fn new(components: Components) -> Rc<Self> {
        let Components { region, balancer, budgets, pool, buffers, queue_limits, faults } = components;
        let upstreams = Upstreams::new(balancer, pool, buffers);
        Rc::new(ProxyState {
            admission: Admission::new(upstreams.clone(), queue_limits),
            upstreams,
            retry_budgets: SharedRetryBudgets::new(budgets),
            config: ActiveConfigCell::default(),
            pending_config: PendingConfigCell::default(),
            open_requests: Rc::default(),
            lifecycle: ProxyLifecycle::default(),
            home_demand: HomeDemandCell::new(region),
            faults,
            fresh_at: Cell::default(),
        })
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Duration {
        self.upstreams.now()
    }

    /// Converts an instant to a time since the start of the process; zero for an earlier instant.
    pub fn since_start(&self, time: Instant) -> Duration {
        time.saturating_duration_since(self.upstreams.started_at())
    }

    /// Converts a time since the start of the process to an instant.
    pub fn instant_at(&self, time: Duration) -> Instant {
        self.upstreams.started_at() + time
    }

    /// Activates a configuration, unless the active one is the same or a later version.
    pub fn activate(&self, configuration: Configuration) {
        if self.config.version().is_some_and(|current| configuration.version <= current) {
            return;
        }
        log::info!(version = configuration.version; "configuration active");
        let config = Rc::new(ActiveConfig::new(configuration));
        self.upstreams.set_services(config.services());
        let previous = self.config.replace(config.clone());
        if previous.is_some_and(|previous| previous.homes().all() != config.homes().all()) {
            self.home_demand.reset();
        }
        self.lifecycle.handle(self.now(), Event::ConfigurationKnown);
    }

    /// Returns whether the published state is fresh. If it is not, routes may exist that this proxy does not
    /// know.
    pub fn is_fresh(&self) -> bool {
        self.fresh_at.get().is_some_and(|fresh_at| self.now().saturating_sub(fresh_at) < STALE_AFTER)
    }

    /// Records that the published state is fresh now.
    pub fn record_fresh(&self) {
        self.fresh_at.set(Some(self.now()));
        self.lifecycle.handle(self.now(), Event::Fresh);
    }

    /// Sets the proxies that send requests to the same servers, including this one.
    pub fn set_proxies(&self, proxies: Vec<ProxyPeer>) {
        self.upstreams.set_proxies(proxies);
        self.admission.admit_all();
    }

    /// Sets the evacuated zones, to whose servers no requests are sent.
    pub fn set_evacuated(&self, zones: &BTreeSet<String>) {
        self.upstreams.set_evacuated(zones);
        self.admission.admit_all();
    }

    /// Adds a server of the published list, or updates its entry.
    pub fn put_server(&self, server: &Server) {
        match self.upstreams.put_server(server) {
            PutServerOutcome::Usable => self.admission.admit(&server.service),
            PutServerOutcome::Draining => {}
            PutServerOutcome::InvalidAddress => {
                let (id, address) = (server.id.as_str(), server.address.as_str());
                log::error!(server = id, address; "ignoring a published server with an invalid address");
            }
        }
    }
}
