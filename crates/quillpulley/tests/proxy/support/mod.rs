//! Helpers of the proxy's tests.

pub mod agent;
pub mod client;
pub mod message;
pub mod script;
pub mod server;

use agent::FakeAgent;
pub use client::Client;
pub use message::Message;
use quillpulley::proxy::{serve, Faults, Listeners};
use quillpulley::signals::ProcessSignal;
use quillpulley::Settings;
use quillpulley_protocol::Server;
pub use server::{Call, FakeServer};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::timeout;

/// Maximum duration of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings of the retry budget that no test exhausts.
const UNLIMITED_RETRIES: &str = "RetrySlack = 1000000\nRetryBudgetRatio = 1000000";

/// Runs a test on its own single-threaded runtime.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    let test = async { timeout(TEST_TIMEOUT, test).await.expect("the test timed out") };
    LocalSet::new().block_on(&runtime, test);
}

/// A running proxy, with its agent.
pub struct Proxy {
    /// The address that clients connect to.
    pub client_address: SocketAddr,
    /// The address of the readiness checks.
    pub readiness_address: SocketAddr,
    pub agent: FakeAgent,
    /// Sends process signals to the proxy.
    pub signals: UnboundedSender<ProcessSignal>,
    /// The task of the proxy, which ends when the process would exit.
    pub process: JoinHandle<()>,
    /// What the proxy reads from its settings file.
    pub settings_file: Rc<RefCell<Settings>>,
}

impl Proxy {
    /// Starts a proxy with a configuration and servers, and waits until it is ready.
    pub async fn start(configuration: &str, servers: &[&FakeServer]) -> Proxy {
        Proxy::start_with_bounds("", configuration, servers).await
    }

    /// Starts a proxy with additional lines of the section `Bounds` of its settings.
    pub async fn start_with_bounds(bounds: &str, configuration: &str, servers: &[&FakeServer]) -> Proxy {
        let servers: Vec<Server> = servers.iter().map(|server| server.entry()).collect();
        Proxy::start_with_faults(bounds, configuration, &servers, Faults::default()).await
    }

    /// Starts a proxy with injected faults. `servers` are the published entries of the servers.
    pub async fn start_with_faults(
        bounds: &str,
        configuration: &str,
        servers: &[Server],
        faults: Faults,
    ) -> Proxy {
        let proxy = Proxy::start_process(&format!("{UNLIMITED_RETRIES}\n{bounds}"), faults).await;
        // The link preserves the order of messages, so a proxy that has the configuration also has the totals
        // that its retry budgets need.
        proxy.agent.wait_for_totals().await;
        proxy.agent.publish_configuration(configuration);
        servers.iter().for_each(|server| proxy.agent.publish_server(server));
        proxy.agent.wait_for_ready().await;
        proxy
    }

    /// Starts a proxy that has no configuration and no servers.
    pub async fn start_unready(bounds: &str) -> Proxy {
        Proxy::start_process(bounds, Faults::default()).await
    }

    async fn start_process(bounds: &str, faults: Faults) -> Proxy {
        let agent = FakeAgent::listen().await;
        let settings = settings(agent.port(), bounds);
        let bind = || TcpListener::bind("127.0.0.1:0");
        let listeners =
            Listeners { clients: bind().await.expect("front"), readiness: bind().await.expect("ready") };
        let client_address = listeners.clients.local_addr().expect("front");
        let readiness_address = listeners.readiness.local_addr().expect("ready");
        let (signals, receiver) = unbounded_channel();
        let file = Rc::new(RefCell::new(settings.clone()));
        let read = file.clone();
        let load = Box::new(move || Ok(read.borrow().clone()));
        let process = spawn_local(serve(settings, listeners, receiver, load, faults.into()));
        Proxy { client_address, readiness_address, agent, signals, process, settings_file: file }
    }

    pub async fn client(&self) -> Client {
        Client::connect(self.client_address).await
    }

    /// Returns the status of `GET /v1/ready`.
    pub async fn ready_status(&self) -> u16 {
        let mut client = Client::connect(self.readiness_address).await;
        client.send("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n").await;
        client.read_response().await.status()
    }
}

fn settings(proxy_port: u16, bounds: &str) -> Settings {
    let (first, last) = (proxy_port - 2, proxy_port);
    let text = format!(
        "NodeName = \"front-1\"\nIp = \"127.0.0.1\"\nZone = \"a\"\nRegion = \"r\"\nPortRange = [{first},{last}]\n\
         [Zones]\na = \"r\"\n[Listen]\nFront = \"127.0.0.1:1\"\nReady = \"127.0.0.1:1\"\n\
         [Bounds]\n{bounds}\n"
    );
    Settings::parse(&text).expect("settings")
}

/// Returns a configuration with these routes and the services `one`, `two` and `none`.
pub fn configuration(version: u64, routes: &[&str]) -> String {
    let routes = routes.join(",");
    format!(
        "{{\"Version\":{version},\"Routes\":[{routes}],\"Services\":[\
         {{\"Name\":\"one\",\"MaxConnections\":100}},{{\"Name\":\"two\",\"MaxConnections\":100}},{{\"Name\":\"none\"}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":100000,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    )
}

/// Returns a route with the path prefix `/{name}/`. Unless `fields` sets them, its service is `one` and its
/// timeout is 5 s.
pub fn route(name: &str, kind: &str, fields: &str) -> String {
    let comma = if fields.is_empty() { "" } else { "," };
    let service = if fields.contains("Service") { "" } else { ",\"Service\":\"one\"" };
    let timeout = if fields.contains("TimeoutMs") { "" } else { ",\"TimeoutMs\":5000" };
    format!(
        "{{\"Name\":\"{name}\",\"Host\":\"h.example\",\"PathPrefix\":\"/{name}/\",\"Kind\":\"{kind}\"\
         {service}{timeout},\"TargetLatencyMs\":800{comma}{fields}}}"
    )
}
