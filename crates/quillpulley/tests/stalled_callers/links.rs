//! Processes of the system that open links beside the callers.

use quillpulley_protocol::{encode_frame, Body, FrameDecoder, Hello, NodeId, PeerKind, Revision, Subscribe};
use quillpulley_state_sync::RANGE_COUNT;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

/// The maximum time for each step of opening a link: connecting, and waiting for bytes.
const STEP_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the encoded `Hello` of an agent.
pub fn encoded_hello(name: &str) -> Vec<u8> {
    encode_frame(Body::Hello(Box::new(Hello {
        kind: PeerKind::Agent,
        node: NodeId::new(Ipv4Addr::LOCALHOST, 0),
        name: name.to_string(),
        zone: "zone-1".to_string(),
        region: "region-a".to_string(),
        control_address: String::new(),
    })))
}

/// Opens a link as another agent does, and subscribes. Returns whether the subscription was answered, which shows that the link was open. The
/// answer is short, as the subscription names the last revision of the current epoch.
pub fn opens(address: SocketAddr, epoch: u64) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, STEP_TIMEOUT) else { return false };
    let revision = Revision { epoch, tick: u64::MAX };
    let subscribe = Body::Subscribe(Box::new(Subscribe { revision, digests: vec![0; RANGE_COUNT] }));
    let frames = [encoded_hello("other"), encode_frame(subscribe)].concat();
    stream.set_read_timeout(Some(STEP_TIMEOUT)).is_ok()
        && stream.write_all(&frames).is_ok()
        && receives_update(&mut stream)
}

fn receives_update(stream: &mut TcpStream) -> bool {
    let mut decoder = FrameDecoder::default();
    let mut bytes = [0; 4096];
    loop {
        match decoder.next_frame() {
            Ok(Some(Body::Update(_))) => return true,
            Ok(Some(_)) => {}
            Ok(None) => match stream.read(&mut bytes) {
                Ok(0) | Err(_) => return false,
                Ok(count) => decoder.push(&bytes[..count]),
            },
            Err(_) => return false,
        }
    }
}
