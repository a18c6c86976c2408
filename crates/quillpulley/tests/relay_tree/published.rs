//! The state that the root publishes: servers, control nodes, and the configuration with its routes.

use crate::topology::Place;
use quillpulley_protocol::{
    decode_value, encode_value, ConfigHead, ConfigHeadRef, ControlNode, Server, ServerState,
};
use quillpulley_serving_config::published::{control_node_key, route_key, server_key, CONFIG_KEY};
use quillpulley_state_sync::{Change, Store};
use std::collections::VecDeque;

const SERVERS: usize = 326;
const ROUTES: u32 = 40;

/// The servers and the configuration, from which the changes to publish are derived.
pub struct PublishedItems {
    /// The ids of the published servers, the oldest first.
    servers: VecDeque<String>,
    random: fastrand::Rng,
}

impl PublishedItems {
    pub fn new(seed: u64) -> Self {
        PublishedItems { servers: VecDeque::new(), random: fastrand::Rng::with_seed(seed) }
    }

    /// Returns the changes that publish the first state, with version 0 of the configuration.
    pub fn initial(&mut self, places: &[Place]) -> Vec<Change> {
        let control_nodes = places.iter().filter(|place| place.is_control_node).map(|place| {
            let ip = place.settings.ip;
            let (zone, region) = (place.zone.to_string(), place.region.to_string());
            let value = encode_value(&ControlNode { ip: ip.to_bits(), zone, region });
            Change { key: control_node_key(ip), value: Some(value) }
        });
        let mut changes: Vec<Change> = control_nodes.collect();
        changes.extend((0..SERVERS).map(|_| self.add_server()));
        changes.extend((0..ROUTES).map(|number| route(number, 0)));
        changes.push(head(0));
        changes
    }

    /// Returns the changes that replace the oldest servers by new ones.
    pub fn replace_servers(&mut self, count: usize) -> Vec<Change> {
        let removed: Vec<String> = self.servers.drain(..count.min(self.servers.len())).collect();
        let removed = removed.iter().map(|id| Change { key: server_key(id), value: None });
        let mut changes: Vec<Change> = removed.collect();
        changes.extend((0..count).map(|_| self.add_server()));
        changes
    }

    fn add_server(&mut self) -> Change {
        let id = format!("i-{:010x}", self.random.u64(..1 << 40));
        let address = format!("10.6.{}.{}:8664", self.random.u8(..), self.random.u8(..));
        let server = Server {
            id: id.clone(),
            service: format!("service-{}", self.random.u8(..20)),
            address,
            zone: format!("zone-{}", self.random.u8(..10)),
            slots: 8,
            state: ServerState::Ready,
            warmup_remaining_ms: 0,
            time_remaining_ms: 60_000,
            has_time_remaining: true,
        };
        self.servers.push_back(id);
        Change { key: server_key(&server.id), value: Some(encode_value(&server)) }
    }
}

/// Returns the changes that publish a version of the configuration: its head and one route.
pub fn configuration(version: u64) -> Vec<Change> {
    vec![route((version % u64::from(ROUTES)) as u32, version), head(version)]
}

/// Returns the version of the configuration in a store, or 0 if it has none.
pub fn version(store: &Store) -> u64 {
    let head = store.get(CONFIG_KEY).map(decode_value::<ConfigHeadRef<'_>, ConfigHead>);
    head.map_or(0, |head| head.expect("a head").version)
}

fn head(version: u64) -> Change {
    let (services, limits) = (vec![b' '; 1_500], vec![b' '; 60]);
    let value = encode_value(&ConfigHead { version, routes: ROUTES, services, limits });
    Change { key: CONFIG_KEY.to_string(), value: Some(value) }
}

fn route(number: u32, version: u64) -> Change {
    let text = format!(
        "{{\"Host\":\"host-{number}.example\",\"PathPrefix\":\"/v1/\",\"TimeoutMs\":{},\"MaxAttempts\":3,\
         \"Splits\":[{{\"Service\":\"service-{}\",\"Weight\":100}}],\"HomeRegions\":[\"west\",\"east\"]}}",
        version + 1_000,
        number % 20
    );
    Change { key: route_key(&format!("host-{number}.example"), "/v1/"), value: Some(text.into_bytes()) }
}
