//! The proxy endpoints that the primary publishes: those that agents report, except unreachable ones.

use quillpulley_protocol::{decode_value, encode_value, ProxyEndpoint, ProxyEndpointRef};
use quillpulley_serving_config::published::{endpoint_key, PublishedKey};
use quillpulley_state_sync::{Change, SubtreeState};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which an endpoint stays published after it is no longer reported. Its agent may be changing its
/// parent.
pub const ABSENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which an endpoint stays published after an election unless it is reported. It is longer than
/// [`ABSENCE_TIMEOUT`], because all agents change their parents then.
pub const ABSENCE_TIMEOUT_AFTER_ELECTION: Duration = Duration::from_secs(3);
/// Minimum number of monitors that must suspect an endpoint before it counts as unreachable.
const MIN_SUSPECTING_MONITORS: usize = 2;

struct Published {
    endpoint: ProxyEndpoint,
    /// The time at which the endpoint is removed unless it is reported again; `None` while it is reported.
    removal_at: Option<Duration>,
}

/// The published endpoints, by name.
#[derive(Default)]
pub struct EndpointRegistry {
    endpoints: BTreeMap<String, Published>,
}

impl EndpointRegistry {
    /// Takes over what another primary has published, given as keys and values of items.
    pub fn inherit<'a>(now: Duration, items: impl Iterator<Item = (&'a str, &'a [u8])>) -> Self {
        let removal_at = Some(now + ABSENCE_TIMEOUT_AFTER_ELECTION);
        let endpoints = items
            .filter(|(key, _)| matches!(PublishedKey::parse(key), Some(PublishedKey::ProxyEndpoint(_))))
            .filter_map(|(_, value)| decode_value::<ProxyEndpointRef, ProxyEndpoint>(value).ok())
            .map(|endpoint| (endpoint.name.clone(), Published { endpoint, removal_at }));
        EndpointRegistry { endpoints: endpoints.collect() }
    }

    /// Returns the changes to publish for the reports of the whole tree at `now`.
    pub fn update(&mut self, now: Duration, tree: &SubtreeState) -> Vec<Change> {
        let mut changes = Vec::new();
        for endpoint in tree.endpoints.values().filter(|endpoint| !is_suspected(tree, &endpoint.name)) {
            self.publish(endpoint, &mut changes);
        }
        for (name, published) in &mut self.endpoints {
            if is_suspected(tree, name) {
                published.removal_at = Some(now);
            } else if !tree.endpoints.contains_key(name) {
                published.removal_at.get_or_insert(now + ABSENCE_TIMEOUT);
            }
        }
        changes.extend(self.tick(now));
        changes
    }

    fn publish(&mut self, endpoint: &ProxyEndpoint, changes: &mut Vec<Change>) {
        if let Some(published) = self.endpoints.get_mut(&endpoint.name) {
            published.removal_at = None;
            if published.endpoint == *endpoint {
                return;
            }
        }
        changes.push(Change { key: endpoint_key(&endpoint.name), value: Some(encode_value(endpoint)) });
        let published = Published { endpoint: endpoint.clone(), removal_at: None };
        self.endpoints.insert(endpoint.name.clone(), published);
    }

    /// Returns the removals of endpoints whose removal is due at `now`.
    pub fn tick(&mut self, now: Duration) -> Vec<Change> {
        let mut changes = Vec::new();
        self.endpoints.retain(|name, published| {
            let is_kept = published.removal_at.is_none_or(|at| at > now);
            if !is_kept {
                changes.push(Change { key: endpoint_key(name), value: None });
            }
            is_kept
        });
        changes
    }
}

/// Returns whether at least `MIN_SUSPECTING_MONITORS` monitors suspect an endpoint.
pub(in crate::control) fn is_suspected(tree: &SubtreeState, name: &str) -> bool {
    tree.suspicions.get(name).is_some_and(|monitors| monitors.len() >= MIN_SUSPECTING_MONITORS)
}
