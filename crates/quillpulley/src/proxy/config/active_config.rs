//! The active configuration, and what it decides for a request.

use quillpulley_load_balancer::{pick_service, HomeTable, RouteTable};
use quillpulley_serving_config::{Configuration, Limits, Route, RouteKind, Service};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// A configuration, indexed for look-ups.
pub struct ActiveConfig {
    configuration: Configuration,
    routes: RouteTable,
    homes: HomeTable,
}

impl ActiveConfig {
    /// Indexes a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let routes = RouteTable::new(&configuration);
        let with_homes =
            configuration.routes.iter().map(|route| (route.host.as_str(), route.home_regions.as_slice()));
        let homes = HomeTable::new(with_homes);
        ActiveConfig { configuration, routes, homes }
    }

    /// Returns its version.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Returns the limits of clients.
    pub fn limits(&self) -> &Limits {
        &self.configuration.limits
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.configuration.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.configuration.services.values()
    }

    /// Returns the home regions of each host.
    pub fn homes(&self) -> &HomeTable {
        &self.homes
    }

    /// Returns the decision for a request, if there is a route for it.
    pub fn decide(&self, host: &str, path: &str) -> Option<RouteDecision> {
        let route = self.routes.find(host, path)?;
        let service = pick_service(route, fastrand::f64())?;
        Some(RouteDecision::new(route, service, &self.configuration))
    }
}

/// The active configuration, which is replaced as a whole.
#[derive(Default)]
pub struct ActiveConfigCell(RefCell<Option<Rc<ActiveConfig>>>);

impl ActiveConfigCell {
    /// Returns the active configuration, once one is known.
    pub fn get(&self) -> Option<Rc<ActiveConfig>> {
        self.0.borrow().clone()
    }

    /// Returns the version of the active configuration.
    pub fn version(&self) -> Option<u64> {
        self.0.borrow().as_ref().map(|config| config.version())
    }

    /// Replaces the active configuration and returns the one before.
    pub fn replace(&self, config: Rc<ActiveConfig>) -> Option<Rc<ActiveConfig>> {
        self.0.replace(Some(config))
    }
}

/// What the configuration decides for a request.
pub struct RouteDecision {
    /// The service that it goes to.
    pub service: String,
    /// The most connections that a server of the service accepts from all callers together.
    pub max_connections: u32,
    /// Whether its response is a stream of events.
    pub streaming: bool,
    /// Whether that stream may be resumed at another server.
    pub resumable: bool,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// The most servers that it may be sent to.
    pub max_attempts: u32,
    /// The longest time that it may be held.
    pub timeout: Duration,
    /// The latency target of its response.
    pub objective: Duration,
    /// Its priority; 0 is the highest.
    pub priority: u32,
    /// Whether it names the parts of its prompt.
    pub sticky: bool,
    /// The only regions in which it may be served; none for any.
    pub homes: Vec<String>,
}

impl RouteDecision {
    fn new(route: &Route, service: &str, configuration: &Configuration) -> Self {
        let known = configuration.services.get(service);
        RouteDecision {
            max_connections: known.map_or(0, |service| service.max_connections),
            service: service.to_string(),
            streaming: route.kind == RouteKind::Streaming,
            resumable: route.resumable,
            is_idempotent: route.is_idempotent(),
            max_attempts: route.max_attempts,
            timeout: route.timeout,
            objective: route.target_latency,
            priority: route.priority,
            sticky: route.sticky,
            homes: route.home_regions.clone(),
        }
    }
}
