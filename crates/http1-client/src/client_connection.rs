//! An outgoing HTTP/1.1 connection, driven by its owner: no background task, no pool, no retries.
//!
//! Dropping a [`ClientConnection`] closes its socket at once, and nothing is ever sent twice. The socket records
//! whether a request has been handed to the kernel completely, because that decides whether the server may have
//! executed it.

use crate::socket::{Socket, Tracked, WriteProgress};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// The limits of an outgoing connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// The most bytes of a body, in either direction.
    pub max_body: usize,
    /// The most bytes of the head of a response, and of what hyper buffers of its body.
    pub max_buffer: usize,
    /// The longest time between the first and the last byte of a response, for [`ClientConnection::exchange`]. One
    /// retransmission of a lost packet fits.
    pub body_timeout: Duration,
    /// How long a connection stays unused before it is reused: bytes that come late behind a response must not be read
    /// as the response to the next request. Some milliseconds are enough: of 209 second responses the latest came 5.5 ms
    /// after the first.
    pub reuse_delay: Duration,
    /// How long a connection may take after a response until it is ready for the next request. After that it is closed.
    pub ready_timeout: Duration,
}

/// Why there is no usable response.
#[derive(Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// The connection broke before the last byte of the request was written.
    NotSent,
    /// The connection broke or brought invalid HTTP after the request was written.
    Broken,
    /// The body of the response is too large.
    TooLarge,
}

type HyperConnection = Pin<Box<Connection<TokioIo<Tracked>, Full<Bytes>>>>;

/// An outgoing connection, and the requests on it, one after the other.
pub struct ClientConnection {
    sender: SendRequest<Full<Bytes>>,
    connection: HyperConnection,
    socket: Rc<Socket>,
    limits: ConnectionLimits,
    _socket_count: SocketCount,
    ended: bool,
    last_used_at: Instant,
}

impl ClientConnection {
    /// Connects. `open` counts the socket for as long as it lives. The caller bounds the time.
    ///
    /// # Errors
    /// Those of the socket.
    pub async fn connect(
        address: SocketAddr,
        open: &Rc<Cell<usize>>,
        limits: ConnectionLimits,
    ) -> io::Result<ClientConnection> {
        let socket_count = SocketCount::new(open);
        let socket = Socket::new(TcpStream::connect(address).await?);
        let mut http = http1::Builder::new();
        http.max_buf_size(limits.max_buffer);
        let handshake = http.handshake(TokioIo::new(Tracked(socket.clone())));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        Ok(ClientConnection {
            sender,
            connection: Box::pin(connection),
            socket,
            limits,
            _socket_count: socket_count,
            ended: false,
            last_used_at: Instant::now(),
        })
    }

    /// Returns the socket.
    pub fn socket(&self) -> &Rc<Socket> {
        &self.socket
    }

    /// Returns whether the connection can be reused, now or after the reuse delay.
    ///
    /// It cannot if unexpected bytes came behind the last response. Nor can it while a part of the last request is
    /// unwritten: its server responded early, and may read the rest at any time or never.
    pub fn is_usable(&self) -> bool {
        !self.ended && !self.is_writing() && self.sender.is_ready() && self.socket.is_open_and_empty()
    }

    /// Returns whether a part of the last request is unwritten.
    pub fn is_writing(&self) -> bool {
        self.socket.write_progress() == WriteProgress::Partial
    }

    /// Returns whether the reuse delay after the last response is over.
    pub fn is_reuse_delay_over(&self) -> bool {
        self.idle_time() >= self.limits.reuse_delay
    }

    /// Returns when the connection was used last.
    pub fn last_used_at(&self) -> Instant {
        self.last_used_at
    }

    /// Returns the time since the connection was used last.
    pub fn idle_time(&self) -> Duration {
        self.last_used_at.elapsed()
    }

    /// Sends a request and returns the head of the response. Its body is read by [`ClientConnection::poll_data`].
    ///
    /// # Errors
    /// [`ResponseError`] if there is no response.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, ResponseError> {
        self.socket.begin_message();
        let response = self.sender.send_request(request);
        let socket = self.socket.clone();
        let sent = drive(&mut self.connection, &mut self.ended, response).await;
        sent.map_err(|_| match socket.write_progress() {
            WriteProgress::Complete => ResponseError::Broken,
            WriteProgress::NotStarted | WriteProgress::Partial => ResponseError::NotSent,
        })
    }

    /// Sends a request and returns the complete response. Only the time between its first and its last byte is bounded.
    ///
    /// # Errors
    /// [`ResponseError`] if there is no complete response.
    pub async fn exchange(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, ResponseError> {
        let socket = self.socket.clone();
        let body_timeout = self.limits.body_timeout;
        socket.reset_response_started();
        // After an informational response the final one has not begun.
        let is_informational = Arc::new(AtomicBool::new(false));
        let received = is_informational.clone();
        hyper::ext::on_informational(&mut request, move |_| received.store(true, Ordering::Relaxed));
        let mut response = pin!(self.read_response(request));
        let has_started = || {
            if is_informational.swap(false, Ordering::Relaxed) {
                socket.reset_response_started();
            }
            socket.response_started()
        };
        loop {
            // The response is polled first, and reading it is what sets the mark: no wake-up is missed.
            let started = poll_fn(|_| if has_started() { Poll::Ready(()) } else { Poll::Pending });
            tokio::select! {
                biased;
                complete = response.as_mut() => return complete,
                () = started => {}
            }
            match timeout(body_timeout, response.as_mut()).await {
                Ok(complete) => return complete,
                Err(_) if is_informational.load(Ordering::Relaxed) => {}
                Err(_) => return Err(ResponseError::Broken),
            }
        }
    }

    async fn read_response(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, ResponseError> {
        let (head, body) = self.send(request).await?.into_parts();
        // A body that is announced as too large need not be read.
        if body.size_hint().lower() > self.limits.max_body as u64 {
            return Err(ResponseError::TooLarge);
        }
        let limited = Limited::new(body, self.limits.max_body);
        match self.drive(limited.collect()).await {
            Ok(body) => Ok(Response::from_parts(head, body.to_bytes())),
            Err(error) if error.is::<LengthLimitError>() => Err(ResponseError::TooLarge),
            Err(_) => Err(ResponseError::Broken),
        }
    }

    /// Returns the next chunk of the body of a response; none once it is complete. Drives the connection.
    ///
    /// # Errors
    /// [`ResponseError::Broken`] if the connection breaks.
    pub fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
        body: &mut Incoming,
    ) -> Poll<Option<Result<Bytes, ResponseError>>> {
        loop {
            self.poll_connection(cx);
            match ready!(Pin::new(&mut *body).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(ResponseError::Broken))),
                None => return Poll::Ready(None),
            }
        }
    }

    /// Drives the connection, which notices that the last response is complete, or that the peer has closed.
    pub fn poll_connection(&mut self, cx: &mut Context<'_>) {
        if !self.ended && self.connection.as_mut().poll(cx).is_ready() {
            self.ended = true;
        }
    }

    /// Drives the connection until a future that depends on it is ready.
    pub async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        drive(&mut self.connection, &mut self.ended, future).await
    }

    /// Waits until the connection is ready for the next request. Returns false if it has to be closed.
    pub async fn wait_ready(&mut self) -> bool {
        let ClientConnection { sender, connection, ended, limits, .. } = self;
        let ready = poll_fn(|cx| {
            if !*ended && connection.as_mut().poll(cx).is_ready() {
                *ended = true;
            }
            sender.poll_ready(cx)
        });
        let ready = matches!(timeout(limits.ready_timeout, ready).await, Ok(Ok(())));
        self.last_used_at = Instant::now();
        ready && !self.ended
    }
}

/// Polls the connection beside a future that depends on it. The connection may end in the very poll that brings the
/// response, so that only the future tells of a failure.
async fn drive<F: Future>(connection: &mut HyperConnection, ended: &mut bool, future: F) -> F::Output {
    let mut future = pin!(future);
    poll_fn(|cx| {
        if !*ended && connection.as_mut().poll(cx).is_ready() {
            *ended = true;
        }
        future.as_mut().poll(cx)
    })
    .await
}

/// Counts a socket that is open or being opened.
struct SocketCount(Rc<Cell<usize>>);

impl SocketCount {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        SocketCount(open.clone())
    }
}

impl Drop for SocketCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
