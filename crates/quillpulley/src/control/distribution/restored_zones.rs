//! The zones whose evacuation has ended recently.
//!
//! Their servers may have become cold, which the platform's list shows only later. Proxies that see the evacuation
//! end take them for cold. A proxy that starts afterwards has to be told, so these zones are published until the list
//! is certain to show it.

use quillpulley_serving_config::published::{restored_key, PublishedKey};
use quillpulley_state_sync::Change;
use std::collections::BTreeMap;
use std::time::Duration;

/// The published zones, and until when each of them stays published.
pub struct RestoredZones {
    published_for: Duration,
    until: BTreeMap<String, Duration>,
}

impl RestoredZones {
    /// Takes over what the previous root has published, given as keys of items. Each zone is published for
    /// `published_for`.
    pub fn inherit<'a>(now: Duration, published_for: Duration, keys: impl Iterator<Item = &'a str>) -> Self {
        let zone = |key| match PublishedKey::parse(key) {
            Some(PublishedKey::Restored(zone)) => Some((zone.to_string(), now + published_for)),
            _ => None,
        };
        RestoredZones { published_for, until: keys.filter_map(zone).collect() }
    }

    /// Returns the changes that go with `changes` of the evacuated zones.
    pub fn follow(&mut self, now: Duration, changes: &[Change]) -> Vec<Change> {
        let mut following = Vec::new();
        for change in changes {
            let Some(PublishedKey::Evacuated(zone)) = PublishedKey::parse(&change.key) else { continue };
            let is_restored = change.value.is_none();
            if is_restored {
                self.until.insert(zone.to_string(), now + self.published_for);
                following.push(Change { key: restored_key(zone), value: Some(Vec::new()) });
            } else if self.until.remove(zone).is_some() {
                following.push(Change { key: restored_key(zone), value: None });
            }
        }
        following
    }

    /// Returns the changes that are due at `now`: the removal of zones whose time is over.
    pub fn tick(&mut self, now: Duration) -> Vec<Change> {
        let over: Vec<String> =
            self.until.iter().filter(|(_, until)| **until <= now).map(|(zone, _)| zone.clone()).collect();
        self.until.retain(|_, until| *until > now);
        over.into_iter().map(|zone| Change { key: restored_key(&zone), value: None }).collect()
    }
}
