//! The messages of the discovery service.

use log::warn;
use rate_limiter::{ServerEntry, ServerState};
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// A message: the complete server list, or its changed entries.
#[derive(Deserialize)]
pub struct Update {
    /// The version of the server list.
    pub generation: u64,
    /// Whether `instances` is the complete list. If not, it contains the changed entries.
    #[serde(default)]
    pub reset: bool,
    /// The entries.
    #[serde(default, deserialize_with = "valid_instances")]
    pub instances: Vec<Instance>,
}

/// Deserializes the valid entries, and skips invalid ones. Rejecting the whole message would not help, since a new request
/// would return the same message. A message in which all entries are invalid is rejected, because an empty list would
/// remove every server.
fn valid_instances<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Instance>, D::Error> {
    let entries = Vec::<serde_json::Value>::deserialize(deserializer)?;
    let count = entries.len();
    let mut instances = Vec::new();
    for entry in entries {
        match Instance::deserialize(entry) {
            Ok(instance) => instances.push(instance),
            Err(error) => warn!(error:%; "skipping an invalid entry of the server list"),
        }
    }
    if instances.is_empty() && count > 0 {
        return Err(D::Error::custom("no entry is valid"));
    }
    Ok(instances)
}

/// An entry of the server list, as discovery sends it.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    pub instance_id: String,
    pub host_port: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: i64,
    lifecycle: String,
    weight: Option<f64>,
    started_at_ms: Option<f64>,
}

impl Instance {
    /// Converts the entry to the form that the limiter uses.
    pub fn entry(&self) -> ServerEntry {
        let started_at_ms = self.started_at_ms.filter(|started_at| *started_at > 0.0);
        ServerEntry {
            id: self.instance_id.as_str().into(),
            zone: self.zone.as_str().into(),
            kind: self.machine_type.as_str().into(),
            cell: self.cell,
            state: match self.lifecycle.as_str() {
                "in_service" => ServerState::InService,
                "terminating" => ServerState::Draining,
                // Nothing is sent to a server in an unknown state.
                _ => ServerState::Removed,
            },
            weight: self.weight.unwrap_or(1.0),
            started_at: started_at_ms.map(|started_at| started_at / MILLISECONDS_PER_SECOND),
        }
    }
}
