//! What all requests of a proxy share: the configuration in force, the choice of servers, budgets and connections.

use super::admission::{Admission, NoPlace};
use super::departure::Departure;
use super::failures::Failures;
use super::faults::Faults;
use super::lifecycle::{self, Lifecycle};
use super::memory::BodyBudget;
use super::plan::InForce;
use super::pool::Pool;
use super::request::Job;
use super::run::Run;
use super::servers::Servers;
use hyper::header::HeaderValue;
use quillpulley_load_balancer::{Balancer, HomeDemand, Limiter, ServedIn, ServerKey, WaitingLimits};
use quillpulley_protocol::{EndpointState, Server, ServerState};
use quillpulley_retry_budget::RetryBudgets;
use quillpulley_serving_config::Configuration;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashSet};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;

/// The published state is looked at several times within this time; if it was fresh at none of these, it is stale.
const STALE_AFTER: Duration = Duration::from_secs(1);

/// What a plane is made of.
pub struct Parts {
    /// The region of this proxy.
    pub region: String,
    /// The choice of servers.
    pub balancer: Balancer,
    /// The retry budgets.
    pub budgets: RetryBudgets,
    /// The connections to servers.
    pub pool: Rc<Pool>,
    /// The memory for bodies.
    pub bodies: BodyBudget,
    /// How many requests may wait for places at servers of a service.
    pub waiting: WaitingLimits,
    /// Faults for tests.
    pub faults: Faults,
}

/// What all requests share.
pub struct Plane {
    servers: Rc<Servers>,
    admission: Rc<Admission>,
    budgets: RefCell<RetryBudgets>,
    in_force: RefCell<Option<Rc<InForce>>>,
    open_ids: RefCell<HashSet<HeaderValue>>,
    lifecycle: Cell<Lifecycle>,
    departure: Cell<Option<Departure>>,
    last_call: Notify,
    fresh_at: Cell<Option<Duration>>,
    home_demand: RefCell<HomeDemand>,
    faults: Faults,
}

impl Plane {
    /// Nothing is known yet.
    pub fn new(parts: Parts) -> Rc<Self> {
        let Parts { region, balancer, budgets, pool, bodies, waiting, faults } = parts;
        let servers = Servers::new(balancer, pool, bodies);
        Rc::new(Plane {
            admission: Admission::new(servers.clone(), waiting),
            servers,
            budgets: RefCell::new(budgets),
            in_force: RefCell::default(),
            open_ids: RefCell::default(),
            lifecycle: Cell::default(),
            departure: Cell::default(),
            last_call: Notify::new(),
            fresh_at: Cell::default(),
            home_demand: RefCell::new(HomeDemand::new(region)),
            faults,
        })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.servers.now()
    }

    /// Returns a time as one since the start.
    pub fn since_start(&self, time: Instant) -> Duration {
        time.saturating_duration_since(self.servers.started())
    }

    /// Returns a time since the start as one of the clock.
    pub fn at(&self, time: Duration) -> Instant {
        self.servers.started() + time
    }

    /// After what time clients may try again while no configuration is known.
    pub fn starting_retry_after(&self) -> Duration {
        lifecycle::retry_after_start(self.now())
    }

    /// Returns the configuration in force, once one is known.
    pub fn in_force(&self) -> Option<Rc<InForce>> {
        self.in_force.borrow().clone()
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> Option<u64> {
        self.in_force.borrow().as_ref().map(|in_force| in_force.configuration.version)
    }

    /// Takes a configuration, unless a later one is in force.
    pub fn enforce(&self, configuration: Configuration) {
        if self.version().is_some_and(|current| configuration.version <= current) {
            return;
        }
        log::info!("configuration {} is in force", configuration.version);
        self.balancer().borrow_mut().set_services(configuration.services.values());
        let in_force = Rc::new(InForce::new(configuration));
        let before = self.in_force.replace(Some(in_force.clone()));
        if before.is_some_and(|before| before.homes().all() != in_force.homes().all()) {
            self.home_demand.borrow_mut().reset();
        }
        self.change_lifecycle(lifecycle::Event::ConfigurationKnown);
    }

    /// Returns the choice of servers. Nothing else of the plane may be called while it is borrowed.
    pub fn balancer(&self) -> &RefCell<Balancer> {
        self.servers.balancer()
    }

    /// Returns a place at a server, other than those that were tried, at once or until then.
    pub async fn place(&self, job: &Rc<Job>, tried: &[ServerKey], until: Instant) -> Result<Run, NoPlace> {
        self.admission.place(job, tried, until).await
    }

    /// Gives places at all servers to those who wait.
    pub fn admit_all(&self) {
        self.admission.admit_all();
    }

    /// Looks again for places while somebody waits, for as long as it is polled.
    pub async fn keep_admitting(self: Rc<Self>) {
        self.admission.keep_admitting().await;
    }

    /// Returns when something failed at a server.
    pub fn failures(&self) -> &Failures {
        self.servers.failures()
    }

    /// Faults for tests.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Returns the retry budgets.
    pub fn budgets(&self) -> &RefCell<RetryBudgets> {
        &self.budgets
    }

    /// Returns the connections to servers.
    pub fn pool(&self) -> &Rc<Pool> {
        self.servers.pool()
    }

    /// Returns the memory for bodies.
    pub fn bodies(&self) -> &BodyBudget {
        self.servers.bodies()
    }

    /// Returns whether the process has been told to end.
    pub fn is_leaving(&self) -> bool {
        self.lifecycle.get().is_leaving()
    }

    /// Returns whether new clients may come.
    pub fn is_ready(&self) -> bool {
        self.lifecycle.get().is_ready(self.now())
    }

    /// Returns what others are told of this proxy.
    pub fn endpoint_state(&self) -> EndpointState {
        self.lifecycle.get().endpoint_state(self.now())
    }

    /// Counts a request to a host by the regions in which it may be served, where the configuration in force
    /// leaves open whether most requests to that host may be served here.
    pub fn count_homes(&self, in_force: &InForce, host: &str, homes: &[String]) {
        let mut demand = self.home_demand.borrow_mut();
        if in_force.homes().of(host).served_in(demand.region()) == ServedIn::Some {
            demand.count(self.now(), homes);
        }
    }

    /// Returns the regions whose fronts would serve the clients of this proxy better.
    pub fn preferred_regions(&self) -> Vec<String> {
        self.home_demand.borrow().preferred_regions().to_vec()
    }

    /// The process has been told to end.
    pub fn leave(&self, departure: Departure) {
        self.departure.set(Some(departure));
        self.change_lifecycle(lifecycle::Event::Stop);
    }

    /// Returns whether a request is taken that came then, and whose answer is due then at the latest.
    pub fn takes(&self, arrived: Instant, due: Instant) -> bool {
        let taken_by =
            |departure: Departure| departure.takes(self.since_start(arrived), self.since_start(due));
        self.departure.get().is_none_or(taken_by)
    }

    /// Has all requests answered that have no answer yet: the process ends.
    pub fn call_last(&self) {
        self.last_call.notify_waiters();
    }

    /// Waits until whatever has no answer yet is to get one, as the process ends.
    pub async fn last_call(&self) {
        self.last_call.notified().await;
    }

    /// Returns whether the published state is fresh. If not, there may be routes that this proxy has not heard of.
    pub fn is_fresh(&self) -> bool {
        self.fresh_at.get().is_some_and(|fresh_at| self.now().saturating_sub(fresh_at) < STALE_AFTER)
    }

    /// The published state is fresh.
    pub fn set_fresh(&self) {
        self.fresh_at.set(Some(self.now()));
        self.change_lifecycle(lifecycle::Event::Fresh);
    }

    fn change_lifecycle(&self, event: lifecycle::Event) {
        let mut lifecycle = self.lifecycle.get();
        lifecycle.handle(self.now(), event);
        self.lifecycle.set(lifecycle);
    }

    /// Requests that are open.
    pub fn open_requests(&self) -> usize {
        self.open_ids.borrow().len()
    }

    /// Opens a request, unless one with its id is open.
    pub fn open(self: &Rc<Self>, id: &HeaderValue) -> Option<OpenRequest> {
        let new = self.open_ids.borrow_mut().insert(id.clone());
        new.then(|| OpenRequest { plane: self.clone(), id: id.clone(), guard: None })
    }

    /// The proxies that share the servers.
    pub fn set_endpoints(self: &Rc<Self>, endpoints: Vec<Limiter>) {
        self.servers.set_endpoints(endpoints.len());
        self.balancer().borrow_mut().set_limiters(endpoints);
        self.admit_all();
    }

    /// The zones to which nothing is sent.
    pub fn set_evacuated(self: &Rc<Self>, zones: &BTreeSet<String>) {
        self.balancer().borrow_mut().set_evacuated(self.now(), zones);
        self.admit_all();
    }

    /// A server is listed, or its entry has changed.
    pub fn put_server(self: &Rc<Self>, server: &Server) {
        let key = self.balancer().borrow_mut().put_server(self.now(), server);
        match key {
            Some(key) if server.state == ServerState::Draining => self.pool().forget(key),
            Some(_) => self.admission.admit(&server.service),
            None => log::error!("server {}: {} is no address", server.id, server.address),
        }
    }

    /// A server is gone.
    pub fn remove_server(&self, id: &str) {
        let removed = self.balancer().borrow_mut().remove_server(self.now(), id);
        if let Some(key) = removed {
            self.pool().abort(key);
        }
    }

    /// Returns whether anything may be sent to a server that was chosen before.
    pub fn is_usable(&self, server: ServerKey) -> bool {
        self.servers.is_usable(server)
    }

    /// Returns the part of a server's connections that this proxy may keep.
    pub fn connection_share(&self, max_connections: u32) -> usize {
        self.servers.connection_share(max_connections)
    }
}

/// A request that is open, for as long as this lives.
pub struct OpenRequest {
    plane: Rc<Plane>,
    id: HeaderValue,
    guard: Option<AbortHandle>,
}

impl OpenRequest {
    /// Runs this for as long as the request is open.
    pub fn guard(&mut self, task: impl Future<Output = ()> + 'static) {
        self.guard = Some(spawn_local(task).abort_handle());
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.plane.open_ids.borrow_mut().remove(&self.id);
        self.guard.iter().for_each(AbortHandle::abort);
    }
}
