//! The configuration: environment variables, and the JSON file that `ROUTER_CONFIG` names.

use crate::discovery::Update;
use displaydoc::Display;
use log::warn;
use rate_limiter::Settings;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

const DEFAULT_MAX_SOCKETS: usize = 1_024;
const DEFAULT_MEMORY_MB: f64 = 32.0;
/// The radix of a seed, and the multiplier of the hash that is used if the text is not a number in this radix.
const SEED_RADIX: u32 = 16;
const SEED_MULTIPLIER: u64 = 31;

/// An error in the configuration.
#[derive(Debug, Display)]
pub enum ConfigError {
    /// ROUTER_CONFIG is not set
    NoPath,
    /// ROUTER_CONFIG: cannot read {path}: {error}
    Unreadable { path: String, error: std::io::Error },
    /// ROUTER_CONFIG: {path}: {error}
    Invalid { path: String, error: serde_json::Error },
    /// {variable}: invalid socket address: {text:?}
    InvalidAddress { variable: &'static str, text: String },
    /// {variable} is not set, and {path} has no `{key}`
    NoAddress { variable: &'static str, path: String, key: &'static str },
    /// ROUTER_CONFIG: {path}: `settings` is missing
    NoSettings { path: String },
    /// ROUTER_CONFIG: {path}: settings: `{key}` is missing or empty
    Empty { path: String, key: &'static str },
}

/// The configuration file.
#[derive(Deserialize)]
struct ConfigFile {
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    counter: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: ProcessLimits,
    known: Option<Value>,
    settings: Option<Settings>,
}

#[derive(Deserialize, Default)]
struct ProcessLimits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

/// The part of the configuration file that a reload may change.
#[derive(Deserialize)]
pub struct Addresses {
    /// The address of discovery. `None` leaves it unchanged.
    pub discovery: Option<SocketAddr>,
    /// The address of the counter. `None` leaves it unchanged.
    pub counter: Option<SocketAddr>,
}

/// The configuration with which the process starts.
pub struct Setup {
    /// The path of the configuration file.
    pub path: String,
    /// The address on which the limiter listens for clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of the counter. `None` if there is no counter.
    pub counter: Option<SocketAddr>,
    /// The settings of the limiter.
    pub settings: Settings,
    /// The last server list that this limiter knew before it was restarted.
    pub known_servers: Option<Update>,
    /// The seed of the limiter's random numbers.
    pub seed: u64,
    /// Maximum number of sockets of the process.
    pub max_sockets: usize,
    /// The memory of the process, in megabytes.
    pub memory_mb: f64,
}

impl Setup {
    /// Reads the environment variables and the configuration file. Variables take precedence over the file.
    ///
    /// # Errors
    /// [`ConfigError`] if a required value is missing or invalid.
    pub fn read() -> Result<Setup, ConfigError> {
        let path = variable("ROUTER_CONFIG").ok_or(ConfigError::NoPath)?;
        let file: ConfigFile = read_file(&path)?;
        let listen = address("ROUTER_LISTEN", "listen", file.listen, &path)?;
        let discovery = address("ROUTER_DISCOVERY", "discovery", file.discovery, &path)?;
        let settings = file.settings.ok_or_else(|| ConfigError::NoSettings { path: path.clone() })?;
        check_settings(&settings, &path)?;
        Ok(Setup {
            listen,
            discovery,
            counter: file.counter,
            settings,
            known_servers: file.known.and_then(|known| read_known_servers(&path, known)),
            seed: parse_seed(&file.seed),
            max_sockets: file.limits.sockets.unwrap_or(DEFAULT_MAX_SOCKETS),
            memory_mb: file.limits.memory_mb.filter(|mb| *mb > 0.0).unwrap_or(DEFAULT_MEMORY_MB),
            path,
        })
    }
}

impl Addresses {
    /// Reads the addresses from the configuration file.
    ///
    /// # Errors
    /// [`ConfigError`] if the file cannot be read or is invalid.
    pub fn read(path: &str) -> Result<Addresses, ConfigError> {
        read_file(path)
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn read_file<T: DeserializeOwned>(path: &str) -> Result<T, ConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| ConfigError::Unreadable { path: path.to_string(), error })?;
    serde_json::from_str(&text).map_err(|error| ConfigError::Invalid { path: path.to_string(), error })
}

fn address(
    name: &'static str,
    key: &'static str,
    in_file: Option<SocketAddr>,
    path: &str,
) -> Result<SocketAddr, ConfigError> {
    match variable(name) {
        Some(text) => text.parse().map_err(|_| ConfigError::InvalidAddress { variable: name, text }),
        None => in_file.ok_or(ConfigError::NoAddress { variable: name, path: path.to_string(), key }),
    }
}

fn check_settings(settings: &Settings, path: &str) -> Result<(), ConfigError> {
    let lists = [("classes", settings.classes.is_empty()), ("tariffs", settings.plans.is_empty())];
    match lists.into_iter().find(|(_, is_empty)| *is_empty) {
        Some((key, _)) => Err(ConfigError::Empty { path: path.to_string(), key }),
        None => Ok(()),
    }
}

/// Parses the last known server list. It is only used until the first update from discovery, so that an invalid list is
/// logged and ignored.
fn read_known_servers(path: &str, known: Value) -> Option<Update> {
    let update = serde_json::from_value(known);
    let log_error = |error: &serde_json::Error| {
        warn!(path, error:%; "ROUTER_CONFIG: cannot parse the last known server list, starting without it");
    };
    update.inspect_err(log_error).ok()
}

/// Parses a seed in hexadecimal digits. Any other text is hashed to a seed.
fn parse_seed(text: &str) -> u64 {
    let hash = |seed: u64, byte: u8| seed.wrapping_mul(SEED_MULTIPLIER) ^ u64::from(byte);
    u64::from_str_radix(text, SEED_RADIX).unwrap_or_else(|_| text.bytes().fold(0, hash))
}
