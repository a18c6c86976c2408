//! The items that the root of the relay tree has published, and the changes that bring them up to date.

use super::endpoint_registry::EndpointRegistry;
use super::restored_zones::RestoredZones;
use crate::control::discovery::page::Reading;
use crate::control::discovery::published_servers::PublishedServers;
use quillpulley_control_state::{published_items, ControlState};
use quillpulley_protocol::{encode_value, ControlNode};
use quillpulley_serving_config::published::{control_node_key, PublishedKey};
use quillpulley_state_sync::{Change, Store, SubtreeState};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Maximum time in which a change of the platform's list is read and published.
const READING_TIME: Duration = Duration::from_secs(1);

/// What this process has published as the root, apart from the control state.
pub struct PublishedState {
    servers: PublishedServers,
    endpoints: EndpointRegistry,
    restored_zones: RestoredZones,
}

impl PublishedState {
    /// Takes over what the previous root has published. The platform's list is out of date by `max_lag` at most.
    pub fn inherit(now: Duration, max_lag: Duration, store: &Store) -> Self {
        let keys = store.iter().map(|(key, _)| key);
        PublishedState {
            servers: PublishedServers::inherit(store.iter()),
            endpoints: EndpointRegistry::inherit(now, store.iter()),
            restored_zones: RestoredZones::inherit(now, max_lag + READING_TIME, keys),
        }
    }

    /// Returns the changes that bring `store` up to date with the committed configuration and evacuations.
    pub fn update_state(&mut self, now: Duration, store: &Store, state: &ControlState) -> Vec<Change> {
        let mut changes = state_changes(store, state);
        changes.extend(self.restored_zones.follow(now, &changes));
        changes
    }

    /// Returns the number of published servers.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Returns the changes to publish for a complete reading of the platform's list.
    pub fn update_servers(&mut self, now: Duration, reading: Reading) -> Vec<Change> {
        self.servers.update(now, reading)
    }

    /// Returns the changes to publish for the reports of the whole tree.
    pub fn update_endpoints(&mut self, now: Duration, tree: &SubtreeState) -> Vec<Change> {
        self.endpoints.update(now, tree)
    }

    /// Returns the changes to publish merely because time has passed.
    pub fn tick(&mut self, now: Duration) -> Vec<Change> {
        let mut changes = self.endpoints.tick(now);
        changes.extend(self.restored_zones.tick(now));
        changes
    }
}

/// Returns the changes that bring `store` up to date with the committed configuration and evacuations.
pub fn state_changes(store: &Store, state: &ControlState) -> Vec<Change> {
    differences(store, published_items(state), is_from_state)
}

/// Returns the changes that bring `store` up to date with `control_nodes`.
pub fn control_node_changes(store: &Store, control_nodes: Vec<ControlNode>) -> Vec<Change> {
    let item = |node: ControlNode| (control_node_key(Ipv4Addr::from_bits(node.ip)), encode_value(&node));
    differences(store, control_nodes.into_iter().map(item).collect(), is_control_node)
}

fn is_from_state(key: PublishedKey<'_>) -> bool {
    matches!(key, PublishedKey::Config | PublishedKey::Route(_) | PublishedKey::Evacuated(_))
}

fn is_control_node(key: PublishedKey<'_>) -> bool {
    matches!(key, PublishedKey::ControlNode(_))
}

/// Returns the changes that make the published items of the selected kinds equal to `wanted`.
fn differences(
    store: &Store,
    wanted: BTreeMap<String, Vec<u8>>,
    is_of_kind: fn(PublishedKey<'_>) -> bool,
) -> Vec<Change> {
    let published = store.iter().map(|(key, _)| key);
    let published = published.filter(|key| PublishedKey::parse(key).is_some_and(is_of_kind));
    let removed: Vec<String> =
        published.filter(|key| !wanted.contains_key(*key)).map(str::to_string).collect();
    let removed = removed.into_iter().map(|key| Change { key, value: None });
    let different = wanted.into_iter().filter(|(key, value)| store.get(key) != Some(value));
    removed.chain(different.map(|(key, value)| Change { key, value: Some(value) })).collect()
}
