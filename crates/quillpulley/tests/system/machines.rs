//! The machines of a test: their addresses and settings files.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};

/// The numbers of the core machines.
pub const CORES: RangeInclusive<u8> = 1..=3;
/// The ports that a machine uses: those between the processes, and three for callers.
const PORTS: u16 = 20;

/// The machines of one test, which have addresses that no other test uses.
pub struct Machines {
    network: u8,
    first_port: u16,
    folder: PathBuf,
}

impl Machines {
    /// New addresses, free ports, and empty disks.
    pub fn new(name: &str) -> Machines {
        static NEXT: AtomicU8 = AtomicU8::new(101);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("system").join(name);
        // An earlier run may have left it.
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        Machines { network: NEXT.fetch_add(1, Ordering::Relaxed), first_port: free_ports(), folder }
    }

    /// Where the platform's list is.
    pub fn platform(&self) -> SocketAddr {
        self.address(3, 1, 0)
    }

    /// Where a server is.
    pub fn server(&self, number: u8) -> SocketAddr {
        self.address(2, number, 0)
    }

    /// Where clients find the proxy.
    pub fn front(&self) -> SocketAddr {
        self.address(1, 1, 16)
    }

    /// Where the proxy says whether it is ready.
    pub fn ready(&self) -> SocketAddr {
        self.address(1, 1, 17)
    }

    /// Where the operator finds the control nodes.
    pub fn controls(&self) -> Vec<SocketAddr> {
        CORES.map(|number| self.address(0, number, 16)).collect()
    }

    /// Where clients ask where to go.
    pub fn directories(&self) -> Vec<SocketAddr> {
        CORES.map(|number| self.address(0, number, 17)).collect()
    }

    /// The settings file of a control node.
    pub fn core_settings(&self, number: u8) -> PathBuf {
        let disk = self.folder.join(format!("disk-{number}"));
        fs::create_dir_all(&disk).expect("a folder");
        let (control, directory) = (self.address(0, number, 16), self.address(0, number, 17));
        let own = format!(
            "Serves = [\"control\", \"directory\"]\nCountsForQuorum = true\nDataDir = {:?}\n\
             [Listen]\nControl = \"{control}\"\nDirectory = \"{directory}\"\n",
            disk.display().to_string()
        );
        self.settings(&format!("core-{number}"), self.ip(0, number), number, &own)
    }

    /// The settings file of the processes of the front machine.
    pub fn front_settings(&self) -> PathBuf {
        let own = format!(
            "Serves = [\"front\"]\n[Listen]\nFront = \"{}\"\nReady = \"{}\"\n",
            self.front(),
            self.ready()
        );
        self.settings("front-1", self.ip(1, 1), 1, &own)
    }

    fn settings(&self, name: &str, ip: Ipv4Addr, zone: u8, own: &str) -> PathBuf {
        let seeds: Vec<String> = self.controls().iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "NodeName = \"{name}\"\nIp = \"{ip}\"\nZone = \"zone-{zone}\"\nRegion = \"region-a\"\n\
             PortRange = [{}, {}]\nSeeds = [{}]\nBootstrap = true\nHeartbeatMs = 1200\n\
             {own}\
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

    fn ip(&self, kind: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, kind, number)
    }

    fn address(&self, kind: u8, number: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(kind, number), self.first_port + port))
    }
}

/// The first of so many ports that are free on the address that all machines share.
fn free_ports() -> u16 {
    loop {
        let probe = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let first = probe.local_addr().expect("an address").port();
        let is_free = |port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok();
        if first < u16::MAX - PORTS && (first + 1..first + PORTS).all(is_free) {
            return first;
        }
    }
}
