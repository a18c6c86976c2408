//! Routes: which requests go to which services, and how.

use super::fields::{written, Fields};
use super::ConfigurationError;
use serde::Serialize;
use simd_json::tape::Value;
use std::time::Duration;

/// For a route that has no `TimeoutMs`.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// For a route that has no `Priority`: what servers take for a request without one.
const DEFAULT_PRIORITY: u32 = 5;
const DEFAULT_ATTEMPTS: u32 = 1;
const DEFAULT_WEIGHT: f64 = 1.0;
/// The highest weight, so that sums stay finite.
const HIGHEST_WEIGHT: f64 = 1e12;

/// How often a request of a route may execute.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// It may execute more than once.
    Idempotent,
    /// It may execute once at most for each attempt of a client. Unknown kinds count as this one.
    NonIdempotent,
    /// Its response is a stream of events; it may execute once at most unless it is resumable.
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

/// A service of a route, with its weight.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct WeightedService {
    /// The name of the service.
    pub service: String,
    /// Its weight: it gets this fraction of the sum of the route's weights.
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Route {
    /// Its name; host and prefix for a route that has none.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The prefix of the paths that it matches.
    pub path_prefix: String,
    /// How often its requests may execute.
    pub kind: RouteKind,
    /// The longest time that a request may be held; above 0.
    #[serde(rename = "TimeoutMs", serialize_with = "written::milliseconds")]
    pub timeout: Duration,
    /// The time within which a response earns its full value; the time-out if it is missing.
    #[serde(rename = "TargetLatencyMs", serialize_with = "written::milliseconds")]
    pub target_latency: Duration,
    /// Its rank; 0 is the highest.
    pub priority: u32,
    /// The services that it goes to, whose weights add up to more than 0.
    #[serde(rename = "TrafficSplit")]
    pub split: Vec<WeightedService>,
    /// The most servers to which one attempt of a client may be sent; 1 at least.
    pub max_attempts: u32,
    /// Whether its requests name the segments of their prompts.
    pub sticky: bool,
    /// Whether a stream may be resumed at another server.
    pub resumable: bool,
    /// The longest pause between events that still keeps a response in time.
    #[serde(rename = "gap_aim_ms", serialize_with = "written::optional_milliseconds")]
    pub inter_token_target: Option<Duration>,
    /// The only regions in which its requests may be served; none for any.
    pub home_regions: Vec<String>,
    /// The most requests a second, if they are limited.
    pub rate_per_s: Option<f64>,
}

impl Route {
    /// Returns whether a request may execute more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Host and prefix, which no other route of a configuration has.
    pub fn location(&self) -> (&str, &str) {
        (&self.host, &self.path_prefix)
    }

    /// `index` names the route in errors until its name is known.
    pub(super) fn read(value: Value<'_, '_>, index: usize) -> Result<Route, ConfigurationError> {
        let mut fields = Fields::of(value, &format!("route {index} of the list"))?;
        let host = fields.required_text("Host")?.to_ascii_lowercase();
        let path_prefix = fields.required_text("PathPrefix")?;
        let name = fields.text_or("Name", &format!("{host}{path_prefix}"));
        fields.location = format!("route {name}");
        if path_prefix.is_empty() {
            return Err(ConfigurationError::NoPrefix { route: name });
        }
        let timeout = read_timeout(&fields, &name)?;
        Ok(Route {
            host,
            path_prefix,
            kind: RouteKind::named(&fields.text_or("Kind", "")),
            timeout,
            target_latency: fields.milliseconds("TargetLatencyMs")?.unwrap_or(timeout),
            priority: fields.count("Priority", DEFAULT_PRIORITY)?,
            split: read_split(&fields, &name)?,
            max_attempts: fields.count("MaxAttempts", DEFAULT_ATTEMPTS)?.max(1),
            sticky: fields.flag("Sticky"),
            resumable: fields.flag("Resumable"),
            inter_token_target: fields.milliseconds("gap_aim_ms")?,
            home_regions: fields.texts("HomeRegions")?,
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

/// `TrafficSplit`, or else all to `Service`. A service beside a split gets nothing, but must be known.
fn read_split(fields: &Fields<'_, '_>, name: &str) -> Result<Vec<WeightedService>, ConfigurationError> {
    let service = fields.text("Service")?;
    if service.is_none() && fields.optional("TrafficSplit").is_none() {
        return Err(fields.missing("Service or TrafficSplit"));
    }
    let mut split = fields.each_if_any("TrafficSplit", |value, _| read_share(value, &fields.location))?;
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
    let weight = fields.number("Weight")?.unwrap_or(DEFAULT_WEIGHT).min(HIGHEST_WEIGHT);
    Ok(WeightedService { service: fields.required_text("Service")?, weight })
}
