//! The state of a peer that this node pings.

use crate::monitor::MonitorOptions;
use std::net::SocketAddr;
use std::time::Duration;

/// Whether a target responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    /// The target is not suspected: too few consecutive pings are unacknowledged.
    Responsive,
    /// The target is suspected, since it has not acknowledged several consecutive pings.
    Unresponsive,
}

/// A peer that this node pings.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    /// The time at which the next ping is due.
    pub(crate) next_ping_at: Duration,
    /// The time at which the next ping is due if the latest ping is acknowledged.
    next_ping_if_acknowledged: Duration,
    /// The sequence numbers of the latest pings, sent since the last acknowledgement. The maximum length is
    /// `max_unacknowledged`.
    unacknowledged: Vec<u64>,
    health: Health,
}

impl Target {
    pub(crate) fn new(address: SocketAddr, next_ping_at: Duration) -> Self {
        Target {
            address,
            next_ping_at,
            next_ping_if_acknowledged: next_ping_at,
            unacknowledged: Vec::new(),
            health: Health::Responsive,
        }
    }

    pub(crate) fn is_unresponsive(&self) -> bool {
        self.health == Health::Unresponsive
    }

    /// Records that a ping is sent. The time to acknowledge the pings in `unacknowledged` has passed.
    /// `interval` is the time to the next ping if this one is acknowledged. If it is not, the next ping
    /// follows after `retry_interval`, or after `interval` if the target is already suspected.
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
        self.next_ping_if_acknowledged = now + interval;
        self.next_ping_at = now + if self.is_unresponsive() { interval } else { options.retry_interval };
    }

    /// Records an acknowledgement. An acknowledgement of a ping that is no longer in `unacknowledged` is
    /// ignored, because it says nothing about the current state of the target.
    pub(crate) fn acknowledge(&mut self, sequence: u64) {
        if self.unacknowledged.contains(&sequence) {
            self.next_ping_at = self.next_ping_if_acknowledged;
            self.reset();
        }
    }

    /// Drops the unacknowledged pings, so that the target counts as responsive.
    pub(crate) fn reset(&mut self) {
        self.unacknowledged.clear();
        self.set_health(Health::Responsive);
    }

    fn set_health(&mut self, health: Health) {
        self.health = health;
    }
}
