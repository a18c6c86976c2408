//! Tests of the digests of a store, of the changes between two stores, and of searches by key prefix.

use quickcheck::quickcheck;
use quillpulley_state_sync::{Change, Event, Options, Store, SyncNode};
use std::collections::BTreeMap;
use std::time::Duration;

fn root() -> SyncNode<u8> {
    let mut node = SyncNode::new(Options::new("root"));
    node.handle(Duration::ZERO, Event::BecomeRoot { epoch: 1 }, &mut Vec::new());
    node
}

fn publish(node: &mut SyncNode<u8>, changes: Vec<Change>) {
    node.handle(Duration::ZERO, Event::Publish(changes), &mut Vec::new());
}

fn change(key: u8, value: Option<u8>) -> Change {
    Change { key: format!("key/{key}"), value: value.map(|value| vec![value]) }
}

fn items(store: &Store) -> BTreeMap<String, Vec<u8>> {
    store.iter().map(|(key, value)| (key.to_string(), value.to_vec())).collect()
}

quickcheck! {
    fn digests_depend_only_on_the_items(changes: Vec<(u8, Option<u8>)>) -> bool {
        let mut one_by_one = root();
        for (key, value) in changes {
            publish(&mut one_by_one, vec![change(key, value)]);
        }
        let mut at_once = root();
        let all = at_once.store().changes_to(&items(one_by_one.store()));
        publish(&mut at_once, all);
        at_once.store().digests() == one_by_one.store().digests()
            && at_once.store().digest() == one_by_one.store().digest()
    }

    fn changes_to_turns_any_store_into_any_other(from: BTreeMap<u8, u8>, to: BTreeMap<u8, u8>) -> bool {
        let mut node = root();
        publish(&mut node, from.into_iter().map(|(key, value)| change(key, Some(value))).collect());
        let wanted = to.into_iter().map(|(key, value)| (format!("key/{key}"), vec![value])).collect();
        let changes = node.store().changes_to(&wanted);
        publish(&mut node, changes);
        items(node.store()) == wanted && node.store().changes_to(&wanted).is_empty()
    }
}

#[test]
fn a_value_moved_to_another_key_changes_the_digest() {
    let mut one = root();
    publish(&mut one, vec![change(1, Some(7)), change(2, Some(8))]);
    let mut other = root();
    publish(&mut other, vec![change(1, Some(8)), change(2, Some(7))]);
    assert_ne!(one.store().digest(), other.store().digest());
}

#[test]
fn items_are_found_by_key_prefix() {
    let mut node = root();
    let keys = ["server/a", "server/b", "serves", "route/a"];
    publish(&mut node, keys.map(|key| Change { key: key.to_string(), value: Some(vec![1]) }).to_vec());
    let found: Vec<&str> = node.store().with_prefix("server/").map(|(key, _)| key).collect();
    assert_eq!(found, ["server/a", "server/b"]);
}
