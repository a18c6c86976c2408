//! A simulated server whose answers have the length and the duration that the path of a request asks for.

use crate::answers::Kind;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The number of executions of each request, by request id.
pub type Executions = Arc<Mutex<BTreeMap<String, u32>>>;

/// Bytes of a stream in each event.
const EVENT_BYTES: usize = 2_000;

/// An HTTP server that runs until the test process ends.
pub struct Server {
    id: String,
    service: &'static str,
    zone: String,
    address: SocketAddr,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        id: &str,
        service: &'static str,
        zone: &str,
        executions: &Executions,
    ) -> Server {
        let listener = TcpListener::bind(address).expect("a free port");
        let (name, executions) = (id.to_string(), executions.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (name, executions) = (name.clone(), executions.clone());
                thread::spawn(move || serve(&stream, &name, &executions));
            }
        });
        Server { id: id.to_string(), service, zone: zone.to_string(), address }
    }

    /// Returns the entry of the server in the platform's list.
    pub fn entry(&self) -> String {
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":256,\
             \"State\":\"ready\",\"WarmupLeftMs\":0,\"Id\":\"{}\"}}",
            self.service, self.address, self.zone, self.id
        )
    }
}

/// The answer that a path such as `/cards/5000/20` asks for: its length in bytes and the time of work in
/// milliseconds.
struct Answer {
    kind: Kind,
    bytes: usize,
    work: Duration,
}

impl Answer {
    fn parse(path: &str) -> Option<Answer> {
        let mut parts = path.split('/').skip(1);
        let kind = match parts.next()? {
            "copy" => Kind::Streaming,
            _ => Kind::NonIdempotent,
        };
        let bytes = parts.next()?.parse().ok()?;
        let work = Duration::from_millis(parts.next()?.parse().ok()?);
        Some(Answer { kind, bytes, work })
    }
}

/// Returns a part of the answer to a request, which is its id, again and again.
pub fn body_part(id: &str, start: usize, length: usize) -> Vec<u8> {
    let offset = start % id.len();
    let repeated = id.as_bytes().repeat((offset + length) / id.len() + 1);
    repeated[offset..offset + length].to_vec()
}

/// Serves a connection until it ends.
fn serve(stream: &TcpStream, name: &str, executions: &Executions) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream);
    let mut writer = stream;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let path = line.split(' ').nth(1)?.to_string();
        let headers = read_headers(&mut reader)?;
        let header = |name: &str| headers.get(name).map(String::as_str);
        let length: u64 = header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        std::io::copy(&mut std::io::Read::take(&mut reader, length), &mut std::io::sink()).ok()?;
        let Some(id) = header("quillpulley-request-id") else {
            write!(writer, "HTTP/1.1 200 OK\r\nQuillpulley-Instance-Id: {name}\r\nContent-Length: 0\r\n\r\n")
                .ok()?;
            continue;
        };
        if header("quillpulley-expect-instance").is_some_and(|expected| expected != name) {
            write!(writer, "HTTP/1.1 421 Misdirected Request\r\nQuillpulley-Request-Id: {id}\r\nQuillpulley-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").ok()?;
            continue;
        }
        *executions.lock().expect("no thread panicked").entry(id.to_string()).or_default() += 1;
        respond(writer, id, &Answer::parse(&path)?)?;
    }
}

fn read_headers(reader: &mut impl BufRead) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let Some((name, value)) = line.split_once(':') else { return Some(headers) };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
}

fn respond(mut writer: &TcpStream, id: &str, answer: &Answer) -> Option<()> {
    let head = format!("HTTP/1.1 200 OK\r\nQuillpulley-Request-Id: {id}\r\nQuillpulley-Response-Seal: s\r\n");
    match answer.kind {
        Kind::Streaming => {
            write!(writer, "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .ok()?;
            let count = answer.bytes.div_ceil(EVENT_BYTES).max(1);
            for event in 0..count {
                let start = event * EVENT_BYTES;
                let part = body_part(id, start, EVENT_BYTES.min(answer.bytes - start));
                thread::sleep(answer.work / count as u32);
                write!(writer, "{:x}\r\n", part.len()).ok()?;
                writer.write_all(&part).ok()?;
                writer.write_all(b"\r\n").ok()?;
            }
            writer.write_all(b"0\r\n\r\n").ok()
        }
        Kind::Idempotent | Kind::NonIdempotent => {
            thread::sleep(answer.work);
            write!(writer, "{head}Content-Length: {}\r\n\r\n", answer.bytes).ok()?;
            writer.write_all(&body_part(id, 0, answer.bytes)).ok()
        }
    }
}
