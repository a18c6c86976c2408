//! Runs agents between simulated control nodes and proxies, on loopback. Each machine of a test has its own address.

mod common;

use common::tree::{endpoint, Node};
use common::{expect, hello, read_to_end, run};
use quillpulley::agent::{serve, AgentSockets};
use quillpulley::signals::ProcessSignal;
use quillpulley::Settings;
use quillpulley_protocol::{
    encode_frame, encode_value, Body, ControlNode, PeerKind, ProxyEndpoint, Revision, Subscribe,
};
use quillpulley_serving_config::published::{control_node_key, endpoint_key};
use quillpulley_state_sync::RANGE_COUNT;
use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::timeout;

/// The machines of one test. Their addresses are not used by any other test.
struct Machines {
    /// The second byte of the addresses.
    network: u8,
}

impl Machines {
    fn new() -> Machines {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        Machines { network: NEXT.fetch_add(1, Ordering::Relaxed) }
    }

    fn control_node(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 0, number)
    }

    fn endpoint(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 1, number)
    }

    /// Returns the endpoint that the proxy of a machine reports.
    fn report(&self, number: u8) -> ProxyEndpoint {
        endpoint(&format!("front-{number}"), self.endpoint(number), "zone-a")
    }

    /// Returns the published item of a proxy.
    fn published(&self, number: u8) -> Vec<u8> {
        encode_value::<ProxyEndpoint>(&self.report(number))
    }

    fn settings(&self, number: u8, first_port: u16, seeds: &[Ipv4Addr]) -> Settings {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}:8166\"")).collect();
        let text = format!(
            "NodeName = \"front-{number}\"\nIp = \"{}\"\nZone = \"zone-a\"\nRegion = \"region-a\"\n\
             PortRange = [{first_port}, {}]\nSeeds = [{}]\n[Bounds]\nGraceS = 8\n",
            self.endpoint(number),
            first_port + 15,
            seeds.join(", ")
        );
        Settings::parse(&text).expect("settings")
    }
}

/// Finds a port that is free on all addresses. Returns the port and a listener for each address.
async fn bind_same_port<const N: usize>(addresses: [Ipv4Addr; N]) -> (u16, [TcpListener; N]) {
    loop {
        let probe = TcpListener::bind((addresses[0], 0)).await.expect("a free port");
        let port = probe.local_addr().expect("an address").port();
        drop(probe);
        let mut listeners = Vec::new();
        for address in addresses {
            listeners.extend(TcpListener::bind((address, port)).await);
        }
        if let Ok(listeners) = listeners.try_into() {
            return (port, listeners);
        }
    }
}

/// An agent that runs in a task of its own.
struct Agent {
    signals: UnboundedSender<ProcessSignal>,
    task: JoinHandle<()>,
    /// The address on which the agent accepts its proxy.
    proxy: SocketAddr,
    /// The settings that the agent gets when it reloads its settings.
    settings: Rc<RefCell<Settings>>,
}

impl Agent {
    async fn start(settings: Settings) -> Agent {
        let proxy = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let agents = (settings.ip, settings.agent_port());
        let proxy_address = proxy.local_addr().expect("an address");
        let sockets = AgentSockets {
            agents: TcpListener::bind(agents).await.expect("a free port"),
            proxy,
            datagrams: UdpSocket::bind(agents).await.expect("a free port"),
        };
        let (signals, receiver) = unbounded_channel();
        let shared = Rc::new(RefCell::new(settings.clone()));
        let current_settings = shared.clone();
        let load = Box::new(move || Ok(current_settings.borrow().clone()));
        let task = spawn_local(serve(settings, sockets, receiver, load));
        Agent { signals, task, proxy: proxy_address, settings: shared }
    }

    fn send_signal(&self, signal: ProcessSignal) {
        self.signals.send(signal).expect("the agent runs");
    }
}

#[test]
fn state_is_relayed_to_the_proxy_and_its_endpoint_is_reported_to_the_control_node() {
    run(async {
        let machines = Machines::new();
        let (port, [listener]) = bind_same_port([machines.control_node(1)]).await;
        let mut control_node = Node::control_node(listener, 1);
        control_node.publish("route/x", b"first".to_vec());
        let agent = Agent::start(machines.settings(1, port, &[machines.control_node(1)])).await;
        let mut proxy = Node::proxy(agent.proxy, machines.report(1));
        proxy.until("the first state", |state| state.holds("route/x", b"first")).await;
        control_node.publish("route/x", b"second".to_vec());
        proxy.until("the second state", |state| state.holds("route/x", b"second")).await;
        control_node
            .until("the proxy", |state| state.endpoints.contains_key("front-1") && state.proxies == 1)
            .await;
        drop(proxy);
        control_node.until("no proxy", |state| state.endpoints.is_empty() && state.proxies == 0).await;
        assert!(control_node.state().children.contains("front-1"), "the agent stays connected");
    });
}

#[test]
fn a_late_hello_on_an_older_connection_does_not_replace_the_newer_link() {
    run(async {
        let machines = Machines::new();
        let (port, [listener]) = bind_same_port([machines.control_node(1)]).await;
        let control_node = Node::control_node(listener, 1);
        control_node.publish("route/x", b"first".to_vec());
        let agent = Agent::start(machines.settings(1, port, &[machines.control_node(1)])).await;
        // This connection is accepted first, but its `Hello` arrives last.
        let mut older = TcpStream::connect(agent.proxy).await.expect("a connection");
        let mut proxy = Node::proxy(agent.proxy, machines.report(1));
        proxy.until("the first state", |state| state.holds("route/x", b"first")).await;
        let late_hello = Body::Hello(Box::new(hello(PeerKind::Proxy, "front-1")));
        older.write_all(&encode_frame(late_hello)).await.expect("the hello is sent");
        expect("the older connection to close", read_to_end(&mut older)).await;
        control_node.publish("route/x", b"second".to_vec());
        proxy.until("the second state", |state| state.holds("route/x", b"second")).await;
        assert_eq!(proxy.state().parents_lost, 0);
    });
}

#[test]
fn when_the_parent_dies_the_next_seed_becomes_the_parent() {
    run(async {
        let machines = Machines::new();
        let seeds = [machines.control_node(1), machines.control_node(2)];
        let (port, [listener_a, listener_b]) = bind_same_port(seeds).await;
        let (control_a, control_b) = (Node::control_node(listener_a, 1), Node::control_node(listener_b, 2));
        let agent = Agent::start(machines.settings(1, port, &seeds)).await;
        let mut proxy = Node::proxy(agent.proxy, machines.report(1));
        proxy.until("fresh state", |state| state.fresh).await;
        let is_below_a = control_a.state().children.contains("front-1");
        let (failed_node, mut remaining_node) =
            if is_below_a { (control_a, control_b) } else { (control_b, control_a) };
        drop(failed_node);
        remaining_node.until("the agent", |state| state.children.contains("front-1")).await;
        remaining_node.until("the proxy", |state| state.endpoints.contains_key("front-1")).await;
        assert_eq!(proxy.state().parents_lost, 0);
    });
}

#[test]
fn a_parent_with_a_stalled_revision_is_replaced_by_one_whose_revision_advances() {
    run(async {
        let machines = Machines::new();
        let seeds = [machines.control_node(1), machines.control_node(2)];
        let (port, [listener_a, listener_b]) = bind_same_port(seeds).await;
        let mut control_a = Node::control_node(listener_a, 1);
        let agent = Agent::start(machines.settings(1, port, &seeds)).await;
        let mut proxy = Node::proxy(agent.proxy, machines.report(1));
        control_a.until("the agent", |state| state.children.contains("front-1")).await;
        proxy.until("fresh state", |state| state.fresh).await;
        control_a.stop_heartbeats();
        let mut control_b = Node::control_node(listener_b, 2);
        control_b.publish("route/x", b"newer".to_vec());
        proxy.until("newer state", |state| state.holds("route/x", b"newer")).await;
        control_b.until("the proxy", |state| state.endpoints.contains_key("front-1")).await;
        control_a.until("no agent", |state| state.children.is_empty()).await;
        assert_eq!(proxy.state().parents_lost, 0);
    });
}

#[test]
fn an_agent_receives_state_from_its_parent_agent() {
    run(async {
        let machines = Machines::new();
        let (port, [listener]) = bind_same_port([machines.control_node(1)]).await;
        let mut control_node = Node::control_node(listener, 1);
        let control_node_item = ControlNode {
            ip: machines.control_node(1).to_bits(),
            zone: "zone-b".into(),
            region: "region-a".into(),
        };
        control_node.publish(
            &control_node_key(machines.control_node(1)),
            encode_value::<ControlNode>(&control_node_item),
        );
        let (mut agents, mut proxies) = (Vec::new(), Vec::new());
        for number in [1, 2] {
            control_node.publish(&endpoint_key(&format!("front-{number}")), machines.published(number));
            agents.push(Agent::start(machines.settings(number, port, &[machines.control_node(1)])).await);
            proxies.push(Node::proxy(agents[agents.len() - 1].proxy, machines.report(number)));
        }
        control_node.until("both agents", |state| state.children.len() == 2).await;
        let state = control_node.until("one agent below the other", |state| state.children.len() == 1).await;
        control_node.until("both proxies", |state| state.endpoints.len() == 2 && state.proxies == 2).await;
        control_node.publish("route/x", b"down the tree".to_vec());
        for proxy in &mut proxies {
            proxy.until("the state", |state| state.holds("route/x", b"down the tree")).await;
        }
        let (top, other) = if state.children.contains("front-1") { (0, "front-2") } else { (1, "front-1") };
        agents[top].send_signal(ProcessSignal::Shutdown);
        control_node.until("the other agent", |state| state.children.contains(other)).await;
    });
}

/// Guards against configurations that are late because agents wait below one that has just started.
#[test]
fn an_agent_without_state_rejects_a_child_agent_that_has_state() {
    run(async {
        let machines = Machines::new();
        let (port, [_silent]) = bind_same_port([machines.control_node(1)]).await;
        let settings = machines.settings(1, port, &[machines.control_node(1)]);
        let address = (settings.ip, settings.agent_port());
        let _agent = Agent::start(settings).await;
        let mut child = TcpStream::connect(address).await.expect("a connection");
        let hello = Body::Hello(Box::new(hello(PeerKind::Agent, "front-2")));
        let revision = Revision { epoch: 1, tick: 7 };
        let subscribe = Body::Subscribe(Box::new(Subscribe { revision, digests: vec![0; RANGE_COUNT] }));
        for message in [hello, subscribe] {
            child.write_all(&encode_frame(message)).await.expect("the message is sent");
        }
        // A child that sends nothing is disconnected after 5 s.
        let closed = timeout(Duration::from_secs(2), read_to_end(&mut child)).await;
        assert!(closed.is_ok(), "the connection is still open");
    });
}

#[test]
fn a_draining_agent_serves_its_proxy_until_the_proxy_has_exited() {
    run(async {
        let machines = Machines::new();
        let (port, [listener]) = bind_same_port([machines.control_node(1)]).await;
        let control_node = Node::control_node(listener, 1);
        let mut agent = Agent::start(machines.settings(1, port, &[machines.control_node(1)])).await;
        let mut proxy = Node::proxy(agent.proxy, machines.report(1));
        proxy.until("fresh state", |state| state.fresh).await;
        agent.send_signal(ProcessSignal::Shutdown);
        control_node.publish("route/x", b"late".to_vec());
        proxy.until("the state that was published late", |state| state.holds("route/x", b"late")).await;
        assert!(!agent.task.is_finished());
        drop(proxy);
        expect("the agent to exit", &mut agent.task).await.expect("the agent does not panic");
    });
}

#[test]
fn an_agent_without_a_proxy_exits_when_it_is_signalled() {
    run(async {
        let machines = Machines::new();
        let (port, _) = bind_same_port([machines.control_node(1)]).await;
        let agent = Agent::start(machines.settings(1, port, &[])).await;
        agent.send_signal(ProcessSignal::Shutdown);
        expect("the agent to exit", agent.task).await.expect("the agent does not panic");
    });
}

#[test]
fn new_seeds_apply_when_settings_are_reloaded() {
    run(async {
        let machines = Machines::new();
        let (port, [listener]) = bind_same_port([machines.control_node(1)]).await;
        let mut control_node = Node::control_node(listener, 1);
        let agent = Agent::start(machines.settings(1, port, &[machines.control_node(2)])).await;
        *agent.settings.borrow_mut() = machines.settings(1, port, &[machines.control_node(1)]);
        agent.send_signal(ProcessSignal::Reload);
        control_node.until("the agent", |state| state.children.contains("front-1")).await;
    });
}

#[test]
fn new_seeds_are_loaded_without_a_signal_while_there_is_no_parent() {
    run(async {
        let machines = Machines::new();
        let (port, [listener]) = bind_same_port([machines.control_node(1)]).await;
        let mut control_node = Node::control_node(listener, 1);
        let agent = Agent::start(machines.settings(1, port, &[machines.control_node(2)])).await;
        *agent.settings.borrow_mut() = machines.settings(1, port, &[machines.control_node(1)]);
        control_node.until("the agent", |state| state.children.contains("front-1")).await;
    });
}

#[test]
fn a_machine_that_does_not_respond_to_pings_is_suspected() {
    run(async {
        let machines = Machines::new();
        let (port, [listener]) = bind_same_port([machines.control_node(1)]).await;
        let mut control_node = Node::control_node(listener, 1);
        for number in [1, 2, 3] {
            control_node.publish(&endpoint_key(&format!("front-{number}")), machines.published(number));
        }
        let _first = Agent::start(machines.settings(1, port, &[machines.control_node(1)])).await;
        let _third = Agent::start(machines.settings(3, port, &[machines.control_node(1)])).await;
        control_node.until("the suspicion", |state| state.suspects.contains("front-2")).await;
        assert!(!control_node.state().suspects.contains("front-3"));
    });
}
