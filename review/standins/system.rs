//! The processes of the system, with the settings of a small deployment: three core machines in three zones, and one
//! front machine. The names and bounds are those of the site hearthline.

use crate::record::Record;
use crate::server;
use std::collections::BTreeMap;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

pub const ZONES: [(&str, &str); 3] =
    [("puget-a", "puget"), ("willamette-a", "willamette"), ("inland-a", "inland")];

pub const CONTACT_MS: u64 = 4000;
pub const ACK_MS: u64 = 5000;
pub const CONFIG_MS: u64 = 3000;
pub const EVAC_MS: u64 = 5000;

const BOUNDS: &str =
    "[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 4000\nAckMs = 5000\nCatchUpS = 4\n\
    DrainMs = 4000\nGraceS = 8\nLossSlackMs = 200\nConfigMs = 3000\nRollbackSlackMs = 250\nMaxSkewMs = 6000\n\
    RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetrySlack = 54\nWarmupOvershoot = 1.5\nWarmupSlack = 5\n\
    EvacMs = 5000\nRecoveryS = 12\npass_ms = 400\nagain_s = 10\nttl_max_s = 5\n";

/// The ports of a machine: sixteen for the processes among themselves, and those of the callers from outside.
const PORTS: u16 = 20;

pub struct System {
    pub record: Record,
    network: u8,
    first_port: u16,
    folder: PathBuf,
    commands: BTreeMap<String, Vec<String>>,
    processes: Vec<(String, Child)>,
    /// The entries of the platform's list.
    pub instances: Arc<Mutex<Vec<String>>>,
}

impl System {
    pub fn new(record: Record) -> Result<System, String> {
        let commands = read_commands()?;
        let folder = std::env::temp_dir().join(format!("quillpulley-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let network = 64 + (std::process::id() % 128) as u8;
        let first_port = free_ports(network).ok_or("no free ports")?;
        let instances = Arc::default();
        Ok(System { record, network, first_port, folder, commands, processes: Vec::new(), instances })
    }

    /// Starts the platform, three control nodes, the agent and the proxy.
    pub fn start(&mut self) -> Result<(), String> {
        server::start_platform(self.address(3, 1, 0), self.instances.clone());
        for number in 1..=3 {
            let settings = self.core_settings(number);
            self.start_process("control", &format!("core-{number}"), &settings)?;
        }
        let settings = self.front_settings();
        self.start_process("agent", "front-1", &settings)?;
        self.start_process("proxy", "front-1", &settings)
    }

    /// `kind` is 0 for core machines, 1 for the front machine, 2 for servers, 3 for the platform, and 4 for the far ends
    /// of the operators' links.
    pub fn ip(&self, kind: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, kind, number)
    }

    pub fn address(&self, kind: u8, number: u8, offset: u16) -> SocketAddr {
        SocketAddr::from((self.ip(kind, number), self.first_port + offset))
    }

    pub fn control(&self, number: u8) -> SocketAddr {
        self.address(0, number, 16)
    }

    pub fn front(&self) -> SocketAddr {
        self.address(1, 1, 16)
    }

    pub fn ready(&self) -> SocketAddr {
        self.address(1, 1, 17)
    }

    /// Returns the names of processes that have ended by themselves.
    pub fn ended_processes(&mut self) -> Vec<String> {
        let ended = self.processes.iter_mut().filter_map(|(name, child)| {
            child.try_wait().ok().flatten().map(|status| format!("{name}: {status}"))
        });
        ended.collect()
    }

    /// Ends all processes, and removes the temporary folder.
    pub fn stop(&mut self) {
        for (_, child) in &mut self.processes {
            let _ = child.kill();
        }
        for (_, child) in &mut self.processes {
            let _ = child.wait();
        }
        self.processes.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }

    fn start_process(&mut self, role: &str, name: &str, settings: &PathBuf) -> Result<(), String> {
        let command = self.commands.get(role).ok_or(format!("no role {role} in the deploy file"))?;
        let log = fs::File::create(self.folder.join(format!("{role}-{name}.log")));
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new(&command[0])
            .args(&command[1..])
            .env_clear()
            .env("QUILLPULLEY_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{command:?}: {error}"))?;
        self.record.line(&format!("started {role} on {name}"));
        self.processes.push((format!("{role}-{name}"), child));
        Ok(())
    }

    fn core_settings(&self, number: u8) -> PathBuf {
        let disk = self.folder.join(format!("disk-{number}"));
        fs::create_dir_all(&disk).expect("a folder");
        let head = format!(
            "Serves = [\"control\",\"directory\"]\nCountsForQuorum = true\nDataDir = {:?}\n",
            disk.display().to_string()
        );
        let listen = format!(
            "[Listen]\nControl = \"{}\"\nDirectory = \"{}\"\n",
            self.control(number),
            self.address(0, number, 17)
        );
        let limits = "[Limits]\nCpuShare = 0.6\nCores = 1\nMemoryMb = 256\nMaxFds = 4096\nLinkMbps = 1000.0\nDiskMb = 128\n";
        self.write_settings(
            &format!("core-{number}"),
            "core",
            self.ip(0, number),
            number,
            &head,
            &(listen + limits),
        )
    }

    fn front_settings(&self) -> PathBuf {
        let head = "Serves = [\"front\"]\nCountsForQuorum = false\n";
        let listen = format!("[Listen]\nFront = \"{}\"\nReady = \"{}\"\n", self.front(), self.ready());
        let limits = "[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n";
        self.write_settings("front-1", "front", self.ip(1, 1), 1, head, &(listen + limits))
    }

    fn write_settings(
        &self,
        name: &str,
        class: &str,
        ip: Ipv4Addr,
        zone: u8,
        head: &str,
        tables: &str,
    ) -> PathBuf {
        let (zone, region) = ZONES[usize::from(zone) - 1];
        let seeds: Vec<String> = (1..=3).map(|number| format!("\"{}\"", self.control(number))).collect();
        let zones: Vec<String> =
            ZONES.iter().map(|(zone, region)| format!("{zone} = \"{region}\"\n")).collect();
        let text = format!(
            "NodeName = \"{name}\"\nRole = \"{class}\"\nMachineClass = \"{class}\"\nIp = \"{ip}\"\n\
             Zone = \"{zone}\"\nRegion = \"{region}\"\nPortRange = [{}, {}]\nSeeds = [{}]\nBootstrap = true\n\
             Discovery = \"cloud\"\nEntry = \"directory\"\nHeartbeatMs = 1200\n\
             Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"places\"]\n\
             {head}[Zones]\n{}{tables}[FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 1\n{BOUNDS}\
             [Cloud]\nAddress = \"{}\"\nRatePerS = 42.0\nDuties = []\nMaxLagMs = 800\n",
            self.first_port,
            self.first_port + 15,
            seeds.join(","),
            zones.concat(),
            self.address(3, 1, 0),
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, text).expect("a settings file");
        path
    }
}

/// Reads the `run` command of each role from the deploy file.
fn read_commands() -> Result<BTreeMap<String, Vec<String>>, String> {
    let text =
        fs::read_to_string("deploy/system.toml").map_err(|error| format!("the deploy file: {error}"))?;
    let mut commands = BTreeMap::new();
    let mut role = None;
    for line in text.lines().map(str::trim) {
        if let Some(name) = line.strip_prefix("[roles.").and_then(|line| line.strip_suffix(']')) {
            role = Some(name.to_string());
        } else if let (Some(role), Some(run)) = (&role, line.strip_prefix("run = \"")) {
            let run = run.trim_end_matches('"').split_whitespace().map(str::to_string).collect();
            commands.insert(role.clone(), run);
        }
    }
    Ok(commands)
}

/// Returns the first of consecutive ports that are free, below the ports that the kernel gives to connections.
fn free_ports(network: u8) -> Option<u16> {
    let is_free = |port: u16| {
        let loopback = TcpListener::bind((Ipv4Addr::LOCALHOST, port));
        let own = TcpListener::bind((Ipv4Addr::new(127, network, 0, 1), port));
        loopback.is_ok() && own.is_ok()
    };
    let start = 10_000 + (std::process::id() % 800) as u16 * 20;
    (0..200)
        .map(|step| 10_000 + (start - 10_000 + step * PORTS) % 20_000)
        .find(|first| (*first..*first + PORTS).all(is_free))
}
