//! The published proxies and control nodes, from which an agent derives the candidates for its parent and the peers
//! that it monitors.

use crate::Settings;
use log::warn;
use quillpulley_membership::Peer;
use quillpulley_protocol::{
    decode_value, ControlNode, ControlNodeRef, EndpointState, ProxyEndpoint, ProxyEndpointRef,
};
use quillpulley_serving_config::published::{PublishedKey, CONTROL_NODE_PREFIX, ENDPOINT_PREFIX};
use quillpulley_state_sync::parent_selection::{parent_candidates, ParentCandidate, TreeTopology};
use quillpulley_state_sync::{ChangedKey, Store};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The published proxies and control nodes, and the seeds.
#[derive(Default)]
pub struct PeerDirectory {
    endpoints: Vec<ProxyEndpoint>,
    control_nodes: Vec<ControlNode>,
    seeds: Vec<Ipv4Addr>,
}

impl PeerDirectory {
    /// Replaces the seeds by those of the settings. Seeds with IPv6 addresses are ignored.
    pub fn set_seeds(&mut self, settings: &Settings) {
        let ipv4 = |seed: &SocketAddr| match seed.ip() {
            IpAddr::V4(ip) => Some(ip),
            IpAddr::V6(_) => None,
        };
        self.seeds = settings.seeds.iter().filter_map(ipv4).collect();
    }

    /// Returns whether any of the changed items is a proxy or a control node.
    pub fn is_affected_by(changed: &[ChangedKey]) -> bool {
        let kinds = changed.iter().filter_map(|item| PublishedKey::parse(&item.key));
        kinds
            .into_iter()
            .any(|key| matches!(key, PublishedKey::ProxyEndpoint(_) | PublishedKey::ControlNode(_)))
    }

    /// Reads all published proxies and control nodes from the store, and replaces the previous ones.
    pub fn read(&mut self, store: &Store) {
        self.endpoints =
            read_all(store, ENDPOINT_PREFIX, decode_value::<ProxyEndpointRef<'_>, ProxyEndpoint>);
        self.control_nodes =
            read_all(store, CONTROL_NODE_PREFIX, decode_value::<ControlNodeRef<'_>, ControlNode>);
    }

    /// Returns the candidates for the parent of the agent with these settings, best first. `failed` lists the candidates
    /// that have failed recently.
    pub fn candidates(&self, settings: &Settings, failed: &[ParentCandidate]) -> Vec<ParentCandidate> {
        parent_candidates(&TreeTopology {
            name: &settings.node_name,
            zone: &settings.zone,
            region: &settings.region,
            endpoints: &self.endpoints,
            control_nodes: &self.control_nodes,
            seeds: &self.seeds,
            failed,
        })
    }

    /// Returns the peers to be monitored: the agents on the machines of all proxies that are not draining.
    pub fn peers(&self, agent_port: u16) -> Vec<Peer> {
        let remaining = self.endpoints.iter().filter(|endpoint| endpoint.state != EndpointState::Draining);
        let peer = |endpoint: &ProxyEndpoint| Peer {
            name: endpoint.name.clone(),
            address: SocketAddr::from((Ipv4Addr::from_bits(endpoint.ip), agent_port)),
        };
        remaining.map(peer).collect()
    }
}

/// Returns the decoded values of all items whose keys have a prefix. Invalid values are logged and skipped.
fn read_all<'a, T>(
    store: &'a Store,
    prefix: &'a str,
    decode: impl Fn(&'a [u8]) -> Result<T, quillpulley_protocol::ProtocolError>,
) -> Vec<T> {
    let read = |(key, value)| {
        let decoded = decode(value);
        decoded.inspect_err(|error| warn!(key, error:% = error; "skipping an invalid published item")).ok()
    };
    store.with_prefix(prefix).filter_map(read).collect()
}
