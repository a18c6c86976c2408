//! Runs control nodes as real processes, each with its own loopback address, and sends them operator
//! requests.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time that a test waits for an expected event.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a request. It exceeds the 3 s for which a process may keep a request waiting.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time between two attempts. A line that a process logs starts the next attempt earlier.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of redirects that an operator follows.
const MAX_REDIRECTS: usize = 2;
const LINK_PORT: u16 = 7720;
const CONTROL_PORT: u16 = 8166;
const DIRECTORY_PORT: u16 = 8164;

static NEXT_CLUSTER_NUMBER: AtomicU8 = AtomicU8::new(1);

/// A machine for a control node: its disk, and its process if that runs.
struct Machine {
    process: Option<Child>,
    program: PathBuf,
    /// The number of lines that all processes had logged when this one was last started.
    started_at_line: usize,
    folder: PathBuf,
    bootstrap: bool,
    seeds: Vec<SocketAddr>,
}

/// A set of machines that run control nodes. Dropping it kills the processes and removes the disks.
pub struct Cluster {
    machines: Vec<Machine>,
    /// The second and third byte of the IP addresses of the machines.
    network: [u8; 2],
    platform: Option<SocketAddr>,
    log_receiver: Receiver<String>,
    log_sender: Sender<String>,
    log_lines: Vec<String>,
    folder: PathBuf,
}

/// The response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The `Location` header; `None` if it is missing.
    pub location: Option<String>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl Cluster {
    /// Creates a new system of `count` machines, all of which are seeds, and starts their processes.
    pub fn start(count: usize, platform: Option<SocketAddr>) -> Self {
        let mut cluster = Cluster::prepare(count, platform);
        for index in 0..count {
            cluster.start_process(index);
        }
        cluster
    }

    /// Creates a new system of `count` machines, all of which are seeds, without starting their processes.
    pub fn prepare(count: usize, platform: Option<SocketAddr>) -> Self {
        let process = std::process::id();
        let number = NEXT_CLUSTER_NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("quillpulley-control-{process}-{number}"));
        let (log_sender, log_receiver) = mpsc::channel();
        // Clusters that run at the same time use different addresses.
        let network = [1 + (process % 250) as u8, number];
        let machines = Vec::new();
        let mut cluster =
            Cluster { machines, network, platform, log_receiver, log_sender, log_lines: Vec::new(), folder };
        let seeds: Vec<SocketAddr> = (0..count).map(|index| cluster.control_address(index)).collect();
        for _ in 0..count {
            cluster.add(true, seeds.clone());
        }
        cluster
    }

    /// Adds a machine with an empty disk, without starting its process. Returns the machine's index.
    pub fn add(&mut self, bootstrap: bool, seeds: Vec<SocketAddr>) -> usize {
        let index = self.machines.len();
        let folder = self.folder.join(format!("disk-{index}"));
        let program = PathBuf::from(env!("CARGO_BIN_EXE_quillpulley"));
        let machine = Machine { process: None, program, started_at_line: 0, folder, bootstrap, seeds };
        self.machines.push(machine);
        index
    }

    /// Sets the program that a machine runs from its next start on.
    pub fn set_program(&mut self, index: usize, program: &Path) {
        self.machines[index].program = program.to_path_buf();
    }

    /// Replaces the seeds in the settings file of a machine, without signalling its process.
    pub fn set_seeds(&mut self, index: usize, seeds: Vec<SocketAddr>) {
        self.machines[index].seeds = seeds;
        self.write_settings(index);
    }

    /// Replaces the address of the platform's list in the settings files of all machines, without signalling their
    /// processes.
    pub fn set_platform(&mut self, platform: SocketAddr) {
        self.platform = Some(platform);
        (0..self.machines.len()).for_each(|index| drop(self.write_settings(index)));
    }

    /// Replaces the settings file of a machine by its first part, as if it was being written.
    pub fn truncate_settings(&mut self, index: usize, end: &str) {
        let text = self.settings(index);
        let length = text.find(end).expect("the settings lack the end");
        std::fs::write(self.write_settings(index), &text[..length]).expect("cannot write the settings file");
    }

    fn write_settings(&self, index: usize) -> PathBuf {
        let path = self.folder.join(format!("core-{index}.toml"));
        std::fs::create_dir_all(&self.folder).expect("cannot create the folder");
        std::fs::write(&path, self.settings(index)).expect("cannot write the settings file");
        path
    }

    /// Returns the IP address of a machine.
    pub fn address(&self, index: usize) -> Ipv4Addr {
        let [high, low] = self.network;
        Ipv4Addr::new(127, high, low, index as u8 + 1)
    }

    /// Returns the address at which a machine accepts links from other processes.
    pub fn link_address(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.address(index), LINK_PORT))
    }

    /// Returns the address of the operator API of a machine.
    pub fn control_address(&self, index: usize) -> SocketAddr {
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
            self.control_address(index),
            (self.machines.len() - 1) / 2,
            (self.machines.len() - 1) / 2,
            (self.machines.len() - 1) / 2,
            platform.unwrap_or_default(),
        )
    }

    /// Starts the process of a machine.
    pub fn start_process(&mut self, index: usize) {
        let settings = self.write_settings(index);
        let mut process = Command::new(&self.machines[index].program)
            .arg("control")
            .env("QUILLPULLEY_CONFIG", settings)
            .stderr(Stdio::piped())
            .spawn()
            .expect("cannot start the process");
        let stderr = process.stderr.take().expect("stderr is not piped");
        let log_sender = self.log_sender.clone();
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if log_sender.send(format!("core-{index}: {line}")).is_err() {
                    return;
                }
            }
        });
        self.collect_log_lines();
        self.machines[index].started_at_line = self.log_lines.len();
        self.machines[index].process = Some(process);
    }

    /// Kills the process of a machine with SIGKILL.
    pub fn kill(&mut self, index: usize) {
        let mut process = self.machines[index].process.take().expect("the process is not running");
        process.kill().expect("cannot kill the process");
        process.wait().expect("cannot wait for the process");
    }

    /// Sends SIGTERM to the process of a machine and waits until it exits.
    pub fn terminate(&mut self, index: usize) -> ExitStatus {
        self.signal(index, "-TERM");
        self.wait(index)
    }

    /// Waits until the process of a machine exits.
    pub fn wait(&mut self, index: usize) -> ExitStatus {
        let mut process = self.machines[index].process.take().expect("the process is not running");
        process.wait().expect("cannot wait for the process")
    }

    /// Sends a signal, given as an option of `kill`, to the process of a machine.
    pub fn signal(&self, index: usize, signal: &str) {
        let process = self.machines[index].process.as_ref().expect("the process is not running");
        let sent = Command::new("kill").arg(signal).arg(process.id().to_string()).status();
        assert!(sent.expect("cannot run kill").success());
    }

    /// Makes the data folder of a machine unusable: its parent becomes a file.
    pub fn break_disk(&mut self, index: usize) {
        let file = self.folder.join("no-folder");
        std::fs::write(&file, "x").expect("cannot write the file");
        self.machines[index].folder = file.join("disk");
    }

    /// Empties the disk of a machine whose process is not running. The machine no longer bootstraps.
    pub fn wipe_disk(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        machine.bootstrap = false;
        std::fs::remove_dir_all(&machine.folder).expect("cannot remove the folder");
    }

    fn collect_log_lines(&mut self) {
        self.log_lines.extend(self.log_receiver.try_iter());
    }

    /// Returns the node id of the running process of a machine, as logged: its address and its incarnation.
    fn node(&mut self, index: usize) -> String {
        let started =
            format!("core-{index}: INFO control::replica_host::process: control node started node=");
        self.wait_for("a process that has started", |cluster| {
            let lines = &cluster.log_lines[cluster.machines[index].started_at_line..];
            let node = lines.iter().find_map(|line| line.strip_prefix(started.as_str()))?;
            node.split(' ').next().map(str::to_string)
        })
    }

    /// Waits until a primary has added the running process of a machine as a member. A view that contains
    /// only an earlier incarnation of the machine does not count.
    pub fn wait_for_member(&mut self, index: usize) {
        let node = self.node(index);
        self.wait_for_view(index, "backups=[", |backups| backups.contains(&node.as_str()));
    }

    /// Waits until the running processes of these machines are the witnesses.
    pub fn wait_for_witnesses(&mut self, machines: &[usize]) {
        let mut expected: Vec<String> = machines.iter().map(|index| self.node(*index)).collect();
        expected.sort();
        let newest = machines.iter().copied().max_by_key(|index| self.machines[*index].started_at_line);
        self.wait_for_view(newest.expect("no machines"), "witnesses=[", |witnesses| {
            let mut witnesses = witnesses.to_vec();
            witnesses.sort();
            witnesses == expected
        });
    }

    /// Waits until a process has logged a view in which `is_wanted` holds for the list of nodes after
    /// `list_prefix`. Only lines since the last start of the machine count.
    fn wait_for_view(&mut self, index: usize, list_prefix: &str, is_wanted: impl Fn(&[&str]) -> bool) {
        let shows_expected_view = |line: &String| {
            let list = line.split_once(list_prefix).and_then(|(_, rest)| rest.split_once(']'));
            list.is_some_and(|(nodes, _)| is_wanted(&nodes.split(", ").collect::<Vec<_>>()))
        };
        self.wait_for("the expected view", |cluster| {
            let lines = &cluster.log_lines[cluster.machines[index].started_at_line..];
            lines.iter().any(shows_expected_view).then_some(())
        });
    }

    /// Retries `attempt` until it returns a result, and returns that. Panics after [`TIMEOUT`].
    pub fn wait_for<T>(&mut self, what: &str, mut attempt: impl FnMut(&Self) -> Option<T>) -> T {
        let started = Instant::now();
        loop {
            if let Some(result) = attempt(self) {
                return result;
            }
            if started.elapsed() > TIMEOUT {
                self.collect_log_lines();
                panic!("timed out waiting for {what}\n{}", self.log_lines.join("\n"));
            }
            self.log_lines.extend(self.log_receiver.recv_timeout(RETRY_INTERVAL));
        }
    }

    /// Sends a request to one machine, once. Returns `None` if there is no response.
    pub fn call(&self, index: usize, operation: &Operation) -> Option<HttpResponse> {
        operation.send(self.control_address(index))
    }

    /// Sends a request to the running machines in turn, as operators do, until one gives a definite response.
    pub fn call_until_definite(&mut self, operation: &Operation) -> HttpResponse {
        let running: Vec<usize> =
            (0..self.machines.len()).filter(|index| self.machines[*index].process.is_some()).collect();
        let mut attempt = 0;
        self.wait_for("a definite response", |cluster| {
            attempt += 1;
            let mut response = operation.send(cluster.control_address(running[attempt % running.len()]))?;
            for _ in 0..MAX_REDIRECTS {
                let Some(location) = response.location else { break };
                response = operation.send_to(&location)?;
            }
            (response.status < 500 && response.status != 307).then_some(response)
        })
    }

    /// Waits until there is a primary, and returns the index of its machine.
    pub fn primary(&mut self) -> usize {
        self.wait_for("a primary", |cluster| {
            let is_primary = |index: &usize| {
                let response = cluster.machines[*index]
                    .process
                    .as_ref()
                    .and_then(|_| cluster.call(*index, &Operation::get()));
                response.is_some_and(|response| response.status == 200 || response.status == 404)
            };
            (0..cluster.machines.len()).find(is_primary)
        })
    }

    /// Asks the directory of a machine for proxies. Returns `None` if there is no response.
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

/// An operator request.
#[derive(Clone)]
pub struct Operation {
    method: &'static str,
    path: String,
    base: Option<u64>,
    body: Vec<u8>,
}

impl Operation {
    /// Reads the active configuration.
    pub fn get() -> Self {
        Operation { method: "GET", path: "/v1/Config.Get".to_string(), base: None, body: Vec::new() }
    }

    /// Reads what a process knows of the status of the control nodes.
    pub fn status() -> Self {
        Operation { method: "GET", path: "/v1/Control.Status".to_string(), base: None, body: Vec::new() }
    }

    /// Replaces the configuration of version `base`.
    pub fn replace(base: u64, body: Vec<u8>) -> Self {
        Operation { method: "POST", path: "/v1/Config.Replace".to_string(), base: Some(base), body }
    }

    /// Starts the evacuation of a zone.
    pub fn start_evacuation(zone: &str) -> Self {
        Operation { method: "POST", path: format!("/v1/Evacuate.Start/{zone}"), base: None, body: Vec::new() }
    }

    /// Ends the evacuation of a zone.
    pub fn end_evacuation(zone: &str) -> Self {
        Operation { method: "POST", path: format!("/v1/Evacuate.End/{zone}"), base: None, body: Vec::new() }
    }

    /// Sends the request to the process at `address`. Returns `None` if there is no response.
    pub fn send(&self, address: SocketAddr) -> Option<HttpResponse> {
        self.send_to(&format!("http://{address}{}", self.path))
    }

    /// Sends the request to `url`. Returns `None` if there is no response.
    fn send_to(&self, url: &str) -> Option<HttpResponse> {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .timeout_global(Some(REQUEST_TIMEOUT))
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
