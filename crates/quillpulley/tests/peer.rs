//! Links between processes: which events they emit, and what closes them.

mod common;

use common::{expect, hello, listener, read_message, read_to_end, run, Side};
use quillpulley::peer::{PeerEvent, PeerOptions, Peers};
use quillpulley_protocol::{
    encode_frame, Body, FrameDecoder, Hello, Install, LeaseGrant, PeerKind, Ping, Position, MAX_FRAME_BYTES,
};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const HERE: Ipv4Addr = Ipv4Addr::LOCALHOST;

fn ping(name: &str, sequence: u64) -> Body {
    Body::Ping(Box::new(Ping { name: name.to_string(), sequence }))
}

fn greeting(name: &str) -> Vec<u8> {
    encode_frame(Body::Hello(Box::new(hello(PeerKind::Agent, name))))
}

async fn listening(name: &str) -> (Side, SocketAddr) {
    let side = Side::new(PeerKind::Control, name);
    let (listener, address) = listener(HERE).await;
    side.peers.listen(listener);
    (side, address)
}

fn with_options(options: PeerOptions) -> Side {
    let (peers, events) = Peers::with_options(hello(PeerKind::Control, "bounded"), options);
    Side { peers, events }
}

/// Opens a raw connection to `side`, sends a `Hello`, and waits until the link is open.
async fn bare(side: &mut Side, address: SocketAddr) -> (TcpStream, quillpulley::peer::LinkId) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(&greeting("bare")).await.expect("a hello");
    let (link, _) = side.opened().await;
    (stream, link)
}

#[test]
fn both_sides_learn_who_the_other_is() {
    run(async {
        let (mut control_node, address) = listening("core").await;
        let mut agent = Side::new(PeerKind::Agent, "agent");
        let asked = agent.peers.connect(address);
        match agent.event().await {
            PeerEvent::Opened { link, hello, incoming, address: to } => {
                assert_eq!((link, hello.name.as_str(), incoming, to), (asked, "core", false, address));
            }
            other => panic!("{other:?}"),
        }
        match control_node.event().await {
            PeerEvent::Opened { hello: Hello { name, kind, .. }, incoming, .. } => {
                assert_eq!((name.as_str(), kind, incoming), ("agent", PeerKind::Agent, true));
            }
            other => panic!("{other:?}"),
        }
    });
}

#[test]
fn frames_come_in_order_both_ways_also_those_sent_before_the_link_opens() {
    run(async {
        let (mut control_node, address) = listening("core").await;
        let mut agent = Side::new(PeerKind::Agent, "agent");
        let link = agent.peers.connect(address);
        let long_name = "n".repeat(30_000);
        for sequence in 0..50 {
            agent.peers.send(link, &ping(&long_name, sequence));
        }
        let (at_control_node, _) = control_node.opened().await;
        agent.opened().await;
        for sequence in 0..50 {
            assert_eq!(control_node.frame().await, (at_control_node, ping(&long_name, sequence)));
            control_node.peers.send(at_control_node, &ping("back", sequence));
        }
        for sequence in 0..50 {
            assert_eq!(agent.frame().await, (link, ping("back", sequence)));
        }
    });
}

#[test]
fn a_link_that_one_side_closes_is_closed_once_on_both() {
    run(async {
        let (mut control_node, address) = listening("core").await;
        let mut agent = Side::new(PeerKind::Agent, "agent");
        let link = agent.peers.connect(address);
        let (at_control_node, _) = control_node.opened().await;
        agent.opened().await;
        agent.peers.send(link, &ping("last words", 1));
        agent.peers.close(link);
        agent.peers.close(link);
        agent.closed(link).await;
        assert_eq!(control_node.frame().await.1, ping("last words", 1));
        control_node.closed(at_control_node).await;
        agent.peers.send(link, &ping("too late", 2));
        assert!(agent.events.try_recv().is_err());
    });
}

#[test]
fn all_links_close_with_their_process() {
    run(async {
        let (mut control_node, address) = listening("core").await;
        let mut agent = Side::new(PeerKind::Agent, "agent");
        agent.peers.connect(address);
        let (at_control_node, _) = control_node.opened().await;
        agent.opened().await;
        drop(agent);
        control_node.closed(at_control_node).await;
    });
}

#[test]
fn a_missing_peer_is_reported_at_once() {
    run(async {
        let (listener, address) = listener(HERE).await;
        drop(listener);
        let mut agent = Side::new(PeerKind::Agent, "agent");
        let asked = agent.peers.connect(address);
        assert!(matches!(agent.event().await, PeerEvent::ConnectFailed { link } if link == asked));
    });
}

#[test]
fn a_connection_called_off_counts_as_failed() {
    run(async {
        let (_core, address) = listening("core").await;
        let mut agent = Side::new(PeerKind::Agent, "agent");
        let asked = agent.peers.connect(address);
        agent.peers.close(asked);
        assert!(matches!(agent.event().await, PeerEvent::ConnectFailed { link } if link == asked));
    });
}

#[test]
fn a_peer_without_a_hello_is_no_connection() {
    run(async {
        let (_silent, address) = listener(HERE).await;
        let mut agent = Side::new(PeerKind::Agent, "agent");
        let asked = agent.peers.connect(address);
        assert!(matches!(agent.event().await, PeerEvent::ConnectFailed { link } if link == asked));
    });
}

#[test]
fn half_a_hello_is_closed_and_not_reported() {
    run(async {
        let (mut control_node, address) = listening("core").await;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let whole = greeting("half");
        stream.write_all(&whole[..whole.len() / 2]).await.expect("half a hello");
        read_to_end(&mut stream).await;
        assert!(control_node.events.try_recv().is_err());
    });
}

#[test]
fn a_first_message_that_is_no_hello_closes_the_link() {
    run(async {
        let (mut control_node, address) = listening("core").await;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream.write_all(&encode_frame(ping("rude", 1))).await.expect("a message");
        read_to_end(&mut stream).await;
        assert!(control_node.events.try_recv().is_err());
    });
}

#[test]
fn a_frame_over_the_limit_closes_the_link() {
    run(async {
        let (mut control_node, address) = listening("core").await;
        let (mut stream, link) = bare(&mut control_node, address).await;
        stream.write_all(&(MAX_FRAME_BYTES as u32 + 1).to_le_bytes()).await.expect("a length");
        control_node.closed(link).await;
        read_to_end(&mut stream).await;
    });
}

#[test]
fn a_malformed_frame_closes_the_link() {
    run(async {
        let (mut control_node, address) = listening("core").await;
        let (mut stream, link) = bare(&mut control_node, address).await;
        let mut junk = 8u32.to_le_bytes().to_vec();
        junk.extend_from_slice(&[0xff; 8]);
        stream.write_all(&junk).await.expect("junk");
        control_node.closed(link).await;
    });
}

#[test]
fn a_slow_reader_loses_its_link_and_delays_nobody() {
    run(async {
        let mut control_node =
            with_options(PeerOptions { max_queued_bytes: 100_000, ..PeerOptions::default() });
        let (listener, address) = listener(HERE).await;
        control_node.peers.listen(listener);
        let (mut stream, slow) = bare(&mut control_node, address).await;
        let mut decoder = FrameDecoder::default();
        assert!(matches!(read_message(&mut stream, &mut decoder).await, Some(Body::Hello(_))));
        let large = "x".repeat(200_000);
        control_node.peers.send(slow, &ping(&large, 1));
        control_node.peers.send(slow, &ping(&large, 2));
        control_node.closed(slow).await;
    });
}

#[test]
fn one_frame_may_exceed_the_bound_of_what_waits() {
    run(async {
        let mut control_node =
            with_options(PeerOptions { max_queued_bytes: 1_000, ..PeerOptions::default() });
        let (listener, address) = listener(HERE).await;
        control_node.peers.listen(listener);
        let mut agent = Side::new(PeerKind::Agent, "agent");
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
fn state_that_is_sent_again_and_again_closes_no_link_and_lets_heartbeats_pass() {
    run(async {
        let mut control_node =
            with_options(PeerOptions { max_queued_bytes: 100_000, ..PeerOptions::default() });
        let (listener, address) = listener(HERE).await;
        control_node.peers.listen(listener);
        let mut member = Side::new(PeerKind::Control, "member");
        member.peers.connect(address);
        let (link, _) = control_node.opened().await;
        member.opened().await;
        let grant = Body::LeaseGrant(Box::<LeaseGrant>::default());
        for index in 1..=20 {
            control_node.peers.send(link, &install(index));
            control_node.peers.send(link, &grant);
        }
        let mut came = Vec::new();
        while !came.contains(&install(20)) {
            came.push(member.frame().await.1);
        }
        assert!(came[..20].iter().all(|body| *body == grant), "heartbeats were delayed by state");
        assert!(came.len() < 30, "superseded state was sent");
    });
}

#[test]
fn an_idle_link_closes_only_where_a_timeout_is_set() {
    run(async {
        let idle_timeout = Some(Duration::from_millis(50));
        let mut watchful = with_options(PeerOptions { idle_timeout, ..PeerOptions::default() });
        let (listener, address) = listener(HERE).await;
        watchful.peers.listen(listener);
        let mut agent = Side::new(PeerKind::Agent, "agent");
        let link = agent.peers.connect(address);
        let (at_control_node, _) = watchful.opened().await;
        agent.opened().await;
        watchful.closed(at_control_node).await;
        agent.closed(link).await;
    });
}

#[test]
fn connections_beyond_the_bound_are_closed() {
    run(async {
        let mut control_node = with_options(PeerOptions { max_incoming: 1, ..PeerOptions::default() });
        let (listener, address) = listener(HERE).await;
        control_node.peers.listen(listener);
        let (first, link) = bare(&mut control_node, address).await;
        let mut second = TcpStream::connect(address).await.expect("a connection");
        read_to_end(&mut second).await;
        drop(first);
        control_node.closed(link).await;
        bare(&mut control_node, address).await;
    });
}

#[test]
fn no_new_links_come_after_listening_has_stopped() {
    run(async {
        let (mut control_node, address) = listening("core").await;
        let (_stream, link) = bare(&mut control_node, address).await;
        control_node.peers.stop_listening();
        tokio::task::yield_now().await;
        let mut agent = Side::new(PeerKind::Agent, "agent");
        agent.peers.connect(address);
        assert!(matches!(agent.event().await, PeerEvent::ConnectFailed { .. }));
        control_node.peers.send(link, &ping("still here", 1));
        assert!(expect("no event", async { control_node.events.try_recv() }).await.is_err());
    });
}

#[test]
fn an_address_in_use_is_waited_for_and_then_reported() {
    run(async {
        let (taken, address) = listener(HERE).await;
        let refused = expect("the result", quillpulley::peer::bind(address)).await;
        assert!(refused.is_err_and(|error| error.to_string().contains(&address.to_string())));
        let (freed, ()) = tokio::join!(quillpulley::peer::bind(address), async { drop(taken) });
        assert!(freed.is_ok());
    });
}
