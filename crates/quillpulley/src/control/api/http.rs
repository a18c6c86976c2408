//! A small HTTP server for operators and for clients that resolve proxy addresses.

use crate::HostError;
use socket2::{SockRef, TcpKeepalive};
use std::io::{self, Write};
use std::net::TcpListener;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use tiny_http::{Request, Server, StatusCode};

/// A connection is reset if sent data stays unacknowledged for this long (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(10);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(3);
const KEEPALIVE_PROBES: u32 = 3;
/// Delay before the server is restarted after it failed to accept a connection, for example for lack of file
/// descriptors.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// A function that responds to a request. Several threads call it.
pub type Handler = Arc<dyn Fn(Request) + Send + Sync>;

/// Sets socket options that accepted connections inherit: `TCP_NODELAY`, and keepalive and user timeouts that
/// detect unreachable peers. Failures are only logged, because connections work without these options.
pub fn set_socket_options(listener: &TcpListener) {
    let socket = SockRef::from(listener);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let set = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_keepalive(&keepalive),
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT)),
    ];
    for error in set.into_iter().filter_map(Result::err) {
        log::debug!(error:% = error; "failed to set an option of a listening socket");
    }
}

/// Serves requests on `listener` with `threads` threads until the process ends.
///
/// # Errors
/// [`HostError::Runtime`] if the threads cannot be started.
pub fn serve(listener: TcpListener, threads: usize, handler: Handler) -> Result<(), HostError> {
    let server = start_server(&listener)?;
    let shared = Arc::new(SharedServer { listener, threads, current: Mutex::new(Arc::new(server)) });
    for _ in 0..threads {
        let (shared, handler) = (shared.clone(), handler.clone());
        thread::Builder::new().spawn(move || shared.run_thread(&handler)).map_err(HostError::Runtime)?;
    }
    Ok(())
}

fn start_server(listener: &TcpListener) -> Result<Server, HostError> {
    let listener = listener.try_clone().map_err(HostError::Runtime)?;
    Server::from_listener(listener, None).map_err(|error| HostError::Runtime(io::Error::other(error)))
}

/// The state that the threads of a server share: the server from which they receive requests. A server that
/// has stopped accepting connections is replaced.
struct SharedServer {
    listener: TcpListener,
    threads: usize,
    current: Mutex<Arc<Server>>,
}

impl SharedServer {
    fn run_thread(&self, handler: &Handler) {
        loop {
            let server = self.current.lock().unwrap_or_else(PoisonError::into_inner).clone();
            match server.recv() {
                Ok(request) => handler(request),
                Err(error) => self.restart(&server, &error),
            }
        }
    }

    /// Starts a new server in place of `stopped`, unless another thread has already done so.
    fn restart(&self, stopped: &Arc<Server>, error: &io::Error) {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if !Arc::ptr_eq(&current, stopped) {
            return;
        }
        log::warn!(error:% = error; "accepting HTTP connections failed, restarting the server");
        thread::sleep(RESTART_DELAY);
        match start_server(&self.listener) {
            Ok(server) => *current = Arc::new(server),
            Err(error) => log::warn!(error:% = error; "failed to restart the HTTP server"),
        }
        // Wakes the other threads, which may still wait for a request to the stopped server.
        for _ in 1..self.threads {
            stopped.unblock();
        }
    }
}

/// A response with a JSON body and the header `Connection: close`.
///
/// The connection is closed because `tiny_http` uses a thread for each connection, and may leave a new
/// connection waiting until another one ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JsonResponse {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl JsonResponse {
    /// Creates a response without additional headers.
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        JsonResponse { status, headers: Vec::new(), body }
    }

    /// Adds a header. The value must not contain line breaks.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    fn into_bytes(self) -> Vec<u8> {
        let reason = StatusCode(self.status).default_reason_phrase();
        let length = self.body.len();
        let mut head = format!(
            "HTTP/1.1 {} {reason}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
             Connection: close\r\n",
            self.status
        );
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.extend(self.body);
        bytes
    }
}

/// Writes a response. A failure, such as a connection that the caller has closed, is only logged.
pub fn respond(request: Request, response: JsonResponse) {
    let mut writer = request.into_writer();
    let written = writer.write_all(&response.into_bytes()).and_then(|()| writer.flush());
    if let Err(error) = written {
        log::debug!(error:% = error; "failed to write a response");
    }
}

/// Returns the value of the first header of this name, or `None` if there is none.
pub fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    let found = request.headers().iter().find(|header| header.field.equiv(name))?;
    Some(found.value.as_str())
}

/// Decodes percent-encoding such as `%41` in a part of a URL. A `%` without two hexadecimal digits after it
/// is kept.
pub fn percent_decode(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'%' => decoded.push(hex_pair(&mut bytes).unwrap_or(b'%')),
            other => decoded.push(other),
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn hex_pair(bytes: &mut std::str::Bytes<'_>) -> Option<u8> {
    let mut ahead = bytes.clone();
    let high = char::from(ahead.next()?).to_digit(16)?;
    let low = char::from(ahead.next()?).to_digit(16)?;
    *bytes = ahead;
    u8::try_from(high * 16 + low).ok()
}

/// Returns the decoded value of the first query parameter of this name, or `None` if the URL has none.
pub fn query_parameter(url: &str, name: &str) -> Option<String> {
    let (_, query) = url.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
    Some(percent_decode(&value.replace('+', " ")))
}

/// Returns the path of a URL, without its query.
pub fn path(url: &str) -> &str {
    url.split_once('?').map_or(url, |(path, _)| path)
}
