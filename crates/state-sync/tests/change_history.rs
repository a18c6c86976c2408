//! Tests of responses to children that were subscribed elsewhere before: they contain the missed changes, not whole
//! ranges of the state.

mod network;

use network::timeline::run_timeline;
use network::Network;
use quillpulley_protocol::{Body, Revision, Subscribe};
use quillpulley_state_sync::{Change, Event, Options, SyncNode};
use std::time::{Duration, Instant};

const ROOT: usize = 0;
const RELAY: usize = 1;
const OTHER_RELAY: usize = 2;
const CHILD: usize = 3;

const ITEMS: usize = 600;
const ITEM_BYTES: usize = 150;

type Changes = Vec<(String, Option<Vec<u8>>)>;

fn items(numbers: std::ops::Range<usize>, value: u8) -> Changes {
    numbers.map(|number| (format!("server/{number}"), Some(vec![value; ITEM_BYTES]))).collect()
}

/// Returns a root with two relays, and a child of the first relay. All have the same state of many items.
fn network() -> Network {
    let names = ["root", "relay", "other", "child"];
    let mut network = Network::new(
        names.map(|name| Options { repair_bytes: 10 * ITEMS * ITEM_BYTES, ..Options::control_node(name) }),
    );
    network.handle(ROOT, Event::BecomeRoot { epoch: 1 });
    network.publish(ROOT, items(0..ITEMS, 1));
    network.connect(RELAY, ROOT);
    network.connect(OTHER_RELAY, ROOT);
    network.connect(CHILD, RELAY);
    network.deliver_all();
    assert_eq!(network.items(CHILD).len(), ITEMS);
    network
}

fn publish_later(network: &mut Network, changes: Changes) {
    network.now += Duration::from_millis(100);
    network.publish(ROOT, changes);
    network.deliver_all();
}

fn revision(network: &Network, node: usize) -> Revision {
    SyncNode::revision(&network.nodes[node])
}

/// Connects the child to the other relay, and returns the number of items that it is sent.
fn items_sent_on_attach(network: &mut Network) -> usize {
    let before = network.stats[OTHER_RELAY].items_sent;
    network.connect(CHILD, OTHER_RELAY);
    network.deliver_all();
    assert_eq!(network.items(CHILD), network.items(ROOT));
    assert_eq!(revision(network, CHILD), revision(network, ROOT));
    network.stats[OTHER_RELAY].items_sent - before
}

/// Guards against configurations that are late because each child that changes its parent is sent nearly the whole
/// state: with a few changes in each range of keys, all ranges differ.
#[test]
fn a_child_that_changes_its_parent_is_sent_only_the_changes_that_it_missed() {
    let mut network = network();
    network.disconnect(CHILD);
    for first in (0..60).step_by(6) {
        publish_later(&mut network, items(first..first + 6, 2));
    }
    assert_eq!(items_sent_on_attach(&mut network), 60);
}

#[test]
fn a_missed_removal_is_sent() {
    let mut network = network();
    network.disconnect(CHILD);
    publish_later(&mut network, vec![("server/7".to_string(), None), ("server/9".to_string(), None)]);
    publish_later(&mut network, items(9..10, 3));
    assert_eq!(items_sent_on_attach(&mut network), 2);
    assert_eq!(network.items(CHILD).len(), ITEMS - 1);
}

#[test]
fn a_child_is_sent_ranges_if_its_state_is_older_than_that_of_its_parent_ever_was() {
    let mut network = network();
    network.disconnect(CHILD);
    network.disconnect(OTHER_RELAY);
    network.nodes[OTHER_RELAY] = SyncNode::new(Options::control_node("other"));
    network.mirrors[OTHER_RELAY].clear();
    publish_later(&mut network, items(0..1, 2));
    network.connect(OTHER_RELAY, ROOT);
    network.deliver_all();
    let sent = items_sent_on_attach(&mut network);
    assert!((1..ITEMS / 10).contains(&sent), "{sent} items");
}

/// The parent skips the revision of the child: `a` changes and changes back in between, which the parent never learns.
#[test]
fn a_change_that_was_reverted_while_the_parent_was_disconnected_is_repaired() {
    run_timeline(
        "
          | root          | x                   | y                   | leaf
        0 | root 1        | on root             | on root             | on y
      100 | put a=1 c=1   | = 1:2 a=1 c=1       | = 1:2 a=1 c=1       | = 1:2 a=1 c=1
      150 |               | off                 |                     |
      200 | put a=2       | = 1:2 a=1 c=1       |                     | = 1:3 a=2 c=1
      250 |               |                     |                     | off
      300 | put a=1       |                     |                     | = 1:3 a=2 c=1
      350 | put c=2       |                     |                     |
      400 |               | on root; = 1:5 a=1 c=2 |                  |
      500 |               |                     |                     | on x; = 1:5 a=1 c=2
    ",
    );
}

/// The child has followed a former root further than the new root had.
#[test]
fn a_child_that_has_followed_a_former_root_for_longer_is_repaired() {
    run_timeline(
        "
          | old        | new               | x                   | leaf
        0 | root 1     | on old            | on new              | on old
      100 | put a=1    | = 1:2 a=1         | = 1:2 a=1           | = 1:2 a=1
      200 |            | off; root 2       |                     |
      300 | put a=2    | put b=1           | = 2:2 a=1 b=1       | = 1:3 a=2
      400 |            | put b=2           | = 2:3 a=1 b=2       | on x; = 2:3 a=1 b=2
    ",
    );
}

/// Guards against agents that wait for seconds for each other's complete states on a slow link: 15 children of one agent,
/// which come back together without state.
#[test]
fn all_children_that_come_back_without_state_are_served_within_a_stall_timeout() {
    const CHILDREN: usize = 15;
    let names = (0..=CHILDREN + 1).map(|number| format!("node-{number}"));
    let mut network = Network::new(names.map(|name| Options::new(&name).with_link_mbps(10.0)));
    network.handle(ROOT, Event::BecomeRoot { epoch: 1 });
    network.publish(ROOT, items(0..ITEMS, 1));
    network.connect(RELAY, ROOT);
    network.deliver_all();
    network.now += Duration::from_secs(1);
    (0..CHILDREN).for_each(|child| network.connect(child + 2, RELAY));
    network.run_until(Duration::from_millis(2_300));
    let without_state = (0..CHILDREN).filter(|child| network.items(child + 2).is_empty()).count();
    assert_eq!(without_state, 0);
}

/// Guards against parents that send the same state twice: the children of an agent that responds late subscribed again
/// after a second, and were sent no update until the second response.
#[test]
fn a_child_whose_parent_responds_late_is_sent_its_state_once() {
    let names = ["root", "relay", "child"];
    let mut network = Network::new(
        names.map(|name| Options { repair_bytes: 10 * ITEMS * ITEM_BYTES, ..Options::new(name) }),
    );
    network.handle(ROOT, Event::BecomeRoot { epoch: 1 });
    network.publish(ROOT, items(0..ITEMS, 1));
    network.connect(RELAY, ROOT);
    network.deliver_all();
    network.frozen[RELAY] = true;
    network.connect(2, RELAY);
    network.run_until(Duration::from_millis(1_300));
    network.frozen[RELAY] = false;
    network.deliver_all();
    assert_eq!(network.items(2).len(), ITEMS);
    assert_eq!(network.stats[RELAY].items_sent, ITEMS);
}

/// Guards against parents that have no processor time left, because they look for the missed changes of every waiting child
/// at each event, though they may not send more at that time.
#[test]
fn children_that_wait_for_their_response_cost_their_parent_little() {
    const CHILDREN: u32 = 100;
    const MAX_COST: Duration = Duration::from_secs(2);
    let now = Duration::from_secs(1);
    let mut actions = Vec::new();
    let mut root = SyncNode::new(Options::control_node("root"));
    root.handle(now, Event::BecomeRoot { epoch: 1 }, &mut actions);
    root.handle(now, Event::Publish(changes(1)), &mut actions);
    let subscribe = Subscribe { revision: root.revision(), digests: root.store().digests().to_vec() };
    root.handle(now, Event::Publish(changes(2)), &mut actions);
    let began_at = Instant::now();
    for child in 0..CHILDREN {
        root.handle(now, Event::ChildUp(child), &mut actions);
        let frame = Body::Subscribe(Box::new(subscribe.clone()));
        root.handle(now, Event::ChildFrame(child, frame), &mut actions);
    }
    let cost = began_at.elapsed();
    assert_eq!(root.waiting_children(), CHILDREN as usize - 1);
    assert!(cost < MAX_COST, "{cost:?}");
}

fn changes(value: u8) -> Vec<Change> {
    items(0..10 * ITEMS, value).into_iter().map(|(key, value)| Change { key, value }).collect()
}
