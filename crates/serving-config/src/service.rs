//! Services: groups of servers to which routes send requests.

use super::fields::{written, Fields};
use super::ConfigurationError;
use serde::Serialize;
use simd_json::prelude::*;
use simd_json::tape::Value;
use std::time::Duration;

const DEFAULT_HEALTH_PATH: &str = "/health";
const DEFAULT_MAX_CONNECTIONS: u32 = 64;
const DEFAULT_PROTOCOL: &str = "h1";

/// A service: the common properties of a group of servers.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Service {
    /// The name, by which routes refer to the service.
    pub name: String,
    /// The path of the servers' health check. Defaults to `/health`.
    pub health_path: String,
    /// The number of connections that a server accepts from all callers together, at least 1. Defaults to 64.
    pub max_connections: u32,
    /// The protocol of the servers. Defaults to `h1`.
    pub protocol: String,
    /// Whether the servers require TLS.
    pub tls: bool,
    /// The time for which a server warms up after it was started while there is traffic. Defaults to 0.
    #[serde(rename = "WarmupS", serialize_with = "written::seconds")]
    pub warmup: Duration,
    /// The requests per second that a server can handle while it warms up. Defaults to 0.
    pub warmup_per_s: f64,
    /// The inference engine of the servers; `None` if the service serves no models.
    pub engine: Option<Engine>,
}

/// The inference engine of the servers of a service.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Engine {
    /// The number of requests that a server executes concurrently, at least 1.
    pub slots: u32,
    /// The number of tokens that fit into a server's key-value cache. 0 if unknown.
    pub kv_capacity_tokens: u32,
    /// The bytes of the key-value cache that each token takes. 0 if unknown.
    pub kv_token_bytes: u32,
    /// The bandwidth of a server's network link, in megabits per second. 0 if unknown.
    pub link_mbps: f64,
    /// The number of tokens in one event of a stream, at least 1.
    #[serde(rename = "stride")]
    pub stride: u32,
    /// The models that the engine serves.
    pub models: Vec<Model>,
}

/// A model that an engine serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Model {
    /// The name, by which requests select the model.
    pub name: String,
}

impl Service {
    /// Parses a service. Errors identify it by `index` until its name is known.
    pub(super) fn read(value: Value<'_, '_>, index: usize) -> Result<Service, ConfigurationError> {
        let mut fields = Fields::of(value, &format!("service {index} of the list"))?;
        let name = fields.required_string("Name")?;
        fields.location = format!("service {name}");
        Ok(Service {
            health_path: fields.string_or("HealthPath", DEFAULT_HEALTH_PATH),
            max_connections: fields.count("MaxConnections", DEFAULT_MAX_CONNECTIONS)?.max(1),
            protocol: fields.string_or("Protocol", DEFAULT_PROTOCOL),
            tls: fields.flag("Tls"),
            warmup: fields.seconds("WarmupS")?.unwrap_or_default(),
            warmup_per_s: fields.number("WarmupPerS")?.unwrap_or_default(),
            engine: read_engine(&fields)?,
            name,
        })
    }
}

/// Returns the engine of a service, or `None` if the field is not an object.
fn read_engine(service: &Fields<'_, '_>) -> Result<Option<Engine>, ConfigurationError> {
    let Some(value) = service.optional("Engine").filter(Value::is_object) else { return Ok(None) };
    let fields = Fields::of(value, &format!("the engine of {}", service.location))?;
    Ok(Some(Engine {
        slots: fields.count("Slots", 1)?.max(1),
        kv_capacity_tokens: fields.count("KvCapacityTokens", 0)?,
        kv_token_bytes: fields.count("KvTokenBytes", 0)?,
        link_mbps: fields.number("LinkMbps")?.unwrap_or_default(),
        stride: fields.count("stride", 1)?.max(1),
        models: read_models(&fields),
    }))
}

/// Returns the models of an engine. Models without a name are ignored.
fn read_models(engine: &Fields<'_, '_>) -> Vec<Model> {
    let Some(models) = engine.optional("Models").and_then(|models| models.as_array()) else {
        return Vec::new();
    };
    let name = |model: Value<'_, '_>| Some(model.as_object()?.get("Name")?.as_str()?.to_string());
    models.iter().filter_map(name).map(|name| Model { name }).collect()
}
