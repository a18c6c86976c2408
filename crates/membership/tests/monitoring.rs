//! Tests of monitors on a simulated network, which delays and loses datagrams, in virtual time.

use quillpulley_membership::{Action, Event, Monitor, MonitorOptions, Peer};
use quillpulley_protocol::Body;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

const QUOTA_PERIOD_MS: u64 = 100;
const NETWORK_DELAY: Duration = Duration::from_millis(20);

fn milliseconds(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn name(node: usize) -> String {
    format!("front-{node}")
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, node as u8], 7720))
}

fn peers(nodes: impl IntoIterator<Item = usize>) -> Vec<Peer> {
    nodes.into_iter().map(|node| Peer { name: name(node), address: address(node) }).collect()
}

/// A datagram in transit: the time of its arrival, its number, the receiver and the sender.
type InTransit = (Duration, u64, usize, usize);

struct Network {
    now: Duration,
    nodes: Vec<Monitor>,
    /// Whether a node neither sends nor receives datagrams nor handles ticks.
    frozen: Vec<bool>,
    /// Whether the datagrams that a node sends are lost.
    outgoing_lost: Vec<bool>,
    /// Whether a node is on the far side of a network partition.
    partitioned: Vec<bool>,
    /// The offset at which the periods of a node's CPU quota begin, in milliseconds; `None` without a quota.
    quota_offsets_ms: Vec<Option<u64>>,
    /// The fraction of the datagrams that are lost.
    loss: f64,
    random: fastrand::Rng,
    in_transit: BinaryHeap<Reverse<InTransit>>,
    /// The bodies of the datagrams in transit, by the number of the datagram.
    bodies: BTreeMap<u64, Body>,
    /// The number of datagrams sent so far, including lost ones. It is also the number of the latest datagram.
    sent: u64,
    /// All suspicions: the time at which each began, the monitor, and the name of the suspected node.
    suspicions: Vec<(Duration, usize, String)>,
    /// The maximum number of monitors that suspected the same node at the same time.
    max_simultaneous: usize,
}

impl Network {
    fn new(count: usize, loss: f64) -> Self {
        let mut network = Network {
            now: Duration::ZERO,
            nodes: (0..count)
                .map(|node| Monitor::new(MonitorOptions::new(&name(node), node as u64)))
                .collect(),
            frozen: vec![false; count],
            outgoing_lost: vec![false; count],
            partitioned: vec![false; count],
            quota_offsets_ms: vec![None; count],
            loss,
            random: fastrand::Rng::with_seed(7),
            in_transit: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            sent: 0,
            suspicions: Vec::new(),
            max_simultaneous: 0,
        };
        (0..count).for_each(|node| network.handle(node, Event::Peers(peers(0..count))));
        network
    }

    fn handle(&mut self, node: usize, event: Event) {
        let before = self.nodes[node].suspects().to_vec();
        let mut actions = Vec::new();
        self.nodes[node].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send(to, body) => self.send(node, to, body),
                Action::SuspectsChanged(suspects) => {
                    assert_eq!(suspects, self.nodes[node].suspects());
                    assert_ne!(suspects, before);
                    let new = suspects.iter().filter(|suspect| !before.contains(suspect));
                    self.suspicions.extend(new.map(|suspect| (self.now, node, suspect.clone())));
                    let most = suspects.iter().map(|suspect| self.monitors_suspecting(suspect).len()).max();
                    self.max_simultaneous = self.max_simultaneous.max(most.unwrap_or(0));
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, body: Body) {
        let to = (0..self.nodes.len()).find(|node| address(*node) == to).expect("the address of a node");
        self.sent += 1;
        if self.random.f64() >= self.loss
            && self.partitioned[from] == self.partitioned[to]
            && !self.outgoing_lost[from]
        {
            self.in_transit.push(Reverse((self.now + NETWORK_DELAY, self.sent, to, from)));
            self.bodies.insert(self.sent, body);
        }
    }

    fn run(&mut self, until: Duration) {
        loop {
            let running = (0..self.nodes.len()).filter(|node| !self.frozen[*node]);
            let tick_of =
                |node: usize| self.earliest_running_time(node, self.nodes[node].next_tick().max(self.now));
            let tick = running.map(|node| (tick_of(node), node)).min();
            let arrival = self.in_transit.peek().map(|Reverse(datagram)| *datagram);
            let tick_time = tick.map_or(Duration::MAX, |(time, _)| time);
            let arrival_time = arrival.map_or(Duration::MAX, |(time, ..)| time);
            if tick_time.min(arrival_time) > until {
                break;
            }
            self.now = tick_time.min(arrival_time).max(self.now);
            match (arrival, tick) {
                (Some((time, number, to, from)), _) if time <= tick_time => {
                    self.in_transit.pop();
                    let read_at = self.earliest_running_time(to, time);
                    if read_at > time {
                        self.in_transit.push(Reverse((read_at, number, to, from)));
                    } else {
                        self.deliver(number, to, from);
                    }
                }
                (_, Some((_, node))) => self.handle(node, Event::Tick),
                _ => {}
            }
        }
        self.now = until;
    }

    /// Returns the earliest time, not before `time`, at which a node runs. A node with a quota runs during
    /// the first tenth of each period.
    fn earliest_running_time(&self, node: usize, time: Duration) -> Duration {
        let Some(offset_ms) = self.quota_offsets_ms[node] else { return time };
        let elapsed_us = time.as_micros() as u64 + 1000 * (QUOTA_PERIOD_MS - offset_ms);
        let phase_us = elapsed_us % (1000 * QUOTA_PERIOD_MS);
        if phase_us < 1000 * QUOTA_PERIOD_MS / 10 || time == Duration::MAX {
            return time;
        }
        time + Duration::from_micros(1000 * QUOTA_PERIOD_MS - phase_us)
    }

    fn deliver(&mut self, number: u64, to: usize, from: usize) {
        let body = self.bodies.remove(&number).expect("a datagram in transit");
        if !self.frozen[to] {
            self.handle(to, Event::Received(body, address(from)));
        }
    }

    fn monitors(&self, target: usize) -> Vec<usize> {
        let is_monitor = |node: &usize| self.nodes[*node].targets().any(|other| other == name(target));
        (0..self.nodes.len()).filter(is_monitor).collect()
    }

    fn monitors_suspecting(&self, suspect: &str) -> Vec<usize> {
        let suspects = |node: &usize| self.nodes[*node].suspects().iter().any(|other| other == suspect);
        (0..self.nodes.len()).filter(suspects).collect()
    }
}

#[test]
fn each_node_has_three_monitors_and_monitors_a_bounded_number() {
    let network = Network::new(60, 0.0);
    for node in 0..60 {
        assert_eq!(network.monitors(node).len(), 3);
        assert!(!network.monitors(node).contains(&node));
        assert!(network.nodes[node].targets().count() <= 12);
    }
    let few = Network::new(3, 0.0);
    assert!((0..3).all(|node| few.monitors(node).len() == 2));
}

#[test]
fn no_node_is_suspected_without_loss() {
    let mut network = Network::new(20, 0.0);
    network.run(milliseconds(60_000));
    assert_eq!(network.suspicions, []);
    assert!(
        network.sent < 20 * 3 * 2 * 60 * 3,
        "expected about two and a half pings a second per target, each with an acknowledgement: {}",
        network.sent
    );
}

#[test]
fn under_loss_suspicions_are_rare_and_by_one_monitor_at_a_time() {
    let mut network = Network::new(40, 0.05);
    network.run(milliseconds(240_000));
    assert!(network.suspicions.len() <= 4, "{:?}", network.suspicions);
    assert!(network.max_simultaneous <= 1);
}

#[test]
fn a_dead_peer_is_suspected_by_all_its_monitors() {
    for loss in [0.0, 0.05] {
        let mut network = Network::new(20, loss);
        network.run(milliseconds(5_000));
        network.frozen[4] = true;
        network.run(milliseconds(5_800));
        assert_eq!(network.monitors_suspecting(&name(4)), [], "suspected too early");
        network.run(milliseconds(6_700));
        assert_eq!(network.monitors_suspecting(&name(4)), network.monitors(4));
    }
}

#[test]
fn the_first_acknowledgement_ends_the_suspicion() {
    let mut network = Network::new(20, 0.0);
    network.run(milliseconds(5_000));
    network.frozen[4] = true;
    network.run(milliseconds(8_000));
    assert_eq!(network.monitors_suspecting(&name(4)).len(), 3);
    network.frozen[4] = false;
    network.run(milliseconds(8_600));
    assert_eq!(network.monitors_suspecting(&name(4)), []);
}

#[test]
fn a_node_that_was_frozen_suspects_nobody() {
    let mut network = Network::new(20, 0.0);
    network.run(milliseconds(5_000));
    network.frozen[4] = true;
    network.run(milliseconds(9_000));
    network.frozen[4] = false;
    network.run(milliseconds(15_000));
    assert!(network.suspicions.iter().all(|(_, monitor, _)| *monitor != 4), "{:?}", network.suspicions);
}

#[test]
fn a_partitioned_node_suspects_nobody() {
    let mut network = Network::new(20, 0.0);
    network.run(milliseconds(5_000));
    network.partitioned[4] = true;
    network.run(milliseconds(15_000));
    assert!(network.suspicions.iter().all(|(_, monitor, _)| *monitor != 4), "{:?}", network.suspicions);
    assert_eq!(network.monitors_suspecting(&name(4)).len(), 3);
}

#[test]
fn two_nodes_cannot_decide_which_is_partitioned_but_three_can() {
    // The remaining node receives nothing. It cannot know which of the two nodes is partitioned, and suspects
    // nobody.
    let mut pair = Network::new(2, 0.0);
    pair.run(milliseconds(5_000));
    pair.frozen[1] = true;
    pair.run(milliseconds(15_000));
    assert_eq!(pair.suspicions, []);
    // A third node still responds, so the target that stopped responding is suspected.
    let mut three = Network::new(3, 0.0);
    three.run(milliseconds(5_000));
    three.frozen[1] = true;
    three.run(milliseconds(15_000));
    assert_eq!(three.monitors_suspecting(&name(1)), [0, 2]);
}

#[test]
fn a_target_that_is_removed_from_the_peers_is_no_longer_monitored() {
    let mut network = Network::new(20, 0.0);
    network.run(milliseconds(5_000));
    network.frozen[4] = true;
    network.run(milliseconds(8_000));
    for node in (0..20).filter(|node| *node != 4) {
        network.handle(node, Event::Peers(peers((0..20).filter(|peer| *peer != 4))));
    }
    assert_eq!(network.monitors_suspecting(&name(4)), []);
    assert_eq!(network.monitors(4), []);
}

#[test]
fn an_acknowledgement_of_an_old_ping_is_ignored() {
    let mut monitor = Monitor::new(MonitorOptions::new(&name(0), 1));
    let mut actions = Vec::new();
    monitor.handle(Duration::ZERO, Event::Peers(peers([0, 1, 2])), &mut actions);
    let mut pings = Vec::new();
    for time in (0..4_000).step_by(10) {
        monitor.handle(milliseconds(time), Event::Tick, &mut actions);
        for action in actions.drain(..) {
            let Action::Send(to, Body::Ping(ping)) = action else { continue };
            pings.push((to, ping.sequence));
            if to == address(2) {
                let ack = quillpulley_protocol::PingAck { name: name(2), sequence: ping.sequence };
                monitor.handle(
                    milliseconds(time),
                    Event::Received(Body::PingAck(Box::new(ack)), to),
                    &mut Vec::new(),
                );
            }
        }
    }
    assert_eq!(monitor.suspects(), [name(1)]);
    let (_, first) = pings.iter().find(|(to, _)| *to == address(1)).copied().expect("a ping");
    let ack = |sequence| Body::PingAck(Box::new(quillpulley_protocol::PingAck { name: name(1), sequence }));
    monitor.handle(milliseconds(4_000), Event::Received(ack(first), address(1)), &mut actions);
    assert_eq!(monitor.suspects(), [name(1)]);
    let (_, latest) = pings.iter().rfind(|(to, _)| *to == address(1)).copied().expect("a ping");
    monitor.handle(milliseconds(4_000), Event::Received(ack(latest), address(1)), &mut actions);
    assert!(monitor.suspects().is_empty());
}

#[test]
fn nodes_that_run_for_a_tenth_of_the_time_suspect_no_running_node() {
    for seed in 0..1000 {
        let mut network = Network::new(6, 0.0);
        let mut offsets = fastrand::Rng::with_seed(seed);
        let limited = offsets.usize(1..=6);
        for node in 0..limited {
            network.quota_offsets_ms[node] = Some(offsets.u64(0..QUOTA_PERIOD_MS));
        }
        network.run(milliseconds(10_000));
        assert_eq!(network.suspicions, [], "seed {seed}");
        // A node that has failed is still suspected.
        network.frozen[5] = true;
        network.run(milliseconds(13_000));
        assert_eq!(network.monitors_suspecting(&name(5)).len(), 3, "seed {seed}");
    }
}

#[test]
fn each_node_has_exactly_the_configured_number_of_monitors() {
    // The nodes agree on the monitors without communication. Checked for two to eight nodes.
    for count in 2..=8 {
        let network = Network::new(count, 0.0);
        for node in 0..count {
            assert_eq!(network.monitors(node).len(), 3.min(count - 1), "{count} nodes, node {node}");
        }
    }
}

#[test]
fn a_node_whose_datagrams_are_lost_suspects_nobody_although_it_receives_pings() {
    let mut network = Network::new(20, 0.0);
    network.run(milliseconds(5_000));
    network.outgoing_lost[4] = true;
    network.run(milliseconds(15_000));
    assert!(network.suspicions.iter().all(|(_, monitor, _)| *monitor != 4), "{:?}", network.suspicions);
    assert_eq!(network.monitors_suspecting(&name(4)), network.monitors(4));
}

#[test]
fn of_two_nodes_one_that_receives_only_pings_suspects_the_other() {
    let mut pair = Network::new(2, 0.0);
    pair.run(milliseconds(5_000));
    pair.outgoing_lost[0] = true;
    pair.run(milliseconds(10_000));
    assert_eq!(pair.monitors_suspecting(&name(1)), [0]);
}

#[test]
fn a_suspicion_survives_the_same_list_of_peers_and_ends_with_a_new_address() {
    let mut network = Network::new(20, 0.0);
    network.run(milliseconds(5_000));
    network.frozen[4] = true;
    network.run(milliseconds(8_000));
    let monitors = network.monitors_suspecting(&name(4));
    assert_eq!(monitors.len(), 3);
    (0..20).for_each(|node| network.handle(node, Event::Peers(peers(0..20))));
    assert_eq!(network.monitors_suspecting(&name(4)), monitors);
    let mut changed_peers = peers(0..20);
    changed_peers[4].address = address(21);
    network.handle(monitors[0], Event::Peers(changed_peers));
    assert_eq!(network.monitors_suspecting(&name(4)), monitors[1..]);
}

#[test]
fn processes_of_different_releases_agree_on_who_monitors_whom() {
    // The choice that earlier releases make. A change would make processes of different releases disagree.
    let network = Network::new(8, 0.0);
    let monitors: Vec<Vec<usize>> = (0..8).map(|node| network.monitors(node)).collect();
    let expected = [[4, 5, 7], [3, 5, 6], [0, 3, 7], [2, 4, 7], [0, 1, 3], [0, 1, 6], [0, 1, 4], [1, 2, 3]];
    assert_eq!(monitors, expected);
}
