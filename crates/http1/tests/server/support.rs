//! A listener whose service responds with as many bytes as the path asks for, and its clients.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::{Request, Response};
use quillpulley_http1::{ConnectionManager, ConnectionOptions, Linger, ServerConnection, Service};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::Builder;
use tokio::sync::Notify;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{timeout, Instant};

/// Maximum duration of a test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of a body that does not fit into the buffers of the kernel, in bytes.
pub const LARGE_BODY_BYTES: usize = 24 * 1024 * 1024;
/// The path of a stream that ends when its client has stopped reading.
pub const STREAM_PATH: &str = "/stream";
/// The path of a stream that never ends.
pub const ENDLESS_PATH: &str = "/endless";
/// Length of a chunk of a stream, in bytes.
const STREAM_CHUNK_BYTES: usize = 8 * 1024;
/// Size of the receive buffer of clients, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;

/// Runs a test on its own single-threaded runtime.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    let test = async { timeout(TEST_TIMEOUT, test).await.expect("the test timed out") };
    LocalSet::new().block_on(&runtime, test);
}

/// Options under which nothing is closed during a test.
pub fn patient_options() -> ConnectionOptions {
    ConnectionOptions {
        max_connections: 16,
        max_header_bytes: 16 * 1024,
        recorded_bytes: 1,
        header_timeout: None,
        linger: Linger { time: Duration::from_millis(100), bytes: 1024 },
        idle_grace: Duration::ZERO,
        first_request_grace: Duration::ZERO,
        receive_grace: Some(TEST_TIMEOUT),
        write_stall_timeout: TEST_TIMEOUT,
        write_stall_grace: TEST_TIMEOUT,
        accept_retry_delay: Duration::from_millis(1),
        plain_heads: false,
        half_close: false,
    }
}

/// Counts the responses whose resources are held.
#[derive(Default)]
pub struct Held {
    count: Cell<usize>,
    released: Notify,
}

impl Held {
    /// Returns the number of responses whose resources are held.
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Waits until no resources are held.
    pub async fn all_released(&self) {
        while self.count.get() > 0 {
            self.released.notified().await;
        }
    }
}

struct HeldResource(Rc<Held>);

impl HeldResource {
    fn new(held: Rc<Held>) -> Self {
        held.count.set(held.count.get() + 1);
        HeldResource(held)
    }
}

impl Drop for HeldResource {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.released.notify_one();
    }
}

/// A body of any kind.
struct LocalBody(Pin<Box<dyn Body<Data = Bytes, Error = Infallible>>>);

impl LocalBody {
    fn new(body: impl Body<Data = Bytes, Error = Infallible> + 'static) -> Self {
        LocalBody(Box::pin(body))
    }
}

impl Body for LocalBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.0.size_hint()
    }
}

/// A streamed body that ends when its client has stopped reading, or never. Each chunk is written before the next one.
struct Stream {
    connection: Rc<ServerConnection>,
    ended: Rc<Notify>,
    yields: bool,
    is_endless: bool,
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.ended.notify_one();
    }
}

impl Body for Stream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.yields = !self.yields;
        if self.yields {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let is_blocked = !self.is_endless && self.connection.socket().write_blocked_since().is_some();
        let chunk = Frame::data(Bytes::from(vec![b'x'; STREAM_CHUNK_BYTES]));
        Poll::Ready((!is_blocked).then_some(Ok(chunk)))
    }
}

/// Responds to `GET /N` with N bytes, and to [`STREAM_PATH`] and [`ENDLESS_PATH`] with a stream.
struct ByteService {
    held: Rc<Held>,
    write_time: Option<Duration>,
    stream_ended: Rc<Notify>,
}

impl Service for ByteService {
    type Body = LocalBody;

    async fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<ServerConnection>,
        _: Option<Instant>,
    ) -> Response<Self::Body> {
        connection.hold_until_written(HeldResource::new(self.held.clone()));
        if let Some(time) = self.write_time {
            connection.set_write_deadline(Instant::now() + time);
        }
        let path = request.uri().path();
        if path == STREAM_PATH || path == ENDLESS_PATH {
            let ended = self.stream_ended.clone();
            let is_endless = path == ENDLESS_PATH;
            return Response::new(LocalBody::new(Stream { connection, ended, yields: false, is_endless }));
        }
        let length = path[1..].parse().expect("a length");
        Response::new(LocalBody::new(Full::new(Bytes::from(vec![b'x'; length]))))
    }

    fn accept_failed(&self, error: &io::Error) {
        panic!("accept: {error}");
    }
}

/// A listener with its connections.
pub struct Listener {
    pub manager: Rc<ConnectionManager>,
    pub held: Rc<Held>,
    /// Notified when the body of a stream has ended.
    pub stream_ended: Rc<Notify>,
    address: SocketAddr,
}

impl Listener {
    pub async fn start(options: ConnectionOptions) -> Listener {
        Listener::start_with_write_time(options, None).await
    }

    /// Starts a listener whose responses have to be written within `write_time`.
    pub async fn start_with_write_time(options: ConnectionOptions, write_time: Option<Duration>) -> Listener {
        let (listener, socket) = Listener::bind(options).await;
        listener.accept(socket, write_time);
        listener
    }

    /// Creates a listener that does not accept connections yet, and its socket.
    pub async fn bind(options: ConnectionOptions) -> (Listener, TcpListener) {
        let socket = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = socket.local_addr().expect("an address");
        let manager = ConnectionManager::new(options);
        let listener = Listener { manager, held: Rc::default(), stream_ended: Rc::default(), address };
        (listener, socket)
    }

    /// Accepts connections. Their responses have to be written within `write_time`.
    pub fn accept(&self, socket: TcpListener, write_time: Option<Duration>) {
        let (held, stream_ended) = (self.held.clone(), self.stream_ended.clone());
        let service = Rc::new(ByteService { held, write_time, stream_ended });
        let manager = self.manager.clone();
        spawn_local(async move { manager.accept(socket, service).await });
    }

    pub async fn connect(&self) -> Client {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a receive buffer");
        Client { stream: socket.connect(self.address).await.expect("connect") }
    }

    /// Connects a client that has read the head of a response of [`LARGE_BODY_BYTES`], and nothing else.
    pub async fn connect_with_unread_body(&self) -> Client {
        let mut client = self.connect().await;
        client.request(LARGE_BODY_BYTES).await;
        client.read_head().await;
        client
    }
}

/// A client that reads its responses as the test asks for it.
pub struct Client {
    stream: TcpStream,
}

impl Client {
    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("write");
    }

    /// Reads until the last chunk of a chunked body. Returns whether the body is complete.
    pub async fn read_stream(&mut self) -> bool {
        let mut body = Vec::new();
        let _ = self.stream.read_to_end(&mut body).await;
        body.ends_with(b"\r\n0\r\n\r\n")
    }

    /// Requests a body of this length.
    pub async fn request(&mut self, length: usize) {
        self.send(&format!("GET /{length} HTTP/1.1\r\nHost: x\r\n\r\n")).await;
    }

    /// Reads the head of a response. The first bytes of its body have most likely arrived with it.
    pub async fn read_head(&mut self) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.stream.read_u8().await.expect("a head"));
        }
    }

    /// Reads at least `length` bytes of the body of a response, and returns how many bytes came; fewer if it ended.
    pub async fn read_body(&mut self, length: usize) -> usize {
        let mut buffer = vec![0; 256 * 1024];
        let mut received = 0;
        while received < length {
            match self.stream.read(&mut buffer).await {
                Ok(read) if read > 0 => received += read,
                _ => break,
            }
        }
        received
    }
}
