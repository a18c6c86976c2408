//! The options of a node.

use std::time::Duration;

const REPAIR_INTERVAL: Duration = Duration::from_millis(50);
const DEFAULT_LINK_MBPS: f64 = 10.0;
/// The share of the link that responses to subscriptions may take.
const REPAIR_LINK_SHARE: f64 = 0.5;
const BYTES_PER_MEGABIT: f64 = 1e6 / 8.0;

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
    /// The bytes of items that responses to subscriptions may have in each `repair_interval`. A longer response is
    /// sent too, and counts for the following intervals; other subscriptions wait meanwhile.
    pub repair_bytes: usize,
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
            repair_bytes: repair_bytes(DEFAULT_LINK_MBPS),
            repair_interval: REPAIR_INTERVAL,
            fresh_for: Duration::from_secs(1),
            resubscribe_after: Duration::from_secs(1),
            report_interval: Duration::from_millis(250),
            keep_alive: Duration::from_millis(500),
            receive_timeout: Duration::from_millis(1500),
            child_timeout: Duration::from_secs(5),
            max_servers_per_frame: 48,
        }
    }

    /// Sets the speed of the machine's link, in megabits a second. Responses to subscriptions take half of it.
    pub fn with_link_mbps(self, link_mbps: f64) -> Self {
        Options { repair_bytes: repair_bytes(link_mbps), ..self }
    }

    /// Returns the default options of a control node, which accepts the first agents of many zones.
    pub fn control_node(name: &str) -> Self {
        Options { max_children: 256, ..Options::new(name) }
    }
}

/// Returns the bytes that a link may carry in an interval for responses to subscriptions.
fn repair_bytes(link_mbps: f64) -> usize {
    (link_mbps * BYTES_PER_MEGABIT * REPAIR_LINK_SHARE * REPAIR_INTERVAL.as_secs_f64()) as usize
}
