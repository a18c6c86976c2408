//! What an agent makes of the published fronts and core processes: whom it may take as its parent, and whom it
//! may have to monitor.

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

/// The fronts and core processes as they were published last, and the seeds.
#[derive(Default)]
pub struct Neighbourhood {
    endpoints: Vec<ProxyEndpoint>,
    control_nodes: Vec<ControlNode>,
    seeds: Vec<Ipv4Addr>,
}

impl Neighbourhood {
    /// Takes the seeds of these settings.
    pub fn set_seeds(&mut self, settings: &Settings) {
        let ipv4 = |seed: &SocketAddr| match seed.ip() {
            IpAddr::V4(ip) => Some(ip),
            IpAddr::V6(_) => None,
        };
        self.seeds = settings.seeds.iter().filter_map(ipv4).collect();
    }

    /// Returns whether any of these items is a front or a core process.
    pub fn is_touched_by(changed: &[ChangedKey]) -> bool {
        let kinds = changed.iter().filter_map(|item| PublishedKey::parse(&item.key));
        kinds
            .into_iter()
            .any(|key| matches!(key, PublishedKey::ProxyEndpoint(_) | PublishedKey::ControlNode(_)))
    }

    /// Reads the published items anew.
    pub fn read(&mut self, store: &Store) {
        self.endpoints =
            read_all(store, ENDPOINT_PREFIX, decode_value::<ProxyEndpointRef<'_>, ProxyEndpoint>);
        self.control_nodes =
            read_all(store, CONTROL_NODE_PREFIX, decode_value::<ControlNodeRef<'_>, ControlNode>);
    }

    /// Returns the candidates for the parent of the agent with these settings, best first.
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

    /// Returns the agents that stay, as peers to be monitored.
    pub fn peers(&self, agent_port: u16) -> Vec<Peer> {
        let staying = self.endpoints.iter().filter(|endpoint| endpoint.state != EndpointState::Draining);
        let peer = |endpoint: &ProxyEndpoint| Peer {
            name: endpoint.name.clone(),
            address: SocketAddr::from((Ipv4Addr::from_bits(endpoint.ip), agent_port)),
        };
        staying.map(peer).collect()
    }
}

/// Returns the values of all items whose keys begin with a prefix. Those that cannot be read are left out.
fn read_all<'a, T>(
    store: &'a Store,
    prefix: &'a str,
    decode: impl Fn(&'a [u8]) -> Result<T, quillpulley_protocol::ProtocolError>,
) -> Vec<T> {
    let read = |(key, value)| {
        let decoded = decode(value);
        decoded.inspect_err(|error| warn!("{key} is published wrongly: {error}")).ok()
    };
    store.with_prefix(prefix).filter_map(read).collect()
}
