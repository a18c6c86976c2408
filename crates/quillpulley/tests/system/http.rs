//! A minimal HTTP/1.1 client that opens a new connection for each request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// The maximum number of redirects that are followed.
const MAX_REDIRECTS: usize = 2;

/// An HTTP request.
#[derive(Clone)]
pub struct Request {
    method: &'static str,
    path: String,
    host: Option<String>,
    headers: String,
    body: String,
}

/// An HTTP response.
#[derive(Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The complete body.
    pub body: String,
    head: String,
}

impl Request {
    /// Creates a GET request.
    pub fn get(path: &str) -> Request {
        Request {
            method: "GET",
            path: path.to_string(),
            host: None,
            headers: String::new(),
            body: String::new(),
        }
    }

    /// Creates a POST request with a body.
    pub fn post(path: &str, body: &str) -> Request {
        Request { method: "POST", body: body.to_string(), ..Request::get(path) }
    }

    /// Sets the `Host` header, which defaults to the address of the server.
    pub fn host(&mut self, host: &str) {
        self.host = Some(host.to_string());
    }

    /// Adds a header.
    pub fn header(&mut self, name: &str, value: &str) {
        self.headers += &format!("{name}: {value}\r\n");
    }

    /// Sends the request. Returns `None` if no complete response arrives.
    pub fn send(&self, to: SocketAddr) -> Option<Response> {
        let mut stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
        stream.write_all(self.text(to).as_bytes()).ok()?;
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).ok()?;
        Response::read(&String::from_utf8(bytes).ok()?)
    }

    /// Sends the request, and follows redirects.
    pub fn send_following(&self, to: SocketAddr) -> Option<Response> {
        let mut response = self.send(to)?;
        for _ in 0..MAX_REDIRECTS {
            if response.status != 307 {
                break;
            }
            let location = response.header("Location")?.strip_prefix("http://")?.to_string();
            let (address, _) = location.split_once('/')?;
            response = self.send(address.parse().ok()?)?;
        }
        Some(response)
    }

    fn text(&self, to: SocketAddr) -> String {
        let host = self.host.clone().unwrap_or_else(|| to.to_string());
        let length = match self.method {
            "POST" => format!("Content-Type: application/json\r\nContent-Length: {}\r\n", self.body.len()),
            _ => String::new(),
        };
        format!(
            "{} {} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n{}{length}\r\n{}",
            self.method, self.path, self.headers, self.body
        )
    }
}

impl Response {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header_value(&self.head, name)
    }

    fn read(text: &str) -> Option<Response> {
        let (head, body) = text.split_once("\r\n\r\n")?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let mut response = Response { status, body: String::new(), head: head.to_string() };
        let chunked = response.header("Transfer-Encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        response.body = if chunked { decode_chunked(body)? } else { body.to_string() };
        Some(response)
    }
}

/// Returns the value of a header in the head of a message.
pub fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let headers = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let mut matching = headers.filter(|(known, _)| known.eq_ignore_ascii_case(name));
    matching.next().map(|(_, value)| value.trim())
}

fn decode_chunked(mut rest: &str) -> Option<String> {
    let mut body = String::new();
    loop {
        let (size, after) = rest.split_once("\r\n")?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.push_str(after.get(..size)?);
        rest = after.get(size..)?.strip_prefix("\r\n")?;
    }
}
