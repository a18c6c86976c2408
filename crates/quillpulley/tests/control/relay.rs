//! Tests of the parents and children of control nodes in the relay tree.

use quillpulley::control::distribution::control_topology::{ChildMessage, ControlTopology, ParentChange};
use quillpulley_protocol::{Body, NodeId, Report, Revision, Subscribe};
use std::net::Ipv4Addr;
use std::time::Duration;

fn node(number: u8) -> NodeId {
    NodeId::new(Ipv4Addr::new(10, 0, 0, number), 1)
}

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn subscription() -> Body {
    Body::Subscribe(Box::new(Subscribe { revision: Revision::default(), digests: Vec::new() }))
}

fn report(delta: bool, proxies: u32) -> Body {
    Body::Report(Box::new(Report {
        delta,
        depth: 0,
        endpoints: Vec::new(),
        removed_endpoints: Vec::new(),
        suspicions: Vec::new(),
        proxies,
        services: Vec::new(),
        servers: Vec::new(),
    }))
}

#[test]
fn the_primary_that_sent_a_heartbeat_is_the_parent() {
    let mut relay = ControlTopology::default();
    let moved = |milliseconds| Some(at(milliseconds));
    assert_eq!(relay.choose_parent(at(0), None, None, |_| true), None);
    assert_eq!(relay.choose_parent(at(10), Some(node(1)), None, |_| true), Some(ParentChange::Up));
    assert_eq!(relay.parent(), Some(node(1)));
    assert_eq!(relay.choose_parent(at(20), Some(node(1)), moved(15), |_| true), None);
    // A parent whose heartbeat is late stays the parent until another primary is known.
    assert_eq!(relay.choose_parent(at(500), None, moved(400), |_| true), None);
    assert_eq!(relay.choose_parent(at(600), Some(node(2)), moved(400), |_| true), Some(ParentChange::Up));
    assert_eq!(relay.parent(), Some(node(2)));
}

#[test]
fn an_unreachable_parent_is_dropped() {
    let mut relay = ControlTopology::default();
    assert_eq!(relay.choose_parent(at(0), Some(node(1)), None, |_| false), None);
    relay.choose_parent(at(10), Some(node(1)), None, |_| true);
    assert_eq!(relay.choose_parent(at(20), Some(node(1)), None, |_| false), Some(ParentChange::Down));
    assert_eq!(relay.parent(), None);
    assert_eq!(relay.choose_parent(at(30), Some(node(1)), None, |_| true), Some(ParentChange::Up));
}

#[test]
fn a_node_without_updates_subscribes_again_every_second() {
    let mut relay = ControlTopology::default();
    let mut choose = |now, moved| relay.choose_parent(at(now), Some(node(1)), Some(at(moved)), |_| true);
    assert_eq!(choose(100, 0), Some(ParentChange::Up));
    assert_eq!(choose(1099, 0), None);
    assert_eq!(choose(1100, 0), Some(ParentChange::Up));
    assert_eq!(choose(2000, 1900), None);
    assert_eq!(choose(2899, 1900), None);
    assert_eq!(choose(2900, 1900), Some(ParentChange::Up));
}

#[test]
fn a_node_whose_parent_link_was_replaced_subscribes_again_at_once() {
    let mut relay = ControlTopology::default();
    let choose = |relay: &mut ControlTopology, now| {
        relay.choose_parent(at(now), Some(node(1)), Some(at(now)), |_| true)
    };
    relay.link_replaced(node(1));
    assert_eq!(choose(&mut relay, 100), Some(ParentChange::Up));
    assert_eq!(choose(&mut relay, 110), None);
    relay.link_replaced(node(2));
    assert_eq!(choose(&mut relay, 120), None, "that node is not the parent");
    relay.link_replaced(node(1));
    assert_eq!(choose(&mut relay, 130), Some(ParentChange::Up));
    assert_eq!(choose(&mut relay, 140), None);
}

#[test]
fn an_early_subscriber_becomes_a_child_after_the_election() {
    let mut relay = ControlTopology::default();
    for body in [subscription(), report(false, 1), report(true, 2)] {
        assert_eq!(relay.handle_child_message(node(2), body), ChildMessage::Pending);
    }
    assert_eq!(relay.handle_child_message(node(3), subscription()), ChildMessage::Pending);
    relay.become_root();
    assert!(relay.admit_pending(|_| false).is_empty());
    let kept = vec![subscription(), report(false, 1), report(true, 2)];
    assert_eq!(relay.admit_pending(|_| true), [(node(2), kept)]);
    assert_eq!(
        relay.handle_child_message(node(2), report(true, 3)),
        ChildMessage::FromChild(report(true, 3))
    );
    assert!(relay.remove(node(2)));
    assert!(!relay.remove(node(2)));
}

#[test]
fn incremental_reports_without_a_complete_one_are_dropped() {
    let mut relay = ControlTopology::default();
    relay.handle_child_message(node(2), report(true, 1));
    relay.handle_child_message(node(2), subscription());
    assert!(relay.admit_pending(|_| true).is_empty());
    relay.handle_child_message(node(2), report(false, 2));
    assert_eq!(relay.admit_pending(|_| true), [(node(2), vec![subscription(), report(false, 2)])]);
}

#[test]
fn a_former_root_has_no_control_nodes_as_children() {
    let mut relay = ControlTopology::default();
    relay.become_root();
    relay.handle_child_message(node(2), subscription());
    relay.handle_child_message(node(2), report(false, 1));
    relay.admit_pending(|_| true);
    assert_eq!(relay.leave_root(), [node(2)]);
    assert_eq!(relay.handle_child_message(node(2), report(true, 1)), ChildMessage::Pending);
    assert!(relay.admit_pending(|_| true).is_empty());
}
