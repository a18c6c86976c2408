//! Tests of the items that the root of the relay tree publishes for the control state and the control nodes.

use quillpulley::control::distribution::published_state::{control_node_changes, state_changes};
use quillpulley::control::distribution::restored_zones::RestoredZones;
use quillpulley_control_state::{ControlState, EvacuationDecision};
use quillpulley_protocol::{ControlNode, Entry};
use quillpulley_replication::StateMachine;
use quillpulley_serving_config::published::{control_node_key, evacuated_key, restored_key, server_key};
use quillpulley_state_sync::{Change, Event, Options, Store, SyncNode};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Calls `inspect` with the store of a root that has published these items.
fn with_store<T>(items: &[(String, &str)], inspect: impl FnOnce(&Store) -> T) -> T {
    let mut root = SyncNode::<u32>::new(Options::control_node("core"));
    let changes = items.iter().map(|(key, value)| set(key, value.as_bytes().to_vec()));
    root.handle(Duration::ZERO, Event::BecomeRoot { epoch: 1 }, &mut Vec::new());
    root.handle(Duration::ZERO, Event::Publish(changes.collect()), &mut Vec::new());
    inspect(root.store())
}

fn set(key: &str, value: Vec<u8>) -> Change {
    Change { key: key.to_string(), value: Some(value) }
}

fn evacuated(zones: &[&str]) -> ControlState {
    let mut state = ControlState::default();
    for (index, zone) in (1..).zip(zones) {
        let EvacuationDecision::Propose(payload) = state.decide_evacuation(zone, true) else {
            panic!("the zone is already evacuated")
        };
        state.apply(&Entry { epoch: 1, index, payload });
    }
    state
}

#[test]
fn items_of_an_older_root_are_removed_and_others_stay() {
    let items = [
        (evacuated_key("a"), ""),
        (evacuated_key("b"), ""),
        ("route/x".to_string(), "{}"),
        (server_key("i-1"), "x"),
    ];
    let changes = with_store(&items, |store| state_changes(store, &evacuated(&["b", "c"])));
    let removed = |key: &str| Change { key: key.to_string(), value: None };
    let mut changes = changes;
    changes.sort_by(|one, other| one.key.cmp(&other.key));
    assert_eq!(changes, [removed("evacuated/a"), set("evacuated/c", Vec::new()), removed("route/x")]);
}

#[test]
fn published_items_are_not_published_again() {
    let items = [(evacuated_key("a"), "")];
    assert!(with_store(&items, |store| state_changes(store, &evacuated(&["a"]))).is_empty());
}

#[test]
fn control_nodes_are_published_and_removed() {
    let control_node = |number: u8| ControlNode {
        ip: Ipv4Addr::new(10, 0, 0, number).to_bits(),
        zone: "a".to_string(),
        region: "west".to_string(),
    };
    let key = |number| control_node_key(Ipv4Addr::new(10, 0, 0, number));
    let items = [(key(1), "x"), (server_key("i-1"), "x")];
    let changes = with_store(&items, |store| control_node_changes(store, vec![control_node(2)]));
    let keys: Vec<(String, bool)> =
        changes.into_iter().map(|change| (change.key, change.value.is_some())).collect();
    assert_eq!(keys, [(key(1), false), (key(2), true)]);
}

/// Time for which a restored zone is published.
const PUBLISHED_FOR: Duration = Duration::from_millis(1_800);

fn removal(key: &str) -> Change {
    Change { key: key.to_string(), value: None }
}

/// Guards against proxies that start when an evacuation has just ended, and do not learn of it.
#[test]
fn a_restored_zone_is_published_until_the_list_shows_its_cold_servers() {
    let ms = Duration::from_millis;
    let mut zones = RestoredZones::inherit(ms(0), PUBLISHED_FOR, std::iter::empty());
    assert!(zones
        .follow(ms(0), &[set(&evacuated_key("a"), Vec::new()), set("route/x", Vec::new())])
        .is_empty());
    let restored = zones.follow(ms(100), &[removal(&evacuated_key("a")), removal("route/x")]);
    assert_eq!(restored, [set(&restored_key("a"), Vec::new())]);
    assert!(zones.tick(ms(1_899)).is_empty());
    assert_eq!(zones.tick(ms(1_900)), [removal(&restored_key("a"))]);
    assert!(zones.tick(ms(5_000)).is_empty());

    zones.follow(ms(6_000), &[removal(&evacuated_key("a"))]);
    let evacuated_again = zones.follow(ms(6_100), &[set(&evacuated_key("a"), Vec::new())]);
    assert_eq!(evacuated_again, [removal(&restored_key("a"))]);
    assert!(zones.tick(ms(9_000)).is_empty());
}

/// Guards against restored zones that a new primary does not know of, or publishes for good.
#[test]
fn a_new_root_takes_over_the_restored_zones() {
    let keys = [restored_key("a"), evacuated_key("b")];
    let now = Duration::from_secs(5);
    let mut zones = RestoredZones::inherit(now, PUBLISHED_FOR, keys.iter().map(String::as_str));
    assert!(zones.tick(now + PUBLISHED_FOR - Duration::from_millis(1)).is_empty());
    assert_eq!(zones.tick(now + PUBLISHED_FOR), [removal(&restored_key("a"))]);
}
