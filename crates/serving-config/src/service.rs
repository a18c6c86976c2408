//! Services: what the system must know of the servers that a route goes to.

use super::fields::{written, Fields};
use super::ConfigurationError;
use serde::Serialize;
use simd_json::prelude::*;
use simd_json::tape::Value;
use std::time::Duration;

const DEFAULT_HEALTH_PATH: &str = "/health";
const DEFAULT_CONNECTIONS: u32 = 64;
const DEFAULT_PROTOCOL: &str = "h1";

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Service {
    /// Its name.
    pub name: String,
    /// The path of a server's health check; `/health` if it is missing.
    pub health_path: String,
    /// The connections that a server accepts from all callers together; 64 if it is missing, 1 at least.
    pub max_connections: u32,
    /// The protocol of its servers; `h1` if it is missing.
    pub protocol: String,
    /// Whether its servers want TLS.
    pub tls: bool,
    /// How long a server warms up after a start during traffic; 0 if it is missing.
    #[serde(rename = "WarmupS", serialize_with = "written::seconds")]
    pub warmup: Duration,
    /// The requests a second that a cold server bears; 0 if it is missing.
    pub warmup_per_s: f64,
    /// The engine of its servers, if it serves a model.
    pub engine: Option<Engine>,
}

/// The engine of a service's servers.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Engine {
    /// Requests that run at once; 1 at least.
    pub slots: u32,
    /// Tokens that a server's memory holds; 0 where it is not known.
    pub kv_capacity_tokens: u32,
    /// Bytes of memory for each token; 0 where it is not known.
    pub kv_token_bytes: u32,
    /// The speed of a server's link in megabits a second; 0 where it is not known.
    pub link_mbps: f64,
    /// Tokens in one event of a stream; 1 at least.
    #[serde(rename = "stride")]
    pub stride: u32,
    /// The models that it serves.
    pub models: Vec<Model>,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Model {
    /// Its name.
    pub name: String,
}

impl Service {
    /// `index` names the service in errors until its name is known.
    pub(super) fn read(value: Value<'_, '_>, index: usize) -> Result<Service, ConfigurationError> {
        let mut fields = Fields::of(value, &format!("service {index} of the list"))?;
        let name = fields.required_text("Name")?;
        fields.location = format!("service {name}");
        Ok(Service {
            health_path: fields.text_or("HealthPath", DEFAULT_HEALTH_PATH),
            max_connections: fields.count("MaxConnections", DEFAULT_CONNECTIONS)?.max(1),
            protocol: fields.text_or("Protocol", DEFAULT_PROTOCOL),
            tls: fields.flag("Tls"),
            warmup: fields.seconds("WarmupS")?.unwrap_or_default(),
            warmup_per_s: fields.number("WarmupPerS")?.unwrap_or_default(),
            engine: read_engine(&fields)?,
            name,
        })
    }
}

/// Returns the engine of a service. Anything but an object counts as none.
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

/// Returns the models that have a name, and ignores others.
fn read_models(engine: &Fields<'_, '_>) -> Vec<Model> {
    let Some(models) = engine.optional("Models").and_then(|models| models.as_array()) else {
        return Vec::new();
    };
    let name = |model: Value<'_, '_>| Some(model.as_object()?.get("Name")?.as_str()?.to_string());
    models.iter().filter_map(name).map(|name| Model { name }).collect()
}
