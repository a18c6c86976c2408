//! What all upstream requests share: the choice among servers, connections, and memory for bodies.
//!
//! It does not know the requests that wait. A [`CapacityListener`] is notified when a server may have capacity again.

use super::connection_pool::{ConnectionPool, UpstreamPeer};
use super::recent_failures::RecentFailures;
use crate::proxy::admission::buffer_budget::BufferBudget;
use quillpulley_load_balancer::{
    Balancer, Choice, Demand, FailureKind, HealthCheckResult, Outcome, ProxyPeer, ServerKey, Ticket,
};
use quillpulley_protocol::{Server, ServerLoad, ServerState};
use quillpulley_serving_config::Service;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeSet;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// Is notified when a server may have capacity again.
pub trait CapacityListener {
    /// Handles that a server of a service may have capacity.
    fn capacity_freed(self: Rc<Self>, service: &str);
}

/// What a health check has to know of a server.
pub struct CheckedServer {
    /// The server.
    pub peer: UpstreamPeer,
    /// The name of its service.
    pub service: String,
}

/// What became of an entry of the published list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingOutcome {
    /// The server may get requests.
    Usable,
    /// The server gets nothing new.
    Draining,
    /// The address of the server cannot be read.
    InvalidAddress,
}

/// The servers.
pub struct Upstreams {
    started_at: Instant,
    balancer: RefCell<Balancer>,
    pool: Rc<ConnectionPool>,
    buffers: BufferBudget,
    failures: RecentFailures,
    /// The proxies that share the servers.
    proxy_count: Cell<usize>,
    capacity_listener: OnceCell<Weak<dyn CapacityListener>>,
}

impl Upstreams {
    /// Creates the upstreams of a proxy that knows no server yet.
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

    /// Sets who is notified of capacity. Only the first call has an effect.
    pub fn set_capacity_listener(&self, listener: Weak<dyn CapacityListener>) {
        let _ = self.capacity_listener.set(listener);
    }

    /// Returns when the process started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns the connections to servers.
    pub fn pool(&self) -> &Rc<ConnectionPool> {
        &self.pool
    }

    /// Returns the memory for bodies.
    pub fn buffers(&self) -> &BufferBudget {
        &self.buffers
    }

    /// Returns when something failed at a server.
    pub fn failures(&self) -> &RecentFailures {
        &self.failures
    }

    /// Chooses a server for a request, other than those that were tried.
    pub fn choose(&self, demand: &Demand<'_>, tried: &[ServerKey]) -> Choice {
        self.balancer.borrow_mut().choose(self.now(), demand, tried)
    }

    /// Begins an upstream request to a server. Returns none if it is not listed any more.
    pub fn begin_request(&self, server: ServerKey, demand: &Demand<'_>) -> Option<(UpstreamPeer, Ticket)> {
        let peer = self.peer(server)?;
        let ticket = self.balancer.borrow_mut().begin(self.now(), server, demand);
        Some((peer, ticket))
    }

    /// Records that the response to an upstream request has begun.
    pub fn record_started(&self, ticket: &Ticket) {
        self.balancer.borrow_mut().record_started(self.now(), ticket);
    }

    /// Records the outcome of an upstream request to a server of a service.
    pub fn record_end(&self, service: &str, ticket: Ticket, outcome: Outcome) {
        self.balancer.borrow_mut().end(self.now(), ticket, outcome);
        if matches!(outcome, Outcome::Failed(_)) {
            self.failures.record();
        }
        if let Some(listener) = self.capacity_listener.get().and_then(Weak::upgrade) {
            listener.capacity_freed(service);
        }
    }

    /// Returns the outcome of an upstream request that is dropped before its end.
    pub fn outcome_when_dropped(due: Instant) -> Outcome {
        match Instant::now() >= due {
            true => Outcome::Failed(FailureKind::Timeout),
            false => Outcome::ClientClosed,
        }
    }

    fn peer(&self, server: ServerKey) -> Option<UpstreamPeer> {
        let balancer = self.balancer.borrow();
        let info = balancer.server(server)?;
        Some(UpstreamPeer { key: server, id: info.id.clone(), address: info.address })
    }

    /// Returns whether anything may be sent to a server that was chosen before.
    pub fn is_usable(&self, server: ServerKey) -> bool {
        self.balancer.borrow().is_usable(server)
    }

    /// Returns the number of a server's connections that this proxy may keep.
    pub fn connection_quota(&self, max_connections: u32) -> usize {
        max_connections as usize / self.proxy_count.get()
    }

    /// Returns the servers for which a health check has to be made now.
    pub fn due_health_checks(&self) -> Vec<ServerKey> {
        self.balancer.borrow_mut().due_health_checks(self.now())
    }

    /// Returns what a health check has to know of a server, if it is still listed.
    pub fn checked_server(&self, server: ServerKey) -> Option<CheckedServer> {
        let peer = self.peer(server)?;
        let service = self.balancer.borrow().server(server)?.service.clone();
        Some(CheckedServer { peer, service })
    }

    /// Records the result of a health check.
    pub fn record_health_check(&self, server: ServerKey, result: HealthCheckResult) {
        self.balancer.borrow_mut().record_health_check(self.now(), server, result);
        if result == HealthCheckResult::Failed {
            self.failures.record();
        }
    }

    /// Sets the services of the active configuration.
    pub fn set_services<'a>(&self, services: impl Iterator<Item = &'a Service>) {
        self.balancer.borrow_mut().set_services(services);
    }

    /// Sets the proxies that share the servers, this one included.
    pub fn set_proxies(&self, proxies: Vec<ProxyPeer>) {
        self.proxy_count.set(proxies.len().max(1));
        self.balancer.borrow_mut().set_proxies(proxies);
    }

    /// Sets the zones to which nothing is sent.
    pub fn set_evacuated(&self, zones: &BTreeSet<String>) {
        self.balancer.borrow_mut().set_evacuated(self.now(), zones);
    }

    /// Adds a listed server, or updates its entry.
    pub fn put_server(&self, server: &Server) -> ListingOutcome {
        let key = self.balancer.borrow_mut().put_server(self.now(), server);
        match key {
            Some(key) if server.state == ServerState::Draining => {
                self.pool.close_idle_to(key);
                ListingOutcome::Draining
            }
            Some(_) => ListingOutcome::Usable,
            None => ListingOutcome::InvalidAddress,
        }
    }

    /// Removes a server that is not listed any more, and ends what waits for it.
    pub fn remove_server(&self, id: &str) {
        let removed = self.balancer.borrow_mut().remove_server(self.now(), id);
        if let Some(key) = removed {
            self.pool.abort_all(key);
        }
    }

    /// Sets the loads of all servers, summed over all proxies.
    pub fn set_total_loads(&self, loads: &[ServerLoad]) {
        self.balancer.borrow_mut().set_totals(self.now(), loads);
    }

    /// Returns what this proxy has in flight at each server, to be reported to the others.
    pub fn own_loads(&self) -> Vec<ServerLoad> {
        self.balancer.borrow_mut().own_loads(self.now())
    }
}
