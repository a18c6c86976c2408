//! Decides which peers a node pings, and which of them it suspects to have failed.
//!
//! Each peer is pinged by the `monitors_per_peer` other nodes with the highest rendezvous scores for its
//! name. A node therefore pings about `monitors_per_peer` peers, however many nodes the system has.

use crate::rendezvous::Key;
use crate::target::Target;
use quillpulley_protocol::{Body, Ping, PingAck};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of a [`Monitor`].
#[derive(Clone, Debug)]
pub struct MonitorOptions {
    /// The name of this node.
    pub name: String,
    /// The number of nodes that monitor each peer.
    pub monitors_per_peer: usize,
    /// The time between two pings to a target that responds or is suspected. A jitter of up to an eighth is
    /// added or subtracted.
    pub ping_interval: Duration,
    /// The time after which the next ping follows one that was not acknowledged.
    pub retry_interval: Duration,
    /// The number of consecutive pings without an acknowledgement after which a target is suspected. The
    /// suspicion begins `retry_interval` after the last of these pings.
    pub max_unacknowledged: usize,
    /// The seed of the random delays of pings.
    pub seed: u64,
}

impl MonitorOptions {
    /// Creates the default options: each peer has three monitors, and is suspected 1 to 1.7 s after it
    /// failed. Even if one in twenty datagrams is lost, five consecutive pings are rarely unacknowledged.
    pub fn new(name: &str, seed: u64) -> Self {
        MonitorOptions {
            name: name.to_string(),
            monitors_per_peer: 3,
            ping_interval: Duration::from_millis(400),
            retry_interval: Duration::from_millis(200),
            max_unacknowledged: 5,
            seed,
        }
    }
}

/// A node that may be monitored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The name of the node, unique in the system.
    pub name: String,
    /// The address to which datagrams for the node are sent.
    pub address: SocketAddr,
}

/// An input of a [`Monitor`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The nodes that are believed to be alive. The list may contain this node.
    Peers(Vec<Peer>),
    /// A datagram was received from this address. Datagrams other than pings and acknowledgements are
    /// ignored.
    Received(Body, SocketAddr),
    /// The time that [`Monitor::next_tick`] returned has come. The event may be slightly late.
    Tick,
}

/// An action that the host must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram to this address.
    Send(SocketAddr, Body),
    /// The set of suspected targets has changed. Contains the names of all of them, in order.
    SuspectsChanged(Vec<String>),
}

/// Monitors the targets of this node.
#[derive(Debug)]
pub struct Monitor {
    options: MonitorOptions,
    targets: BTreeMap<String, Target>,
    suspects: Vec<String>,
    sequence: u64,
    random: fastrand::Rng,
    /// The time at which a ping or an acknowledgement was last received.
    received_at: Duration,
    /// The time at which an acknowledgement of a target was last received.
    acknowledged_at: Duration,
}

impl Monitor {
    /// Creates a monitor without targets. Its time begins at zero, the start of the host.
    pub fn new(options: MonitorOptions) -> Self {
        let random = fastrand::Rng::with_seed(options.seed);
        Monitor {
            options,
            targets: BTreeMap::new(),
            suspects: Vec::new(),
            sequence: 0,
            random,
            received_at: Duration::ZERO,
            acknowledged_at: Duration::ZERO,
        }
    }

    /// Handles an event, and appends the actions that the host must perform to `actions`. `now` is the time
    /// since the start of the host.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Peers(peers) => self.set_peers(now, &peers),
            Event::Received(Body::Ping(ping), from) => self.acknowledge_ping(now, &ping, from, actions),
            Event::Received(Body::PingAck(ack), _) => self.record_ack(now, &ack),
            Event::Received(..) => {}
            Event::Tick => self.tick(now, actions),
        }
        self.update_suspects(now, actions);
    }

    /// Returns the time at which the host must pass the next [`Event::Tick`]; [`Duration::MAX`] without
    /// targets.
    pub fn next_tick(&self) -> Duration {
        self.targets.values().map(|target| target.next_ping_at).min().unwrap_or(Duration::MAX)
    }

    /// Returns the names of the peers that this node pings, in order.
    pub fn targets(&self) -> impl Iterator<Item = &str> {
        self.targets.keys().map(String::as_str)
    }

    /// Returns the names of the targets that are suspected, in order.
    pub fn suspects(&self) -> &[String] {
        &self.suspects
    }

    fn set_peers(&mut self, now: Duration, peers: &[Peer]) {
        let mut previous_targets = std::mem::take(&mut self.targets);
        for peer in peers {
            if !self.is_monitor_of(&peer.name, peers) {
                continue;
            }
            let target = previous_targets.remove(&peer.name).filter(|target| target.address == peer.address);
            let target = target.unwrap_or_else(|| Target::new(peer.address, now + self.initial_delay()));
            self.targets.insert(peer.name.clone(), target);
        }
    }

    /// Returns whether this node is one of the `monitors_per_peer` nodes with the highest scores for `peer`.
    /// The search ends as soon as `monitors_per_peer` nodes with higher scores are found, so that only a
    /// fraction of all pairs of nodes is scored.
    fn is_monitor_of(&self, peer: &str, peers: &[Peer]) -> bool {
        let own_name = self.options.name.as_str();
        if peer == own_name {
            return false;
        }
        let key = Key::new(peer);
        let own_rank = key.rank(own_name);
        let others = peers.iter().map(|other| other.name.as_str()).filter(|other| *other != peer);
        let higher_ranked = others.filter(|other| key.rank(other) < own_rank);
        higher_ranked.take(self.options.monitors_per_peer).count() < self.options.monitors_per_peer
    }

    fn acknowledge_ping(&mut self, now: Duration, ping: &Ping, from: SocketAddr, actions: &mut Vec<Action>) {
        self.received_at = now;
        let ack = PingAck { name: self.options.name.clone(), sequence: ping.sequence };
        actions.push(Action::Send(from, Body::PingAck(Box::new(ack))));
    }

    fn record_ack(&mut self, now: Duration, ack: &PingAck) {
        self.received_at = now;
        if let Some(target) = self.targets.get_mut(&ack.name) {
            target.acknowledge(ack.sequence);
            self.acknowledged_at = now;
        }
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.was_stalled(now) {
            self.received_at = now;
            self.acknowledged_at = now;
            self.targets.values_mut().for_each(Target::reset);
        }
        for target in self.targets.values_mut().filter(|target| target.next_ping_at <= now) {
            self.sequence += 1;
            let interval = jittered(self.options.ping_interval, &mut self.random);
            target.ping(now, self.sequence, interval, &self.options);
            let ping = Ping { name: self.options.name.clone(), sequence: self.sequence };
            actions.push(Action::Send(target.address, Body::Ping(Box::new(ping))));
        }
    }

    /// Returns whether this process was stalled, so that it may not have read acknowledgements that have
    /// arrived.
    fn was_stalled(&self, now: Duration) -> bool {
        now.saturating_sub(self.next_tick()) > self.options.ping_interval
    }

    /// Determines the suspected targets, and notifies the host if they have changed.
    fn update_suspects(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let unresponsive = self.targets.iter().filter(|(_, target)| target.is_unresponsive());
        let mut suspects: Vec<String> = unresponsive.map(|(name, _)| name.clone()).collect();
        if self.is_isolated(now) {
            suspects.clear();
        }
        if suspects != self.suspects {
            self.suspects = suspects;
            actions.push(Action::SuspectsChanged(self.suspects.clone()));
        }
    }

    /// Returns whether this node itself may be partitioned from the network: it has recently received no
    /// acknowledgement of any target or, if it has only one target, no ping or acknowledgement at all. This
    /// is detected before any target becomes suspected.
    fn is_isolated(&self, now: Duration) -> bool {
        let responsive_at = if self.targets.len() > 1 { self.acknowledged_at } else { self.received_at };
        now.saturating_sub(responsive_at) > 2 * self.options.ping_interval
    }

    /// Returns a random part of the ping interval, so that the pings to targets that were added together are
    /// spread over the interval.
    fn initial_delay(&mut self) -> Duration {
        self.options.ping_interval.mul_f64(self.random.f64())
    }
}

/// Returns a time with a random jitter of up to an eighth in both directions.
fn jittered(time: Duration, random: &mut fastrand::Rng) -> Duration {
    time.mul_f64(0.875 + random.f64() / 4.0)
}
