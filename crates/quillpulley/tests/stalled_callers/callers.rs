//! Callers that stall: what they send, and where they stop.

use crate::links::encoded_hello;
use crate::system::System;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Interval at which callers that send byte by byte send the next one.
const BYTE_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the receive buffer of callers that never read, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;
/// Length of the answer that clients that never read ask for, in bytes.
pub const LONG_ANSWER_BYTES: usize = 4_000_000;

/// A listener of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    Front,
    Ready,
    Control,
    Directory,
    /// The links of the control nodes.
    Peers,
    /// The links of the agent.
    AgentPeers,
}

impl Listener {
    pub fn parse(name: &str) -> Listener {
        match name {
            "front" => Listener::Front,
            "ready" => Listener::Ready,
            "control" => Listener::Control,
            "directory" => Listener::Directory,
            "peers" => Listener::Peers,
            "agent-peers" => Listener::AgentPeers,
            other => panic!("there is no listener {other}"),
        }
    }

    /// Returns the addresses that are beset: those of all control nodes, of the proxy, or of the agent.
    fn addresses(self, system: &System) -> Vec<SocketAddr> {
        let machines = &system.machines;
        match self {
            Listener::Front => vec![machines.proxy()],
            Listener::Ready => vec![machines.ready()],
            Listener::Control => machines.control_addresses(),
            Listener::Directory => machines.directory_addresses(),
            Listener::Peers => machines.peer_addresses(),
            Listener::AgentPeers => vec![machines.agent_links(), machines.proxy_links()],
        }
    }

    /// Returns a request for a long answer where there is one.
    fn request(self, number: usize) -> String {
        match self {
            Listener::Front => format!(
                "POST /cards/{LONG_ANSWER_BYTES}/0 HTTP/1.1\r\nHost: stalled.example\r\n\
                 Quillpulley-Request-Id: unread-{number}-{}\r\nQuillpulley-Deadline-Ms: 5000\r\n\r\n",
                fastrand::u64(..)
            ),
            Listener::Ready => "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n".to_string(),
            Listener::Control => "GET /v1/Config.Get HTTP/1.1\r\nHost: x\r\n\r\n".to_string(),
            Listener::Directory => {
                "GET /v1/resolve?Name=stalled.example&Region=region-a&Zone=zone-1 HTTP/1.1\r\nHost: x\r\n\r\n"
                    .to_string()
            }
            Listener::Peers | Listener::AgentPeers => "no frame of the protocol".to_string(),
        }
    }

    /// Returns what callers send byte by byte: a request, or the `Hello` of a link.
    fn head(self) -> Vec<u8> {
        match self {
            Listener::Peers | Listener::AgentPeers => encoded_hello("slow"),
            _ => self.request(0).into_bytes(),
        }
    }

    /// Returns the head of a request with a body of this length.
    fn head_with_body(self, number: usize, length: usize) -> String {
        let path = match self {
            Listener::Front => "/cards/10/0",
            Listener::Ready => "/v1/ready",
            Listener::Control | Listener::Peers | Listener::AgentPeers => "/v1/Config.Replace",
            Listener::Directory => "/v1/resolve",
        };
        format!(
            "POST {path} HTTP/1.1\r\nHost: stalled.example\r\nQuillpulley-Request-Id: partial-{number}-{}\r\n\
             Quillpulley-If-Config-Version: 1\r\nContent-Length: {length}\r\n\r\n",
            fastrand::u64(..)
        )
    }
}

/// Where a caller stalls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Sends nothing.
    Silent,
    /// Sends a head byte by byte.
    HeadByteWise,
    /// Stops within a body.
    PartialBody,
    /// Stops within a long body, of which much has arrived. Only measured.
    LongPartialBody,
    /// Sends a body that is longer than announced, and goes on.
    LongerBody,
    /// Resets the connection within a request.
    Reset,
    /// Never reads its answer.
    NeverReads,
}

impl Behaviour {
    pub fn parse(name: &str) -> Behaviour {
        match name {
            "silent" => Behaviour::Silent,
            "head-byte-wise" => Behaviour::HeadByteWise,
            "partial-body" => Behaviour::PartialBody,
            "longer-body" => Behaviour::LongerBody,
            "reset" => Behaviour::Reset,
            "never-reads" => Behaviour::NeverReads,
            other => panic!("there is no behaviour {other}"),
        }
    }
}

/// Callers that stall until they are dropped.
pub struct StalledCallers {
    streams: Arc<Vec<TcpStream>>,
    stop: Arc<AtomicBool>,
    sender: Option<JoinHandle<()>>,
}

impl StalledCallers {
    /// Opens `count` callers of each address of a listener.
    pub fn open(
        system: &System,
        listener: Listener,
        behaviour: Behaviour,
        count: usize,
        seed: u64,
    ) -> StalledCallers {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut streams = Vec::new();
        for address in listener.addresses(system) {
            for number in 0..count {
                let Some(stream) = connect(address, behaviour) else { continue };
                begin(&stream, listener, behaviour, number, &mut random);
                streams.push(stream);
            }
        }
        let streams = Arc::new(streams);
        let stop = Arc::new(AtomicBool::new(false));
        let sender = (behaviour == Behaviour::HeadByteWise).then(|| {
            let (streams, stop) = (streams.clone(), stop.clone());
            thread::spawn(move || send_byte_wise(&streams, &listener.head(), &stop))
        });
        StalledCallers { streams, stop, sender }
    }
}

impl Drop for StalledCallers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(sender) = self.sender.take() {
            let _ = sender.join();
        }
        for stream in self.streams.iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn connect(address: SocketAddr, behaviour: Behaviour) -> Option<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    if behaviour == Behaviour::NeverReads {
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    }
    socket.connect_timeout(&address.into(), Duration::from_secs(2)).ok()?;
    Some(socket.into())
}

/// Sends what the caller sends before it stalls. It may fail, as the listener may close the connection.
fn begin(
    mut stream: &TcpStream,
    listener: Listener,
    behaviour: Behaviour,
    number: usize,
    random: &mut fastrand::Rng,
) {
    let text = match behaviour {
        Behaviour::Silent | Behaviour::HeadByteWise => String::new(),
        Behaviour::PartialBody => {
            let length = random.usize(1..2_000);
            listener.head_with_body(number, 2_000) + &"x".repeat(length)
        }
        Behaviour::LongPartialBody => listener.head_with_body(number, 4_000_000) + &"x".repeat(200_000),
        Behaviour::LongerBody => listener.head_with_body(number, 10) + &"x".repeat(random.usize(11..50_000)),
        Behaviour::Reset => {
            let text = listener.head_with_body(number, 20) + &"x".repeat(20);
            text[..random.usize(0..text.len())].to_string()
        }
        Behaviour::NeverReads => listener.request(number),
    };
    let _ = stream.write_all(text.as_bytes());
    if behaviour == Behaviour::Reset {
        let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn send_byte_wise(streams: &[TcpStream], head: &[u8], stop: &AtomicBool) {
    for byte in head {
        for mut stream in streams {
            let _ = stream.write_all(&[*byte]);
        }
        thread::sleep(BYTE_INTERVAL);
        if stop.load(Ordering::Relaxed) {
            return;
        }
    }
}
