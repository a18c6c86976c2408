//! What the root of the relay tree publishes.

use super::endpoint_registry::EndpointRegistry;
use super::platform::Reading;
use super::servers::PublishedServers;
use quillpulley_control_state::{published_items, ControlState};
use quillpulley_protocol::{encode_value, ControlNode};
use quillpulley_serving_config::published::{control_node_key, PublishedKey};
use quillpulley_state_sync::{Change, Store, Subtree};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

/// What this process has published as the root.
#[derive(Default)]
pub struct Publisher {
    servers: PublishedServers,
    endpoints: EndpointRegistry,
}

impl Publisher {
    /// Begins with what the root before has published.
    pub fn take_over(now: Duration, store: &Store) -> Self {
        let servers = PublishedServers::inherit(store.iter());
        Publisher { servers, endpoints: EndpointRegistry::inherit(now, store.iter()) }
    }

    /// How many servers are published.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// What a complete reading of the platform's list changes.
    pub fn read_list(&mut self, now: Duration, reading: Reading) -> Vec<Change> {
        self.servers.update(now, reading)
    }

    /// What the reports of the whole tree change.
    pub fn report(&mut self, now: Duration, tree: &Subtree) -> Vec<Change> {
        self.endpoints.update(now, tree)
    }

    /// What the passing of time changes.
    pub fn tick(&mut self, now: Duration) -> Vec<Change> {
        self.endpoints.tick(now)
    }
}

/// What has to be published so that the store tells the committed configuration and evacuations.
pub fn state_changes(store: &Store, state: &ControlState) -> Vec<Change> {
    differences(store, published_items(state), is_of_state)
}

/// What has to be published so that the store tells these core processes.
pub fn control_node_changes(store: &Store, control_nodes: Vec<ControlNode>) -> Vec<Change> {
    let item = |control_node: ControlNode| {
        (control_node_key(Ipv4Addr::from_bits(control_node.ip)), encode_value(&control_node))
    };
    differences(store, control_nodes.into_iter().map(item).collect(), is_control_node)
}

fn is_of_state(key: PublishedKey<'_>) -> bool {
    matches!(key, PublishedKey::Config | PublishedKey::Route(_) | PublishedKey::Evacuated(_))
}

fn is_control_node(key: PublishedKey<'_>) -> bool {
    matches!(key, PublishedKey::ControlNode(_))
}

/// The changes that make the items of some kinds those that are wanted, and no others.
fn differences(
    store: &Store,
    wanted: BTreeMap<String, Vec<u8>>,
    belongs: fn(PublishedKey<'_>) -> bool,
) -> Vec<Change> {
    let published = store.iter().map(|(key, _)| key);
    let published = published.filter(|key| PublishedKey::parse(key).is_some_and(belongs));
    let gone = published.filter(|key| !wanted.contains_key(*key)).map(str::to_string).collect::<Vec<_>>();
    let gone = gone.into_iter().map(|key| Change { key, value: None });
    let differing = wanted.into_iter().filter(|(key, value)| store.get(key) != Some(value));
    gone.chain(differing.map(|(key, value)| Change { key, value: Some(value) })).collect()
}
