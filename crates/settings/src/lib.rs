//! The settings of a process: a TOML file whose path is given by an environment variable.
//!
//! Unknown keys are ignored. An empty value (`""` or `[]`) is treated as a missing key, and so is a boolean where a
//! number is expected. The default values are documented at the fields of [`Settings`], [`Bounds`], [`ProcessLimits`],
//! [`FaultTolerance`] and [`Platform`].

#![forbid(unsafe_code)]

mod error;
mod reader;
mod sections;

pub use error::SettingsError;
pub use sections::{Bounds, FaultTolerance, Listen, Platform, PortRange, ProcessLimits};

use reader::Section;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{env, fs};

/// The environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "QUILLPULLEY_CONFIG";

const DEFAULT_HEARTBEAT: Duration = Duration::from_secs(1);

/// The settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// `NodeName`: the name of the machine. Defaults to its address.
    pub node_name: String,
    /// `Role`: the name of the role in the deploy file. Empty if it is missing.
    pub role: String,
    /// `MachineClass`: the class of the machine. Empty if it is missing.
    pub machine_class: String,
    /// `Serves`: the kinds of external callers that the process serves, such as `front` or `control`.
    pub serves: Vec<String>,
    /// `Ip`: the address of the machine.
    pub ip: Ipv4Addr,
    /// `Zone`: the zone of the machine.
    pub zone: String,
    /// `Region`: the region of the machine. Defaults to the region that `Zones` gives for its zone.
    pub region: String,
    /// `PortRange`: the ports for traffic between the processes of the system.
    pub ports: PortRange,
    /// `Seeds`: the `Control` addresses of some control nodes, through which a process finds the others.
    pub seeds: Vec<SocketAddr>,
    /// `Bootstrap`: whether the whole system is being started for the first time. Defaults to false.
    pub bootstrap: bool,
    /// `CountsForQuorum`: whether the machine is one of those that `FaultTolerance.Machines` refers to. Defaults to false.
    pub counts_for_quorum: bool,
    /// `DataDir`: the directory for durable data; `None` on machines without a disk.
    pub data_folder: Option<PathBuf>,
    /// `HeartbeatMs`: the heartbeat interval, in milliseconds in the file. Defaults to one second.
    pub heartbeat: Duration,
    /// `Contracts`: the names of the contracts that are in force.
    pub contracts: Vec<String>,
    /// `Zones`: the region of each zone.
    pub zones: BTreeMap<String, String>,
    /// `Listen`: the addresses on which the process serves external callers.
    pub listen: Listen,
    /// `Limits`: the resources that the process may use.
    pub limits: ProcessLimits,
    /// `FaultTolerance`: the losses that the system must tolerate at the same time.
    pub fault_tolerance: FaultTolerance,
    /// `Bounds`: the time limits and rates of the contracts.
    pub bounds: Bounds,
    /// `Cloud`: the API of the platform that lists the servers; `None` if the table has no `Address`.
    pub platform: Option<Platform>,
    /// The keys that the file has, each preceded by the name of its table, but for those of `Zones`.
    keys: BTreeSet<String>,
}

impl Settings {
    /// Reads the settings file whose path is in [`PATH_VARIABLE`].
    ///
    /// # Errors
    /// [`SettingsError`] if the variable is not set, or the file cannot be read or is invalid.
    pub fn from_environment() -> Result<Settings, SettingsError> {
        let path = env::var_os(PATH_VARIABLE).ok_or(SettingsError::NoPath)?;
        Settings::load(Path::new(&path))
    }

    /// Reads a settings file.
    ///
    /// # Errors
    /// [`SettingsError`] if the file cannot be read or is invalid.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let unreadable =
            |error| SettingsError::Unreadable { path: path.to_path_buf(), error: Box::new(error) };
        Settings::parse(&fs::read_to_string(path).map_err(unreadable)?)
    }

    /// Parses the text of a settings file.
    ///
    /// # Errors
    /// [`SettingsError`] if the text is invalid.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let table = text.parse().map_err(|error| reader::not_toml(text, &error))?;
        let root = Section::root(&table);
        let ip = root.required_ip("Ip")?;
        let zone = root.required_string("Zone")?;
        let zones = root.section("Zones")?.all_strings()?;
        Ok(Settings {
            node_name: root.string("NodeName")?.unwrap_or_else(|| ip.to_string()),
            role: root.string("Role")?.unwrap_or_default(),
            machine_class: root.string("MachineClass")?.unwrap_or_default(),
            serves: root.strings("Serves")?,
            ip,
            region: region(&root, &zones, &zone)?,
            zone,
            ports: PortRange::read(&root)?,
            seeds: root.addresses("Seeds")?,
            bootstrap: root.flag("Bootstrap")?,
            counts_for_quorum: root.flag("CountsForQuorum")?,
            data_folder: root.string("DataDir")?.map(PathBuf::from),
            heartbeat: root.milliseconds("HeartbeatMs", DEFAULT_HEARTBEAT)?,
            contracts: root.strings("Contracts")?,
            zones,
            listen: Listen::read(&root.section("Listen")?)?,
            limits: ProcessLimits::read(&root.section("Limits")?)?,
            fault_tolerance: FaultTolerance::read(&root.section("FaultTolerance")?)?,
            bounds: Bounds::read(&root.section("Bounds")?)?,
            platform: Platform::read(&root.section("Cloud")?)?,
            keys: reader::keys(&table),
        })
    }

    /// Returns whether this file has all keys that `other` has in a section: a key outside of tables, or a table. A file that
    /// lacks some may not be written completely.
    pub fn has_all_keys_of(&self, other: &Settings, section: &str) -> bool {
        let is_in_section = |key: &&String| {
            key.strip_prefix(section).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        };
        other.keys.iter().filter(is_in_section).all(|key| self.keys.contains(key))
    }

    /// Returns the keys whose values differ in `other`.
    pub fn changed_keys(&self, other: &Settings) -> Vec<&'static str> {
        let keys = [
            ("NodeName", self.node_name == other.node_name),
            ("Role", self.role == other.role),
            ("MachineClass", self.machine_class == other.machine_class),
            ("Serves", self.serves == other.serves),
            ("Ip", self.ip == other.ip),
            ("Zone", self.zone == other.zone),
            ("Region", self.region == other.region),
            ("PortRange", self.ports == other.ports),
            ("Seeds", self.seeds == other.seeds),
            ("Bootstrap", self.bootstrap == other.bootstrap),
            ("CountsForQuorum", self.counts_for_quorum == other.counts_for_quorum),
            ("DataDir", self.data_folder == other.data_folder),
            ("HeartbeatMs", self.heartbeat == other.heartbeat),
            ("Contracts", self.contracts == other.contracts),
            ("Zones", self.zones == other.zones),
            ("Listen", self.listen == other.listen),
            ("Limits", self.limits == other.limits),
            ("FaultTolerance", self.fault_tolerance == other.fault_tolerance),
            ("Bounds", self.bounds == other.bounds),
            ("Cloud", self.platform == other.platform),
        ];
        keys.into_iter().filter(|(_, is_same)| !is_same).map(|(key, _)| key).collect()
    }

    /// Returns the port on which control nodes accept connections from each other and from agents.
    pub fn control_port(&self) -> u16 {
        self.ports.first
    }

    /// Returns the port on which an agent accepts connections and pings from other agents.
    pub fn agent_port(&self) -> u16 {
        self.ports.first + 1
    }

    /// Returns the port on which an agent accepts connections from the proxy of its machine.
    pub fn proxy_port(&self) -> u16 {
        self.ports.first + 2
    }

    /// Returns the region of a zone, or `None` if `Zones` does not list the zone.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.zones.get(zone).map(String::as_str)
    }

    /// Returns `Listen.Front`, which the caller requires.
    ///
    /// # Errors
    /// [`SettingsError::Missing`] if it is not set.
    pub fn front_address(&self) -> Result<SocketAddr, SettingsError> {
        required_address("Listen.Front", self.listen.front)
    }

    /// Returns `Listen.Ready`, which the caller requires.
    ///
    /// # Errors
    /// [`SettingsError::Missing`] if it is not set.
    pub fn ready_address(&self) -> Result<SocketAddr, SettingsError> {
        required_address("Listen.Ready", self.listen.ready)
    }

    /// Returns `Listen.Control`, which the caller requires.
    ///
    /// # Errors
    /// [`SettingsError::Missing`] if it is not set.
    pub fn control_address(&self) -> Result<SocketAddr, SettingsError> {
        required_address("Listen.Control", self.listen.control)
    }

    /// Returns `Listen.Directory`, which the caller requires.
    ///
    /// # Errors
    /// [`SettingsError::Missing`] if it is not set.
    pub fn directory_address(&self) -> Result<SocketAddr, SettingsError> {
        required_address("Listen.Directory", self.listen.directory)
    }

    /// Returns `DataDir`, which the caller requires.
    ///
    /// # Errors
    /// [`SettingsError::Missing`] if it is not set.
    pub fn required_data_folder(&self) -> Result<&Path, SettingsError> {
        let missing = || SettingsError::missing("DataDir", reader::A_FOLDER);
        self.data_folder.as_deref().ok_or_else(missing)
    }
}

fn region(root: &Section<'_>, zones: &BTreeMap<String, String>, zone: &str) -> Result<String, SettingsError> {
    match (root.string("Region")?, zones.get(zone)) {
        (Some(region), _) => Ok(region),
        (None, Some(region)) => Ok(region.clone()),
        (None, None) => root.required_string("Region"),
    }
}

fn required_address(key: &str, address: Option<SocketAddr>) -> Result<SocketAddr, SettingsError> {
    address.ok_or_else(|| SettingsError::missing(key, reader::AN_ADDRESS))
}
