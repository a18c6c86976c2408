//! A client that uses its connection for as long as it is open, and reads some of its answers slowly.

use crate::answers::{End, Ended, Kind};
use crate::http::header_value;
use crate::server::body_part;
use fastrand::Rng;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The host of all routes.
pub const HOST: &str = "soak.example";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a connection could not be opened.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Maximum pause between two requests: less than four fifths of the lowest `IdleTimeoutMs`.
const MAX_PAUSE_MS: u64 = 700;
/// The deadlines of requests, and the longest time for which a client reads the answer. The last one is nearly all of the
/// time for which a process that got SIGTERM still runs.
const DEADLINES: [(Duration, Duration); 3] = [
    (Duration::from_millis(2_000), Duration::from_millis(800)),
    (Duration::from_millis(5_000), Duration::from_millis(3_000)),
    (Duration::from_millis(15_000), Duration::from_millis(6_500)),
];
/// Interval between the parts of an answer that a client reads.
const READ_INTERVAL: Duration = Duration::from_millis(20);
/// The lengths of long answers, in bytes: they do not fit into the buffers of the kernel.
const LONG_ANSWER_BYTES: std::ops::Range<usize> = 8_000_000..14_000_000;
const SHORT_ANSWER_BYTES: usize = 800;

/// A client of one proxy.
pub struct Client {
    name: String,
    proxy: SocketAddr,
    random: Rng,
    started: Instant,
    ended: Vec<Ended>,
}

/// A request that a client is about to send.
struct Request {
    id: String,
    kind: Kind,
    bytes: usize,
    work_ms: u64,
    deadline: Duration,
    /// The time that the client takes to read the answer.
    read_time: Duration,
}

impl Client {
    pub fn new(name: String, proxy: SocketAddr, random: Rng, started: Instant) -> Client {
        Client { name, proxy, random, started, ended: Vec::new() }
    }

    /// Sends requests until `stop` is set, and returns what it saw of them.
    pub fn run(mut self, stop: &AtomicBool) -> Vec<Ended> {
        while !stop.load(Ordering::Relaxed) {
            match TcpStream::connect_timeout(&self.proxy, CONNECT_TIMEOUT) {
                Ok(stream) => self.use_connection(&stream, stop),
                Err(_) => thread::sleep(RECONNECT_PAUSE),
            }
        }
        self.ended
    }

    /// Sends requests on a connection until it ends, or an answer says that it does.
    fn use_connection(&mut self, stream: &TcpStream, stop: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        let mut stays_open = true;
        while stays_open && !stop.load(Ordering::Relaxed) {
            let request = self.next_request();
            let sent_at = self.started.elapsed();
            let Ok(()) = send(stream, &request) else { return };
            let sent = Instant::now();
            let _ = stream.set_read_timeout(Some(request.deadline));
            let (end, keeps_open) = read_answer(&mut reader, &request);
            stays_open = keeps_open;
            let Request { id, kind, deadline, .. } = request;
            self.ended.push(Ended { id, kind, end, after: sent.elapsed(), deadline, sent_at });
            thread::sleep(Duration::from_millis(self.random.u64(0..MAX_PAUSE_MS)));
        }
    }

    fn next_request(&mut self) -> Request {
        let id = format!("{}-{}", self.name, self.ended.len());
        let kind = match self.random.u32(0..4) {
            0 => Kind::Streaming,
            1 => Kind::Idempotent,
            _ => Kind::NonIdempotent,
        };
        let is_long = self.random.u32(0..3) == 0;
        let bytes = if is_long { self.random.usize(LONG_ANSWER_BYTES) } else { SHORT_ANSWER_BYTES };
        // The time to read a stream follows from its events.
        let bytes = if kind == Kind::Streaming { bytes / 100 } else { bytes };
        let (deadline, max_read_time) = DEADLINES[self.random.usize(0..DEADLINES.len())];
        let read_time = if is_long { max_read_time.mul_f64(self.random.f64()) } else { Duration::ZERO };
        Request { id, kind, bytes, work_ms: self.random.u64(0..500), deadline, read_time }
    }
}

fn send(mut stream: &TcpStream, request: &Request) -> std::io::Result<()> {
    let prefix = match request.kind {
        Kind::Streaming => "copy",
        Kind::Idempotent => "lists",
        Kind::NonIdempotent => "cards",
    };
    let text = format!(
        "POST /{prefix}/{}/{} HTTP/1.1\r\nHost: {HOST}\r\nQuillpulley-Request-Id: {}\r\n\
         Quillpulley-Deadline-Ms: {}\r\nContent-Length: 5\r\n\r\nhello",
        request.bytes,
        request.work_ms,
        request.id,
        request.deadline.as_millis()
    );
    stream.write_all(text.as_bytes())
}

/// Reads an answer. Returns its end, and whether the connection stays open.
fn read_answer(reader: &mut BufReader<&TcpStream>, request: &Request) -> (End, bool) {
    let mut head = String::new();
    loop {
        match reader.read_line(&mut head) {
            Ok(read) if read > 0 => {}
            _ if head.is_empty() => return (End::Closed, false),
            _ => return (End::Cut { received: 0 }, false),
        }
        if head.ends_with("\r\n\r\n") {
            break;
        }
    }
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let keeps_open = !head.to_ascii_lowercase().contains("connection: close");
    let body = match header_value(&head, "content-length") {
        Some(length) => read_length(reader, length.parse().unwrap_or(0), request.read_time),
        None => read_chunks(reader),
    };
    let body = match body {
        Ok(body) => body,
        Err(received) => return (End::Cut { received }, false),
    };
    let is_own = body == body_part(&request.id, 0, request.bytes);
    let end = if status == 200 && !is_own { End::Foreign } else { End::Complete { status } };
    (end, keeps_open)
}

/// Reads a body of this length over this time. An error is the number of bytes that came before its end.
fn read_length(reader: &mut impl Read, length: usize, time: Duration) -> Result<Vec<u8>, usize> {
    let parts = (time.as_millis() / READ_INTERVAL.as_millis()) as usize + 1;
    let mut body = vec![0; length];
    let mut received = 0;
    for part in body.chunks_mut(length.div_ceil(parts).max(1)) {
        if parts > 1 {
            thread::sleep(READ_INTERVAL);
        }
        reader.read_exact(part).map_err(|_| received)?;
        received += part.len();
    }
    Ok(body)
}

/// Reads a chunked body. An error is the number of bytes that came before its end.
fn read_chunks(reader: &mut impl BufRead) -> Result<Vec<u8>, usize> {
    let mut body = Vec::new();
    loop {
        let mut size = String::new();
        reader.read_line(&mut size).ok().filter(|read| *read > 0).ok_or(body.len())?;
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| body.len())?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).map_err(|_| body.len())?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
