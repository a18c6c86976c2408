//! Utilities that the tests of the hosts share: a runtime, waits with a timeout, and simulated processes.
#![allow(dead_code)]

pub mod tree;

use quillpulley::peer::{LinkId, PeerEvent, Peers};
use quillpulley_protocol::{Body, FrameDecoder, Hello, NodeId, PeerKind};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::LocalSet;

/// A test fails if a wait takes longer than this.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a test on a single-threaded runtime, as the hosts do.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let mut logs = env_logger::Builder::new();
    // Initialization fails if another test of the same process has already done it.
    let _ = logs.is_test(true).filter_module("quillpulley", log::LevelFilter::Debug).try_init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

/// Waits for a future, and panics if it does not complete in time.
pub async fn expect<T>(what: &str, future: impl Future<Output = T>) -> T {
    match tokio::time::timeout(TIMEOUT, future).await {
        Ok(value) => value,
        Err(_) => panic!("timed out waiting for {what}"),
    }
}

/// Returns a listener on a free port of this address, and its socket address.
pub async fn listener(ip: Ipv4Addr) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Returns the `Hello` of a simulated process.
pub fn hello(kind: PeerKind, name: &str) -> Hello {
    Hello {
        kind,
        node: NodeId::new(Ipv4Addr::LOCALHOST, 0),
        name: name.to_string(),
        zone: "zone-a".to_string(),
        region: "region-a".to_string(),
        control_address: String::new(),
    }
}

/// The links of one simulated process, and their events.
pub struct TestProcess {
    /// The links.
    pub peers: Rc<Peers>,
    /// The events of the links.
    pub events: UnboundedReceiver<PeerEvent>,
}

impl TestProcess {
    /// Creates a process of this kind and name, without links.
    pub fn new(kind: PeerKind, name: &str) -> TestProcess {
        let (peers, events) = Peers::new(hello(kind, name));
        TestProcess { peers, events }
    }

    /// Returns the next event.
    pub async fn event(&mut self) -> PeerEvent {
        expect("an event", self.events.recv()).await.expect("the links exist")
    }

    /// Returns the link and the `Hello` of the next event, which must be [`PeerEvent::Opened`].
    pub async fn opened(&mut self) -> (LinkId, Hello) {
        match self.event().await {
            PeerEvent::Opened { link, hello, .. } => (link, hello),
            other => panic!("{other:?} instead of an opened link"),
        }
    }

    /// Returns the link and the message of the next event, which must be [`PeerEvent::Frame`].
    pub async fn frame(&mut self) -> (LinkId, Body) {
        match self.event().await {
            PeerEvent::Frame { link, body } => (link, body),
            other => panic!("{other:?} instead of a message"),
        }
    }

    /// Waits for the next event, which must be [`PeerEvent::Closed`] for this link.
    pub async fn closed(&mut self, expected_link: LinkId) {
        match self.event().await {
            PeerEvent::Closed { link } => assert_eq!(link, expected_link),
            other => panic!("{other:?} instead of a closed link"),
        }
    }
}

/// Returns the next message on a raw connection, or `None` if the connection is closed.
pub async fn read_message(stream: &mut TcpStream, decoder: &mut FrameDecoder) -> Option<Body> {
    loop {
        if let Some(body) = decoder.next_frame().expect("messages") {
            return Some(body);
        }
        let mut bytes = [0; 4096];
        match expect("bytes", stream.read(&mut bytes)).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => decoder.push(&bytes[..count]),
        }
    }
}

/// Reads a raw connection until it is closed.
pub async fn read_to_end(stream: &mut TcpStream) {
    let mut decoder = FrameDecoder::default();
    while read_message(stream, &mut decoder).await.is_some() {}
}
