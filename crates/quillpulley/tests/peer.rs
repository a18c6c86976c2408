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
use tokio::time::Instant;

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

/// More silent callers than there may be connections without a `Hello`, by default.
const SILENT_CALLERS: usize = 600;
/// The time within which a link has to open whatever other callers do.
const MAX_OPEN_TIME: Duration = Duration::from_secs(1);

/// Opens raw connections that send `bytes` and no complete `Hello`.
async fn callers_without_hello(address: SocketAddr, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let mut callers = Vec::new();
    for _ in 0..count {
        let mut caller = TcpStream::connect(address).await.expect("a connection");
        // The connection may be closed already.
        let _ = caller.write_all(bytes).await;
        callers.push(caller);
    }
    callers
}

/// Checks that another process opens a link in time beside callers that send `bytes`.
async fn assert_opens_beside_callers_that_send(bytes: &[u8]) {
    let (mut control_node, address) = listening_process("core").await;
    let _callers = callers_without_hello(address, SILENT_CALLERS, bytes).await;
    let started = Instant::now();
    let mut agent = TestProcess::new(PeerKind::Agent, "agent");
    let link = agent.peers.connect(address);
    assert_eq!(agent.opened().await.0, link);
    assert_eq!(control_node.opened().await.1.name, "agent");
    assert!(started.elapsed() < MAX_OPEN_TIME, "opened after {:?}", started.elapsed());
}

/// Guards against silent callers that keep processes of the system from opening links.
#[test]
fn silent_callers_do_not_keep_others_out() {
    run(assert_opens_beside_callers_that_send(b""));
}

/// Guards against callers that stop within their `Hello` and keep processes of the system from opening links.
#[test]
fn callers_that_stop_within_their_hello_do_not_keep_others_out() {
    let hello = encoded_hello("half");
    run(assert_opens_beside_callers_that_send(&hello[..hello.len() - 1]));
}

/// Guards against callers of another protocol that keep processes of the system from opening links.
#[test]
fn callers_of_another_protocol_do_not_keep_others_out() {
    run(assert_opens_beside_callers_that_send(b"GET / HTTP/1.1\r\n\r\n"));
}

/// Guards against callers without a `Hello` that make a process hold a message of the maximum length each.
#[test]
fn a_first_message_that_is_far_longer_than_a_hello_closes_its_connection() {
    run(async {
        let (mut control_node, address) = listening_process("core").await;
        let mut caller = TcpStream::connect(address).await.expect("a connection");
        let started = Instant::now();
        let message = [(MAX_FRAME_BYTES as u32).to_le_bytes().to_vec(), vec![0; 200_000]].concat();
        // The connection may be closed before all is written.
        let _ = caller.write_all(&message).await;
        read_to_end(&mut caller).await;
        assert!(started.elapsed() < MAX_OPEN_TIME, "closed by the timeout");
        assert!(control_node.events.try_recv().is_err());
    });
}

/// Guards against open links that are closed to make room.
#[test]
fn silent_callers_close_no_open_link() {
    run(async {
        let (mut control_node, address) = listening_process("core").await;
        let mut agent = TestProcess::new(PeerKind::Agent, "agent");
        let link = agent.peers.connect(address);
        control_node.opened().await;
        agent.opened().await;
        let _callers = callers_without_hello(address, SILENT_CALLERS, b"").await;
        let (mut late, _) = connect_raw(&mut control_node, address).await;
        agent.peers.send(link, &ping("still open", 1));
        assert_eq!(control_node.frame().await.1, ping("still open", 1));
        late.shutdown().await.expect("a shutdown");
    });
}

/// Guards against connections that are closed to make room although their `Hello` has arrived.
#[test]
fn connections_that_have_sent_their_hello_are_not_closed_to_make_room() {
    run(async {
        let mut control_node = with_options(PeerOptions { max_handshakes: 1, ..PeerOptions::default() });
        let (listener, address) = listener(LOCALHOST).await;
        let waiting = callers_without_hello(address, 20, &encoded_hello("waiting")).await;
        control_node.peers.listen(listener);
        for _ in &waiting {
            control_node.opened().await;
        }
        assert!(control_node.events.try_recv().is_err());
    });
}

/// Guards against a backlog that is accepted at once, beyond the limit.
#[test]
fn the_oldest_connections_without_a_hello_are_closed_to_make_room() {
    run(async {
        let started = Instant::now();
        let control_node = with_options(PeerOptions { max_handshakes: 2, ..PeerOptions::default() });
        let (listener, address) = listener(LOCALHOST).await;
        let mut waiting = callers_without_hello(address, 10, b"").await;
        control_node.peers.listen(listener);
        let mut latest = waiting.pop().expect("a caller");
        assert!(read_message(&mut latest, &mut FrameDecoder::default()).await.is_some());
        assert!(started.elapsed() < MAX_OPEN_TIME, "closed by the timeout, not to make room");
        let second_latest = waiting.pop().expect("a caller");
        for mut closed in waiting {
            read_to_end(&mut closed).await;
        }
        assert!(started.elapsed() < MAX_OPEN_TIME, "more connections than the limit were accepted at once");
        assert!(is_open(&second_latest) && is_open(&latest));
    });
}

/// Returns whether the peer has not closed a raw connection.
fn is_open(stream: &TcpStream) -> bool {
    let mut bytes = [0; 4096];
    match stream.try_read(&mut bytes) {
        Ok(count) => count > 0,
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
    }
}

/// Guards against connections without a `Hello` that become more open links than the limit.
#[test]
fn a_hello_beyond_the_limit_of_open_links_closes_its_connection() {
    run(async {
        let mut control_node = with_options(PeerOptions { max_incoming: 1, ..PeerOptions::default() });
        let (listener, address) = listener(LOCALHOST).await;
        control_node.peers.listen(listener);
        let mut callers = callers_without_hello(address, 2, b"").await;
        for caller in &mut callers {
            assert!(read_message(caller, &mut FrameDecoder::default()).await.is_some());
        }
        callers[0].write_all(&encoded_hello("first")).await.expect("a hello");
        assert_eq!(control_node.opened().await.1.name, "first");
        callers[1].write_all(&encoded_hello("second")).await.expect("a hello");
        read_to_end(&mut callers[1]).await;
        assert!(control_node.events.try_recv().is_err());
        assert!(is_open(&callers[0]));
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
