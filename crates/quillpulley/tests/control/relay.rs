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
    let mut topology = ControlTopology::default();
    let advanced_at = |milliseconds| Some(at(milliseconds));
    assert_eq!(topology.choose_parent(at(0), None, None, |_| true), None);
    assert_eq!(topology.choose_parent(at(10), Some(node(1)), None, |_| true), Some(ParentChange::Up));
    assert_eq!(topology.parent(), Some(node(1)));
    assert_eq!(topology.choose_parent(at(20), Some(node(1)), advanced_at(15), |_| true), None);
    // A parent whose heartbeat is late stays the parent until another primary is known.
    assert_eq!(topology.choose_parent(at(500), None, advanced_at(400), |_| true), None);
    assert_eq!(
        topology.choose_parent(at(600), Some(node(2)), advanced_at(400), |_| true),
        Some(ParentChange::Up)
    );
    assert_eq!(topology.parent(), Some(node(2)));
}

#[test]
fn an_unreachable_parent_is_dropped() {
    let mut topology = ControlTopology::default();
    assert_eq!(topology.choose_parent(at(0), Some(node(1)), None, |_| false), None);
    topology.choose_parent(at(10), Some(node(1)), None, |_| true);
    assert_eq!(topology.choose_parent(at(20), Some(node(1)), None, |_| false), Some(ParentChange::Down));
    assert_eq!(topology.parent(), None);
    assert_eq!(topology.choose_parent(at(30), Some(node(1)), None, |_| true), Some(ParentChange::Up));
}

#[test]
fn a_node_without_updates_subscribes_again_every_second() {
    let mut topology = ControlTopology::default();
    let mut choose =
        |now, advanced_at| topology.choose_parent(at(now), Some(node(1)), Some(at(advanced_at)), |_| true);
    assert_eq!(choose(100, 0), Some(ParentChange::Up));
    assert_eq!(choose(1099, 0), None);
    assert_eq!(choose(1100, 0), Some(ParentChange::Up));
    assert_eq!(choose(2000, 1900), None);
    assert_eq!(choose(2899, 1900), None);
    assert_eq!(choose(2900, 1900), Some(ParentChange::Up));
}

#[test]
fn a_node_whose_parent_link_was_replaced_subscribes_again_at_once() {
    let mut topology = ControlTopology::default();
    let choose = |topology: &mut ControlTopology, now| {
        topology.choose_parent(at(now), Some(node(1)), Some(at(now)), |_| true)
    };
    topology.link_replaced(node(1));
    assert_eq!(choose(&mut topology, 100), Some(ParentChange::Up));
    assert_eq!(choose(&mut topology, 110), None);
    topology.link_replaced(node(2));
    assert_eq!(choose(&mut topology, 120), None, "that node is not the parent");
    topology.link_replaced(node(1));
    assert_eq!(choose(&mut topology, 130), Some(ParentChange::Up));
    assert_eq!(choose(&mut topology, 140), None);
}

#[test]
fn an_early_subscriber_becomes_a_child_after_the_election() {
    let mut topology = ControlTopology::default();
    for body in [subscription(), report(false, 1), report(true, 2)] {
        assert_eq!(topology.handle_child_message(node(2), body), ChildMessage::Pending);
    }
    assert_eq!(topology.handle_child_message(node(3), subscription()), ChildMessage::Pending);
    topology.become_root();
    assert!(topology.admit_pending(|_| false).is_empty());
    let kept = vec![subscription(), report(false, 1), report(true, 2)];
    assert_eq!(topology.admit_pending(|_| true), [(node(2), kept)]);
    assert_eq!(
        topology.handle_child_message(node(2), report(true, 3)),
        ChildMessage::FromChild(report(true, 3))
    );
    assert!(topology.remove(node(2)));
    assert!(!topology.remove(node(2)));
}

#[test]
fn incremental_reports_without_a_complete_one_are_dropped() {
    let mut topology = ControlTopology::default();
    topology.handle_child_message(node(2), report(true, 1));
    topology.handle_child_message(node(2), subscription());
    assert!(topology.admit_pending(|_| true).is_empty());
    topology.handle_child_message(node(2), report(false, 2));
    assert_eq!(topology.admit_pending(|_| true), [(node(2), vec![subscription(), report(false, 2)])]);
}

#[test]
fn a_former_root_has_no_control_nodes_as_children() {
    let mut topology = ControlTopology::default();
    topology.become_root();
    topology.handle_child_message(node(2), subscription());
    topology.handle_child_message(node(2), report(false, 1));
    topology.admit_pending(|_| true);
    assert_eq!(topology.leave_root(), [node(2)]);
    assert_eq!(topology.handle_child_message(node(2), report(true, 1)), ChildMessage::Pending);
    assert!(topology.admit_pending(|_| true).is_empty());
}
