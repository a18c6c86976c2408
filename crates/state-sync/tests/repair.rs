//! Tests of which subscriptions a node responds to: none while its own state is wrong, and none that has a
//! newer epoch.

use quillpulley_protocol::{Body, Revision, Subscribe, Update};
use quillpulley_state_sync::{Action, Change, Event, Options, SyncNode};
use std::time::Duration;

type Node = SyncNode<u8>;

const CHILD: u8 = 1;

fn handle(node: &mut Node, at_ms: u64, event: Event<u8>) -> Vec<Action<u8>> {
    let mut actions = Vec::new();
    node.handle(Duration::from_millis(at_ms), event, &mut actions);
    actions
}

fn put(key: &str, value: &str) -> Event<u8> {
    Event::Publish(vec![Change { key: key.to_string(), value: Some(value.as_bytes().to_vec()) }])
}

/// Returns a root in this epoch that has published an item and has a child.
fn root(epoch: u64) -> Node {
    let mut root = Node::new(Options::control_node("root"));
    handle(&mut root, 0, Event::BecomeRoot { epoch });
    handle(&mut root, 0, put("a", "1"));
    handle(&mut root, 0, Event::ChildUp(CHILD));
    root
}

fn subscription(actions: &[Action<u8>]) -> Option<Subscribe> {
    actions.iter().find_map(|action| match action {
        Action::SendParent(Body::Subscribe(subscribe)) => Some((**subscribe).clone()),
        _ => None,
    })
}

fn updates(actions: &[Action<u8>]) -> Vec<Update> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::SendChild(CHILD, Body::Update(update)) => Some((**update).clone()),
        Action::SendChildren(children, Body::Update(update)) if children.contains(&CHILD) => {
            Some((**update).clone())
        }
        _ => None,
    });
    sent.collect()
}

fn value_of<'a>(update: &'a Update, key: &str) -> Option<&'a [u8]> {
    update.items.iter().find(|item| item.key == key).map(|item| item.value.as_slice())
}

#[test]
fn a_node_whose_digest_is_wrong_answers_no_child_before_it_is_repaired() {
    let mut root = root(1);
    let mut relay = Node::new(Options::new("relay"));
    let subscribe = subscription(&handle(&mut relay, 0, Event::ParentUp)).expect("the relay subscribes");
    let response =
        updates(&handle(&mut root, 0, Event::ChildFrame(CHILD, Body::Subscribe(Box::new(subscribe)))));
    let mut damaged = response[0].clone();
    damaged.items[0].value = b"9".to_vec();
    // The relay detects the damage by the digest and subscribes again. In the meantime, its child subscribes.
    let actions = handle(&mut relay, 10, Event::ParentFrame(Body::Update(Box::new(damaged))));
    let again = subscription(&actions).expect("the relay subscribes again");
    handle(&mut relay, 20, Event::ChildUp(CHILD));
    let child = Subscribe {
        revision: Revision::default(),
        digests: Node::new(Options::new("x")).store().digests().to_vec(),
    };
    let actions = handle(&mut relay, 20, Event::ChildFrame(CHILD, Body::Subscribe(Box::new(child))));
    assert!(updates(&actions).is_empty(), "a wrong state was sent");
    assert!(updates(&handle(&mut relay, 900, Event::Tick)).is_empty(), "a wrong state was sent");
    // The response that repairs the relay has a newer revision. The relay then sends the state to the child.
    handle(&mut root, 910, Event::Heartbeat);
    let response =
        updates(&handle(&mut root, 910, Event::ChildFrame(CHILD, Body::Subscribe(Box::new(again)))));
    let actions = handle(&mut relay, 920, Event::ParentFrame(Body::Update(Box::new(response[0].clone()))));
    let served = updates(&actions);
    assert!(!served.is_empty(), "{actions:?}");
    assert!(served.iter().all(|update| value_of(update, "a") == Some(b"1")), "{served:?}");
}

/// Guards against children that wait below a node which cannot answer them.
#[test]
fn a_stale_node_is_outdated_for_a_child_that_knows_a_newer_epoch() {
    let node = root(1);
    let subscribe = |epoch| Subscribe { revision: Revision { epoch, tick: 1 }, digests: Vec::new() };
    let is_outdated = |at_ms, epoch| node.is_outdated_for(Duration::from_millis(at_ms), &subscribe(epoch));
    assert!(!is_outdated(1_000, 2), "the node is current");
    assert!(is_outdated(1_001, 2));
    assert!(!is_outdated(1_001, 1));
}

#[test]
fn a_child_that_knows_a_newer_epoch_is_answered_once_the_node_has_reached_it() {
    let mut former = root(1);
    let mut current = root(2);
    let digests = current.store().digests().to_vec();
    let newer = Subscribe { revision: current.revision(), digests: digests.clone() };
    let subscribe = Event::ChildFrame(CHILD, Body::Subscribe(Box::new(newer)));
    assert!(updates(&handle(&mut former, 10, subscribe)).is_empty(), "a node in an older epoch responded");
    assert!(
        updates(&handle(&mut former, 200, put("a", "old"))).is_empty(),
        "a node in an older epoch sent an update"
    );
    // The node reaches the newer epoch as a child of the other node, and then responds.
    handle(&mut former, 300, Event::LeaveRoot);
    let actions = handle(&mut former, 300, Event::ParentUp);
    let subscribe = subscription(&actions).expect("the former root subscribes");
    handle(&mut current, 300, Event::Heartbeat);
    let response =
        updates(&handle(&mut current, 300, Event::ChildFrame(CHILD, Body::Subscribe(Box::new(subscribe)))));
    let actions = handle(&mut former, 310, Event::ParentFrame(Body::Update(Box::new(response[0].clone()))));
    let served = updates(&actions);
    assert_eq!(served.last().map(|update| update.revision), Some(current.revision()), "{actions:?}");
}
