//! What all requests of a proxy share, and the changes that concern more than one part of it.

use crate::proxy::admission::buffer_budget::BufferBudget;
use crate::proxy::admission::Admission;
use crate::proxy::config::active_config::{ActiveConfig, ActiveConfigCell};
use crate::proxy::downstream::home_demand::HomeDemandCell;
use crate::proxy::downstream::open_requests::OpenRequests;
use crate::proxy::faults::Faults;
use crate::proxy::retry::budgets::SharedRetryBudgets;
use crate::proxy::shutdown::lifecycle::Event;
use crate::proxy::shutdown::proxy_lifecycle::ProxyLifecycle;
use crate::proxy::upstream::connection_pool::ConnectionPool;
use crate::proxy::upstream::upstreams::{ListingOutcome, Upstreams};
use quillpulley_load_balancer::{Balancer, ProxyPeer, QueueLimits};
use quillpulley_protocol::Server;
use quillpulley_retry_budget::RetryBudgets;
use quillpulley_serving_config::Configuration;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The published state is looked at several times within this time. If it was fresh at none of these, it is stale.
const STALE_AFTER: Duration = Duration::from_secs(1);

/// What a [`ProxyState`] is built from.
pub struct Components {
    /// The region of this proxy.
    pub region: String,
    /// The choice of servers.
    pub balancer: Balancer,
    /// The retry budgets.
    pub budgets: RetryBudgets,
    /// The connections to servers.
    pub pool: Rc<ConnectionPool>,
    /// The memory for bodies.
    pub buffers: BufferBudget,
    /// The bounds of the queue of each service.
    pub queue_limits: QueueLimits,
    /// Deliberate faults of tests.
    pub faults: Faults,
}

/// What all requests share. Each field is a concern of its own, used by whoever needs it.
pub struct ProxyState {
    /// The servers.
    pub upstreams: Rc<Upstreams>,
    /// Capacity at the servers.
    pub admission: Rc<Admission>,
    /// The retry budgets of all services.
    pub retry_budgets: SharedRetryBudgets,
    /// The active configuration.
    pub config: ActiveConfigCell,
    /// The requests that are open.
    pub open_requests: Rc<OpenRequests>,
    /// Whether clients may come.
    pub lifecycle: ProxyLifecycle,
    /// Where the clients of this proxy would be served better.
    pub home_demand: HomeDemandCell,
    /// Deliberate faults of tests.
    pub faults: Faults,
    /// When the published state was fresh last.
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
            open_requests: Rc::default(),
            lifecycle: ProxyLifecycle::default(),
            home_demand: HomeDemandCell::new(region),
            faults,
            fresh_at: Cell::default(),
        })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.upstreams.now()
    }

    /// Converts a time of the clock to the time since the start.
    pub fn since_start(&self, time: Instant) -> Duration {
        time.saturating_duration_since(self.upstreams.started_at())
    }

    /// Converts a time since the start to one of the clock.
    pub fn at(&self, time: Duration) -> Instant {
        self.upstreams.started_at() + time
    }

    /// Activates a configuration, unless a later one is active.
    pub fn activate(&self, configuration: Configuration) {
        if self.config.version().is_some_and(|current| configuration.version <= current) {
            return;
        }
        log::info!(version = configuration.version; "configuration active");
        let config = Rc::new(ActiveConfig::new(configuration));
        self.upstreams.set_services(config.services());
        let before = self.config.replace(config.clone());
        if before.is_some_and(|before| before.homes().all() != config.homes().all()) {
            self.home_demand.reset();
        }
        self.lifecycle.handle(self.now(), Event::ConfigurationKnown);
    }

    /// Returns whether the published state is fresh. If not, there may be routes that this proxy does not know.
    pub fn is_fresh(&self) -> bool {
        self.fresh_at.get().is_some_and(|fresh_at| self.now().saturating_sub(fresh_at) < STALE_AFTER)
    }

    /// Records that the published state is fresh.
    pub fn record_fresh(&self) {
        self.fresh_at.set(Some(self.now()));
        self.lifecycle.handle(self.now(), Event::Fresh);
    }

    /// Sets the proxies that share the servers.
    pub fn set_proxies(&self, proxies: Vec<ProxyPeer>) {
        self.upstreams.set_proxies(proxies);
        self.admission.admit_all();
    }

    /// Sets the zones to which nothing is sent.
    pub fn set_evacuated(&self, zones: &BTreeSet<String>) {
        self.upstreams.set_evacuated(zones);
        self.admission.admit_all();
    }

    /// Adds a listed server, or updates its entry.
    pub fn put_server(&self, server: &Server) {
        match self.upstreams.put_server(server) {
            ListingOutcome::Usable => self.admission.admit(&server.service),
            ListingOutcome::Draining => {}
            ListingOutcome::InvalidAddress => {
                let (id, address) = (server.id.as_str(), server.address.as_str());
                log::error!(server = id, address; "the address of a server cannot be read");
            }
        }
    }
}
