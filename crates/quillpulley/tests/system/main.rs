//! Runs the whole system as real processes on loopback: three control nodes, an agent and a proxy. The platform and the
//! servers are simulated, and the test acts as the operator and the client. Each machine has its own address.

mod http;
#[allow(dead_code)] // `tests/stalled_callers` uses the rest.
mod machines;
mod platform;
#[allow(dead_code)] // `tests/stalled_callers` uses the rest.
mod processes;
mod server;

use http::{Request, Response};
use machines::Machines;
use platform::Platform;
use processes::Process;
use server::{Server, EVENTS};
use std::net::SocketAddr;

const HOST: &str = "cards.example";

/// Returns a configuration with a route for non-idempotent requests, one for streams, and `more_routes`.
fn configuration(version: u64, more_routes: &[&str]) -> String {
    let mut routes = vec![
        r#"{"Name":"cards","Host":"cards.example","PathPrefix":"/cards/","Kind":"non_idempotent",
            "TimeoutMs":3000,"TargetLatencyMs":300,"Priority":0,"Service":"cards","MaxAttempts":2}"#
            .to_string(),
        r#"{"Name":"copy","Host":"cards.example","PathPrefix":"/copy/","Kind":"streaming",
            "TimeoutMs":5000,"TargetLatencyMs":800,"Priority":0,
            "TrafficSplit":[{"Service":"writers","Weight":1}],"MaxAttempts":2,"Sticky":true,
            "Resumable":false,"gap_aim_ms":400,"HomeRegions":[]}"#
            .to_string(),
    ];
    routes.extend(more_routes.iter().map(|prefix| {
        format!(
            r#"{{"Name":"more-{prefix}","Host":"cards.example","PathPrefix":"/{prefix}/","Kind":"idempotent",
                "TimeoutMs":3000,"TargetLatencyMs":300,"Priority":0,"Service":"cards","MaxAttempts":2}}"#
        )
    }));
    format!(
        r#"{{"Version":{version},"Routes":[{}],"Services":[
            {{"Name":"cards","HealthPath":"/health","MaxConnections":50,"Protocol":"h1","Tls":false,
              "WarmupS":0.0,"WarmupPerS":0.0}},
            {{"Name":"writers","HealthPath":"/health","MaxConnections":50,"Protocol":"h1","Tls":false,
              "WarmupS":0.0,"WarmupPerS":0.0,"Engine":{{"Slots":64,"KvCapacityTokens":200000,
              "KvTokenBytes":163840,"LinkMbps":260000.0,"stride":5,"Models":[{{"Name":"m"}}]}}}}],
            "Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
              "IdleTimeoutMs":15000}}}}"#,
        routes.join(",")
    )
}

/// The running system.
struct System {
    machines: Machines,
    control_nodes: Vec<Process>,
    agent: Process,
    proxy: Process,
    cards: Server,
    writers: Server,
    platform: Platform,
}

impl System {
    fn start(name: &str) -> System {
        let machines = Machines::new(name);
        let cards = Server::start(machines.server(1), "i-cards", "cards");
        let writers = Server::start(machines.server(2), "i-writers", "writers");
        let platform = Platform::start(machines.platform(), &[&cards, &writers]);
        let control_node = |number| Process::start("control", &machines.control_node_settings(number));
        let control_nodes = machines::CONTROL_NODES.map(control_node).collect();
        let settings = machines.proxy_settings();
        let agent = Process::start("agent", &settings);
        let proxy = Process::start("proxy", &settings);
        System { machines, control_nodes, agent, proxy, cards, writers, platform }
    }

    /// Sends a configuration to the control nodes in turn until one acknowledges it.
    fn configure(&mut self, base: u64, body: &str) {
        let control_addresses = self.machines.control_addresses();
        let mut request = Request::post("/v1/Config.Replace", body);
        request.header("Quillpulley-If-Config-Version", &base.to_string());
        let mut attempts = control_addresses.iter().cycle();
        self.proxy.until("an acknowledgement", || {
            let response = attempts.next().and_then(|control| request.send_following(*control));
            response.filter(|response| response.status == 200).map(|_| ())
        });
    }

    /// Waits until the proxy reports that it is ready.
    fn until_ready(&mut self) {
        let ready = self.machines.ready();
        self.proxy.until("readiness", || {
            Request::get("/v1/ready").send(ready).filter(|response| response.status == 200)
        });
    }

    /// Sends a client request to the proxy.
    fn send_request(&self, id: &str, path: &str) -> Option<Response> {
        let mut request = Request::post(path, "{\"text\":\"hello\"}");
        request.host(HOST);
        request.header("Quillpulley-Request-Id", id);
        request.header("Quillpulley-Deadline-Ms", "3000");
        request.header("Quillpulley-Model-Name", "m");
        request.header("Quillpulley-Token-Count", "100,20");
        request.header("Quillpulley-Prompt-Prefix", "5c1e07a2:60,91bd3f06:40");
        request.send(self.machines.proxy())
    }

    /// Waits until a request to this path is served successfully.
    fn until_served(&mut self, path: &str) -> Response {
        let mut attempts = 0;
        let proxy_address = self.machines.proxy();
        let mut request = Request::post(path, "");
        request.host(HOST);
        self.proxy.until("a served request", || {
            attempts += 1;
            let mut request = request.clone();
            request.header("Quillpulley-Request-Id", &format!("try-{path}-{attempts}"));
            request.header("Quillpulley-Deadline-Ms", "3000");
            request.send(proxy_address).filter(|response| response.status == 200)
        })
    }
}

fn resolve(directory: SocketAddr) -> Option<String> {
    let response =
        Request::get("/v1/resolve?Name=cards.example&Region=region-a&Zone=zone-a").send(directory)?;
    (response.status == 200).then_some(response.body)
}

#[test]
fn a_request_is_served_end_to_end() {
    let mut system = System::start("served");
    system.configure(0, &configuration(1, &[]));
    system.until_ready();
    let (directory, proxy_address) =
        (system.machines.directory_addresses()[0], system.machines.proxy().to_string());
    system.proxy.until("the proxy in the directory", || {
        resolve(directory).filter(|body| body.contains(&proxy_address))
    });

    let served = system.until_served("/cards/1");
    assert_eq!(served.header("Quillpulley-Response-Seal"), Some("seal-i-cards"));
    assert_eq!(served.body, "a card");

    let stream = system.send_request("stream-1", "/copy/1").expect("a response");
    assert_eq!((stream.status, stream.header("Quillpulley-Response-Seal")), (200, Some("seal-i-writers")));
    assert_eq!(stream.body, EVENTS.concat());
    assert_eq!(system.writers.executions("stream-1"), 1);

    let unknown = system.send_request("unknown-1", "/nowhere/1").expect("a response");
    assert_eq!(unknown.status, 404);
    assert_eq!(system.cards.executions("unknown-1"), 0);
    assert!(system.platform.calls() > 0);
}

#[test]
fn a_new_configuration_reaches_the_proxy_after_the_loss_of_a_control_node() {
    let mut system = System::start("failover");
    system.configure(0, &configuration(1, &[]));
    system.until_served("/cards/1");
    for (index, version) in [(0, 2), (1, 4)] {
        system.control_nodes[index].kill();
        let route = format!("more{version}");
        system.configure(version - 1, &configuration(version, &[&route]));
        system.until_served(&format!("/{route}/1"));
        let settings = system.machines.control_node_settings(index as u8 + 1);
        system.control_nodes[index] = Process::start("control", &settings);
        system.configure(version, &configuration(version + 1, &[&route]));
    }
    let control_addresses = system.machines.control_addresses();
    for control in control_addresses {
        system.proxy.until("the newest configuration", || {
            Request::get("/v1/Config.Get")
                .send_following(control)
                .filter(|response| response.body.contains("\"Version\":5"))
        });
    }
}

#[test]
fn the_proxy_keeps_serving_without_control_nodes_and_agent() {
    let mut system = System::start("alone");
    system.configure(0, &configuration(1, &[]));
    system.until_served("/cards/1");
    system.control_nodes.iter_mut().for_each(Process::kill);
    system.agent.kill();
    assert_eq!(system.send_request("alone-1", "/cards/2").map(|response| response.status), Some(200));
    assert_eq!(system.cards.executions("alone-1"), 1);
}

#[test]
fn all_processes_exit_on_sigterm() {
    let mut system = System::start("ends");
    system.configure(0, &configuration(1, &[]));
    system.until_served("/cards/1");
    system.proxy.terminate();
    system.agent.terminate();
    assert_eq!(system.proxy.wait_for_exit(), Some(0));
    assert_eq!(system.agent.wait_for_exit(), Some(0));
    for control_node in &mut system.control_nodes {
        control_node.terminate();
        assert_eq!(control_node.wait_for_exit(), Some(0));
    }
}
