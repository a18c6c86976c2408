//! The processes, servers and clients of a day, and the operator who does the planned work.

use crate::answers::{Ended, Summary};
use crate::client::{Client, HOST};
use crate::http::Request;
use crate::machines::{Machines, CONTROL_NODES};
use crate::parameters::Parameters;
use crate::planned_work::{self, Work};
use crate::platform::Platform;
use crate::processes::Process;
use crate::server::{Executions, Server};
use fastrand::Rng;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The number of servers of each service: one in each zone.
const SERVERS: u8 = 3;
/// The number of the machine of the agent and the proxy.
const FRONT_MACHINE: u8 = 1;
/// Pause before a process that has ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(300);
/// Interval at which the operator looks for processes that have ended.
const STEP: Duration = Duration::from_millis(20);
/// Time after the last piece of work: processes that got SIGTERM end, and clients go on.
const END_TIME: Duration = Duration::from_secs(9);
const ATTEMPTS: usize = 60;

/// A process that is started again when it has ended.
struct Restarting {
    role: &'static str,
    settings: PathBuf,
    process: Option<Process>,
    restart_at: Option<Instant>,
}

impl Restarting {
    fn start(role: &'static str, settings: PathBuf) -> Restarting {
        let process = Some(Process::start(role, &settings));
        Restarting { role, settings, process, restart_at: None }
    }

    /// Sends a signal, unless the process has ended already.
    fn signal(&self, name: &str) {
        if let Some(process) = &self.process {
            process.signal(name);
        }
    }

    /// Starts the process again some time after it has ended. Returns a violation if it failed.
    fn step(&mut self) -> Option<String> {
        if let Some(code) = self.process.as_mut().and_then(Process::exit_code) {
            self.process = None;
            self.restart_at = Some(Instant::now() + RESTART_PAUSE);
            if code != Some(0) {
                return Some(format!("{} ended with {code:?}", self.role));
            }
        }
        if self.restart_at.is_some_and(|at| Instant::now() >= at) {
            self.restart_at = None;
            self.process = Some(Process::start(self.role, &self.settings));
        }
        None
    }
}

/// The running system.
struct World {
    machines: Machines,
    processes: BTreeMap<(&'static str, u8), Restarting>,
    version: u64,
    violations: Vec<String>,
}

/// Plays a day, and returns what it has shown.
pub fn run_seed(seed: u64, parameters: &Parameters) -> Summary {
    let mut random = Rng::with_seed(seed);
    let machines = Machines::new(&format!("soak-{seed}"));
    let executions = Executions::default();
    let servers = start_servers(&machines, &executions);
    let _platform = Platform::start(machines.platform(), &servers.iter().collect::<Vec<_>>());
    let mut world = World::start(machines);
    world.wait_until_ready();

    let started = Instant::now();
    let stop = AtomicBool::new(false);
    let ended = thread::scope(|scope| {
        let mut clients = Vec::new();
        for number in 0..parameters.clients {
            let name = format!("s{seed}c{number}");
            let client = Client::new(name, world.machines.proxy(), random.fork(), started);
            let stop = &stop;
            clients.push(scope.spawn(move || client.run(stop)));
        }
        world.work(&mut random, parameters, started);
        stop.store(true, Ordering::Relaxed);
        let ended = clients.into_iter().flat_map(|client| client.join().expect("a client"));
        ended.collect::<Vec<Ended>>()
    });
    let executions = executions.lock().expect("no thread panicked");
    let mut summary = Summary::judge(&ended, &executions);
    summary.violations.append(&mut world.violations);
    summary
}

fn start_servers(machines: &Machines, executions: &Executions) -> Vec<Server> {
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let zone = format!("zone-{number}");
        for (offset, service) in [(0, "cards"), (SERVERS, "writers")] {
            let address = machines.server(number + offset);
            servers.push(Server::start(
                address,
                &format!("i-{service}-{number}"),
                service,
                &zone,
                executions,
            ));
        }
    }
    servers
}

impl World {
    fn start(machines: Machines) -> World {
        let mut processes = BTreeMap::new();
        for number in CONTROL_NODES {
            let settings = machines.control_node_settings(number);
            processes.insert(("control", number), Restarting::start("control", settings));
        }
        for role in ["agent", "proxy"] {
            let settings = machines.proxy_settings();
            processes.insert((role, FRONT_MACHINE), Restarting::start(role, settings));
        }
        World { machines, processes, version: 0, violations: Vec::new() }
    }

    fn wait_until_ready(&mut self) {
        self.configure(15_000, 3_000, 50);
        assert_eq!(self.version, 1, "the first configuration is not taken");
        let proxy = self.processes.get_mut(&("proxy", FRONT_MACHINE)).and_then(|each| each.process.as_mut());
        let ready = self.machines.ready();
        proxy.expect("a proxy").until("readiness", || {
            Request::get("/v1/ready").send(ready).filter(|response| response.status == 200)
        });
    }

    /// Does the planned work of a day.
    fn work(&mut self, random: &mut Rng, parameters: &Parameters, started: Instant) {
        let control_nodes = *CONTROL_NODES.end();
        let mut work = planned_work::draw(random, control_nodes, parameters.time);
        work.reverse();
        while started.elapsed() < parameters.time + END_TIME {
            while work.last().is_some_and(|(at, _)| started.elapsed() >= *at) {
                let (_, next) = work.pop().expect("there is work");
                println!("{:.3} s: {next:?}", started.elapsed().as_secs_f64());
                self.begin(next);
            }
            let violations = self.processes.values_mut().filter_map(Restarting::step);
            self.violations.extend(violations);
            thread::sleep(STEP);
        }
    }

    fn begin(&mut self, work: Work) {
        match work {
            Work::RestartProxy => self.processes[&("proxy", FRONT_MACHINE)].signal("TERM"),
            Work::RestartAgent => self.processes[&("agent", FRONT_MACHINE)].signal("TERM"),
            Work::RestartControlNode { number } => self.processes[&("control", number)].signal("TERM"),
            Work::Reload => self.processes.values().for_each(|process| process.signal("HUP")),
            Work::Configure { idle_timeout_ms, header_timeout_ms, weight } => {
                self.configure(idle_timeout_ms, header_timeout_ms, weight);
            }
            Work::Evacuate { zone } => {
                for order in ["Start", "End"] {
                    let request = Request::post(&format!("/v1/Evacuate.{order}/zone-{zone}"), "");
                    self.order(&request);
                }
            }
        }
    }

    /// Sends a configuration on the newest version until it is acknowledged, for a limited number of attempts.
    fn configure(&mut self, idle_timeout_ms: u64, header_timeout_ms: u64, weight: u32) {
        let next = self.version + 1;
        let body = configuration(next, idle_timeout_ms, header_timeout_ms, weight);
        let mut request = Request::post("/v1/Config.Replace", &body);
        request.header("Quillpulley-If-Config-Version", &self.version.to_string());
        if self.order(&request) {
            self.version = next;
        }
    }

    /// Sends an order to the control nodes in turn. Returns whether it was acknowledged.
    fn order(&self, request: &Request) -> bool {
        let control_addresses = self.machines.control_addresses();
        (0..ATTEMPTS).any(|attempt| {
            let address = control_addresses[attempt % control_addresses.len()];
            let response = request.send_following(address);
            response.is_some_and(|response| response.status == 200) || {
                thread::sleep(STEP * 10);
                false
            }
        })
    }
}

fn configuration(version: u64, idle_timeout_ms: u64, header_timeout_ms: u64, weight: u32) -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            r#"{{"Name":"{name}","Host":"{HOST}","PathPrefix":"/{name}/","Kind":"{kind}","TimeoutMs":15000,
                "TargetLatencyMs":800,"Priority":0,"TrafficSplit":[{{"Service":"{service}","Weight":{weight}}}],
                "MaxAttempts":2}}"#
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"Name":"{name}","HealthPath":"/health","MaxConnections":300,"Protocol":"h1","Tls":false,
                "WarmupS":0.0,"WarmupPerS":0.0}}"#
        )
    };
    format!(
        r#"{{"Version":{version},"Routes":[{},{},{}],"Services":[{},{}],
            "Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":{header_timeout_ms},
            "IdleTimeoutMs":{idle_timeout_ms}}}}}"#,
        route("cards", "non_idempotent", "cards"),
        route("lists", "idempotent", "cards"),
        route("copy", "streaming", "writers"),
        service("cards"),
        service("writers")
    )
}
