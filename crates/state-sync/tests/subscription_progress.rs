//! The progress of a subscription that a node reports for the log.

use quillpulley_protocol::{Body, Revision, Subscribe};
use quillpulley_state_sync::{Action, Change, Event, Options, SubscriptionProgress, SyncNode, RANGE_COUNT};
use std::time::Duration;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn handle(node: &mut SyncNode<u8>, milliseconds: u64, event: Event<u8>) {
    node.handle(at(milliseconds), event, &mut Vec::new());
}

/// Returns the response of a root with one item of six bytes to the subscription of a node without state.
fn response() -> Event<u8> {
    let mut root = SyncNode::new(Options::control_node("root"));
    let change = Change { key: "key".to_string(), value: Some(vec![1, 2, 3]) };
    let subscribe = Subscribe { revision: Revision::default(), digests: vec![0; RANGE_COUNT] };
    handle(&mut root, 0, Event::BecomeRoot { epoch: 1 });
    handle(&mut root, 0, Event::Publish(vec![change]));
    handle(&mut root, 0, Event::ChildUp(1));
    let mut actions = Vec::new();
    let subscription = Event::ChildFrame(1, Body::Subscribe(Box::new(subscribe)));
    root.handle(at(0), subscription, &mut actions);
    match actions.remove(0) {
        Action::SendChild(1, body) => Event::ParentFrame(body),
        action => panic!("not a response: {action:?}"),
    }
}

#[test]
fn the_wait_for_a_response_counts_from_the_first_attempt() {
    let mut node = SyncNode::new(Options::control_node("node"));
    assert_eq!(node.subscription_progress(at(0)), SubscriptionProgress::None);
    handle(&mut node, 100, Event::ParentUp);
    handle(&mut node, 1_100, Event::Tick);
    let waiting = SubscriptionProgress::Waiting { waiting: at(1_200), attempts: 2 };
    assert_eq!(node.subscription_progress(at(1_300)), waiting);
}

#[test]
fn the_response_is_reported_with_its_delay_and_size() {
    let mut node = SyncNode::new(Options::new("agent"));
    handle(&mut node, 100, Event::ParentUp);
    handle(&mut node, 450, response());
    let answered = SubscriptionProgress::Answered { after: at(350), bytes: 6 };
    assert_eq!(node.subscription_progress(at(9_000)), answered);
}

#[test]
fn the_progress_starts_anew_with_each_parent() {
    let mut node = SyncNode::new(Options::control_node("node"));
    handle(&mut node, 100, Event::ParentUp);
    handle(&mut node, 1_100, Event::Tick);
    handle(&mut node, 1_200, Event::ParentUp);
    let waiting = SubscriptionProgress::Waiting { waiting: at(100), attempts: 1 };
    assert_eq!(node.subscription_progress(at(1_300)), waiting);
    handle(&mut node, 1_400, Event::ParentDown);
    assert_eq!(node.subscription_progress(at(1_500)), SubscriptionProgress::None);
}
