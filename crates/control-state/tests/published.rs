//! Tests that published items are encoded and decoded without loss.

#[path = "../../serving-config/tests/common/mod.rs"]
mod common;

use common::*;
use quickcheck::{quickcheck, Arbitrary, Gen};
use quillpulley_control_state::{published_items, ControlState, ReplaceDecision};
use quillpulley_protocol::Entry;
use quillpulley_replication::StateMachine;
use quillpulley_serving_config::published::*;
use quillpulley_serving_config::{Configuration, ConfigurationError};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

fn read_back(items: &BTreeMap<String, Vec<u8>>) -> Result<Configuration, ConfigurationError> {
    let routes =
        items.iter().filter(|(key, _)| key.starts_with(ROUTE_PREFIX)).map(|(_, value)| value.as_slice());
    Configuration::from_items(&items[CONFIG_KEY], routes)
}

fn changed_keys(before: &BTreeMap<String, Vec<u8>>, after: &BTreeMap<String, Vec<u8>>) -> Vec<String> {
    let keys: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    keys.into_iter().filter(|key| before.get(*key) != after.get(*key)).cloned().collect()
}

#[test]
fn one_changed_route_is_one_changed_item() {
    let before = parse(&valid(3, 500, 1000));
    let mut after = parse(&valid(5, 500, 1000));
    after.routes[17].max_attempts = 9;
    let route = route_key(&after.routes[17].host, &after.routes[17].path_prefix);
    let changed = changed_keys(&before.to_items(), &after.to_items());
    assert_eq!(changed, [CONFIG_KEY.to_string(), route]);
}

#[test]
fn incomplete_or_malformed_items_are_rejected() {
    let mut items = parse(&valid(3, 3, 1000)).to_items();
    let removed = items.remove(&route_key("h.example", "/1/"));
    assert!(removed.is_some());
    assert_eq!(read_back(&items), Err(ConfigurationError::Incomplete { expected: 3, found: 2 }));
    items.insert(route_key("h.example", "/1/"), b"{".to_vec());
    assert!(matches!(read_back(&items), Err(ConfigurationError::Unreadable(_))));
    items.insert(CONFIG_KEY.to_string(), Vec::new());
    assert!(matches!(read_back(&items), Err(ConfigurationError::MalformedHead(_))));
}

#[test]
fn a_state_is_published_completely() {
    let mut state = ControlState::default();
    assert_eq!(published_items(&state), BTreeMap::new());
    let decisions = [state.decide_replace(0, &valid(3, 2, 1000))];
    for (index, decision) in decisions.into_iter().enumerate() {
        let ReplaceDecision::Propose(payload) = decision else { panic!("{decision:?}") };
        state.apply(&Entry { epoch: 1, index: index as u64 + 1, payload });
    }
    let quillpulley_control_state::EvacuationDecision::Propose(payload) = state.decide_evacuation("z", true)
    else {
        panic!("not yet evacuated")
    };
    state.apply(&Entry { epoch: 1, index: 2, payload });
    let items = published_items(&state);
    let keys: Vec<&str> = items.keys().map(String::as_str).collect();
    assert_eq!(keys, ["config", "evacuated/z", "route/h.example//0/", "route/h.example//1/"]);
    assert!(items["evacuated/z"].is_empty());
    assert_eq!(read_back(&items).as_ref(), Ok(&parse(&valid(3, 2, 1000))));
}

#[test]
fn keys_are_parsed() {
    let address = Ipv4Addr::new(10, 0, 0, 1);
    let keys = [
        (CONFIG_KEY.to_string(), PublishedKey::Config),
        (route_key("h", "/a/"), PublishedKey::Route("h//a/")),
        (evacuated_key("a/b"), PublishedKey::Evacuated("a/b")),
        (restored_key("a/b"), PublishedKey::Restored("a/b")),
        (server_key("i-1"), PublishedKey::Server("i-1")),
        (endpoint_key("front-1"), PublishedKey::ProxyEndpoint("front-1")),
        (control_node_key(address), PublishedKey::ControlNode(address)),
    ];
    for (key, parts) in keys {
        assert_eq!(PublishedKey::parse(&key), Some(parts), "{key}");
    }
    for key in ["", "route", "core/x", "other/x", "/"] {
        assert_eq!(PublishedKey::parse(key), None, "{key}");
    }
}

/// The host and the path prefix of a route. They consist of a few letters, so that equal ones are frequent.
#[derive(Clone, Debug)]
struct RouteAddress(String, String);

impl Arbitrary for RouteAddress {
    fn arbitrary(gen: &mut Gen) -> Self {
        let letters = ["a", "b", "/", "%", "2F"];
        let mut text = || {
            let length = usize::arbitrary(gen) % 4;
            (0..length).map(|_| *gen.choose(&letters).expect("letters")).collect::<String>()
        };
        RouteAddress(text(), text())
    }
}

quickcheck! {
    fn different_routes_have_different_keys(one: RouteAddress, other: RouteAddress) -> bool {
        let same_key = route_key(&one.0, &one.1) == route_key(&other.0, &other.1);
        same_key == ((one.0, one.1) == (other.0, other.1))
    }

    fn published_items_are_decoded_without_loss(
        version: u64, routes: Vec<(u32, f32, u8, bool)>, homes: Vec<String>, warmup: u32
    ) -> bool {
        let mut configuration = parse(&valid(1, routes.len(), 1000));
        configuration.version = version;
        for (route, (millis, weight, attempts, flag)) in configuration.routes.iter_mut().zip(routes) {
            route.timeout = std::time::Duration::from_nanos(u64::from(millis) * 1000 + 1);
            route.inter_token_target = flag.then_some(route.timeout);
            route.split[0].weight = f64::from(if weight.is_normal() { weight.abs().min(1e9) } else { 1.0 });
            route.max_attempts = u32::from(attempts) + 1;
            route.sticky = flag;
            route.home_regions = homes.iter().filter(|home| !home.is_empty()).cloned().collect();
            route.rate_per_s = flag.then_some(f64::from(millis) / 3.0);
        }
        let services = configuration.services.values_mut();
        services.for_each(|service| service.warmup = std::time::Duration::from_nanos(warmup.into()));
        read_back(&configuration.to_items()) == Ok(configuration)
    }

    fn any_items_are_read_or_rejected(head: Vec<u8>, routes: Vec<Vec<u8>>) -> bool {
        let _ = Configuration::from_items(&head, routes.iter().map(Vec::as_slice));
        true
    }
}
