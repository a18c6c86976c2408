//! The servers that the primary has published, and the changes to publish after a newer reading of the
//! platform's list.

use super::page::Reading;
use quillpulley_protocol::{decode_value, encode_value, Server, ServerRef};
use quillpulley_serving_config::published::{server_key, PublishedKey};
use quillpulley_state_sync::Change;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum excess of a listed warm-up over the published countdown, and maximum shortfall of a listed
/// remaining time. Beyond it, the server is published again.
const COUNTDOWN_TOLERANCE: Duration = Duration::from_millis(300);

struct Published {
    server: Server,
    /// The time at which its countdowns started; `None` if another primary published the server.
    published_at: Option<Duration>,
}

/// The published servers, by id.
#[derive(Default)]
pub struct PublishedServers {
    servers: BTreeMap<String, Published>,
}

impl PublishedServers {
    /// Takes over what another primary has published, given as keys and values of items.
    pub fn inherit<'a>(items: impl Iterator<Item = (&'a str, &'a [u8])>) -> Self {
        let servers = items
            .filter(|(key, _)| matches!(PublishedKey::parse(key), Some(PublishedKey::Server(_))))
            .filter_map(|(_, value)| decode_value::<ServerRef, Server>(value).ok())
            .map(|server| (server.id.clone(), Published { server, published_at: None }));
        PublishedServers { servers: servers.collect() }
    }

    /// Returns the number of published servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is published.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the changes to publish for a complete reading at `now`.
    pub fn update(&mut self, now: Duration, reading: Reading) -> Vec<Change> {
        let listed: BTreeSet<&str> = reading.servers.iter().map(|server| server.id.as_str()).collect();
        let unreadable: BTreeSet<&str> = reading.unreadable.iter().map(String::as_str).collect();
        let is_removed = |id: &str| !listed.contains(id) && !unreadable.contains(id);
        let mut changes = Vec::new();
        self.servers.retain(|id, _| {
            let is_kept = !is_removed(id);
            if !is_kept {
                changes.push(Change { key: server_key(id), value: None });
            }
            is_kept
        });
        for server in reading.servers {
            self.update_server(now, server, &mut changes);
        }
        changes
    }

    fn update_server(&mut self, now: Duration, server: Server, changes: &mut Vec<Change>) {
        if self.servers.get(&server.id).is_some_and(|published| published.is_current(now, &server)) {
            return;
        }
        changes.push(Change { key: server_key(&server.id), value: Some(encode_value(&server)) });
        self.servers.insert(server.id.clone(), Published { server, published_at: Some(now) });
    }
}

impl Published {
    /// Returns whether the published server still matches `listed`.
    fn is_current(&self, now: Duration, listed: &Server) -> bool {
        self.same_static_fields(listed)
            && self.same_warmup(now, listed)
            && self.same_time_remaining(now, listed)
    }

    fn same_static_fields(&self, listed: &Server) -> bool {
        let known = &self.server;
        known.service == listed.service
            && known.address == listed.address
            && known.zone == listed.zone
            && known.slots == listed.slots
            && known.state == listed.state
    }

    /// Returns whether the published warm-up still matches. The end of a warm-up is published too, so that a
    /// proxy that starts later does not restart the countdown.
    fn same_warmup(&self, now: Duration, listed: &Server) -> bool {
        match (self.server.warmup_remaining_ms, listed.warmup_remaining_ms) {
            (0, 0) => true,
            (0, _) | (_, 0) => false,
            (known, listed) => self
                .remaining(now, known)
                .is_some_and(|expected| millis(listed) <= expected + COUNTDOWN_TOLERANCE),
        }
    }

    fn same_time_remaining(&self, now: Duration, listed: &Server) -> bool {
        match (self.server.has_time_remaining, listed.has_time_remaining) {
            (false, false) => true,
            (true, true) => {
                let expected = self.remaining(now, self.server.time_remaining_ms);
                expected.is_some_and(|expected| {
                    expected <= millis(listed.time_remaining_ms) + COUNTDOWN_TOLERANCE
                })
            }
            _ => false,
        }
    }

    /// Returns the time that remains at `now` of a countdown that started when the server was published;
    /// `None` if that time is unknown.
    fn remaining(&self, now: Duration, published_ms: u32) -> Option<Duration> {
        let elapsed = now.saturating_sub(self.published_at?);
        Some(millis(published_ms).saturating_sub(elapsed))
    }
}

fn millis(count: u32) -> Duration {
    Duration::from_millis(u64::from(count))
}
