//! The keys of published items.

use std::net::Ipv4Addr;

/// The key of the head of the configuration. Its value is a `ConfigHead` of the protocol.
pub const CONFIG_KEY: &str = "config";
/// The prefix of the keys of routes. Their values are JSON.
pub const ROUTE_PREFIX: &str = "route/";
/// The prefix of the keys of evacuated zones.
pub const EVACUATED_PREFIX: &str = "evacuated/";
/// The prefix of the keys of zones whose evacuation has ended recently.
pub const RESTORED_PREFIX: &str = "restored/";
const SERVER_PREFIX: &str = "server/";
/// The prefix of the keys of proxies.
pub const ENDPOINT_PREFIX: &str = "front/";
/// The prefix of the keys of control nodes.
pub const CONTROL_NODE_PREFIX: &str = "core/";

/// The parsed key of a published item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublishedKey<'a> {
    /// The head of the configuration.
    Config,
    /// A route; contains its host and path prefix as encoded by [`route_key`].
    Route(&'a str),
    /// An evacuated zone, by its name. The value is empty.
    Evacuated(&'a str),
    /// A zone whose evacuation has ended recently, by its name. The value is empty.
    Restored(&'a str),
    /// A server, by its id. The value is a `Server` of the protocol.
    Server(&'a str),
    /// A proxy, by the name of its machine. The value is a `ProxyEndpoint` of the protocol.
    ProxyEndpoint(&'a str),
    /// A control node, by its address. The value is a `ControlNode` of the protocol.
    ControlNode(Ipv4Addr),
}

impl<'a> PublishedKey<'a> {
    /// Parses a key. Returns `None` if the kind of the key is unknown.
    pub fn parse(key: &'a str) -> Option<PublishedKey<'a>> {
        if key == CONFIG_KEY {
            return Some(PublishedKey::Config);
        }
        let (kind, name) = key.split_at(key.find('/')? + 1);
        match kind {
            ROUTE_PREFIX => Some(PublishedKey::Route(name)),
            EVACUATED_PREFIX => Some(PublishedKey::Evacuated(name)),
            RESTORED_PREFIX => Some(PublishedKey::Restored(name)),
            SERVER_PREFIX => Some(PublishedKey::Server(name)),
            ENDPOINT_PREFIX => Some(PublishedKey::ProxyEndpoint(name)),
            CONTROL_NODE_PREFIX => Some(PublishedKey::ControlNode(name.parse().ok()?)),
            _ => None,
        }
    }
}

/// Returns the key of a route. The key is unique within a configuration: `/` and `%` in the host are escaped, so that
/// different pairs of host and prefix never have the same key.
pub fn route_key(host: &str, path_prefix: &str) -> String {
    let host = host.replace('%', "%25").replace('/', "%2F");
    format!("{ROUTE_PREFIX}{host}/{path_prefix}")
}

/// Returns the key of an evacuated zone.
pub fn evacuated_key(zone: &str) -> String {
    format!("{EVACUATED_PREFIX}{zone}")
}

/// Returns the key of a zone whose evacuation has ended recently.
pub fn restored_key(zone: &str) -> String {
    format!("{RESTORED_PREFIX}{zone}")
}

/// Returns the key of a server.
pub fn server_key(id: &str) -> String {
    format!("{SERVER_PREFIX}{id}")
}

/// Returns the key of a proxy, given the name of its machine.
pub fn endpoint_key(name: &str) -> String {
    format!("{ENDPOINT_PREFIX}{name}")
}

/// Returns the key of a control node.
pub fn control_node_key(address: Ipv4Addr) -> String {
    format!("{CONTROL_NODE_PREFIX}{address}")
}
