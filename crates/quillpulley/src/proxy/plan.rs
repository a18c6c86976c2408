//! The configuration in force, and what it says of a request.

use quillpulley_load_balancer::{pick_service, HomeTable, RouteTable};
use quillpulley_serving_config::Configuration;
use quillpulley_serving_config::{Limits, Route, RouteKind};
use std::time::Duration;

/// The configuration in force.
pub struct InForce {
    /// The whole of it.
    pub configuration: Configuration,
    table: RouteTable,
    homes: HomeTable,
}

impl InForce {
    /// With its routes ready to be found.
    pub fn new(configuration: Configuration) -> Self {
        let table = RouteTable::new(&configuration);
        let routes = configuration.routes.iter();
        let homes = HomeTable::new(routes.map(|route| (route.host.as_str(), route.home_regions.as_slice())));
        InForce { table, homes, configuration }
    }

    /// Returns what binds clients.
    pub fn limits(&self) -> &Limits {
        &self.configuration.limits
    }

    /// Returns the home regions of its routes by their hosts.
    pub fn homes(&self) -> &HomeTable {
        &self.homes
    }

    /// Returns what is to be done with a request, if there is a route for it.
    pub fn find(&self, host: &str, path: &str) -> Option<Plan> {
        let route = self.table.find(host, path)?;
        let service = pick_service(route, fastrand::f64())?;
        Some(Plan::new(route, service, &self.configuration))
    }
}

/// What is to be done with a request.
pub struct Plan {
    /// The service that it goes to.
    pub service: String,
    /// The most connections that a server of the service takes from all callers together.
    pub max_connections: u32,
    /// Whether its answer is a stream of events.
    pub streaming: bool,
    /// Whether that may be taken up at another server.
    pub resumable: bool,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The most servers that it may be sent to.
    pub max_attempts: u32,
    /// The longest time that it may be held.
    pub timeout: Duration,
    /// The time within which its answer earns its full worth.
    pub objective: Duration,
    /// Its rank; 0 is the highest.
    pub priority: u32,
    /// Whether it names the parts of its prompt.
    pub sticky: bool,
    /// The only regions in which it may be served; none for any.
    pub homes: Vec<String>,
}

impl Plan {
    fn new(route: &Route, service: &str, configuration: &Configuration) -> Self {
        let known = configuration.services.get(service);
        Plan {
            max_connections: known.map_or(0, |service| service.max_connections),
            service: service.to_string(),
            streaming: route.kind == RouteKind::Streaming,
            resumable: route.resumable,
            repeatable: route.is_idempotent(),
            max_attempts: route.max_attempts,
            timeout: route.timeout,
            objective: route.target_latency,
            priority: route.priority,
            sticky: route.sticky,
            homes: route.home_regions.clone(),
        }
    }
}
