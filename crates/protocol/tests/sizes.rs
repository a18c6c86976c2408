//! Checks the sizes of messages and published values that `docs/CAPACITY.md` states.

use quillpulley_protocol::View;
use quillpulley_protocol::{encode_frame, encode_value, Body};
use quillpulley_protocol::{
    EndpointState, LeaseGrant, LeaseRequest, NodeId, Ping, Position, ProxyEndpoint, Server, ServerState,
};
use std::net::Ipv4Addr;

const NAME: &str = "front-zona-10-1";
/// The length of the frame prefix, which is present on a stream but not in a datagram.
const PREFIX_BYTES: usize = 4;

fn lease_request(nodes: u8) -> usize {
    let node = |number| NodeId::new(Ipv4Addr::new(10, 1, 0, number), 77);
    let witnesses: Vec<NodeId> = (1..=nodes).map(node).collect();
    let view = View {
        epoch: 3,
        primary: witnesses[0],
        backups: witnesses[1..].to_vec(),
        witnesses,
        previous_witnesses: Vec::new(),
        activated: true,
    };
    let request = LeaseRequest { epoch: 3, round: 9, view: Box::new(view), committed: 5, holds_lease: true };
    encode_frame(Body::LeaseRequest(Box::new(request))).len()
}

#[test]
fn a_ping_takes_72_bytes() {
    let ping = Ping { name: NAME.to_string(), sequence: 7_000 };
    assert_eq!(encode_frame(Body::Ping(Box::new(ping))).len() - PREFIX_BYTES, 72);
}

#[test]
fn a_server_takes_103_bytes() {
    let server = Server {
        id: "i-7f3a91c2".to_string(),
        service: "huvo11a".to_string(),
        address: "10.128.0.9:8080".to_string(),
        zone: "puget-a".to_string(),
        slots: 64,
        state: ServerState::Ready,
        warmup_remaining_ms: 0,
        time_remaining_ms: 0,
        has_time_remaining: false,
    };
    assert_eq!(encode_value(&server).len(), 103);
}

#[test]
fn a_proxy_takes_136_bytes() {
    let endpoint = ProxyEndpoint {
        name: NAME.to_string(),
        ip: 0x0a01_000d,
        zone: "zona-10".to_string(),
        region: "gt-central".to_string(),
        address: "10.1.0.13:8161".to_string(),
        state: EndpointState::Ready,
        incarnation: 1_700_000_000_000_000,
        preferred_regions: Vec::new(),
    };
    assert_eq!(encode_value(&endpoint).len(), 136);
}

#[test]
fn a_lease_request_grows_by_32_bytes_for_each_control_node() {
    assert_eq!((lease_request(3), lease_request(21)), (244, 820));
}

#[test]
fn a_lease_grant_takes_98_bytes() {
    let grant = LeaseGrant {
        epoch: 3,
        round: 9,
        granted: true,
        promised: 3,
        last: Position::default(),
        member: true,
        witness: true,
    };
    assert_eq!(encode_frame(Body::LeaseGrant(Box::new(grant))).len(), 98);
}
