//! The state that all upstream requests share: the load balancer, the connection pool, and the memory budget
//! for bodies.
//!
//! Queued requests are not part of this state. A [`CapacityListener`] is notified when a server may have
//! capacity again.

use super::connection_pool::{ConnectionPool, UpstreamPeer};
use super::recent_failures::RecentFailures;
use crate::buffer_budget::BufferBudget;
use quillpulley_load_balancer::{
    Balancer, Choice, Demand, FailureKind, HealthCheckResult, Outcome, ProxyPeer, ServerKey, Ticket,
};
use quillpulley_protocol::{Server, ServerLoad, ServerState};
use quillpulley_serving_config::Service;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// A listener that is notified when a server may have capacity again.
pub trait CapacityListener {
    /// Called when a server of the service may have capacity again.
    fn capacity_freed(self: Rc<Self>, service: &str);
}

/// The server that a health check is sent to.
pub struct HealthCheckTarget {
    /// The key, id and address of the server.
    pub peer: UpstreamPeer,
    /// The name of the service that the server belongs to.
    pub service: String,
}

/// The result of adding or updating a server of the published list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutServerOutcome {
    /// The server may receive requests.
    Usable,
    /// The server is draining and receives no new requests.
    Draining,
    /// The entry was ignored, as its address is invalid.
    InvalidAddress,
}

/// The servers, with the connections to them.
pub struct Upstreams {
    started_at: Instant,
    balancer: RefCell<Balancer>,
    pool: Rc<ConnectionPool>,
    buffers: BufferBudget,
    failures: RecentFailures,
    /// The number of proxies that send requests to the same servers, including this one.
    proxy_count: Cell<usize>,
    capacity_listener: OnceCell<Weak<dyn CapacityListener>>,
}

impl Upstreams {
    /// Creates the upstreams of a proxy that does not know any server yet.
    pub fn new(balancer: Balancer, pool: Rc<ConnectionPool>, buffers: BufferBudget) -> Rc<Self> {
        Rc::new(Upstreams {
            started_at: Instant::now(),
            balancer: RefCell::new(balancer),
            pool,
            buffers,
            failures: RecentFailures::default(),
            proxy_count: Cell::new(1),
            capacity_listener: OnceCell::new(),
        })
    }

    /// Sets the listener for free capacity. Only the first call has an effect.
    pub fn set_capacity_listener(&self, listener: Weak<dyn CapacityListener>) {
        let _ = self.capacity_listener.set(listener);
    }

    /// Returns when these upstreams were created, which is the start of the process.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns the pool of connections to servers.
    pub fn pool(&self) -> &Rc<ConnectionPool> {
        &self.pool
    }

    /// Returns the memory budget for bodies.
    pub fn buffers(&self) -> &BufferBudget {
        &self.buffers
    }

    /// Returns the record of the last failure at any server.
    pub fn failures(&self) -> &RecentFailures {
        &self.failures
    }

    /// Chooses a server for a request, among those that are not in `tried`.
    pub fn choose(&self, demand: &Demand<'_>, tried: &[ServerKey]) -> Choice {
        self.balancer.borrow_mut().choose(self.now(), demand, tried)
    }

    /// Registers an upstream request with the load balancer. Returns `None` if the server is no longer
    /// listed.
    pub fn begin_request(&self, server: ServerKey, demand: &Demand<'_>) -> Option<(UpstreamPeer, Ticket)> {
        let peer = self.peer(server)?;
        let ticket = self.balancer.borrow_mut().begin(self.now(), server, demand);
        Some((peer, ticket))
    }

    /// Records that the response to an upstream request has begun.
    pub fn record_started(&self, ticket: &Ticket) {
        self.balancer.borrow_mut().record_started(self.now(), ticket);
    }

    /// Records the outcome of an upstream request to a server of a service, and notifies the listener that
    /// there may be capacity.
    pub fn record_end(&self, service: &str, ticket: Ticket, outcome: Outcome) {
        self.balancer.borrow_mut().end(self.now(), ticket, outcome);
        if matches!(outcome, Outcome::Failed(_)) {
            self.failures.record();
        }
        if let Some(listener) = self.capacity_listener.get().and_then(Weak::upgrade) {
            listener.capacity_freed(service);
        }
    }

    /// Returns the outcome of an upstream request that is dropped before it ends: a timeout if its deadline
    /// `deadline` has been reached, else its client has closed the connection.
    pub fn outcome_when_dropped(deadline: Instant) -> Outcome {
        match Instant::now() >= deadline {
            true => Outcome::Failed(FailureKind::Timeout),
            false => Outcome::ClientClosed,
        }
    }

    fn peer(&self, server: ServerKey) -> Option<UpstreamPeer> {
        let balancer = self.balancer.borrow();
        let info = balancer.server(server)?;
        Some(UpstreamPeer { key: server, id: info.id.clone(), address: info.address })
    }

    /// Returns whether requests may still be sent to a server that was chosen before.
    pub fn is_usable(&self, server: ServerKey) -> bool {
        self.balancer.borrow().is_usable(server)
    }

    /// Returns the number of idle connections to a server that this proxy may keep: its share of
    /// `max_connections`.
    pub fn connection_quota(&self, max_connections: u32) -> usize {
        max_connections as usize / self.proxy_count.get()
    }

    /// Returns the servers to which a health check is due, and marks these checks as started.
    pub fn due_health_checks(&self) -> Vec<ServerKey> {
        self.balancer.borrow_mut().due_health_checks(self.now())
    }

    /// Returns the target of a health check. `None` if the server is no longer listed.
    pub fn health_check_target(&self, server: ServerKey) -> Option<HealthCheckTarget> {
        let peer = self.peer(server)?;
        let service = self.balancer.borrow().server(server)?.service.clone();
        Some(HealthCheckTarget { peer, service })
    }

    /// Records the result of a health check that was sent at `asked_at`.
    pub fn record_health_check(&self, server: ServerKey, asked_at: Duration, result: HealthCheckResult) {
        self.balancer.borrow_mut().record_health_check(self.now(), server, asked_at, result);
        if result == HealthCheckResult::Failed {
            self.failures.record();
        }
    }

    /// Sets the services of the active configuration.
    pub fn set_services<'a>(&self, services: impl Iterator<Item = &'a Service>) {
        self.balancer.borrow_mut().set_services(services);
    }

    /// Sets the proxies that send requests to the same servers, including this one.
    pub fn set_proxies(&self, proxies: Vec<ProxyPeer>) {
        self.proxy_count.set(proxies.len().max(1));
        self.balancer.borrow_mut().set_proxies(proxies);
    }

    /// Sets the evacuated zones, to whose servers no requests are sent.
    pub fn set_evacuated(&self, zones: &BTreeSet<String>) {
        self.balancer.borrow_mut().set_evacuated(self.now(), zones);
    }

    /// Sets the region of each zone.
    pub fn set_zones(&self, zones: &BTreeMap<String, String>) {
        self.balancer.borrow_mut().set_zones(zones);
    }

    /// Sets the factor and the addend in the limit on requests to a cold server. They apply once the services are set
    /// again.
    pub fn set_slow_start_limit(&self, overshoot: f64, slack: f64) {
        self.balancer.borrow_mut().set_slow_start_limit(overshoot, slack);
    }

    /// Sets the zones whose evacuation has ended recently, and whose servers may be cold.
    pub fn set_restored(&self, zones: BTreeSet<String>) {
        self.balancer.borrow_mut().set_restored(self.now(), zones);
    }

    /// Adds a server of the published list, or updates its entry.
    pub fn put_server(&self, server: &Server) -> PutServerOutcome {
        let key = self.balancer.borrow_mut().put_server(self.now(), server);
        match key {
            Some(key) if server.state == ServerState::Draining => {
                self.pool.close_idle_to(key);
                PutServerOutcome::Draining
            }
            Some(_) => PutServerOutcome::Usable,
            None => PutServerOutcome::InvalidAddress,
        }
    }

    /// Removes a server that is no longer listed. Closes its idle connections, and aborts the idempotent
    /// requests that wait for it.
    pub fn remove_server(&self, id: &str) {
        let removed = self.balancer.borrow_mut().remove_server(self.now(), id);
        if let Some(key) = removed {
            self.pool.abort_all(key);
        }
    }

    /// Sets the load of each server, summed over all proxies.
    pub fn set_total_loads(&self, loads: &[ServerLoad]) {
        self.balancer.borrow_mut().set_totals(self.now(), loads);
    }

    /// Returns the load that this proxy causes at each server, to be reported to the other proxies.
    pub fn own_loads(&self) -> Vec<ServerLoad> {
        self.balancer.borrow_mut().own_loads(self.now())
    }
}
