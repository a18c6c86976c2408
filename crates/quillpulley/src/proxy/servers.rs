//! What every send of a request needs of the servers: the choice among them, connections, and memory for bodies.
//!
//! It knows nothing of who sends. Whoever gives out places is told of each that comes free.

use super::failures::Failures;
use super::memory::BodyBudget;
use super::pool::Pool;
use quillpulley_load_balancer::{Balancer, ServerKey};
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// Is told that a place came free at a server.
pub trait PlaceListener {
    /// At a server of this service.
    fn place_came_free(self: Rc<Self>, service: &str);
}

/// The servers, as all sends share them.
pub struct Servers {
    started: Instant,
    balancer: RefCell<Balancer>,
    pool: Rc<Pool>,
    bodies: BodyBudget,
    failures: Failures,
    /// The proxies that share the servers.
    endpoints: Cell<usize>,
    listener: OnceCell<Weak<dyn PlaceListener>>,
}

impl Servers {
    /// None are known yet.
    pub fn new(balancer: Balancer, pool: Rc<Pool>, bodies: BodyBudget) -> Rc<Self> {
        Rc::new(Servers {
            started: Instant::now(),
            balancer: RefCell::new(balancer),
            pool,
            bodies,
            failures: Failures::default(),
            endpoints: Cell::new(1),
            listener: OnceCell::new(),
        })
    }

    /// Sets who is told of places that come free; the first one stays.
    pub fn set_listener(&self, listener: Weak<dyn PlaceListener>) {
        let _ = self.listener.set(listener);
    }

    /// Returns when the process started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the choice of servers. Nothing else may be called while it is borrowed.
    pub fn balancer(&self) -> &RefCell<Balancer> {
        &self.balancer
    }

    /// Returns the connections to servers.
    pub fn pool(&self) -> &Rc<Pool> {
        &self.pool
    }

    /// Returns the memory for bodies.
    pub fn bodies(&self) -> &BodyBudget {
        &self.bodies
    }

    /// Returns when something failed at a server.
    pub fn failures(&self) -> &Failures {
        &self.failures
    }

    /// Returns whether anything may be sent to a server that was chosen before.
    pub fn is_usable(&self, server: ServerKey) -> bool {
        self.balancer.borrow().is_usable(server)
    }

    /// So many proxies share the servers.
    pub fn set_endpoints(&self, endpoints: usize) {
        self.endpoints.set(endpoints.max(1));
    }

    /// Returns the part of a server's connections that this proxy may keep.
    pub fn connection_share(&self, max_connections: u32) -> usize {
        max_connections as usize / self.endpoints.get()
    }

    /// A place came free at a server of this service.
    pub fn place_came_free(&self, service: &str) {
        if let Some(listener) = self.listener.get().and_then(Weak::upgrade) {
            listener.place_came_free(service);
        }
    }
}
