//! Limits for client requests and connections.

use super::fields::{written, Fields};
use super::ConfigurationError;
use serde::Serialize;
use simd_json::tape::Value;
use std::time::Duration;

/// The limits for client requests and connections. A limit that is missing or 0 has its default value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Limits {
    /// The maximum size of a request's head, in bytes. Defaults to 16 KiB.
    pub max_header_bytes: u32,
    /// The maximum size of a request's body, in bytes. Defaults to 4 MiB.
    pub max_body_bytes: u32,
    /// The maximum time to receive a request's head. Defaults to 3 s.
    #[serde(rename = "HeaderTimeoutMs", serialize_with = "written::milliseconds")]
    pub header_timeout: Duration,
    /// The maximum time for which a connection may be idle between requests. Defaults to 15 s.
    #[serde(rename = "IdleTimeoutMs", serialize_with = "written::milliseconds")]
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Limits {
    pub(super) fn read(value: Value<'_, '_>) -> Result<Limits, ConfigurationError> {
        let fields = Fields::of(value, "Limits")?;
        let default = Limits::default();
        let bytes = |field, default| match fields.count(field, default)? {
            0 => Ok(default),
            bytes => Ok(bytes),
        };
        let time = |field, default| {
            let time = fields.milliseconds(field)?.filter(|time| !time.is_zero());
            Ok(time.unwrap_or(default))
        };
        Ok(Limits {
            max_header_bytes: bytes("MaxHeaderBytes", default.max_header_bytes)?,
            max_body_bytes: bytes("MaxBodyBytes", default.max_body_bytes)?,
            header_timeout: time("HeaderTimeoutMs", default.header_timeout)?,
            idle_timeout: time("IdleTimeoutMs", default.idle_timeout)?,
        })
    }
}
