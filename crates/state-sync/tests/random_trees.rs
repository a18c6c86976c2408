//! Tests of random trees with broken connections, lost updates, several roots and changes of parents.
//! Revisions never decrease, every store equals that of the root at the same revision, and all nodes agree
//! after a stable period.

mod network;

use network::Network;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use quillpulley_protocol::{EndpointState, ProxyEndpoint, ServerLoad, ServiceCounters};
use quillpulley_state_sync::{CounterTable, Event, LocalReport, Options, RetryCounters};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of nodes that may become the root. The other nodes are relays or leaves.
const CONTROL_NODES: usize = 3;
const NODES: usize = 9;
const KEYS: u8 = 12;

#[derive(Clone, Debug)]
enum Step {
    Publish { root: usize, changes: Vec<(u8, Option<u8>)> },
    Heartbeat { root: usize },
    BecomeRoot { node: usize },
    LeaveRoot { node: usize },
    Connect { child: usize, parent: usize },
    Disconnect { child: usize },
    BreakAtChild { child: usize },
    DropNextUpdate { child: usize },
    Deliver { child: usize, down: bool, frames: usize },
    DeliverAll,
    Report { node: usize, count: u32, suspect: bool },
    AdvanceTime { milliseconds: u64 },
}

impl Arbitrary for Step {
    fn arbitrary(gen: &mut Gen) -> Self {
        let mut below = |bound: usize| usize::arbitrary(gen) % bound;
        let (kind, control_node, node, other) = (below(24), below(CONTROL_NODES), below(NODES), below(NODES));
        let (frames, count, milliseconds) = (below(6), below(100) as u32, below(900) as u64);
        match kind {
            0..=3 => {
                let value = |v: u8| Some(v % 4).filter(|value| *value > 0);
                let pairs = Vec::<(u8, u8)>::arbitrary(gen);
                let changes = pairs.into_iter().take(3).map(|(key, v)| (key % KEYS, value(v))).collect();
                Step::Publish { root: control_node, changes }
            }
            4 => Step::Heartbeat { root: control_node },
            5 => Step::BecomeRoot { node: control_node },
            6 => Step::LeaveRoot { node: control_node },
            7..=9 => Step::Connect { child: node, parent: other },
            10 => Step::Disconnect { child: node },
            11 => Step::BreakAtChild { child: node },
            12 => Step::DropNextUpdate { child: node },
            13..=18 => Step::Deliver { child: node, down: kind < 17, frames },
            19 => Step::DeliverAll,
            20 => Step::Report { node, count, suspect: bool::arbitrary(gen) },
            _ => Step::AdvanceTime { milliseconds },
        }
    }
}

fn local_report(node: usize, count: u32, suspect: bool) -> LocalReport {
    let endpoint = ProxyEndpoint {
        name: format!("n{node}"),
        ip: node as u32,
        zone: "zone".to_string(),
        region: "region".to_string(),
        address: "address".to_string(),
        state: EndpointState::Ready,
        incarnation: 1,
        preferred_regions: Vec::new(),
    };
    LocalReport {
        endpoint: (node >= CONTROL_NODES).then_some(endpoint),
        suspects: suspect.then(|| "n8".to_string()).into_iter().collect(),
        proxies: u32::from(node >= CONTROL_NODES),
        services: vec![ServiceCounters {
            service: format!("s{}", count % 3),
            requests: count,
            retries: 1,
            rejected_retries: 0,
        }],
        servers: (0..count % 5)
            .map(|server| ServerLoad {
                server: u64::from(server),
                running: 1,
                waiting: count,
                prompt_tokens: 0,
                failures: 0,
            })
            .collect(),
    }
}

struct Simulation {
    network: Network,
    reports: BTreeMap<usize, LocalReport>,
    epoch: u64,
}

impl Simulation {
    fn new() -> Self {
        let options = (0..NODES).map(|node| Options::new(&format!("n{node}")));
        Simulation { network: Network::new(options), reports: BTreeMap::new(), epoch: 0 }
    }

    fn apply_step(&mut self, step: &Step) {
        let network = &mut self.network;
        match step.clone() {
            Step::Publish { root, changes } => {
                let changes =
                    changes.into_iter().map(|(key, value)| (format!("k{key}"), value.map(|v| vec![v])));
                network.publish(root, changes.collect());
            }
            Step::Heartbeat { root } => network.handle(root, Event::Heartbeat),
            Step::BecomeRoot { node } => self.become_root(node),
            Step::LeaveRoot { node } => network.handle(node, Event::LeaveRoot),
            Step::Connect { child, parent } if child != parent && !network.nodes[child].is_root() => {
                network.connect(child, parent);
            }
            Step::Connect { .. } => {}
            Step::Disconnect { child } => network.disconnect(child),
            Step::BreakAtChild { child } => network.break_at_child(child),
            Step::DropNextUpdate { child } => network.drop_next_update(child),
            Step::Deliver { child, down, frames } => {
                for _ in 0..frames {
                    let Some(link) = network.parent_links[child] else { return };
                    network.deliver(link, down);
                }
            }
            Step::DeliverAll => self.network.deliver_all(),
            Step::Report { node, count, suspect } => {
                let report = local_report(node, count, suspect);
                self.reports.insert(node, report.clone());
                network.report(node, report);
            }
            Step::AdvanceTime { milliseconds } => {
                let until = network.now + Duration::from_millis(milliseconds);
                network.advance_without_delivery(until);
            }
        }
    }

    fn become_root(&mut self, node: usize) {
        self.epoch += 1;
        self.network.disconnect(node);
        self.network.handle(node, Event::BecomeRoot { epoch: self.epoch });
    }

    /// Makes one node the root, connects the others to a tree below it, and lets time pass. Nodes that were
    /// disconnected connect again. Returns the root.
    fn stabilize(&mut self, parents: &[usize]) -> usize {
        let root = self.epoch as usize % CONTROL_NODES;
        (0..CONTROL_NODES).for_each(|control_node| self.network.handle(control_node, Event::LeaveRoot));
        self.become_root(root);
        self.network.handle(root, Event::Heartbeat);
        let others: Vec<usize> = (0..NODES).filter(|node| *node != root).collect();
        let parent_of = |position: usize| match parents.get(position).copied().unwrap_or(0) % (position + 1) {
            0 => root,
            choice => others[choice - 1],
        };
        others.iter().for_each(|node| self.network.disconnect(*node));
        for _ in 0..35 {
            for (position, node) in others.iter().enumerate() {
                if self.network.parent_links[*node].is_none() {
                    self.network.connect(*node, parent_of(position));
                }
            }
            let until = self.network.now + Duration::from_millis(200);
            self.network.run_until(until);
            self.network.handle(root, Event::Heartbeat);
        }
        self.network.deliver_all();
        root
    }

    fn expected_counters(&self) -> CounterTable {
        let mut counters = CounterTable::default();
        for report in self.reports.values() {
            counters.proxies += report.proxies;
            for count in &report.services {
                let sum: &mut RetryCounters = counters.services.entry(count.service.clone()).or_default();
                sum.requests += count.requests;
                sum.retries += count.retries;
                sum.rejected_retries += count.rejected_retries;
            }
            for load in &report.servers {
                let sum = counters.servers.entry(load.server).or_default();
                sum.running += load.running;
                sum.waiting += load.waiting;
            }
        }
        counters
    }

    fn check_agreement(&self, root: usize) {
        let network = &self.network;
        let counters = self.expected_counters();
        for (number, node) in network.nodes.iter().enumerate() {
            assert_eq!(node.revision(), network.nodes[root].revision(), "node {number}");
            assert_eq!(network.items(number), network.items(root), "node {number}");
            assert!(node.is_fresh(network.now), "node {number}");
            assert!(node.totals().complete, "node {number}");
            assert_eq!(node.totals().counters, counters, "totals at node {number}");
        }
        let subtree = network.nodes[root].subtree();
        assert_eq!(subtree.counters, counters);
        let endpoints: Vec<String> =
            self.reports.values().filter_map(|r| Some(r.endpoint.as_ref()?.name.clone())).collect();
        assert_eq!(subtree.endpoints.keys().cloned().collect::<Vec<_>>(), endpoints);
        let suspecting = self.reports.values().filter(|report| !report.suspects.is_empty()).count();
        assert_eq!(subtree.suspicions.get("n8").map_or(0, |monitors| monitors.len()), suspecting);
    }
}

#[test]
fn all_nodes_agree_after_a_stable_period() {
    fn holds(steps: Vec<Step>, parents: Vec<usize>) -> bool {
        let mut simulation = Simulation::new();
        steps.iter().for_each(|step| simulation.apply_step(step));
        let root = simulation.stabilize(&parents);
        simulation.check_agreement(root);
        true
    }
    QuickCheck::new().rng(Gen::new(300)).tests(300).quickcheck(holds as fn(Vec<Step>, Vec<usize>) -> bool);
}
