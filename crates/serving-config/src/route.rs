//! Routes: which requests are sent to which services, and how.

use super::fields::{written, Fields};
use super::ConfigurationError;
use serde::Serialize;
use simd_json::tape::Value;
use std::time::Duration;

/// The timeout of a route without `TimeoutMs`.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// The priority of a route without `Priority`. Servers assume the same value for a request without a priority.
const DEFAULT_PRIORITY: u32 = 5;
const DEFAULT_MAX_ATTEMPTS: u32 = 1;
const DEFAULT_WEIGHT: f64 = 1.0;
/// Greater weights are reduced to this one, so that the sum of the weights of a route is finite.
const MAX_WEIGHT: f64 = 1e12;

/// Whether a request of a route may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// The request may be executed more than once.
    Idempotent,
    /// The request may be executed at most once for each attempt of a client. Unknown kinds are treated as this one.
    NonIdempotent,
    /// The response is a stream of events. The request may be executed at most once, unless the route is resumable.
    Streaming,
}

impl RouteKind {
    fn named(name: &str) -> RouteKind {
        match name {
            "idempotent" => RouteKind::Idempotent,
            "streaming" => RouteKind::Streaming,
            _ => RouteKind::NonIdempotent,
        }
    }
}

/// A service to which a route sends a share of its requests.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct WeightedService {
    /// The name of the service.
    pub service: String,
    /// The weight. The service receives a share of the requests that is its weight divided by the sum of the route's
    /// weights.
    pub weight: f64,
}

/// A route: the requests to one host with a path prefix, and how they are forwarded.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Route {
    /// The name. Defaults to the host followed by the path prefix.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The prefix of the paths that the route matches. Never empty.
    pub path_prefix: String,
    /// Whether its requests may be executed more than once.
    pub kind: RouteKind,
    /// The maximum time that a request may take; greater than 0.
    #[serde(rename = "TimeoutMs", serialize_with = "written::milliseconds")]
    pub timeout: Duration,
    /// The latency up to which a response has its full value. Defaults to the timeout.
    #[serde(rename = "TargetLatencyMs", serialize_with = "written::milliseconds")]
    pub target_latency: Duration,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The services that receive the requests. The sum of their weights is greater than 0.
    #[serde(rename = "TrafficSplit")]
    pub split: Vec<WeightedService>,
    /// The maximum number of servers to which one attempt of a client may be sent, at least 1.
    pub max_attempts: u32,
    /// Whether the requests identify the segments of their prompts, by which they can be routed to servers that have
    /// processed them before.
    pub sticky: bool,
    /// Whether a stream may be resumed on another server.
    pub resumable: bool,
    /// The maximum time between two events of a response that is considered to be on time; `None` if there is no target.
    #[serde(rename = "gap_aim_ms", serialize_with = "written::optional_milliseconds")]
    pub inter_token_target: Option<Duration>,
    /// The regions in which the requests may be served. Empty if all regions are allowed.
    pub home_regions: Vec<String>,
    /// The maximum number of requests per second; `None` if the rate is not limited.
    pub rate_per_s: Option<f64>,
}

impl Route {
    /// Returns whether a request may be executed more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Returns the host and the path prefix, which together identify the route in a configuration.
    pub fn location(&self) -> (&str, &str) {
        (&self.host, &self.path_prefix)
    }

    /// Parses a route. Errors identify it by `index` until its name is known.
    pub(super) fn read(value: Value<'_, '_>, index: usize) -> Result<Route, ConfigurationError> {
        let mut fields = Fields::of(value, &format!("route {index} of the list"))?;
        let host = fields.required_string("Host")?.to_ascii_lowercase();
        let path_prefix = fields.required_string("PathPrefix")?;
        let name = fields.string_or("Name", &format!("{host}{path_prefix}"));
        fields.location = format!("route {name}");
        if path_prefix.is_empty() {
            return Err(ConfigurationError::NoPrefix { route: name });
        }
        let timeout = read_timeout(&fields, &name)?;
        Ok(Route {
            host,
            path_prefix,
            kind: RouteKind::named(&fields.string_or("Kind", "")),
            timeout,
            target_latency: fields.milliseconds("TargetLatencyMs")?.unwrap_or(timeout),
            priority: fields.count("Priority", DEFAULT_PRIORITY)?,
            split: read_split(&fields, &name)?,
            max_attempts: fields.count("MaxAttempts", DEFAULT_MAX_ATTEMPTS)?.max(1),
            sticky: fields.flag("Sticky"),
            resumable: fields.flag("Resumable"),
            inter_token_target: fields.milliseconds("gap_aim_ms")?,
            home_regions: fields.strings("HomeRegions")?,
            rate_per_s: fields.number("RatePerS")?,
            name,
        })
    }
}

fn read_timeout(fields: &Fields<'_, '_>, name: &str) -> Result<Duration, ConfigurationError> {
    let timeout = fields.milliseconds("TimeoutMs")?.unwrap_or(DEFAULT_TIMEOUT);
    if timeout.is_zero() {
        return Err(ConfigurationError::NoTimeout { route: name.to_string() });
    }
    Ok(timeout)
}

/// Returns the services of `TrafficSplit`, or else `Service` alone. If a route has both, `Service` is added with the
/// weight 0: it receives no requests, but must be a known service.
fn read_split(fields: &Fields<'_, '_>, name: &str) -> Result<Vec<WeightedService>, ConfigurationError> {
    let service = fields.string("Service")?;
    if service.is_none() && fields.optional("TrafficSplit").is_none() {
        return Err(fields.missing("Service or TrafficSplit"));
    }
    let mut split = fields.optional_list("TrafficSplit", |value, _| read_share(value, &fields.location))?;
    if let Some(service) = service {
        let weight = if split.is_empty() { DEFAULT_WEIGHT } else { 0.0 };
        split.push(WeightedService { service, weight });
    }
    if split.iter().all(|share| share.weight == 0.0) {
        return Err(ConfigurationError::NoWeight { route: name.to_string() });
    }
    Ok(split)
}

fn read_share(value: Value<'_, '_>, location: &str) -> Result<WeightedService, ConfigurationError> {
    let fields = Fields::of(value, &format!("the traffic split of {location}"))?;
    let weight = fields.number("Weight")?.unwrap_or(DEFAULT_WEIGHT).min(MAX_WEIGHT);
    Ok(WeightedService { service: fields.required_string("Service")?, weight })
}
