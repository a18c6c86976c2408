//! Links between processes: which events they emit, and what closes them.

mod common;

use common::{expect, hello, listener, read_message, read_to_end, run, TestProcess};
use quillpulley::peer::{PeerEvent, PeerOptions, Peers};
use quillpulley_protocol::{
    encode_frame, Body, FrameDecoder, Hello, Install, LeaseGrant, PeerKind, Ping, Position, MAX_FRAME_BYTES,
};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const LOCALHOST: Ipv4Addr = Ipv4Addr::LOCALHOST;

fn ping(name: &str, sequence: u64) -> Body {
    Body::Ping(Box::new(Ping { name: name.to_string(), sequence }))
}

fn encoded_hello(name: &str) -> Vec<u8> {
    encode_frame(Body::Hello(Box::new(hello(PeerKind::Agent, name))))
}

async fn listening_process(name: &str) -> (TestProcess, SocketAddr) {
    let process = TestProcess::new(PeerKind::Control, name);
    let (listener, address) = listener(LOCALHOST).await;
    process.peers.listen(listener);
    (process, address)
}

fn with_options(options: PeerOptions) -> TestProcess {
    let (peers, events) = Peers::with_options(hello(PeerKind::Control, "bounded"), options);
    TestProcess { peers, events }
}

/// Opens a raw connection to `process`, sends a `Hello`, and waits until the link is open.
async fn connect_raw(
    process: &mut TestProcess,
    address: SocketAddr,
) -> (TcpStream, quillpulley::peer::LinkId) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(&encoded_hello("bare")).await.expect("a hello");
    let (link, _) = process.opened().await;
    (stream, link)
}

#[test]
fn both_sides_receive_the_hello_of_the_other() {
    run(async {
        let (mut control_node, address) = listening_process("core").await;
        let mut agent = TestProcess::new(PeerKind::Agent, "agent");
        let outgoing_link = agent.peers.connect(address);
        match agent.event().await {
            PeerEvent::Opened { link, hello, incoming, address: to } => {
                assert_eq!(
                    (link, hello.name.as_str(), incoming, to),
                    (outgoing_link, "core", false, address)
                );
            }
            other => panic!("{other:?} instead of an opened link"),
        }
        match control_node.event().await {
            PeerEvent::Opened { hello: Hello { name, kind, .. }, incoming, .. } => {
                assert_eq!((name.as_str(), kind, incoming), ("agent", PeerKind::Agent, true));
            }
            other => panic!("{other:?} instead of an opened link"),
        }
    });
}

#[test]
fn messages_arrive_in_order_even_if_sent_before_the_link_opens() {
    run(async {
        let (mut control_node, address) = listening_process("core").await;
        let mut agent = TestProcess::new(PeerKind::Agent, "agent");
        let link = agent.peers.connect(address);
        let long_name = "n".repeat(30_000);
        for sequence in 0..50 {
            agent.peers.send(link, &ping(&long_name, sequence));
        }
        let (incoming_link, _) = control_node.opened().await;
        agent.opened().await;
        for sequence in 0..50 {
            assert_eq!(control_node.frame().await, (incoming_link, ping(&long_name, sequence)));
            control_node.peers.send(incoming_link, &ping("back", sequence));
        }
        for sequence in 0..50 {
            assert_eq!(agent.frame().await, (link, ping("back", sequence)));
        }
    });
}

#[test]
fn closing_a_link_emits_one_closed_event_on_each_side() {
    run(async {
        let (mut control_node, address) = listening_process("core").await;
        let mut agent = TestProcess::new(PeerKind::Agent, "agent");
        let link = agent.peers.connect(address);
        let (incoming_link, _) = control_node.opened().await;
        agent.opened().await;
        agent.peers.send(link, &ping("last words", 1));
        agent.peers.close(link);
        agent.peers.close(link);
        agent.closed(link).await;
        assert_eq!(control_node.frame().await.1, ping("last words", 1));
        control_node.closed(incoming_link).await;
        agent.peers.send(link, &ping("too late", 2));
        assert!(agent.events.try_recv().is_err());
    });
}

#[test]
fn dropping_the_links_of_a_process_closes_them() {
    run(async {
        let (mut control_node, address) = listening_process("core").await;
        let mut agent = TestProcess::new(PeerKind::Agent, "agent");
        agent.peers.connect(address);
        let (incoming_link, _) = control_node.opened().await;
        agent.opened().await;
        drop(agent);
        control_node.closed(incoming_link).await;
    });
}

#[test]
fn a_refused_connection_is_reported() {
    run(async {
        let (listener, address) = listener(LOCALHOST).await;
        drop(listener);
        let mut agent = TestProcess::new(PeerKind::Agent, "agent");
        let outgoing_link = agent.peers.connect(address);
        assert!(matches!(agent.event().await, PeerEvent::ConnectFailed { link } if link == outgoing_link));
    });
}

#[test]
fn a_cancelled_connection_is_reported_as_failed() {
    run(async {
        let (_core, address) = listening_process("core").await;
        let mut agent = TestProcess::new(PeerKind::Agent, "agent");
        let outgoing_link = agent.peers.connect(address);
        agent.peers.close(outgoing_link);
        assert!(matches!(agent.event().await, PeerEvent::ConnectFailed { link } if link == outgoing_link));
    });
}

#[test]
fn a_connection_without_a_hello_is_reported_as_failed() {
    run(async {
        let (_silent, address) = listener(LOCALHOST).await;
        let mut agent = TestProcess::new(PeerKind::Agent, "agent");
        let outgoing_link = agent.peers.connect(address);
        assert!(matches!(agent.event().await, PeerEvent::ConnectFailed { link } if link == outgoing_link));
    });
}

#[test]
fn an_incoming_connection_with_an_incomplete_hello_is_closed_without_an_event() {
    run(async {
        let (mut control_node, address) = listening_process("core").await;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let encoded = encoded_hello("half");
        stream.write_all(&encoded[..encoded.len() / 2]).await.expect("half a hello");
        read_to_end(&mut stream).await;
        assert!(control_node.events.try_recv().is_err());
    });
}

#[test]
fn a_first_message_other_than_hello_closes_the_link() {
    run(async {
        let (mut control_node, address) = listening_process("core").await;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream.write_all(&encode_frame(ping("rude", 1))).await.expect("a message");
        read_to_end(&mut stream).await;
        assert!(control_node.events.try_recv().is_err());
    });
}

#[test]
fn a_frame_over_the_limit_closes_the_link() {
    run(async {
        let (mut control_node, address) = listening_process("core").await;
        let (mut stream, link) = connect_raw(&mut control_node, address).await;
        stream.write_all(&(MAX_FRAME_BYTES as u32 + 1).to_le_bytes()).await.expect("a length");
        control_node.closed(link).await;
        read_to_end(&mut stream).await;
    });
}

#[test]
fn a_malformed_frame_closes_the_link() {
    run(async {
        let (mut control_node, address) = listening_process("core").await;
        let (mut stream, link) = connect_raw(&mut control_node, address).await;
        let mut invalid_frame = 8u32.to_le_bytes().to_vec();
        invalid_frame.extend_from_slice(&[0xff; 8]);
        stream.write_all(&invalid_frame).await.expect("the frame is sent");
        control_node.closed(link).await;
    });
}

#[test]
fn the_link_of_a_slow_reader_is_closed() {
    run(async {
        let mut control_node =
            with_options(PeerOptions { max_queued_bytes: 100_000, ..PeerOptions::default() });
        let (listener, address) = listener(LOCALHOST).await;
        control_node.peers.listen(listener);
        let (mut stream, slow) = connect_raw(&mut control_node, address).await;
        let mut decoder = FrameDecoder::default();
        assert!(matches!(read_message(&mut stream, &mut decoder).await, Some(Body::Hello(_))));
        let large = "x".repeat(200_000);
        control_node.peers.send(slow, &ping(&large, 1));
        control_node.peers.send(slow, &ping(&large, 2));
        control_node.closed(slow).await;
    });
}

#[test]
fn a_single_message_may_exceed_the_queue_limit() {
    run(async {
        let mut control_node =
            with_options(PeerOptions { max_queued_bytes: 1_000, ..PeerOptions::default() });
        let (listener, address) = listener(LOCALHOST).await;
        control_node.peers.listen(listener);
        let mut agent = TestProcess::new(PeerKind::Agent, "agent");
        agent.peers.connect(address);
        let (link, _) = control_node.opened().await;
        agent.opened().await;
        let large = ping(&"x".repeat(5_000_000), 1);
        control_node.peers.send(link, &large);
        assert_eq!(agent.frame().await.1, large);
    });
}

fn install(index: u64) -> Body {
    let snapshot_last = Position { epoch: 1, index };
    Body::Install(Box::new(Install {
        epoch: 1,
        snapshot_last,
        snapshot: vec![3; 9_000_000],
        entries: Vec::new(),
    }))
}

#[test]
fn repeated_state_messages_neither_close_the_link_nor_delay_heartbeats() {
    run(async {
        let mut control_node =
            with_options(PeerOptions { max_queued_bytes: 100_000, ..PeerOptions::default() });
        let (listener, address) = listener(LOCALHOST).await;
        control_node.peers.listen(listener);
        let mut member = TestProcess::new(PeerKind::Control, "member");
        member.peers.connect(address);
        let (link, _) = control_node.opened().await;
        member.opened().await;
        let grant = Body::LeaseGrant(Box::<LeaseGrant>::default());
        for index in 1..=20 {
            control_node.peers.send(link, &install(index));
            control_node.peers.send(link, &grant);
        }
        let mut received = Vec::new();
        while !received.contains(&install(20)) {
            received.push(member.frame().await.1);
        }
        assert!(received[..20].iter().all(|body| *body == grant), "heartbeats were delayed by state");
        assert!(received.len() < 30, "superseded state was sent");
    });
}

#[test]
fn an_idle_link_closes_after_the_idle_timeout() {
    run(async {
        let idle_timeout = Some(Duration::from_millis(50));
        let mut control_node = with_options(PeerOptions { idle_timeout, ..PeerOptions::default() });
        let (listener, address) = listener(LOCALHOST).await;
        control_node.peers.listen(listener);
        let mut agent = TestProcess::new(PeerKind::Agent, "agent");
        let link = agent.peers.connect(address);
        let (incoming_link, _) = control_node.opened().await;
        agent.opened().await;
        control_node.closed(incoming_link).await;
        agent.closed(link).await;
    });
}

#[test]
fn connections_beyond_the_limit_are_closed() {
    run(async {
        let mut control_node = with_options(PeerOptions { max_incoming: 1, ..PeerOptions::default() });
        let (listener, address) = listener(LOCALHOST).await;
        control_node.peers.listen(listener);
        let (first, link) = connect_raw(&mut control_node, address).await;
        let mut second = TcpStream::connect(address).await.expect("a connection");
        read_to_end(&mut second).await;
        drop(first);
        control_node.closed(link).await;
        connect_raw(&mut control_node, address).await;
    });
}

#[test]
fn connections_are_refused_after_listening_has_stopped() {
    run(async {
        let (mut control_node, address) = listening_process("core").await;
        let (_stream, link) = connect_raw(&mut control_node, address).await;
        control_node.peers.stop_listening();
        tokio::task::yield_now().await;
        let mut agent = TestProcess::new(PeerKind::Agent, "agent");
        agent.peers.connect(address);
        assert!(matches!(agent.event().await, PeerEvent::ConnectFailed { .. }));
        control_node.peers.send(link, &ping("still here", 1));
        assert!(expect("no event", async { control_node.events.try_recv() }).await.is_err());
    });
}

#[test]
fn binding_waits_for_an_address_in_use_and_then_fails() {
    run(async {
        let (occupied, address) = listener(LOCALHOST).await;
        let refused = expect("the result", quillpulley::peer::bind(address)).await;
        assert!(refused.is_err_and(|error| error.to_string().contains(&address.to_string())));
        let (bound, ()) = tokio::join!(quillpulley::peer::bind(address), async { drop(occupied) });
        assert!(bound.is_ok());
    });
}
