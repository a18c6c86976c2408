//! A plain HTTP/1.1 client and the reading of messages.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a message: its first line and its headers, with names in lower case.
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before it is whole.
pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let first_line = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(Head { first_line, headers });
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok().filter(|length| *length > 0)?;
    if line.pop() != Some(b'\n') {
        return None;
    }
    Some(String::from_utf8_lossy(&line).trim_end().to_string())
}

/// Reads the body of a message. The callers of these stand-ins send and get bodies with a length only.
pub fn read_body(reader: &mut impl Read, head: &Head) -> Option<Vec<u8>> {
    let mut body = vec![0; head.length()];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// A whole response.
pub struct Response {
    pub status: u16,
    pub head: Head,
}

/// Sends one request on a new connection. `None` if there is no whole response within `silence` without a byte. The
/// connection is then closed in the orderly way.
pub fn send(address: SocketAddr, request: &[u8], silence: Duration) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&address, silence).ok()?;
    stream.set_read_timeout(Some(silence)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(request).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let status = head.first_line.split_whitespace().nth(1)?.parse().ok()?;
    read_body(&mut reader, &head)?;
    Some(Response { status, head })
}
