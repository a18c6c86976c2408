//! One peer that this node pings.

use crate::monitor::MonitorOptions;
use std::net::SocketAddr;
use std::time::Duration;

/// The state of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    /// It has acknowledged a ping, or not enough pings were sent yet.
    Responsive,
    /// It is suspected, as it has not acknowledged several pings in a row.
    Unresponsive,
}

/// A peer that this node pings.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    /// When the next ping is due.
    pub(crate) due: Duration,
    /// When the next ping is due if the latest is acknowledged.
    due_if_acknowledged: Duration,
    /// The sequence numbers of pings that were sent since its latest response.
    unacknowledged: Vec<u64>,
    health: Health,
}

impl Target {
    pub(crate) fn new(address: SocketAddr, due: Duration) -> Self {
        Target {
            address,
            due,
            due_if_acknowledged: due,
            unacknowledged: Vec::new(),
            health: Health::Responsive,
        }
    }

    pub(crate) fn is_unresponsive(&self) -> bool {
        self.health == Health::Unresponsive
    }

    /// A ping is due: those before it have had their time. `interval` is the time to the one after it if it is
    /// acknowledged; if not, the next follows sooner, until there were enough for a suspicion.
    pub(crate) fn ping(
        &mut self,
        now: Duration,
        sequence: u64,
        interval: Duration,
        options: &MonitorOptions,
    ) {
        if self.unacknowledged.len() >= options.max_unacknowledged {
            self.set_health(Health::Unresponsive);
            self.unacknowledged.remove(0);
        }
        self.unacknowledged.push(sequence);
        self.due_if_acknowledged = now + interval;
        self.due = now + if self.is_unresponsive() { interval } else { options.retry_interval };
    }

    /// Records an acknowledgement. One of an older ping proves nothing about the current state.
    pub(crate) fn acknowledge(&mut self, sequence: u64) {
        if self.unacknowledged.contains(&sequence) {
            self.due = self.due_if_acknowledged;
            self.reset();
        }
    }

    /// Forgets the pings that were not acknowledged.
    pub(crate) fn reset(&mut self) {
        self.unacknowledged.clear();
        self.set_health(Health::Responsive);
    }

    fn set_health(&mut self, health: Health) {
        self.health = health;
    }
}
