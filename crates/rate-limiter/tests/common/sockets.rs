//! Fake peers on loopback sockets, and the process of the binary that is connected to them.
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time to wait for any condition.
pub const TIMEOUT: Duration = Duration::from_secs(15);

/// Waits until a condition holds. Panics after [`TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timeout while waiting until {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Holds a response back until a gate is opened, at most for [`TIMEOUT`].
pub fn wait_for_gate(gate: &AtomicBool) {
    let end = Instant::now() + TIMEOUT;
    while !gate.load(Ordering::SeqCst) && Instant::now() < end {
        thread::sleep(Duration::from_millis(1));
    }
}

/// A received HTTP message: its first line, its headers with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Reads a message. Returns `None` if the connection ends before the message is complete.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut line = || {
            let mut text = String::new();
            let read = from.read_line(&mut text).ok()?;
            (read > 0).then(|| text.trim_end().to_string())
        };
        let mut message = Message { start_line: line()?, ..Message::default() };
        loop {
            let text = line()?;
            let Some((name, value)) = text.split_once(':') else { break };
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
        let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}

/// How a fake peer responds to a request.
pub enum Reply {
    /// Writes this text.
    Raw(String),
    /// Writes this text and closes the connection.
    RawThenClose(String),
    /// Writes these texts, each after a pause.
    Pieces(Vec<(Duration, String)>),
    /// Writes nothing, and waits until the limiter closes the connection.
    Silence,
}

/// Returns a response with status 200.
pub fn ok(body: &str) -> Reply {
    Reply::Raw(raw("200 OK", "", body))
}

/// Returns the text of a response. Each line of `headers` ends with a line break.
pub fn raw(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}

#[derive(Default)]
struct Recorded {
    requests: Mutex<Vec<Message>>,
    accepted: AtomicU32,
    closed: AtomicU32,
    streams: Mutex<Vec<TcpStream>>,
    abandoned_ids: Mutex<Vec<String>>,
}

/// A fake peer that listens on a loopback socket, responds to each request by a rule, and records all
/// requests.
#[derive(Clone)]
pub struct FakePeer {
    pub address: SocketAddr,
    recorded: Arc<Recorded>,
}

impl FakePeer {
    pub fn new(rule: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> FakePeer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let peer = FakePeer { address: listener.local_addr().expect("address"), recorded: Arc::default() };
        let (recorded, rule) = (peer.recorded.clone(), Arc::new(rule));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                recorded.accepted.fetch_add(1, Ordering::SeqCst);
                let (recorded, rule) = (recorded.clone(), rule.clone());
                thread::spawn(move || {
                    serve(stream, &recorded, &*rule);
                    recorded.closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        peer
    }

    /// Returns all requests so far.
    pub fn requests(&self) -> Vec<Message> {
        self.recorded.requests.lock().expect("lock").clone()
    }

    /// Returns the number of requests so far.
    pub fn request_count(&self) -> usize {
        self.recorded.requests.lock().expect("lock").len()
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted_count(&self) -> u32 {
        self.recorded.accepted.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that either side has closed.
    pub fn closed_count(&self) -> u32 {
        self.recorded.closed.load(Ordering::SeqCst)
    }

    /// Returns the ids of the requests with [`Reply::Silence`] whose connections the limiter has closed.
    pub fn abandoned_ids(&self) -> Vec<String> {
        self.recorded.abandoned_ids.lock().expect("lock").clone()
    }

    /// Writes to all open connections.
    pub fn push(&self, bytes: &str) {
        for mut stream in self.recorded.streams.lock().expect("lock").iter() {
            let _ = stream.write_all(bytes.as_bytes());
        }
    }

    /// Writes an empty line to each watch every 0.5 s for 30 s, as discovery does while nothing changes. That
    /// is longer than any test takes.
    pub fn send_empty_lines(&self) {
        let peer = self.clone();
        thread::spawn(move || {
            for _ in 0..60 {
                thread::sleep(Duration::from_millis(500));
                peer.push(&chunk(""));
            }
        });
    }

    /// Closes all connections.
    pub fn close_all(&self) {
        for stream in self.recorded.streams.lock().expect("lock").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(mut stream: TcpStream, recorded: &Recorded, rule: &dyn Fn(&Message) -> Reply) {
    let _ = stream.set_nodelay(true);
    let Ok(stream_copy) = stream.try_clone() else { return };
    recorded.streams.lock().expect("lock").push(stream_copy);
    let Ok(stream_copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream_copy);
    while let Some(message) = Message::read(&mut reader) {
        recorded.requests.lock().expect("lock").push(message.clone());
        match rule(&message) {
            Reply::Raw(text) => {
                if stream.write_all(text.as_bytes()).is_err() {
                    break;
                }
            }
            Reply::RawThenClose(text) => {
                let _ = stream.write_all(text.as_bytes());
                break;
            }
            Reply::Pieces(pieces) => {
                for (pause, text) in pieces {
                    thread::sleep(pause);
                    let _ = stream.write_all(text.as_bytes());
                }
            }
            Reply::Silence => {
                let _ = reader.read(&mut [0]);
                let id = message.header("x-correlation-id").unwrap_or_default();
                recorded.abandoned_ids.lock().expect("lock").push(id.to_string());
                break;
            }
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Returns an HTTP chunk with a line of a watch.
pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// Returns an entry of the server list.
pub fn instance(id: &str, address: SocketAddr, lifecycle: &str) -> Value {
    json!({"instanceId": id, "hostPort": address.to_string(), "zone": "room-a", "machineType": "std",
        "cell": 1, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

/// Returns a message of a watch: the complete server list if `reset` is true, else the changed entries.
pub fn update(generation: u64, reset: bool, instances: &[Value]) -> String {
    json!({"generation": generation, "reset": reset, "instances": instances}).to_string()
}

/// The head of the response to a watch request.
pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Starts a fake discovery service whose first message on each watch is the complete list of these instances.
/// Tests push further messages.
pub fn discovery(instances: Vec<Value>) -> FakePeer {
    FakePeer::new(move |_| Reply::Raw(format!("{WATCH_HEAD}{}", chunk(&update(10, true, &instances)))))
}

/// Starts a fake counter service, which keeps the total of each counter.
pub fn counter() -> FakePeer {
    let totals: Mutex<std::collections::HashMap<String, f64>> = Mutex::default();
    FakePeer::new(move |call| {
        let target = call.start_line.split(' ').nth(1).unwrap_or("");
        let (name, query) = target.split_once('?').unwrap_or((target, ""));
        let amount = query.split('&').find_map(|q| q.strip_prefix("n=")?.parse::<f64>().ok()).unwrap_or(0.0);
        let mut totals = totals.lock().expect("lock");
        let total = totals.entry(name.to_string()).or_default();
        *total += amount;
        ok(&total.to_string())
    })
}

/// Returns the settings in the configuration file of a limiter.
pub fn settings() -> Value {
    let class = |name: &str, idempotency: &str| {
        json!({"name": name, "aim-s": 0.4, "deadline-s": 2.0, "worth": 1.0, "late-share": 0.0,
            "effect": idempotency, "group": "all", "window-s": 10.0, "streaming": false})
    };
    json!({"me": 0, "peers-total": 2, "zone": "room-a", "period-s": 0.002, "discovery": "pushed",
        "classes": [class("quote", "read_like"), class("bind", "idempotency_key"),
            class("once", "non_idempotent")],
        "tariffs": [{"name": "roomy", "rate": 1000.0, "depth": 2000.0, "pays": 1.0},
            {"name": "small", "rate": 1.0, "depth": 4.0, "pays": 1.0}],
        "family-info": {"has-counter": true, "count-limit-s": 0.05, "max-units": 4.0, "post-paid": true},
        "invariants": {"start-capacity": 0.2, "ramp-time-s": 18.0, "fall-multiple": 3.0, "overload-for-s": 2.0},
        "limits": {"cancel": true, "connect-timeout-s": 0.25, "idle-close-s": 15.0, "max-attempts": 5,
            "max-retry-after-s": 2.0, "may-probe": true, "retry-after": true, "second-copies": false}})
}

/// A running process of the binary.
pub struct LimiterProcess {
    pub address: SocketAddr,
    child: Child,
    log: Arc<Mutex<String>>,
    log_closed: Arc<AtomicBool>,
    pub config_file: std::path::PathBuf,
    config: Value,
    startup_log: String,
}

/// Writes a text to a new file in Cargo's directory for temporary files, which no other test uses.
pub fn write_config_file(text: &str) -> std::path::PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("config-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, text).expect("write");
    file
}

/// Returns the command that starts the binary, without the environment variables that configure it.
pub fn command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rate-limiter"));
    for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONFIG"] {
        command.env_remove(name);
    }
    command
}

impl LimiterProcess {
    /// Starts a limiter and waits until it is ready.
    pub fn start(settings: Value, discovery: &FakePeer, counter: SocketAddr) -> LimiterProcess {
        LimiterProcess::start_with_sockets(1024, settings, discovery, counter)
    }

    /// Starts a limiter with a maximum number of sockets.
    pub fn start_with_sockets(
        sockets: u32,
        settings: Value,
        discovery: &FakePeer,
        counter: SocketAddr,
    ) -> LimiterProcess {
        LimiterProcess::start_with_config(
            json!({"limits": {"sockets": sockets}}),
            settings,
            discovery,
            counter,
        )
    }

    /// Starts a limiter with the last server list that it knew before it was restarted.
    pub fn start_with_known_list(
        known: Value,
        settings: Value,
        discovery: &FakePeer,
        counter: SocketAddr,
    ) -> LimiterProcess {
        LimiterProcess::start_with_config(json!({"known": known}), settings, discovery, counter)
    }

    fn start_with_config(
        extra_config: Value,
        settings: Value,
        discovery: &FakePeer,
        counter: SocketAddr,
    ) -> LimiterProcess {
        let mut config = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "00000000000000ff",
            "discovery": discovery.address.to_string(), "counter": counter.to_string(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings});
        for (key, value) in extra_config.as_object().into_iter().flatten() {
            config[key] = value.clone();
        }
        let config_file = write_config_file(&config.to_string());
        let mut command = command();
        // The environment repeats a part of the file, as it does in production.
        command.env("ROUTER_DISCOVERY", discovery.address.to_string()).env("ROUTER_CONFIG", &config_file);
        let mut child = command.stderr(Stdio::piped()).spawn().expect("start the limiter");
        let mut lines = BufReader::new(child.stderr.take().expect("stderr")).lines();
        let log: Arc<Mutex<String>> = Arc::default();
        let mut startup_log = String::new();
        let address = loop {
            let line =
                lines.next().expect("the line with the address on which the limiter listens").expect("utf-8");
            startup_log += &(line.clone() + "\n");
            if let Some((_, address)) = line.split_once("listening for clients address=") {
                break address.parse().expect("an address");
            }
        };
        let log_closed: Arc<AtomicBool> = Arc::default();
        let (log_writer, closed) = (log.clone(), log_closed.clone());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if closed.load(Ordering::SeqCst) {
                    break;
                }
                log_writer.lock().expect("lock").push_str(&(line + "\n"));
            }
        });
        let limiter = LimiterProcess { address, child, log, log_closed, config_file, config, startup_log };
        wait_until("the limiter is ready", || {
            limiter.client().request("GET /up HTTP/1.1\r\n\r\n").status() == 200
        });
        limiter
    }

    /// Starts a limiter with these servers, all in service, and with a working counter.
    pub fn start_with_servers(servers: &[&FakePeer]) -> LimiterProcess {
        let list = servers.iter().enumerate();
        let list = list.map(|(n, s)| instance(&format!("s-{n}"), s.address, "in_service")).collect();
        LimiterProcess::start(settings(), &discovery(list), counter().address)
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("connect");
        stream.set_read_timeout(Some(TIMEOUT)).expect("set");
        Client { reader: BufReader::new(stream.try_clone().expect("clone")), stream }
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn signal(&self, name: &str) {
        let killed = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(killed.expect("kill").success());
    }

    /// Replaces the configuration file by one with these addresses, and sends SIGHUP.
    pub fn reload_with_addresses(&self, discovery: SocketAddr, counter: SocketAddr) {
        let mut config = self.config.clone();
        config["discovery"] = json!(discovery.to_string());
        config["counter"] = json!(counter.to_string());
        let new = self.config_file.with_extension("new");
        std::fs::write(&new, config.to_string()).expect("write");
        std::fs::rename(&new, &self.config_file).expect("rename");
        self.signal("-HUP");
    }

    /// Waits until the process exits. Panics after [`TIMEOUT`].
    pub fn wait(&mut self) -> ExitStatus {
        let end = Instant::now() + TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("wait") {
                return status;
            }
            assert!(Instant::now() < end, "the limiter did not exit");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Closes the reading end of the limiter's standard error once it writes the next line.
    pub fn close_log(&self) {
        self.log_closed.store(true, Ordering::SeqCst);
    }

    /// Returns what the limiter wrote to standard error until it listened for clients.
    pub fn startup_log(&self) -> &str {
        &self.startup_log
    }

    /// Returns what the limiter has written to standard error since it listened for clients.
    pub fn log(&self) -> String {
        self.log.lock().expect("lock").clone()
    }
}

impl Drop for LimiterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_file);
    }
}

/// A client with one connection to the limiter.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("send");
    }

    /// Sends bytes and ignores errors, since the limiter may have closed the connection.
    pub fn send_ignoring_errors(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    pub fn set_read_timeout(&self, time: Duration) {
        self.stream.set_read_timeout(Some(time)).expect("set");
    }

    /// Returns whether a response has begun or the connection was closed.
    pub fn has_received(&mut self) -> bool {
        match self.stream.peek(&mut [0]) {
            Ok(_) => true,
            Err(e) => !matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
        }
    }

    /// Reads a response. Returns `None` if the connection ends before the response is complete.
    pub fn response(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    /// Sends a request and reads its response.
    pub fn request(&mut self, text: &str) -> Message {
        self.send(text);
        self.response().expect("a response")
    }

    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    pub fn shutdown_write(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}

static NEXT_ID: AtomicU32 = AtomicU32::new(1);

/// Returns a request of class `quote`, which is idempotent. `time_left_ms` is the time that its client has
/// left, in milliseconds.
pub fn quote(plan: &str, time_left_ms: u32) -> String {
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!(
        "GET /quote/00000000b4d65521?from=tls&to=nce HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id:016x}\r\n\
         X-Contract: {plan}\r\nX-Time-Left: {time_left_ms}m\r\nX-Metering: units=1,spread=1,first=0\r\n\r\n"
    )
}

/// Returns a request with a body, of class `bind` (with an idempotency key) or `once` (not idempotent).
pub fn post(class: &str, body: &str) -> String {
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!(
        "POST /{class}/00000000b4d65521 HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id:016x}\r\n\
         X-Contract: roomy\r\nX-Time-Left: 9000m\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\
         X-Metering: units=2,spread=2,first=1\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a bound socket and its address, which refuses connections until the socket listens. The socket
/// reserves the address, so that no other test gets it.
pub fn refusing_socket() -> (socket2::Socket, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bind");
    let address = socket.local_addr().ok().and_then(|a| a.as_socket()).expect("address");
    (socket, address)
}

/// Returns a listener whose accept queue is full, so that connecting to it neither succeeds nor fails. The
/// streams fill the queue.
pub fn stalled_listener() -> (socket2::Socket, SocketAddr, Vec<TcpStream>) {
    let (socket, address) = refusing_socket();
    socket.listen(0).expect("listen");
    let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(300));
    let filled = std::iter::from_fn(|| fill().ok()).collect();
    (socket, address, filled)
}
