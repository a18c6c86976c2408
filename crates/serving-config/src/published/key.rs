//! The keys of published items.

use std::net::Ipv4Addr;

/// The key of the head of the configuration, a `protocol::ConfigHead`.
pub const CONFIG_KEY: &str = "config";
/// The prefix of the keys of routes, whose values are JSON texts.
pub const ROUTE_PREFIX: &str = "route/";
/// The prefix of the keys of evacuated zones.
pub const EVACUATED_PREFIX: &str = "evacuated/";
const SERVER_PREFIX: &str = "server/";
/// The prefix of the keys of proxies.
pub const ENDPOINT_PREFIX: &str = "front/";
/// The prefix of the keys of control nodes.
pub const CONTROL_NODE_PREFIX: &str = "core/";

/// A parsed key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublishedKey<'a> {
    /// The head of the configuration.
    Config,
    /// A route, by its host and prefix as [`route_key`] encodes them.
    Route(&'a str),
    /// A zone that is evacuated; its value is empty.
    Evacuated(&'a str),
    /// A server by its id; its value is a `Server` of the protocol.
    Server(&'a str),
    /// A machine that serves clients by its name; its value is a `protocol::ProxyEndpoint`.
    ProxyEndpoint(&'a str),
    /// A control node by its address; its value is a `ControlNode` of the protocol.
    ControlNode(Ipv4Addr),
}

impl<'a> PublishedKey<'a> {
    /// Parses a key. Returns none for an unknown kind.
    pub fn parse(key: &'a str) -> Option<PublishedKey<'a>> {
        if key == CONFIG_KEY {
            return Some(PublishedKey::Config);
        }
        let (kind, name) = key.split_at(key.find('/')? + 1);
        match kind {
            ROUTE_PREFIX => Some(PublishedKey::Route(name)),
            EVACUATED_PREFIX => Some(PublishedKey::Evacuated(name)),
            SERVER_PREFIX => Some(PublishedKey::Server(name)),
            ENDPOINT_PREFIX => Some(PublishedKey::ProxyEndpoint(name)),
            CONTROL_NODE_PREFIX => Some(PublishedKey::ControlNode(name.parse().ok()?)),
            _ => None,
        }
    }
}

/// Returns the key of a route. Routes of one configuration differ in host or prefix, and so in their keys.
pub fn route_key(host: &str, path_prefix: &str) -> String {
    let host = host.replace('%', "%25").replace('/', "%2F");
    format!("{ROUTE_PREFIX}{host}/{path_prefix}")
}

/// Returns the key of a zone that is evacuated.
pub fn evacuated_key(zone: &str) -> String {
    format!("{EVACUATED_PREFIX}{zone}")
}

/// Returns the key of a server.
pub fn server_key(id: &str) -> String {
    format!("{SERVER_PREFIX}{id}")
}

/// Returns the key of a machine that serves clients.
pub fn endpoint_key(name: &str) -> String {
    format!("{ENDPOINT_PREFIX}{name}")
}

/// Returns the key of a control node.
pub fn control_node_key(address: Ipv4Addr) -> String {
    format!("{CONTROL_NODE_PREFIX}{address}")
}
