//! The active configuration, and the route decision for a request.

use quillpulley_load_balancer::{pick_service, HomeTable, RouteTable};
use quillpulley_serving_config::{Configuration, Limits, Route, RouteKind, Service};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// A configuration, indexed for lookups.
pub struct ActiveConfig {
    configuration: Configuration,
    routes: RouteTable,
    homes: HomeTable,
}

impl ActiveConfig {
    /// Indexes a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let routes = RouteTable::new(&configuration);
        let homes_by_host =
            configuration.routes.iter().map(|route| (route.host.as_str(), route.home_regions.as_slice()));
        let homes = HomeTable::new(homes_by_host);
        ActiveConfig { configuration, routes, homes }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Returns the limits on requests and connections of clients.
    pub fn limits(&self) -> &Limits {
        &self.configuration.limits
    }

    /// Returns a service by its name. `None` if the configuration has no such service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.configuration.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.configuration.services.values()
    }

    /// Returns the table of home regions by host.
    pub fn homes(&self) -> &HomeTable {
        &self.homes
    }

    /// Returns the route decision for a request, with a service chosen at random by weight. `None` if no
    /// route matches.
    pub fn decide(&self, host: &str, path: &str) -> Option<RouteDecision> {
        let route = self.routes.find(host, path)?;
        let service = pick_service(route, fastrand::f64())?;
        Some(RouteDecision::new(route, service, &self.configuration))
    }
}

/// The shared cell of the active configuration, which is replaced as a whole.
#[derive(Default)]
pub struct ActiveConfigCell(RefCell<Option<Rc<ActiveConfig>>>);

impl ActiveConfigCell {
    /// Returns the active configuration. `None` until the first one is received.
    pub fn get(&self) -> Option<Rc<ActiveConfig>> {
        self.0.borrow().clone()
    }

    /// Returns the version of the active configuration. `None` until the first one is received.
    pub fn version(&self) -> Option<u64> {
        self.0.borrow().as_ref().map(|config| config.version())
    }

    /// Replaces the active configuration and returns the previous one.
    pub fn replace(&self, config: Rc<ActiveConfig>) -> Option<Rc<ActiveConfig>> {
        self.0.replace(Some(config))
    }
}

/// What the active configuration determines for a request.
pub struct RouteDecision {
    /// The name of the service whose servers the request is sent to.
    pub service: String,
    /// The maximum number of connections that a server of the service accepts, over all callers. 0 if the
    /// service is unknown.
    pub max_connections: u32,
    /// Whether the response is a stream of events.
    pub streaming: bool,
    /// Whether a broken stream may be resumed at another server.
    pub resumable: bool,
    /// Whether the request may execute more than once.
    pub is_idempotent: bool,
    /// The maximum number of servers that the request may be sent to.
    pub max_attempts: u32,
    /// The maximum time from the arrival of the request to the end of its response.
    pub timeout: Duration,
    /// The target latency of the response.
    pub target_latency: Duration,
    /// The priority of the request; 0 is the highest.
    pub priority: u32,
    /// Whether requests of the route name the segments of their prompts, so that servers with cached segments
    /// are preferred.
    pub sticky: bool,
    /// The only regions in which the request may be served. Empty if it may be served in any region.
    pub home_regions: Vec<String>,
}

impl RouteDecision {
    fn new(route: &Route, service: &str, configuration: &Configuration) -> Self {
        let service_config = configuration.services.get(service);
        RouteDecision {
            max_connections: service_config.map_or(0, |service| service.max_connections),
            service: service.to_string(),
            streaming: route.kind == RouteKind::Streaming,
            resumable: route.resumable,
            is_idempotent: route.is_idempotent(),
            max_attempts: route.max_attempts,
            timeout: route.timeout,
            target_latency: route.target_latency,
            priority: route.priority,
            sticky: route.sticky,
            home_regions: route.home_regions.clone(),
        }
    }
}
