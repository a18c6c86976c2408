//! Tests of the links between control nodes: when the table connects to a peer, and when it forgets one.

use quillpulley::control::replica_host::peer_table::{PeerChange, PeerTable};
use quillpulley_protocol::{Hello, NodeId, PeerKind};
use std::net::Ipv4Addr;
use std::time::Duration;

const ME: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const OTHER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const THIRD: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 3);
const NO_JITTER: f64 = 0.0;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn hello(node: NodeId) -> Hello {
    Hello {
        kind: PeerKind::Control,
        node,
        name: "core".to_string(),
        zone: "a".to_string(),
        region: "west".to_string(),
        control_address: format!("{}:80", node.address()),
    }
}

/// Returns a peer table that knows `OTHER`, to which it is connecting on link 1.
fn connecting_table() -> PeerTable<u32> {
    let mut peer_table = PeerTable::new(ME);
    peer_table.learn(at(0), OTHER);
    assert_eq!(peer_table.addresses_due(at(0)), [OTHER]);
    peer_table.connecting(OTHER, 1);
    assert!(peer_table.addresses_due(at(0)).is_empty());
    peer_table
}

#[test]
fn a_peer_counts_as_connected_while_the_link_to_it_is_open() {
    let mut peer_table = connecting_table();
    let node = NodeId::new(OTHER, 7);
    assert_eq!(peer_table.link_to(node), None);
    assert_eq!(peer_table.opened(1, hello(node)), Some(PeerChange::Connected(node)));
    assert_eq!(peer_table.link_to(node), Some(1));
    assert_eq!(peer_table.link_to(NodeId::new(OTHER, 8)), None);
    assert_eq!(peer_table.reachable(), [ME, OTHER]);
    assert_eq!(peer_table.closed(at(500), 1, NO_JITTER), Some(PeerChange::Disconnected(node)));
    assert_eq!(peer_table.link_to(node), None);
    assert_eq!(peer_table.reachable(), [ME]);
    assert_eq!(peer_table.known().map(|hello| hello.node).collect::<Vec<_>>(), [node]);
}

#[test]
fn an_address_may_come_back_with_another_incarnation() {
    let mut peer_table = connecting_table();
    let (before, after) = (NodeId::new(OTHER, 7), NodeId::new(OTHER, 8));
    peer_table.opened(1, hello(before));
    peer_table.closed(at(0), 1, NO_JITTER);
    peer_table.connecting(OTHER, 2);
    assert_eq!(peer_table.opened(2, hello(after)), Some(PeerChange::Connected(after)));
    assert_eq!((peer_table.link_to(before), peer_table.link_to(after)), (None, Some(2)));
}

#[test]
fn failures_to_connect_back_off_up_to_a_second() {
    let mut peer_table = connecting_table();
    let mut now = 0;
    for delay in [100, 200, 400, 800, 1000, 1000] {
        assert_eq!(peer_table.closed(at(now), 1, NO_JITTER), None);
        assert!(peer_table.addresses_due(at(now + delay - 1)).is_empty(), "{delay}");
        now += delay;
        assert_eq!(peer_table.addresses_due(at(now)), [OTHER], "{delay}");
        peer_table.connecting(OTHER, 1);
    }
    peer_table.opened(1, hello(NodeId::new(OTHER, 7)));
    peer_table.closed(at(now), 1, NO_JITTER);
    assert_eq!(peer_table.addresses_due(at(now + 100)), [OTHER]);
}

#[test]
fn jitter_lengthens_the_backoff_by_at_most_half() {
    let mut peer_table = connecting_table();
    peer_table.closed(at(0), 1, 1.0);
    assert!(peer_table.addresses_due(at(149)).is_empty());
    assert_eq!(peer_table.addresses_due(at(150)), [OTHER]);
}

#[test]
fn an_incoming_link_leads_to_a_connection_attempt() {
    let mut peer_table: PeerTable<u32> = PeerTable::new(ME);
    let node = NodeId::new(THIRD, 3);
    assert!(peer_table.accepted(at(0), 9, node).is_empty());
    assert_eq!(peer_table.sender(9), Some(node));
    assert_eq!(peer_table.addresses_due(at(0)), [THIRD]);
    // A later link from the same address replaces the earlier one.
    let again = NodeId::new(THIRD, 4);
    assert_eq!(peer_table.accepted(at(5), 10, again), [9]);
    assert_eq!((peer_table.sender(9), peer_table.sender(10)), (None, Some(again)));
    peer_table.closed(at(6), 10, NO_JITTER);
    assert_eq!(peer_table.sender(10), None);
}

#[test]
fn a_link_whose_hello_arrives_after_that_of_a_later_link_is_closed() {
    let mut peer_table: PeerTable<u32> = PeerTable::new(ME);
    let (before, after) = (NodeId::new(THIRD, 3), NodeId::new(THIRD, 4));
    for late in [before, after] {
        peer_table.accepted(at(0), 10, after);
        assert_eq!(peer_table.accepted(at(5), 9, late), [9], "{late}");
        assert_eq!((peer_table.sender(9), peer_table.sender(10)), (None, Some(after)));
        peer_table.closed(at(6), 9, NO_JITTER);
        assert!(peer_table.can_receive_from(after));
    }
}

#[test]
fn an_incoming_link_replaces_a_hanging_attempt_and_ends_the_backoff() {
    // The first attempt may have been started before the remote machine ran, in which case it hangs.
    let mut peer_table = connecting_table();
    let node = NodeId::new(OTHER, 7);
    assert_eq!(peer_table.accepted(at(20), 9, node), [1]);
    assert_eq!(peer_table.addresses_due(at(20)), [OTHER]);
    peer_table.connecting(OTHER, 2);
    assert_eq!(peer_table.closed(at(21), 1, NO_JITTER), None);
    // An attempt that replaced another one is not abandoned. Otherwise both nodes would keep abandoning each
    // other's attempts.
    assert_eq!(peer_table.accepted(at(30), 10, node), [9]);
    assert!(peer_table.addresses_due(at(30)).is_empty());
    assert_eq!(peer_table.opened(2, hello(node)), Some(PeerChange::Connected(node)));
    assert_eq!(peer_table.accepted(at(40), 11, node), [10]);
    assert_eq!(peer_table.link_to(node), Some(2));
    // A link that the peer opens ends the backoff after a failure.
    peer_table.closed(at(50), 2, NO_JITTER);
    assert!(peer_table.addresses_due(at(60)).is_empty());
    peer_table.accepted(at(60), 12, node);
    assert_eq!(peer_table.addresses_due(at(60)), [OTHER]);
}

#[test]
fn a_node_never_connects_to_itself() {
    let mut peer_table: PeerTable<u32> = PeerTable::new(ME);
    peer_table.learn(at(0), ME);
    assert!(peer_table.addresses_due(at(0)).is_empty());
}

#[test]
fn an_unexpected_process_is_not_connected() {
    let mut peer_table = connecting_table();
    assert_eq!(peer_table.opened(1, hello(NodeId::new(THIRD, 7))), None);
    let agent = Hello { kind: PeerKind::Agent, ..hello(NodeId::new(OTHER, 7)) };
    assert_eq!(peer_table.opened(1, agent), None);
    assert_eq!(peer_table.reachable(), [ME]);
}

#[test]
fn addresses_that_stay_unreachable_are_forgotten_unless_they_are_in_a_view() {
    let mut peer_table = connecting_table();
    peer_table.learn(at(0), THIRD);
    peer_table.opened(1, hello(NodeId::new(OTHER, 7)));
    peer_table.forget(at(60_000), |_| false);
    assert_eq!(peer_table.addresses_due(at(60_000)), Vec::<Ipv4Addr>::new());
    peer_table.closed(at(60_000), 1, NO_JITTER);
    peer_table.forget(at(89_999), |_| false);
    assert_eq!(peer_table.addresses_due(at(89_999)), [OTHER]);
    peer_table.forget(at(90_000), |address| address == OTHER);
    assert_eq!(peer_table.addresses_due(at(90_000)), [OTHER]);
    peer_table.forget(at(90_000), |_| false);
    assert!(peer_table.addresses_due(at(90_000)).is_empty());
}
