//! Simulated agents: nodes of the relay tree, each with its own link to a control node.

use crate::cluster::TIMEOUT;
use quillpulley::peer::{LinkId, PeerEvent, Peers};
use quillpulley_protocol::{EndpointState, Hello, NodeId, PeerKind, ProxyEndpoint};
use quillpulley_state_sync::{Action, Event, LocalReport, Options, SyncNode};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Maximum time that a step waits for an event of the first agent, during which the other agents do not run.
const MAX_STEP_TIME: Duration = Duration::from_millis(10);

/// Agents that run only while [`Agents::wait_for`] waits for a condition.
pub struct Agents {
    agents: Vec<Agent>,
    started: Instant,
    tasks: LocalSet,
    runtime: Runtime,
}

struct Agent {
    peers: Rc<Peers>,
    events: UnboundedReceiver<PeerEvent>,
    address: SocketAddr,
    parent: LinkId,
    sync_node: SyncNode<()>,
}

impl Agents {
    /// Connects one agent to each of these control nodes. Agent and proxy number `n` are named `front-n`.
    pub fn connect(zone: &str, parents: impl Iterator<Item = SocketAddr>) -> Self {
        let runtime = Builder::new_current_thread().enable_all().build().expect("cannot start the runtime");
        let tasks = LocalSet::new();
        let connect = |(index, parent)| Agent::connect(&format!("front-{index}"), zone, parent);
        let agents = tasks.block_on(&runtime, async { parents.enumerate().map(connect).collect() });
        Agents { agents, started: Instant::now(), tasks, runtime }
    }

    /// Runs the agents until `is_reached` holds for the state of each of them.
    pub fn wait_for(&mut self, what: &str, is_reached: impl Fn(&SyncNode<()>) -> bool) {
        let wait_started = Instant::now();
        while !self.agents.iter().all(|agent| is_reached(&agent.sync_node)) {
            assert!(wait_started.elapsed() < TIMEOUT, "timed out waiting for {what}");
            self.step();
        }
    }

    /// Ends one agent, whose link closes without a message.
    pub fn end_agent(&mut self, index: usize) {
        let ended = self.agents.remove(index);
        self.tasks.block_on(&self.runtime, async { drop(ended) });
    }

    /// Ends all agents except one.
    pub fn keep_only(&mut self, index: usize) {
        let kept = self.agents.swap_remove(index);
        let ended = std::mem::replace(&mut self.agents, vec![kept]);
        self.tasks.block_on(&self.runtime, async { drop(ended) });
    }

    /// Returns the epoch of the first agent's state.
    pub fn epoch(&self) -> u64 {
        self.agents[0].sync_node.revision().epoch
    }

    fn step(&mut self) {
        let now = self.started.elapsed();
        for agent in &mut self.agents {
            while let Ok(event) = agent.events.try_recv() {
                self.tasks.block_on(&self.runtime, async { agent.handle_peer_event(now, event) });
            }
            agent.handle(now, Event::Tick);
        }
        let first = &mut self.agents[0];
        let next = async { timeout(MAX_STEP_TIME, first.events.recv()).await };
        if let Ok(event) = self.tasks.block_on(&self.runtime, next) {
            self.tasks.block_on(&self.runtime, async {
                first.handle_peer_event(now, event.expect("there are no more link events"))
            });
        }
    }
}

impl Agent {
    fn connect(name: &str, zone: &str, parent: SocketAddr) -> Self {
        let (peers, events) = Peers::new(Hello {
            kind: PeerKind::Agent,
            node: NodeId::new(Ipv4Addr::LOCALHOST, 0),
            name: name.to_string(),
            zone: zone.to_string(),
            region: "none".to_string(),
            control_address: String::new(),
        });
        let endpoint = ProxyEndpoint {
            name: name.to_string(),
            ip: 0,
            zone: zone.to_string(),
            region: "none".to_string(),
            address: format!("{name}:80"),
            state: EndpointState::Ready,
            incarnation: 1,
            preferred_regions: Vec::new(),
        };
        let (address, parent) = (parent, peers.connect(parent));
        let sync_node = SyncNode::new(Options::new(name));
        let mut agent = Agent { peers, events, address, parent, sync_node };
        let report = LocalReport { endpoint: Some(endpoint), ..LocalReport::default() };
        agent.handle(Duration::ZERO, Event::LocalReport(report));
        agent
    }

    fn handle_peer_event(&mut self, now: Duration, event: PeerEvent) {
        match event {
            PeerEvent::Opened { .. } => self.handle(now, Event::ParentUp),
            PeerEvent::Frame { body, .. } => self.handle(now, Event::ParentFrame(body)),
            PeerEvent::Closed { .. } | PeerEvent::ConnectFailed { .. } => {
                self.handle(now, Event::ParentDown);
                self.parent = self.peers.connect(self.address);
            }
        }
    }

    fn handle(&mut self, now: Duration, event: Event<()>) {
        let mut actions = Vec::new();
        self.sync_node.handle(now, event, &mut actions);
        for action in actions {
            if let Action::SendParent(body) = action {
                self.peers.send(self.parent, &body);
            }
        }
    }
}
