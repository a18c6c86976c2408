//! The settings of a process: a TOML file whose path is in an environment variable.
//!
//! Fields that are not known are ignored. A key that may be missing may also be empty (`""` or `[]`), and a
//! bound that is `true` or `false` counts as missing. The defaults are those of [`Bounds`], [`ProcessLimits`],
//! [`FaultTolerance`] and [`Platform`].

#![forbid(unsafe_code)]

mod error;
mod reader;
mod sections;

pub use error::SettingsError;
pub use sections::{Bounds, FaultTolerance, Listen, Platform, PortRange, ProcessLimits};

use reader::Section;
use std::collections::BTreeMap;
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
    /// `NodeName`: the name of the machine; its address where it is missing.
    pub node_name: String,
    /// `Role`: the name of the role in the deploy file; may be empty.
    pub role: String,
    /// `MachineClass`: the class of the machine; may be empty.
    pub machine_class: String,
    /// `Serves`: who may call the process from outside.
    pub serves: Vec<String>,
    /// `Ip`: the address of the machine.
    pub ip: Ipv4Addr,
    /// `Zone`: the zone of the machine.
    pub zone: String,
    /// `Region`: the region of the machine; what `Zones` says of its zone where it is missing.
    pub region: String,
    /// `PortRange`: the ports for traffic between the processes.
    pub ports: PortRange,
    /// `Seeds`: `Control` addresses of some control machines.
    pub seeds: Vec<SocketAddr>,
    /// `Bootstrap`: whether the whole system starts for the first time; false where it is missing.
    pub bootstrap: bool,
    /// `CountsForQuorum`: whether the machine is one of those that `FaultTolerance.Machines` counts.
    pub counts_for_quorum: bool,
    /// `DataDir`: the folder for durable data, on machines with a disk.
    pub data_folder: Option<PathBuf>,
    /// `HeartbeatMs`; a second where it is missing.
    pub heartbeat: Duration,
    /// `Contracts`: the parts of the rules that are active.
    pub contracts: Vec<String>,
    /// `Zones`: the region of each zone.
    pub zones: BTreeMap<String, String>,
    /// `Listen`: the addresses for what the process serves.
    pub listen: Listen,
    /// `Limits`: what the process may use.
    pub limits: ProcessLimits,
    /// `FaultTolerance`: what may be lost at once.
    pub fault_tolerance: FaultTolerance,
    /// `Bounds`: the figures of the rules.
    pub bounds: Bounds,
    /// `Platform`: the platform's list of servers; none where it has no `Address`.
    pub platform: Option<Platform>,
}

impl Settings {
    /// Reads the file that [`PATH_VARIABLE`] names.
    ///
    /// # Errors
    /// [`SettingsError`].
    pub fn from_environment() -> Result<Settings, SettingsError> {
        let path = env::var_os(PATH_VARIABLE).ok_or(SettingsError::NoPath)?;
        Settings::load(Path::new(&path))
    }

    /// Reads a settings file.
    ///
    /// # Errors
    /// [`SettingsError`].
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let unreadable =
            |error| SettingsError::Unreadable { path: path.to_path_buf(), error: Box::new(error) };
        Settings::parse(&fs::read_to_string(path).map_err(unreadable)?)
    }

    /// Reads the text of a settings file.
    ///
    /// # Errors
    /// [`SettingsError`].
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let table = text.parse().map_err(|error| reader::not_toml(text, &error))?;
        let root = Section::root(&table);
        let ip = root.required_ip("Ip")?;
        let zone = root.required_text("Zone")?;
        let zones = root.section("Zones")?.all_texts()?;
        Ok(Settings {
            node_name: root.text("NodeName")?.unwrap_or_else(|| ip.to_string()),
            role: root.text("Role")?.unwrap_or_default(),
            machine_class: root.text("MachineClass")?.unwrap_or_default(),
            serves: root.texts("Serves")?,
            ip,
            region: region(&root, &zones, &zone)?,
            zone,
            ports: PortRange::read(&root)?,
            seeds: root.addresses("Seeds")?,
            bootstrap: root.flag("Bootstrap")?,
            counts_for_quorum: root.flag("CountsForQuorum")?,
            data_folder: root.text("DataDir")?.map(PathBuf::from),
            heartbeat: root.milliseconds("HeartbeatMs", DEFAULT_HEARTBEAT)?,
            contracts: root.texts("Contracts")?,
            zones,
            listen: Listen::read(&root.section("Listen")?)?,
            limits: ProcessLimits::read(&root.section("Limits")?)?,
            fault_tolerance: FaultTolerance::read(&root.section("FaultTolerance")?)?,
            bounds: Bounds::read(&root.section("Bounds")?)?,
            platform: Platform::read(&root.section("Cloud")?)?,
        })
    }

    /// Returns the port on which control nodes talk to each other and to agents.
    pub fn control_port(&self) -> u16 {
        self.ports.first
    }

    /// Returns the port on which agents talk to each other.
    pub fn agent_port(&self) -> u16 {
        self.ports.first + 1
    }

    /// Returns the port on which an agent feeds the proxy of its machine.
    pub fn proxy_port(&self) -> u16 {
        self.ports.first + 2
    }

    /// Returns the region of a zone, if `Zones` names it.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.zones.get(zone).map(String::as_str)
    }

    /// `Listen.Front`, or an error that asks for it.
    ///
    /// # Errors
    /// [`SettingsError`].
    pub fn front_address(&self) -> Result<SocketAddr, SettingsError> {
        required_address("Listen.Front", self.listen.front)
    }

    /// `Listen.Ready`, or an error that asks for it.
    ///
    /// # Errors
    /// [`SettingsError`].
    pub fn ready_address(&self) -> Result<SocketAddr, SettingsError> {
        required_address("Listen.Ready", self.listen.ready)
    }

    /// `Listen.Control`, or an error that asks for it.
    ///
    /// # Errors
    /// [`SettingsError`].
    pub fn control_address(&self) -> Result<SocketAddr, SettingsError> {
        required_address("Listen.Control", self.listen.control)
    }

    /// `Listen.Directory`, or an error that asks for it.
    ///
    /// # Errors
    /// [`SettingsError`].
    pub fn directory_address(&self) -> Result<SocketAddr, SettingsError> {
        required_address("Listen.Directory", self.listen.directory)
    }

    /// `DataDir`, or an error that asks for it.
    ///
    /// # Errors
    /// [`SettingsError`].
    pub fn required_data_folder(&self) -> Result<&Path, SettingsError> {
        let missing = || SettingsError::missing("DataDir", reader::A_FOLDER);
        self.data_folder.as_deref().ok_or_else(missing)
    }
}

fn region(root: &Section<'_>, zones: &BTreeMap<String, String>, zone: &str) -> Result<String, SettingsError> {
    match (root.text("Region")?, zones.get(zone)) {
        (Some(region), _) => Ok(region),
        (None, Some(region)) => Ok(region.clone()),
        (None, None) => root.required_text("Region"),
    }
}

fn required_address(key: &str, address: Option<SocketAddr>) -> Result<SocketAddr, SettingsError> {
    address.ok_or_else(|| SettingsError::missing(key, reader::AN_ADDRESS))
}
