//! Which proxies the primary publishes: those that the agents report, without those that cannot be reached.

use quillpulley_protocol::{decode_value, encode_value, Front, FrontRef};
use quillpulley_serving_config::published::{front_key, PublishedKey};
use quillpulley_state_sync::{Change, Subtree};
use std::collections::BTreeMap;
use std::time::Duration;

/// A front that is no longer reported stays published for so long: its agent may be changing its parent.
pub const ABSENCE: Duration = Duration::from_secs(1);
/// After an election the agents need so long to find their places again.
pub const ABSENCE_AFTER_ELECTION: Duration = Duration::from_secs(3);
/// A front is taken for unreachable if so many of its monitors say so.
const SUSPECTING_MONITORS: usize = 2;

struct Published {
    front: Front,
    /// When it is removed unless it is reported again; `None` while it is reported.
    removal_at: Option<Duration>,
}

/// The published fronts, by name.
#[derive(Default)]
pub struct PublishedFronts {
    fronts: BTreeMap<String, Published>,
}

impl PublishedFronts {
    /// Starts with what another primary published, as key and value of items.
    pub fn inherit<'a>(now: Duration, items: impl Iterator<Item = (&'a str, &'a [u8])>) -> Self {
        let removal_at = Some(now + ABSENCE_AFTER_ELECTION);
        let fronts = items
            .filter(|(key, _)| matches!(PublishedKey::parse(key), Some(PublishedKey::Front(_))))
            .filter_map(|(_, value)| decode_value::<FrontRef, Front>(value).ok())
            .map(|front| (front.name.clone(), Published { front, removal_at }));
        PublishedFronts { fronts: fronts.collect() }
    }

    /// Takes what the whole tree reports at `now` and returns what has to be published.
    pub fn update(&mut self, now: Duration, tree: &Subtree) -> Vec<Change> {
        let mut changes = Vec::new();
        for front in tree.fronts.values().filter(|front| !is_suspected(tree, &front.name)) {
            self.publish(front, &mut changes);
        }
        for (name, published) in &mut self.fronts {
            if is_suspected(tree, name) {
                published.removal_at = Some(now);
            } else if !tree.fronts.contains_key(name) {
                published.removal_at.get_or_insert(now + ABSENCE);
            }
        }
        changes.extend(self.tick(now));
        changes
    }

    fn publish(&mut self, front: &Front, changes: &mut Vec<Change>) {
        if let Some(published) = self.fronts.get_mut(&front.name) {
            published.removal_at = None;
            if published.front == *front {
                return;
            }
        }
        changes.push(Change { key: front_key(&front.name), value: Some(encode_value(front)) });
        let published = Published { front: front.clone(), removal_at: None };
        self.fronts.insert(front.name.clone(), published);
    }

    /// Removes the fronts that have been absent for too long.
    pub fn tick(&mut self, now: Duration) -> Vec<Change> {
        let mut changes = Vec::new();
        self.fronts.retain(|name, published| {
            let stays = published.removal_at.is_none_or(|at| at > now);
            if !stays {
                changes.push(Change { key: front_key(name), value: None });
            }
            stays
        });
        changes
    }
}

/// Whether enough monitors of a front say that they cannot reach it.
pub(super) fn is_suspected(tree: &Subtree, name: &str) -> bool {
    tree.suspicions.get(name).is_some_and(|monitors| monitors.len() >= SUSPECTING_MONITORS)
}
