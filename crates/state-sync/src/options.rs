//! The figures of a node.

use std::time::Duration;

/// The figures of a [`SyncNode`](crate::FeedNode).
///
/// A heartbeat takes 100 bytes, five times a second. A frame of counts takes up to 100 bytes and, for what has
/// changed, 50 for each service and 24 for each server (at most `max_servers_per_frame`), four times a second and in each
/// direction; a proxy takes 150 when it changes. 5 KB/s for a proxy, as at the target size of 900 proxies and
/// 4,700 servers, leave room for some five services and 10 servers a frame. What would not fit there: the numbers of
/// all servers, which are 113 KB each time. They are sent complete on a new connection; after that each server would get
/// its turn only every two minutes.
#[derive(Clone, Debug)]
pub struct Options {
    /// The name of this node: who monitors in its suspicions, and what its own proxy is called.
    pub name: String,
    /// The most children at once; further ones are turned away.
    pub max_children: usize,
    /// The most subscriptions that are answered with items at a time; others wait for `repair_interval`.
    pub max_concurrent_repairs: usize,
    /// The time after which more subscriptions are answered.
    pub repair_interval: Duration,
    /// Without a revision for this long the state is stale.
    pub fresh_for: Duration,
    /// A subscription without a response is repeated after this time.
    pub resubscribe_after: Duration,
    /// Least time between two reports to the parent, and between two frames of own totals to children.
    pub report_interval: Duration,
    /// Reports and totals are sent this often though nothing has changed.
    pub keep_alive: Duration,
    /// Counts of a child that is silent for so long are left out, and totals of a parent are out of date.
    pub receive_timeout: Duration,
    /// A child that is silent for so long is dropped.
    pub child_timeout: Duration,
    /// The most servers in one frame of counts, save the first on a connection.
    pub max_servers_per_frame: usize,
}

impl Options {
    /// Creates the usual figures, for an agent or a proxy.
    pub fn new(name: &str) -> Self {
        Options {
            name: name.to_string(),
            max_children: 48,
            max_concurrent_repairs: 4,
            repair_interval: Duration::from_millis(50),
            fresh_for: Duration::from_secs(1),
            resubscribe_after: Duration::from_secs(1),
            report_interval: Duration::from_millis(250),
            keep_alive: Duration::from_millis(500),
            receive_timeout: Duration::from_millis(1500),
            child_timeout: Duration::from_secs(5),
            max_servers_per_frame: 48,
        }
    }

    /// Returns the usual figures of a control process, which takes in the first agents of many zones.
    pub fn control_node(name: &str) -> Self {
        Options { max_children: 256, ..Options::new(name) }
    }
}
