//! The machines of a test: their addresses and settings files.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};

/// The numbers of the control nodes.
pub const CONTROL_NODES: RangeInclusive<u8> = 1..=3;
/// The number of ports that a machine uses: those for traffic between the processes, and those for external callers.
const PORT_COUNT: u16 = 20;

/// The machines of one test. Their addresses are not used by any other test.
pub struct Machines {
    /// The second byte of the addresses.
    network: u8,
    first_port: u16,
    folder: PathBuf,
}

impl Machines {
    /// Allocates addresses and ports, and creates an empty folder for settings files and disks.
    pub fn new(name: &str) -> Machines {
        static NEXT: AtomicU8 = AtomicU8::new(101);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("system").join(name);
        // The folder may be left over from an earlier run.
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        Machines { network: NEXT.fetch_add(1, Ordering::Relaxed), first_port: free_ports(), folder }
    }

    /// Returns the address of the platform's API.
    pub fn platform(&self) -> SocketAddr {
        self.address(3, 1, 0)
    }

    /// Returns the address of a server.
    pub fn server(&self, number: u8) -> SocketAddr {
        self.address(2, number, 0)
    }

    /// Returns the address on which the proxy serves clients.
    pub fn proxy(&self) -> SocketAddr {
        self.address(1, 1, 16)
    }

    /// Returns the address of the proxy's readiness check.
    pub fn ready(&self) -> SocketAddr {
        self.address(1, 1, 17)
    }

    /// Returns the addresses of the control API of all control nodes.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        CONTROL_NODES.map(|number| self.address(0, number, 16)).collect()
    }

    /// Returns the addresses of the directories of all control nodes.
    pub fn directory_addresses(&self) -> Vec<SocketAddr> {
        CONTROL_NODES.map(|number| self.address(0, number, 17)).collect()
    }

    /// Returns the addresses on which control nodes accept connections from other processes of the system.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        CONTROL_NODES.map(|number| self.address(0, number, 0)).collect()
    }

    /// Returns the address on which the agent accepts connections from other agents.
    pub fn agent_links(&self) -> SocketAddr {
        self.address(1, 1, 1)
    }

    /// Returns the address on which the agent accepts connections from the proxy of its machine.
    pub fn proxy_links(&self) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::LOCALHOST, self.first_port + 2))
    }

    /// Writes the settings file of a control node. Returns its path.
    pub fn control_node_settings(&self, number: u8) -> PathBuf {
        let disk = self.folder.join(format!("disk-{number}"));
        fs::create_dir_all(&disk).expect("a folder");
        let (control, directory) = (self.address(0, number, 16), self.address(0, number, 17));
        let specific_settings = format!(
            "Serves = [\"control\", \"directory\"]\nCountsForQuorum = true\nDataDir = {:?}\n\
             [Listen]\nControl = \"{control}\"\nDirectory = \"{directory}\"\n",
            disk.display().to_string()
        );
        self.settings(&format!("core-{number}"), self.ip(0, number), number, &specific_settings)
    }

    /// Writes the settings file of the agent and the proxy, which run on the same machine. Returns its path.
    pub fn proxy_settings(&self) -> PathBuf {
        let specific_settings = format!(
            "Serves = [\"front\"]\n[Listen]\nFront = \"{}\"\nReady = \"{}\"\n",
            self.proxy(),
            self.ready()
        );
        self.settings("front-1", self.ip(1, 1), 1, &specific_settings)
    }

    fn settings(&self, name: &str, ip: Ipv4Addr, zone: u8, specific_settings: &str) -> PathBuf {
        let seeds: Vec<String> = self.control_addresses().iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "NodeName = \"{name}\"\nIp = \"{ip}\"\nZone = \"zone-{zone}\"\nRegion = \"region-a\"\n\
             PortRange = [{}, {}]\nSeeds = [{}]\nBootstrap = true\nHeartbeatMs = 1200\n\
             {specific_settings}\
             [Zones]\nzone-1 = \"region-a\"\nzone-2 = \"region-a\"\nzone-3 = \"region-a\"\n\
             [Limits]\nCpuShare = 0.6\nMemoryMb = 256\nMaxFds = 4096\nDiskMb = 128\n\
             [FaultTolerance]\nMachines = 1\n\
             [Bounds]\nGraceS = 8\nDrainMs = 3000\n\
             [Cloud]\nAddress = \"{}\"\nRatePerS = 40.0\nMaxLagMs = 800\n",
            self.first_port,
            self.first_port + 15,
            seeds.join(", "),
            self.platform(),
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, text).expect("a settings file");
        path
    }

    /// Returns the IP address of a machine. `kind` is 0 for control nodes, 1 for the machine of the proxy, 2 for servers
    /// and 3 for the platform.
    fn ip(&self, kind: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, kind, number)
    }

    /// Returns the address of a machine with the port that is `port_offset` above the first port of the test.
    fn address(&self, kind: u8, number: u8, port_offset: u16) -> SocketAddr {
        SocketAddr::from((self.ip(kind, number), self.first_port + port_offset))
    }
}

/// Returns the first of [`PORT_COUNT`] consecutive ports that are free on localhost.
fn free_ports() -> u16 {
    loop {
        let probe = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let first = probe.local_addr().expect("an address").port();
        let is_free = |port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok();
        if first < u16::MAX - PORT_COUNT && (first + 1..first + PORT_COUNT).all(is_free) {
            return first;
        }
    }
}
