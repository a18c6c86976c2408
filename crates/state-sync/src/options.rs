//! The options of a node.

use crate::parent_selection::FAN_OUT;
use quillpulley_protocol::MIN_COMPRESSED_ORDERED_BYTES;
use std::time::Duration;

const REPAIR_INTERVAL: Duration = Duration::from_millis(50);
const DEFAULT_LINK_MBPS: f64 = 10.0;
/// The fraction of the link's bandwidth that responses to subscriptions may use.
const REPAIR_LINK_SHARE: f64 = 0.5;
const BYTES_PER_MEGABIT: f64 = 1e6 / 8.0;
/// The maximum number of children of an agent: those of the heap, its proxy, and some that have lost their parent. The
/// others are better served by control nodes, whose links are faster.
const MAX_AGENT_CHILDREN: usize = FAN_OUT + FAN_OUT / 2;
/// The factor by which compression on the link shortens long responses at least, as their items are alike.
const EXPECTED_COMPRESSION: usize = 2;

/// The options of a [`SyncNode`](crate::SyncNode).
///
/// With the default options, frames need the following bandwidth. A heartbeat takes 100 bytes and is sent
/// five times a second. A frame of counters takes up to 100 bytes, plus 50 bytes for each changed service and
/// 24 bytes for each changed server (at most `max_servers_per_frame` servers). It is sent up to four times a
/// second in each direction. The endpoint of a proxy takes 150 bytes when it changes.
///
/// At the target size of 900 proxies and 4,700 servers, 5 KB/s per proxy leave room for about five services
/// and 10 servers per frame. The counters of all servers, which are 113 KB, do not fit. They are sent in full
/// only on a new connection. After that, at 10 servers per frame, each server would be sent only once in two
/// minutes if all of them changed.
#[derive(Clone, Debug)]
pub struct Options {
    /// The name of this node. It is the monitor's name in the node's suspicions, and the name of the proxy on
    /// the same machine.
    pub name: String,
    /// Maximum number of children. Further ones are rejected.
    pub max_children: usize,
    /// Maximum number of bytes that responses to subscriptions are expected to take on the link in each
    /// `repair_interval`. A response that exceeds it is still sent, and the excess is deducted from the
    /// following intervals. Other subscriptions wait in the meantime.
    pub repair_bytes: usize,
    /// The interval after which `repair_bytes` more bytes may be sent.
    pub repair_interval: Duration,
    /// The state is stale if the revision has not advanced for longer than this time.
    pub fresh_for: Duration,
    /// A subscription without a response is sent again after this time. It has to be short only where a response may be
    /// lost while the link stays open: a response that is merely late would be sent twice.
    pub resubscribe_after: Duration,
    /// Minimum time between two reports to the parent, and between two frames of own totals to the children.
    pub report_interval: Duration,
    /// The interval at which reports and own totals are sent if nothing has changed.
    pub keep_alive: Duration,
    /// The time after which the reports of a child that sends nothing are suspended, and after which the
    /// totals of a parent that sends none expire.
    pub receive_timeout: Duration,
    /// The time after which a child that sends nothing is removed and its link is closed.
    pub child_timeout: Duration,
    /// Maximum number of servers in one frame of counters, except for the first frame on a connection.
    pub max_servers_per_frame: usize,
}

impl Options {
    /// Returns the default options of an agent or a proxy.
    pub fn new(name: &str) -> Self {
        Options {
            name: name.to_string(),
            max_children: MAX_AGENT_CHILDREN,
            repair_bytes: repair_bytes(DEFAULT_LINK_MBPS),
            repair_interval: REPAIR_INTERVAL,
            fresh_for: Duration::from_secs(1),
            resubscribe_after: Duration::from_secs(5),
            report_interval: Duration::from_millis(250),
            keep_alive: Duration::from_millis(500),
            receive_timeout: Duration::from_millis(1500),
            child_timeout: Duration::from_secs(5),
            max_servers_per_frame: 48,
        }
    }

    /// Sets the bandwidth of the machine's link, in megabits per second. Responses to subscriptions may use
    /// half of it.
    pub fn with_link_mbps(self, link_mbps: f64) -> Self {
        Options { repair_bytes: repair_bytes(link_mbps), ..self }
    }

    /// Returns the default options of a control node, whose children include the top-ranked agents of many
    /// zones.
    pub fn control_node(name: &str) -> Self {
        Options { max_children: 256, resubscribe_after: Duration::from_secs(1), ..Options::new(name) }
    }
}

/// Returns the number of bytes that a response with this many bytes of items is expected to take on the link.
pub(crate) fn expected_link_bytes(item_bytes: usize) -> usize {
    match item_bytes > MIN_COMPRESSED_ORDERED_BYTES {
        true => item_bytes / EXPECTED_COMPRESSION,
        false => item_bytes,
    }
}

/// Returns the number of bytes that responses to subscriptions may use of a link in each [`REPAIR_INTERVAL`].
fn repair_bytes(link_mbps: f64) -> usize {
    (link_mbps * BYTES_PER_MEGABIT * REPAIR_LINK_SHARE * REPAIR_INTERVAL.as_secs_f64()) as usize
}
