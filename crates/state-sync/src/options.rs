//! The options of a node.

use std::time::Duration;

/// The options of a [`SyncNode`](crate::SyncNode).
///
/// A heartbeat takes 100 bytes, five times a second. A frame of counters takes up to 100 bytes and, for what has changed,
/// 50 for each service and 24 for each server (at most `max_servers_per_frame`), four times a second and in each
/// direction; a proxy takes 150 when it changes. 5 KB/s for a proxy, as at the target size of 900 proxies and 4,700
/// servers, leave room for some five services and 10 servers a frame. What would not fit there: the numbers of all
/// servers, which are 113 KB each time. They are sent complete on a new connection; after that each server would get
/// its turn only every two minutes.
#[derive(Clone, Debug)]
pub struct Options {
    /// The name of this node: the monitor in its suspicions, and the name of its machine's proxy.
    pub name: String,
    /// The most children at once; further ones are rejected.
    pub max_children: usize,
    /// The most subscriptions that get items at a time; others wait for `repair_interval`.
    pub max_concurrent_repairs: usize,
    /// The time after which more subscriptions get items.
    pub repair_interval: Duration,
    /// The state is stale if the revision does not advance for this long.
    pub fresh_for: Duration,
    /// A subscription without a response is sent again after this time.
    pub resubscribe_after: Duration,
    /// Least time between two reports to the parent, and between two frames of own totals to children.
    pub report_interval: Duration,
    /// How often reports and totals are sent if nothing has changed.
    pub keep_alive: Duration,
    /// The reports of a child that sends nothing for this long are suspended, and totals of a parent expire.
    pub receive_timeout: Duration,
    /// A child that sends nothing for this long is dropped.
    pub child_timeout: Duration,
    /// The most servers in one frame of counters, save the first on a connection.
    pub max_servers_per_frame: usize,
}

impl Options {
    /// Creates the default options of an agent or a proxy.
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

    /// Returns the default options of a control node, which accepts the first agents of many zones.
    pub fn control_node(name: &str) -> Self {
        Options { max_children: 256, ..Options::new(name) }
    }
}
