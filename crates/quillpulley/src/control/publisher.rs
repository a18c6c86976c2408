//! What the root of the relay tree publishes.

use super::fronts::PublishedFronts;
use super::platform::Reading;
use super::servers::PublishedServers;
use quillpulley_control_state::{items_of, ControlState};
use quillpulley_protocol::{encode_value, Core};
use quillpulley_serving_config::published::{core_key, PublishedKey};
use quillpulley_state_sync::{Change, Store, Subtree};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

/// What this process has published as the root.
#[derive(Default)]
pub struct Publisher {
    servers: PublishedServers,
    fronts: PublishedFronts,
}

impl Publisher {
    /// Begins with what the root before has published.
    pub fn take_over(now: Duration, store: &Store) -> Self {
        let servers = PublishedServers::inherit(store.iter());
        Publisher { servers, fronts: PublishedFronts::inherit(now, store.iter()) }
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
        self.fronts.update(now, tree)
    }

    /// What the passing of time changes.
    pub fn tick(&mut self, now: Duration) -> Vec<Change> {
        self.fronts.tick(now)
    }
}

/// What has to be published so that the store tells the committed configuration and evacuations.
pub fn state_changes(store: &Store, state: &ControlState) -> Vec<Change> {
    differences(store, items_of(state), is_of_state)
}

/// What has to be published so that the store tells these core processes.
pub fn core_changes(store: &Store, cores: Vec<Core>) -> Vec<Change> {
    let item = |core: Core| (core_key(Ipv4Addr::from_bits(core.ip)), encode_value(&core));
    differences(store, cores.into_iter().map(item).collect(), is_core)
}

fn is_of_state(key: PublishedKey<'_>) -> bool {
    matches!(key, PublishedKey::Config | PublishedKey::Route(_) | PublishedKey::Evacuated(_))
}

fn is_core(key: PublishedKey<'_>) -> bool {
    matches!(key, PublishedKey::Core(_))
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
