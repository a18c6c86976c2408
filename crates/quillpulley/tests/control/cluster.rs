//! Control nodes as real processes on loopback addresses of their own, with an operator that calls them.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// How long a test waits for anything.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// Within which a call has to be answered; a process keeps a call for up to 3 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Callers without a definite response try again when a process logs something, or after this time.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
const LINK_PORT: u16 = 7720;
const CONTROL_PORT: u16 = 8166;
const DIRECTORY_PORT: u16 = 8164;

static CLUSTERS: AtomicU8 = AtomicU8::new(1);

/// A control machine: its disk, and its process if it runs.
struct Machine {
    process: Option<Child>,
    program: PathBuf,
    /// How many lines all had logged when it was started last.
    started_at_line: usize,
    folder: PathBuf,
    bootstrap: bool,
    seeds: Vec<SocketAddr>,
}

/// Some control machines. Dropping it kills the processes and removes their disks.
pub struct Cluster {
    machines: Vec<Machine>,
    network: [u8; 2],
    platform: Option<SocketAddr>,
    lines: Receiver<String>,
    log: Sender<String>,
    past_lines: Vec<String>,
    folder: PathBuf,
}

/// The response to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status.
    pub status: u16,
    /// The `Location` header.
    pub location: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Cluster {
    /// Starts `count` machines for the first time, all of them seeds.
    pub fn start(count: usize, platform: Option<SocketAddr>) -> Self {
        let mut cluster = Cluster::prepare(count, platform);
        for index in 0..count {
            cluster.run(index);
        }
        cluster
    }

    /// The same with no process running yet.
    pub fn prepare(count: usize, platform: Option<SocketAddr>) -> Self {
        let process = std::process::id();
        let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("quillpulley-control-{process}-{number}"));
        let (log, lines) = mpsc::channel();
        // Tests that run at the same time use other addresses.
        let network = [1 + (process % 250) as u8, number];
        let machines = Vec::new();
        let mut cluster = Cluster { machines, network, platform, lines, log, past_lines: Vec::new(), folder };
        let seeds: Vec<SocketAddr> = (0..count).map(|index| cluster.control(index)).collect();
        for _ in 0..count {
            cluster.add(true, seeds.clone());
        }
        cluster
    }

    /// Adds a machine with an empty disk, whose process does not run yet.
    pub fn add(&mut self, bootstrap: bool, seeds: Vec<SocketAddr>) -> usize {
        let index = self.machines.len();
        let folder = self.folder.join(format!("disk-{index}"));
        let program = PathBuf::from(env!("CARGO_BIN_EXE_quillpulley"));
        let machine = Machine { process: None, program, started_at_line: 0, folder, bootstrap, seeds };
        self.machines.push(machine);
        index
    }

    /// Sets the build of the program that the next process of a machine runs.
    pub fn set_program(&mut self, index: usize, program: &Path) {
        self.machines[index].program = program.to_path_buf();
    }

    /// Writes other seeds into the settings file of a machine, without a signal.
    pub fn set_seeds(&mut self, index: usize, seeds: Vec<SocketAddr>) {
        self.machines[index].seeds = seeds;
        self.write_settings(index);
    }

    fn write_settings(&self, index: usize) -> PathBuf {
        let path = self.folder.join(format!("core-{index}.toml"));
        std::fs::create_dir_all(&self.folder).expect("a folder");
        std::fs::write(&path, self.settings(index)).expect("a settings file");
        path
    }

    /// The address of a machine.
    pub fn address(&self, index: usize) -> Ipv4Addr {
        let [high, low] = self.network;
        Ipv4Addr::new(127, high, low, index as u8 + 1)
    }

    /// Where other processes connect to a machine.
    pub fn link(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.address(index), LINK_PORT))
    }

    /// The operator's API of a machine.
    pub fn control(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.address(index), CONTROL_PORT))
    }

    fn settings(&self, index: usize) -> String {
        let (address, machine) = (self.address(index), &self.machines[index]);
        let seeds: Vec<String> = machine.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let platform =
            self.platform.map(|platform| format!("[Cloud]\nAddress = \"{platform}\"\nRatePerS = 40.0\n"));
        format!(
            "NodeName = \"core-{index}\"\nIp = \"{address}\"\nZone = \"zone-{index}\"\nRegion = \"region-{index}\"\n\
             PortRange = [{LINK_PORT}, {}]\nSeeds = [{}]\nBootstrap = {}\nDataDir = \"{}\"\n\
             [Listen]\nControl = \"{}\"\nDirectory = \"{address}:{DIRECTORY_PORT}\"\n\
             [FaultTolerance]\nMachines = {}\nZones = {}\nRegions = {}\n{}",
            LINK_PORT + 15,
            seeds.join(", "),
            machine.bootstrap,
            machine.folder.display(),
            self.control(index),
            (self.machines.len() - 1) / 2,
            (self.machines.len() - 1) / 2,
            (self.machines.len() - 1) / 2,
            platform.unwrap_or_default(),
        )
    }

    /// Starts the process of a machine.
    pub fn run(&mut self, index: usize) {
        let settings = self.write_settings(index);
        let mut process = Command::new(&self.machines[index].program)
            .arg("control")
            .env("QUILLPULLEY_CONFIG", settings)
            .stderr(Stdio::piped())
            .spawn()
            .expect("a process");
        let errors = process.stderr.take().expect("its log");
        let log = self.log.clone();
        thread::spawn(move || {
            for line in BufReader::new(errors).lines().map_while(Result::ok) {
                if log.send(format!("core-{index}: {line}")).is_err() {
                    return;
                }
            }
        });
        self.take_lines();
        self.machines[index].started_at_line = self.past_lines.len();
        self.machines[index].process = Some(process);
    }

    /// Kills a process.
    pub fn kill(&mut self, index: usize) {
        let mut process = self.machines[index].process.take().expect("a process that runs");
        process.kill().expect("killed");
        process.wait().expect("an end");
    }

    /// Sends SIGTERM to a process and waits for its end.
    pub fn terminate(&mut self, index: usize) -> ExitStatus {
        self.signal(index, "-TERM");
        self.wait(index)
    }

    /// Waits for the end of a process.
    pub fn wait(&mut self, index: usize) -> ExitStatus {
        let mut process = self.machines[index].process.take().expect("a process that runs");
        process.wait().expect("an end")
    }

    /// Sends a signal to a process.
    pub fn signal(&self, index: usize, signal: &str) {
        let process = self.machines[index].process.as_ref().expect("a process that runs");
        let sent = Command::new("kill").arg(signal).arg(process.id().to_string()).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Puts a file in the place of the folder of a machine's disk.
    pub fn break_disk(&mut self, index: usize) {
        let file = self.folder.join("no-folder");
        std::fs::write(&file, "x").expect("a file");
        self.machines[index].folder = file.join("disk");
    }

    /// Empties the disk of a machine whose process does not run.
    pub fn wipe(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        machine.bootstrap = false;
        std::fs::remove_dir_all(&machine.folder).expect("an empty disk");
    }

    fn take_lines(&mut self) {
        self.past_lines.extend(self.lines.try_iter());
    }

    /// Returns the node that the running process of a machine is: its address and the incarnation of its disk.
    fn node(&mut self, index: usize) -> String {
        let started =
            format!("core-{index}: INFO control::replica_host::process: control node started node=");
        self.until("a process that has started", |cluster| {
            let lines = &cluster.past_lines[cluster.machines[index].started_at_line..];
            let node = lines.iter().find_map(|line| line.strip_prefix(started.as_str()))?;
            node.split(' ').next().map(str::to_string)
        })
    }

    /// Waits until a primary has added the running process of a machine as a member. A view that only names a former
    /// incarnation of the machine does not count.
    pub fn wait_for_member(&mut self, index: usize) {
        let node = self.node(index);
        self.wait_for_view(index, "backups=[", |backups| backups.contains(&node.as_str()));
    }

    /// Waits until the running processes of these machines are the witnesses.
    pub fn wait_for_witnesses(&mut self, machines: &[usize]) {
        let mut expected: Vec<String> = machines.iter().map(|index| self.node(*index)).collect();
        expected.sort();
        let newest = machines.iter().copied().max_by_key(|index| self.machines[*index].started_at_line);
        self.wait_for_view(newest.expect("machines"), "witnesses=[", |witnesses| {
            let mut witnesses = witnesses.to_vec();
            witnesses.sort();
            witnesses == expected
        });
    }

    /// Waits for a primary that has logged a view, with a list of addresses after `intro`.
    fn wait_for_view(&mut self, index: usize, intro: &str, is_wanted: impl Fn(&[&str]) -> bool) {
        let shows_it = |line: &String| {
            let list = line.split_once(intro).and_then(|(_, rest)| rest.split_once(']'));
            list.is_some_and(|(nodes, _)| is_wanted(&nodes.split(", ").collect::<Vec<_>>()))
        };
        self.until("the expected view", |cluster| {
            let lines = &cluster.past_lines[cluster.machines[index].started_at_line..];
            lines.iter().any(shows_it).then_some(())
        });
    }

    /// Retries until there is a result.
    pub fn until<T>(&mut self, what: &str, mut attempt: impl FnMut(&Self) -> Option<T>) -> T {
        let started = Instant::now();
        loop {
            if let Some(result) = attempt(self) {
                return result;
            }
            if started.elapsed() > TIMEOUT {
                self.take_lines();
                panic!("not in time: {what}\n{}", self.past_lines.join("\n"));
            }
            self.past_lines.extend(self.lines.recv_timeout(RETRY_INTERVAL));
        }
    }

    /// Calls one machine once.
    pub fn call(&self, index: usize, operation: &Operation) -> Option<HttpResponse> {
        operation.send(self.control(index))
    }

    /// Calls the machines until one gives a definite response, as the operator does.
    pub fn call_until_definite(&mut self, operation: &Operation) -> HttpResponse {
        let running: Vec<usize> =
            (0..self.machines.len()).filter(|index| self.machines[*index].process.is_some()).collect();
        let mut attempt = 0;
        self.until("a definite response", |cluster| {
            attempt += 1;
            let response = operation.send(cluster.control(running[attempt % running.len()]))?;
            let response = match response.location {
                Some(location) => operation.send_to(&location)?,
                None => response,
            };
            (response.status < 500 && response.status != 307).then_some(response)
        })
    }

    /// The machine whose process is the primary.
    pub fn primary(&mut self) -> usize {
        self.until("a primary", |cluster| {
            let answers = |index: &usize| {
                let response = cluster.machines[*index]
                    .process
                    .as_ref()
                    .and_then(|_| cluster.call(*index, &Operation::get()));
                response.is_some_and(|response| response.status == 200 || response.status == 404)
            };
            (0..cluster.machines.len()).find(answers)
        })
    }

    /// Asks a directory for proxies.
    pub fn resolve(&self, index: usize, zone: &str) -> Option<HttpResponse> {
        let address = SocketAddr::from((self.address(index), DIRECTORY_PORT));
        let path = format!("/v1/resolve?Name=x&Region=none&Zone={zone}");
        Operation { method: "GET", path, base: None, body: Vec::new() }.send(address)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in self.machines.iter_mut().filter_map(|machine| machine.process.as_mut()) {
            process.kill().ok();
            process.wait().ok();
        }
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// A call of the operator.
#[derive(Clone)]
pub struct Operation {
    method: &'static str,
    path: String,
    base: Option<u64>,
    body: Vec<u8>,
}

impl Operation {
    /// Asks for the configuration.
    pub fn get() -> Self {
        Operation { method: "GET", path: "/v1/Config.Get".to_string(), base: None, body: Vec::new() }
    }

    /// Asks a process what it knows of the core.
    pub fn status() -> Self {
        Operation { method: "GET", path: "/v1/Control.Status".to_string(), base: None, body: Vec::new() }
    }

    /// Replaces the configuration.
    pub fn replace(base: u64, body: Vec<u8>) -> Self {
        Operation { method: "POST", path: "/v1/Config.Replace".to_string(), base: Some(base), body }
    }

    /// Evacuates a zone.
    pub fn start_evacuation(zone: &str) -> Self {
        Operation { method: "POST", path: format!("/v1/Evacuate.Start/{zone}"), base: None, body: Vec::new() }
    }

    /// Ends the evacuation of a zone.
    pub fn end_evacuation(zone: &str) -> Self {
        Operation { method: "POST", path: format!("/v1/Evacuate.End/{zone}"), base: None, body: Vec::new() }
    }

    /// Sends it to one process; returns nothing if there is no response.
    pub fn send(&self, address: SocketAddr) -> Option<HttpResponse> {
        self.send_to(&format!("http://{address}{}", self.path))
    }

    /// Returns nothing if there is no response.
    fn send_to(&self, url: &str) -> Option<HttpResponse> {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        let agent = ureq::Agent::new_with_config(config);
        let mut response = match self.method {
            "GET" => agent.get(url).call().ok()?,
            _ => {
                let mut request = agent.post(url);
                if let Some(base) = self.base {
                    request = request.header("Quillpulley-If-Config-Version", base.to_string());
                }
                request.send(&self.body[..]).ok()?
            }
        };
        let location = response.headers().get("Location").and_then(|value| value.to_str().ok());
        Some(HttpResponse {
            status: response.status().as_u16(),
            location: location.map(str::to_string),
            body: response.body_mut().read_to_vec().ok()?,
        })
    }
}
