//! What the cases of the second review share: a small deployment of the project's own programs on loopback addresses,
//! and stand-ins for the platform, the operator, the clients and the servers. Only the standard library is used.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::FromRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const [u8; 16], length: u32) -> i32;
}

/// Connects as a client behind an ordinary link does: with segments of 1,460 bytes, which loopback does not have by itself,
/// and a small window, so that the kernel keeps little of an answer (DEPLOY: "small windows: a peer that does not read
/// holds the writer up").
pub fn connect_with_small_window(address: SocketAddr) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(v4) = address else { return Err(broken("no IPv4 address")) };
    let mut raw = [0; 16];
    raw[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&v4.port().to_be_bytes());
    raw[4..8].copy_from_slice(&v4.ip().octets());
    let (buffer, segment) = (64 * 1024, 1460);
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        if setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &buffer, 4) < 0
            || setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, 4) < 0
            || connect(descriptor, &raw, 16) < 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub const ZONES: [(&str, &str); 3] =
    [("puget-a", "puget"), ("willamette-a", "willamette"), ("inland-a", "inland")];

/// The bounds of the site `hearthline`.
const BOUNDS: &str = "SeedLagS = 3\nReuseAfterS = 2\nContactMs = 4000\nAckMs = 5000\nCatchUpS = 4\nDrainMs = 4000\n\
GraceS = 8\nLossSlackMs = 200\nConfigMs = 3000\nRollbackSlackMs = 250\nMaxSkewMs = 6000\nRetryBudgetRatio = 0.2\n\
BudgetWindowS = 10\nRetrySlack = 54\nWarmupOvershoot = 1.5\nWarmupSlack = 5\nEvacMs = 5000\nRecoveryS = 12\n\
pass_ms = 400\nagain_s = 10\nttl_max_s = 5\n";

/// The record of a run, which is also printed.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn new(path: &str) -> Arc<Record> {
        let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
        Arc::new(Record { file: Mutex::new(file), start: Instant::now() })
    }

    /// Returns the seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a line with the time of the run.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.now());
        print!("{line}");
        self.quiet(&line);
    }

    /// Writes text to the file only.
    pub fn quiet(&self, text: &str) {
        let _ = self.file.lock().unwrap().write_all(text.as_bytes());
    }
}

/// Ends the run with the code for a case that could not run.
pub fn cannot_run(reason: &str) -> ! {
    println!("the case could not run: {reason}");
    std::process::exit(2)
}

pub fn sleep_until(record: &Record, at: f64) {
    let left = at - record.now();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left));
    }
}

/// A simple random number generator, so that no crate is needed.
pub struct Random(u64);

impl Random {
    pub fn new(salt: u64) -> Random {
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
        Random(time ^ (u64::from(std::process::id()) << 32) ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        (self.next() >> 11) % bound
    }

    pub fn fraction(&mut self) -> f64 {
        self.below(1_000_000) as f64 / 1e6
    }
}

/// The processes of a small deployment: control machines, and one front machine with an agent and a proxy.
pub struct Deployment {
    folder: PathBuf,
    /// The first three bytes of all addresses.
    net: String,
    base: u16,
    pub cores: Vec<String>,
    pub front: String,
    zones: BTreeMap<String, usize>,
    pub platform: Mutex<SocketAddr>,
    children: Mutex<BTreeMap<(String, String), Child>>,
}

impl Deployment {
    /// Chooses addresses and ports that are free.
    pub fn new() -> Arc<Deployment> {
        let mut random = Random::new(1);
        for _ in 0..200 {
            let net = format!("127.{}.{}.", 20 + random.below(200), 1 + random.below(250));
            let base = 15_000 + random.below(9_000) as u16;
            let is_free = |ip: &str, port: u16| TcpListener::bind((ip, port)).is_ok();
            let ports = (0..3).chain(20..26);
            let hosts = [10, 11, 12, 30].map(|last| format!("{net}{last}"));
            let is_all_free = hosts.iter().all(|ip| ports.clone().all(|port| is_free(ip, base + port)));
            if !is_all_free || !is_free("127.0.0.1", base + 2) {
                continue;
            }
            let folder = std::env::temp_dir().join(format!("quillpulley-review-{}", std::process::id()));
            if let Err(error) = fs::create_dir_all(&folder) {
                cannot_run(&format!("no temporary folder: {error}"));
            }
            let cores: Vec<String> = hosts[..3].to_vec();
            let front = hosts[3].clone();
            let mut zones: BTreeMap<String, usize> =
                cores.iter().enumerate().map(|(zone, ip)| (ip.clone(), zone)).collect();
            zones.insert(front.clone(), 0);
            let platform = Mutex::new(SocketAddr::new(format!("{net}200").parse().unwrap(), base + 30));
            let children = Mutex::default();
            return Arc::new(Deployment { folder, net, base, cores, front, zones, platform, children });
        }
        cannot_run("no free ports")
    }

    /// Returns the address of host `last`, for a stand-in.
    pub fn address(&self, last: u8, port: u16) -> SocketAddr {
        SocketAddr::new(format!("{}{last}", self.net).parse().unwrap(), self.base + port)
    }

    pub fn control_port(&self) -> u16 {
        self.base + 20
    }

    pub fn front_address(&self) -> SocketAddr {
        SocketAddr::new(self.front.parse().unwrap(), self.base + 22)
    }

    /// Writes the settings file of a process and returns its path.
    pub fn write_settings(&self, role: &str, ip: &str, bootstrap: bool) -> PathBuf {
        let (zone, region) = ZONES[self.zones[ip]];
        let is_control = role == "control";
        let last = ip.rsplit('.').next().unwrap_or(ip);
        let (class, serves) = match role {
            "control" => ("core", "[\"control\",\"directory\"]"),
            "proxy" => ("front", "[\"front\"]"),
            _ => ("front", "[]"),
        };
        let seeds: Vec<String> =
            self.cores.iter().map(|ip| format!("\"{ip}:{}\"", self.control_port())).collect();
        let mut text = format!(
            "NodeName = \"{class}-{zone}-{last}\"\nRole = \"{role}\"\nMachineClass = \"{class}\"\nServes = {serves}\n\
             Ip = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"{region}\"\nPortRange = [{},{}]\nSeeds = [{}]\n\
             Bootstrap = {bootstrap}\nCountsForQuorum = {is_control}\nDiscovery = \"cloud\"\nEntry = \"directory\"\n\
             HeartbeatMs = 1200\nContracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
             \"stream\",\"places\"]\n",
            self.base,
            self.base + 15,
            seeds.join(",")
        );
        let disk = self.folder.join(format!("disk-{last}"));
        if is_control {
            text += &format!("DataDir = \"{}\"\n", disk.display());
            let _ = fs::create_dir_all(&disk);
        }
        text += "[Zones]\n";
        for (zone, region) in ZONES {
            text += &format!("{zone} = \"{region}\"\n");
        }
        text += "[Listen]\n";
        let port = |offset: u16| self.base + offset;
        match role {
            "control" => {
                text += &format!("Control = \"{ip}:{}\"\nDirectory = \"{ip}:{}\"\n", port(20), port(21));
            }
            "proxy" => text += &format!("Front = \"{ip}:{}\"\nReady = \"{ip}:{}\"\n", port(22), port(23)),
            _ => {}
        }
        let (cpu, memory, disk_mb) = if is_control { (0.6, 256, 128) } else { (0.25, 260, 0) };
        text += &format!(
            "[Limits]\nCpuShare = {cpu}\nCores = 1\nMemoryMb = {memory}\nMaxFds = 4096\nLinkMbps = 1000.0\n\
             DiskMb = {disk_mb}\n[FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 1\n[Bounds]\n{BOUNDS}[Cloud]\n\
             Address = \"{}\"\nRatePerS = 42.0\nDuties = []\nMaxLagMs = 800\n",
            self.platform.lock().unwrap()
        );
        let path = self.folder.join(format!("{role}-{last}.toml"));
        // The file is replaced as a whole, so that no process reads a part of it.
        let new = path.with_extension("new");
        fs::write(&new, text).and_then(|()| fs::rename(&new, &path)).unwrap_or_else(|error| {
            cannot_run(&format!("{}: {error}", path.display()));
        });
        path
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&self, role: &str, ip: &str, bootstrap: bool) {
        let settings = self.write_settings(role, ip, bootstrap);
        let log = File::options().create(true).append(true).open(self.log_path(role, ip));
        let log = log.unwrap_or_else(|error| cannot_run(&format!("no log: {error}")));
        let mut command = Command::new(program());
        command.arg(role).env_clear().env("QUILLPULLEY_CONFIG", settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        // No process outlives the run, however that ends. All are started by the main thread.
        const PR_SET_PDEATHSIG: i32 = 1;
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn();
        let child = child.unwrap_or_else(|error| cannot_run(&format!("{}: {error}", program())));
        self.children.lock().unwrap().insert((role.to_string(), ip.to_string()), child);
    }

    fn log_path(&self, role: &str, ip: &str) -> PathBuf {
        self.folder.join(format!("{role}-{}.log", ip.rsplit('.').next().unwrap_or(ip)))
    }

    /// Returns the lines of a process's log that contain a text.
    pub fn log_lines(&self, role: &str, ip: &str, wanted: &str) -> Vec<String> {
        let text = fs::read_to_string(self.log_path(role, ip)).unwrap_or_default();
        text.lines().filter(|line| line.contains(wanted)).map(str::to_string).collect()
    }

    /// Starts all processes of a new system.
    pub fn start_all(&self) {
        for ip in &self.cores {
            self.start("control", ip, true);
        }
        self.start("agent", &self.front, true);
        self.start("proxy", &self.front, true);
    }

    /// Returns the role and the address of each process.
    pub fn processes(&self) -> Vec<(String, String)> {
        self.children.lock().unwrap().keys().cloned().collect()
    }

    /// Sends a signal to a process.
    pub fn signal(&self, role: &str, ip: &str, signal: i32) {
        let children = self.children.lock().unwrap();
        if let Some(child) = children.get(&(role.to_string(), ip.to_string())) {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns whether a process has ended, waiting for at most `time`.
    pub fn has_ended(&self, role: &str, ip: &str, time: Duration) -> bool {
        let until = Instant::now() + time;
        loop {
            let mut children = self.children.lock().unwrap();
            match children.get_mut(&(role.to_string(), ip.to_string())) {
                None => return true,
                Some(child) => {
                    if matches!(child.try_wait(), Ok(Some(_))) {
                        return true;
                    }
                    if Instant::now() >= until {
                        return false;
                    }
                }
            }
            drop(children);
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns the processes that have ended by themselves.
    pub fn ended(&self) -> Vec<String> {
        let mut children = self.children.lock().unwrap();
        let ended = children.iter_mut().filter_map(|((role, ip), child)| {
            let status = child.try_wait().ok().flatten()?;
            Some(format!("{role} {ip}: {status}"))
        });
        ended.collect()
    }
}

impl Deployment {
    /// Ends all processes and removes the temporary folder.
    pub fn stop(&self) {
        for child in self.children.lock().unwrap().values_mut() {
            unsafe { kill(child.id() as i32, SIGCONT) };
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn program() -> String {
    let path = "target/system/quillpulley";
    if !Path::new(path).exists() {
        cannot_run("target/system/quillpulley is missing: run the build of deploy/system.toml at the root");
    }
    path.to_string()
}

/// The head of a message, and its body.
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn closes(&self) -> bool {
        self.header("connection").eq_ignore_ascii_case("close")
    }
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_string())
}

/// Reads a message with a length or in chunks; `None` if the connection ends before one.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(broken("the head ends early"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let mut message = Message { first: first.trim_end().to_string(), headers, body: Vec::new() };
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
            let size = size.map_err(|_| broken("no size of a chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else {
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Sends one request of an operator to a control machine and returns the status and the body.
pub fn call_once(address: SocketAddr, head: &str, body: &[u8]) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    (&stream).write_all(&[head.as_bytes(), body].concat())?;
    read_message(&mut BufReader::new(stream))?.ok_or_else(|| broken("no answer"))
}

/// Sends an order or a question as the operator does: to one control machine after the other, following 307 twice,
/// until there is a clear answer or `time` is over. Returns the status and the body.
pub fn operate(
    deployment: &Deployment,
    method: &str,
    path: &str,
    header: &str,
    body: &[u8],
    time: Duration,
) -> Option<(u16, Vec<u8>)> {
    let until = Instant::now() + time;
    let mut random = Random::new(2);
    let mut pause = Duration::from_millis(50);
    while Instant::now() < until {
        let first = random.below(deployment.cores.len() as u64) as usize;
        for offset in 0..deployment.cores.len() {
            let ip = &deployment.cores[(first + offset) % deployment.cores.len()];
            let mut address = SocketAddr::new(ip.parse().unwrap(), deployment.control_port());
            for _ in 0..3 {
                let head = format!(
                    "{method} {path} HTTP/1.1\r\nHost: {address}\r\n{header}Content-Length: {}\r\n\r\n",
                    body.len()
                );
                let Ok(answer) = call_once(address, &head, body) else { break };
                match answer.status() {
                    307 => {
                        let location = answer.header("location").trim_start_matches("http://");
                        let host = location.split('/').next().unwrap_or("");
                        let Ok(next) = host.parse() else { break };
                        address = next;
                    }
                    status if status >= 500 || status == 408 || status == 429 => break,
                    status => return Some((status, answer.body)),
                }
            }
        }
        thread::sleep(pause);
        pause = (pause * 2).min(Duration::from_millis(500));
    }
    None
}

/// Sends a configuration until it is taken.
pub fn configure(deployment: &Deployment, base: u64, body: &str) -> bool {
    let header = format!("Quillpulley-If-Config-Version: {base}\r\nContent-Type: application/json\r\n");
    let time = Duration::from_secs(15);
    let answer = operate(deployment, "POST", "/v1/Config.Replace", &header, body.as_bytes(), time);
    answer.is_some_and(|(status, _)| status == 200)
}

/// What a server tells the platform, from a time on.
#[derive(Clone, Copy, Debug)]
struct Change {
    at: f64,
    draining: bool,
    cold_until: f64,
}

/// A request that has reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub id: String,
    pub is_cold: bool,
}

/// A stand-in for a server of a service.
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: &'static str,
    pub address: SocketAddr,
    record: Arc<Record>,
    /// How long the server works on a request, also while it is cold.
    work: Duration,
    cold_work: Duration,
    /// The number of requests in one second at which the cold server falls over.
    falls_over_at: usize,
    changes: Mutex<Vec<Change>>,
    arrivals: Mutex<Vec<Arrival>>,
    answered: AtomicU64,
    ended: AtomicBool,
    fallen_at: Mutex<Option<f64>>,
}

impl Server {
    pub fn start(
        record: &Arc<Record>,
        address: SocketAddr,
        service: &str,
        zone: &'static str,
        cold: f64,
    ) -> Arc<Server> {
        let id = format!("i-{:08x}", Random::new(u64::from(address.port())).next() as u32);
        let now = record.now();
        let server = Arc::new(Server {
            id,
            service: service.to_string(),
            zone,
            address,
            record: record.clone(),
            work: Duration::from_millis(20),
            cold_work: Duration::from_millis(150),
            falls_over_at: 33,
            changes: Mutex::new(vec![Change { at: now, draining: false, cold_until: now + cold }]),
            arrivals: Mutex::default(),
            answered: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            fallen_at: Mutex::new(None),
        });
        let listener = TcpListener::bind(address)
            .unwrap_or_else(|error| cannot_run(&format!("no server at {address}: {error}")));
        listener.set_nonblocking(true).expect("a listener can be set to non-blocking");
        let accepting = server.clone();
        thread::spawn(move || {
            while !accepting.has_ended() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let server = accepting.clone();
                        thread::spawn(move || drop(server.serve(stream)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        record.line(&format!("server {} of {service} starts in {zone}, cold for {cold} s", server.id));
        server
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    /// Ends the server: it takes nothing more, and its connections are closed.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Release);
    }

    fn latest(&self) -> Change {
        *self.changes.lock().unwrap().last().unwrap()
    }

    /// The server becomes cold for some seconds.
    pub fn become_cold(&self, seconds: f64) {
        let now = self.record.now();
        let change = Change { at: now, cold_until: now + seconds, ..self.latest() };
        self.changes.lock().unwrap().push(change);
    }

    /// The server is to end: from now on it is leaving.
    pub fn drain(&self) {
        let change = Change { at: self.record.now(), draining: true, ..self.latest() };
        self.changes.lock().unwrap().push(change);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }

    /// Returns when the server fell over; `None` if it did not.
    pub fn fallen_at(&self) -> Option<f64> {
        *self.fallen_at.lock().unwrap()
    }

    /// Returns the entry of the list as it stood at `time`; `None` if the server was not listed then.
    fn entry(&self, time: f64) -> Option<String> {
        let changes = self.changes.lock().unwrap();
        let change = changes.iter().rev().find(|change| change.at <= time)?;
        let state = if change.draining { "draining" } else { "ready" };
        let warmup = ((change.cold_until - time).max(0.0) * 1000.0) as u64;
        Some(format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":64,\
             \"State\":\"{state}\",\"WarmupLeftMs\":{warmup},\"Id\":\"{}\"}}",
            self.service, self.address, self.zone, self.id
        ))
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        // A server that has ended closes its connections within 50 ms.
        stream.set_read_timeout(Some(Duration::from_millis(50)))?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            loop {
                if self.has_ended() {
                    return Ok(());
                }
                match reader.fill_buf() {
                    Ok([]) => return Ok(()),
                    Ok(_) => break,
                    Err(error) if is_timeout(&error) => {}
                    Err(error) => return Err(error),
                }
            }
            reader.get_ref().set_read_timeout(Some(Duration::from_secs(5)))?;
            let Some(request) = read_message(&mut reader)? else { return Ok(()) };
            reader.get_ref().set_read_timeout(Some(Duration::from_millis(50)))?;
            let answer = self.answer(&request);
            let Some(answer) = answer else { return Ok(()) };
            writer.write_all(&answer)?;
            if self.latest().draining {
                return Ok(());
            }
        }
    }

    /// Returns the answer to a request; `None` if the server ends before it.
    fn answer(&self, request: &Message) -> Option<Vec<u8>> {
        let state = self.latest();
        let now = self.record.now();
        let close = if state.draining { "Connection: close\r\n" } else { "Keep-Alive: timeout=5\r\n" };
        let id = request.header("quillpulley-request-id").to_string();
        if request.path() == "/health" {
            let status = if state.draining { "503 Service Unavailable" } else { "200 OK" };
            let left = ((state.cold_until - now).max(0.0) * 1000.0) as u64;
            return Some(
                format!(
                    "HTTP/1.1 {status}\r\nQuillpulley-Instance-Id: {}\r\nQuillpulley-Warmup-Remaining-Ms: {left}\r\n\
                     {close}Content-Length: 0\r\n\r\n",
                    self.id
                )
                .into_bytes(),
            );
        }
        let expected = request.header("quillpulley-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return Some(
                format!(
                    "HTTP/1.1 421 Misdirected Request\r\nQuillpulley-Request-Id: {id}\r\n\
                     Quillpulley-Instance-Id: {}\r\n{close}Content-Length: 0\r\n\r\n",
                    self.id
                )
                .into_bytes(),
            );
        }
        let is_cold = now < state.cold_until;
        let in_last_second = {
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push(Arrival { at: now, id: id.clone(), is_cold });
            arrivals.iter().rev().take_while(|arrival| arrival.at > now - 1.0 && arrival.is_cold).count()
        };
        if is_cold && in_last_second >= self.falls_over_at {
            let mut fallen_at = self.fallen_at.lock().unwrap();
            if fallen_at.is_none() {
                *fallen_at = Some(now);
                self.record.line(&format!(
                    "the cold server {} falls over: {in_last_second} requests within a second",
                    self.id
                ));
            }
            self.end();
        }
        thread::sleep(if is_cold { self.cold_work } else { self.work });
        if self.has_ended() {
            return None;
        }
        self.answered.fetch_add(1, Ordering::Relaxed);
        let mut body = format!("answer to {id}");
        if let Some(length) = request.path().strip_prefix("/files/") {
            let length: usize = length.parse().unwrap_or(0);
            body += &".".repeat(length.saturating_sub(body.len()));
        }
        Some(
            format!(
                "HTTP/1.1 200 OK\r\nQuillpulley-Request-Id: {id}\r\nQuillpulley-Response-Seal: seal.{}\r\n{close}\
                 Content-Length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            )
            .into_bytes(),
        )
    }
}

pub fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// A stand-in for the platform's list, which trails reality by a fixed time.
pub struct Platform {
    pub address: SocketAddr,
    record: Arc<Record>,
    servers: Arc<Mutex<Vec<Arc<Server>>>>,
    lag: f64,
    closed: AtomicBool,
    cut: AtomicBool,
    readings: AtomicU64,
}

impl Platform {
    pub fn start(
        record: &Arc<Record>,
        address: SocketAddr,
        servers: &Arc<Mutex<Vec<Arc<Server>>>>,
        lag: f64,
    ) -> Arc<Platform> {
        let platform = Arc::new(Platform {
            address,
            record: record.clone(),
            servers: servers.clone(),
            lag,
            closed: AtomicBool::new(false),
            cut: AtomicBool::new(false),
            readings: AtomicU64::new(0),
        });
        let listener = TcpListener::bind(address)
            .unwrap_or_else(|error| cannot_run(&format!("no platform at {address}: {error}")));
        listener.set_nonblocking(true).expect("a listener can be set to non-blocking");
        let accepting = platform.clone();
        thread::spawn(move || {
            while !accepting.closed.load(Ordering::Acquire) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let platform = accepting.clone();
                        thread::spawn(move || drop(platform.serve(stream)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        platform
    }

    /// Closes the address: it takes no new connection, and closes the open ones after 1.5 s.
    pub fn close(self: &Arc<Self>) {
        self.closed.store(true, Ordering::Release);
        let platform = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(1500));
            platform.cut.store(true, Ordering::Release);
        });
    }

    /// Returns how often the list was read here.
    pub fn readings(&self) -> u64 {
        self.readings.load(Ordering::Relaxed)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_read_timeout(Some(Duration::from_millis(50)))?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            loop {
                if self.cut.load(Ordering::Acquire) {
                    return Ok(());
                }
                match reader.fill_buf() {
                    Ok([]) => return Ok(()),
                    Ok(_) => break,
                    Err(error) if is_timeout(&error) => {}
                    Err(error) => return Err(error),
                }
            }
            if read_message(&mut reader)?.is_none() {
                return Ok(());
            }
            self.readings.fetch_add(1, Ordering::Relaxed);
            let time = self.record.now() - self.lag;
            let servers = self.servers.lock().unwrap();
            // A server that has ended leaves the list in the same time.
            let listed = servers.iter().filter(|server| !server.has_ended());
            let entries: Vec<String> = listed.filter_map(|server| server.entry(time)).collect();
            drop(servers);
            let body = format!("{{\"Instances\":[{}],\"NextToken\":null}}", entries.join(","));
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all((head + &body).as_bytes())?;
        }
    }
}

/// What became of one request of a client.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub sent: f64,
    pub ended: f64,
    /// The status; 0 if the connection ended without an answer.
    pub status: u16,
    /// Whether the answer is the server's answer to this request.
    pub is_own: bool,
}

/// Clients that each send one request after the other on a connection that they keep.
pub struct Clients {
    record: Arc<Record>,
    outcomes: Mutex<Vec<Outcome>>,
    stopped: AtomicBool,
}

impl Clients {
    /// Starts `count` clients that together send about `per_second` requests a second to a path.
    pub fn start(
        record: &Arc<Record>,
        address: SocketAddr,
        host: &str,
        path: &str,
        count: u64,
        per_second: f64,
    ) -> Arc<Clients> {
        let clients = Arc::new(Clients {
            record: record.clone(),
            outcomes: Mutex::default(),
            stopped: AtomicBool::new(false),
        });
        for number in 0..count {
            let (clients, host, path) = (clients.clone(), host.to_string(), path.to_string());
            let pause = count as f64 / per_second;
            thread::spawn(move || clients.run(number, address, &host, &path, pause));
        }
        clients
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    pub fn outcomes(&self) -> Vec<Outcome> {
        self.outcomes.lock().unwrap().clone()
    }

    fn run(&self, number: u64, address: SocketAddr, host: &str, path: &str, pause: f64) {
        let mut random = Random::new(number + 10);
        let mut connection: Option<BufReader<TcpStream>> = None;
        thread::sleep(Duration::from_secs_f64(pause * random.fraction()));
        while !self.stopped.load(Ordering::Acquire) {
            let id = format!("{:016x}", random.next());
            let sent = self.record.now();
            let answer = exchange(&mut connection, address, host, path, &id);
            let ended = self.record.now();
            let mut retry_after = 0.0;
            let outcome = match answer {
                Ok(answer) => {
                    if answer.closes() {
                        connection = None;
                    }
                    retry_after = answer.header("retry-after").parse().unwrap_or(0.0);
                    let is_own = answer.body == format!("answer to {id}").into_bytes()
                        && answer.header("quillpulley-request-id") == id
                        && !answer.header("quillpulley-response-seal").is_empty();
                    Outcome { id, sent, ended, status: answer.status(), is_own }
                }
                Err(_) => {
                    connection = None;
                    Outcome { id, sent, ended, status: 0, is_own: false }
                }
            };
            self.outcomes.lock().unwrap().push(outcome);
            let wait = (pause * (0.7 + 0.6 * random.fraction()) - (ended - sent)).max(retry_after).max(0.001);
            thread::sleep(Duration::from_secs_f64(wait));
        }
    }
}

fn exchange(
    connection: &mut Option<BufReader<TcpStream>>,
    address: SocketAddr,
    host: &str,
    path: &str,
    id: &str,
) -> io::Result<Message> {
    if connection.is_none() {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(6)))?;
        *connection = Some(BufReader::new(stream));
    }
    let reader = connection.as_mut().unwrap();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {host}\r\nQuillpulley-Request-Id: {id}\r\nQuillpulley-Deadline-Ms: 6000\r\n\
         Content-Length: 6\r\n\r\nticket"
    );
    reader.get_mut().write_all(request.as_bytes())?;
    read_message(reader)?.ok_or_else(|| broken("the connection ended without an answer"))
}

/// Returns whether the run is one with the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns the folder of the case, in which its record is written.
pub fn record_path() -> String {
    std::env::args().nth(2).unwrap_or_else(|| cannot_run("the path of the record is missing"))
}

/// Counts outcomes by status.
pub fn by_status(outcomes: &[Outcome]) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for outcome in outcomes {
        let name = match outcome.status {
            0 => "no answer".to_string(),
            200 if !outcome.is_own => "200 not its own".to_string(),
            status => status.to_string(),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts.iter().map(|(name, count)| format!("{name}: {count}")).collect::<Vec<_>>().join(", ")
}

/// Writes what became of each request and where it ran.
pub fn write_details(record: &Record, servers: &[Arc<Server>], outcomes: &[Outcome]) {
    for outcome in outcomes {
        record.quiet(&format!(
            "request {} sent {:.3} ended {:.3} status {} own {}\n",
            outcome.id, outcome.sent, outcome.ended, outcome.status, outcome.is_own
        ));
    }
    for server in servers {
        for arrival in server.arrivals() {
            let cold = if arrival.is_cold { " while cold" } else { "" };
            record.quiet(&format!("server {} ran {} at {:.3}{cold}\n", server.id, arrival.id, arrival.at));
        }
    }
}
