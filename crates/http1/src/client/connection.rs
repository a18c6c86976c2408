//! An outgoing HTTP/1.1 connection that its owner polls. It has no background task and no pool, and it never
//! retries.
//!
//! Dropping a [`ClientConnection`] closes its socket at once, and no request is ever sent twice. The socket
//! records whether a request has been handed to the kernel completely, because this determines whether the
//! server may have executed it.

use crate::socket::{Socket, SocketIo, WriteProgress};
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
    /// The maximum size of the body of a response, for [`ClientConnection::exchange`], in bytes.
    pub max_body: usize,
    /// The maximum size of the head of a response, and of the part of its body that hyper buffers, in bytes.
    pub max_buffer: usize,
    /// The maximum time between the first and the last byte of a response, for
    /// [`ClientConnection::exchange`]. It should be long enough for one retransmission of a lost packet.
    pub body_timeout: Duration,
    /// The minimum time between the end of a response and the next request on the connection. Without it,
    /// unexpected bytes that arrive late after a response would be read as the response to the next request.
    /// A few milliseconds are enough: of 209 observed second responses, the latest arrived 5.5 ms after the
    /// first response.
    pub reuse_delay: Duration,
    /// The maximum time after a response until the connection is ready for the next request. If it takes
    /// longer, the connection has to be closed.
    pub ready_timeout: Duration,
}

/// The reason why there is no usable response.
#[derive(Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// The connection failed before the last byte of the request was written and before a response was
    /// received.
    NotSent,
    /// The connection failed after the request was written or the response had begun, or the response was
    /// invalid or too slow.
    Broken,
    /// The body of the response exceeds [`ConnectionLimits::max_body`].
    TooLarge,
}

type HyperConnection = Pin<Box<Connection<TokioIo<SocketIo>, Full<Bytes>>>>;

/// An outgoing connection. It carries one request at a time.
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
    /// Connects to a server. `open_sockets` is the number of open sockets, which includes this one until it
    /// is dropped. The caller applies a timeout.
    ///
    /// # Errors
    /// Returns an error if the connection cannot be established.
    pub async fn connect(
        address: SocketAddr,
        open_sockets: &Rc<Cell<usize>>,
        limits: ConnectionLimits,
    ) -> io::Result<ClientConnection> {
        let socket_count = SocketCount::new(open_sockets);
        let socket = Socket::new(TcpStream::connect(address).await?);
        let mut http = http1::Builder::new();
        http.max_buf_size(limits.max_buffer);
        let handshake = http.handshake(TokioIo::new(SocketIo(socket.clone())));
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

    /// Returns the socket of the connection.
    pub fn socket(&self) -> &Rc<Socket> {
        &self.socket
    }

    /// Returns whether the connection can be reused, now or after the reuse delay.
    ///
    /// It cannot be reused if unexpected bytes arrived after the last response, or while a part of the last
    /// request is unwritten: the server responded early, and may read the rest of the request at any time or
    /// never.
    pub fn is_usable(&self) -> bool {
        !self.ended && !self.is_writing() && self.sender.is_ready() && self.socket.is_open_and_empty()
    }

    /// Returns whether the last request has been written in part only.
    pub fn is_writing(&self) -> bool {
        self.socket.write_progress() == WriteProgress::Partial
    }

    /// Returns whether the connection has been idle for at least [`ConnectionLimits::reuse_delay`].
    pub fn is_reuse_delay_over(&self) -> bool {
        self.idle_time() >= self.limits.reuse_delay
    }

    /// Returns when the connection was opened, or when [`ClientConnection::wait_ready`] last returned.
    pub fn last_used_at(&self) -> Instant {
        self.last_used_at
    }

    /// Returns the time since [`ClientConnection::last_used_at`].
    pub fn idle_time(&self) -> Duration {
        self.last_used_at.elapsed()
    }

    /// Sends a request and returns the head of the response, whose body is read with
    /// [`ClientConnection::poll_data`].
    ///
    /// # Errors
    /// Returns [`ResponseError::NotSent`] or [`ResponseError::Broken`] if there is no response.
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

    /// Sends a request and returns the complete response. Only the time between the first and the last byte
    /// of the response is limited.
    ///
    /// # Errors
    /// Returns a [`ResponseError`] if there is no complete response.
    pub async fn exchange(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, ResponseError> {
        let socket = self.socket.clone();
        let body_timeout = self.limits.body_timeout;
        socket.reset_response_started();
        // An informational response (1xx) does not begin the final response.
        let informational_received = Arc::new(AtomicBool::new(false));
        let received_flag = informational_received.clone();
        hyper::ext::on_informational(&mut request, move |_| received_flag.store(true, Ordering::Relaxed));
        let mut response = pin!(self.read_response(request));
        let has_started = || {
            if informational_received.swap(false, Ordering::Relaxed) {
                socket.reset_response_started();
            }
            socket.response_started()
        };
        loop {
            // `response` is polled first, and only reading from the socket makes `started` ready, so no
            // wake-up is missed.
            let started = poll_fn(|_| if has_started() { Poll::Ready(()) } else { Poll::Pending });
            tokio::select! {
                biased;
                complete = response.as_mut() => return complete,
                () = started => {}
            }
            match timeout(body_timeout, response.as_mut()).await {
                Ok(complete) => return complete,
                Err(_) if informational_received.load(Ordering::Relaxed) => {}
                Err(_) => return Err(ResponseError::Broken),
            }
        }
    }

    async fn read_response(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, ResponseError> {
        let (head, body) = self.send(request).await?.into_parts();
        // A body whose announced length is too large need not be read.
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

    /// Polls the connection, and returns the next chunk of the body of a response; `None` after the last one.
    ///
    /// # Errors
    /// Returns [`ResponseError::Broken`] if the connection fails.
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

    /// Polls the connection, so that it notices the end of the last response, or that the peer has closed it.
    pub fn poll_connection(&mut self, cx: &mut Context<'_>) {
        if !self.ended && self.connection.as_mut().poll(cx).is_ready() {
            self.ended = true;
        }
    }

    /// Polls the connection together with a future that depends on it, until the future is ready.
    pub async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        drive(&mut self.connection, &mut self.ended, future).await
    }

    /// Waits until the connection is ready for the next request, for at most
    /// [`ConnectionLimits::ready_timeout`]. Returns false if the connection has to be closed.
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

/// Polls the connection together with a future that depends on it. The connection may end in the same poll
/// that makes the response available, so only the output of the future shows whether the request failed.
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

/// Counts a socket, from before it connects until it is dropped.
struct SocketCount(Rc<Cell<usize>>);

impl SocketCount {
    fn new(open_sockets: &Rc<Cell<usize>>) -> Self {
        open_sockets.set(open_sockets.get() + 1);
        SocketCount(open_sockets.clone())
    }
}

impl Drop for SocketCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
