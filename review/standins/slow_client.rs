//! A client behind a link of a few megabits per second: its window is small, and it reads an answer as fast as the link
//! brings it.

use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// `struct sockaddr_in` of Linux.
#[repr(C)]
struct SocketAddress {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

const AF_INET: i32 = 2;
const SOCK_STREAM_CLOEXEC: i32 = 1 | 0o2_000_000;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
/// The window of the client, and the segment size of an ordinary network in place of the loopback's.
const WINDOW_BYTES: i32 = 16 * 1024;
const SEGMENT_BYTES: i32 = 1460;

/// How a request ended for its client.
pub struct End {
    pub sent_at: f64,
    pub ended_at: f64,
    pub status: Option<u16>,
    pub expected: usize,
    pub received: usize,
}

impl End {
    pub fn is_complete(&self) -> bool {
        self.status.is_some() && self.received == self.expected
    }
}

fn connect_with_small_window(address: SocketAddrV4) -> Option<TcpStream> {
    // SAFETY: the calls get valid pointers and lengths, and the new descriptor has no other owner.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if descriptor < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &WINDOW_BYTES, 4);
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, 4);
        let target = SocketAddress {
            family: AF_INET as u16,
            port: address.port().to_be(),
            address: u32::from_ne_bytes(address.ip().octets()),
            zero: [0; 8],
        };
        (connect(descriptor, &target, 16) == 0).then_some(stream)
    }
}

/// Sends a request and reads its answer at `bytes_per_s`. `now` returns the time of the record.
pub fn request(
    front: SocketAddr,
    path: &str,
    id: &str,
    deadline: Duration,
    bytes_per_s: usize,
    now: impl Fn() -> f64,
) -> End {
    let mut end = End { sent_at: now(), ended_at: 0.0, status: None, expected: usize::MAX, received: 0 };
    let SocketAddr::V4(front) = front else { return end };
    let start = Instant::now();
    if let Some(mut stream) = connect_with_small_window(front) {
        let body = "{}";
        let message = format!(
            "POST {path} HTTP/1.1\r\nHost: cards.example\r\nQuillpulley-Request-Id: {id}\r\n\
             Quillpulley-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
            deadline.as_millis(),
            body.len()
        );
        let _ = stream.write_all(message.as_bytes());
        let _ = stream.set_read_timeout(Some(deadline));
        read_answer(&mut stream, bytes_per_s, start, deadline, &mut end);
    }
    end.ended_at = now();
    end
}

fn read_answer(
    stream: &mut TcpStream,
    bytes_per_s: usize,
    start: Instant,
    deadline: Duration,
    end: &mut End,
) {
    let mut head = Vec::new();
    let mut head_bytes = None;
    let mut total = 0;
    let mut buffer = vec![0; bytes_per_s / 25];
    let read_start = Instant::now();
    while start.elapsed() < deadline {
        let Ok(length) = stream.read(&mut buffer) else { return };
        if length == 0 {
            return;
        }
        total += length;
        if head_bytes.is_none() {
            head.extend_from_slice(&buffer[..length]);
            let Some(at) = head.windows(4).position(|window| window == b"\r\n\r\n") else { continue };
            let text = String::from_utf8_lossy(&head[..at]).to_ascii_lowercase();
            end.status = text.split_whitespace().nth(1).and_then(|status| status.parse().ok());
            let length = text.lines().find_map(|line| line.strip_prefix("content-length:"));
            end.expected = length.and_then(|length| length.trim().parse().ok()).unwrap_or(usize::MAX);
            head_bytes = Some(at + 4);
        }
        end.received = total - head_bytes.unwrap_or(0);
        if end.received >= end.expected {
            return;
        }
        let due = read_start + Duration::from_secs_f64(total as f64 / bytes_per_s as f64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
}
