//! A socket that records how much of the latest message was written, and what was received.

use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// How much of the latest message has been handed to the kernel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteProgress {
    /// No byte.
    NotStarted,
    /// At least one byte, and possibly not all.
    Partial,
    /// All bytes.
    Complete,
}

/// A socket that records how much of the latest message was written, and the first bytes that were received.
pub struct Socket {
    /// The half for reading. It does not call the kernel again after a read that returned fewer bytes than
    /// the buffer holds.
    reader: RefCell<OwnedReadHalf>,
    /// The half for writing; `Some` until the socket is dropped.
    writer: Option<OwnedWriteHalf>,
    write_progress: Cell<WriteProgress>,
    /// Whether input or its end was read since [`Socket::reset_response_started`].
    response_started: Cell<bool>,
    /// The first bytes received since [`Socket::record_input`].
    recorded_input: RefCell<Vec<u8>>,
    /// The maximum length of `recorded_input`, in bytes; 0 while nothing is recorded.
    record_limit: Cell<usize>,
    /// Whether [`Socket::abort`] was called.
    aborted: Cell<bool>,
    /// Since when bytes wait that the kernel does not accept; `None` while none wait.
    write_blocked_since: Cell<Option<Instant>>,
}

impl Socket {
    /// Wraps a TCP stream, and sets `TCP_NODELAY` so that small messages are sent at once.
    pub fn new(stream: TcpStream) -> Rc<Self> {
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        Rc::new(Socket {
            reader: RefCell::new(reader),
            writer: Some(writer),
            write_progress: Cell::new(WriteProgress::NotStarted),
            response_started: Cell::new(false),
            recorded_input: RefCell::default(),
            record_limit: Cell::new(0),
            aborted: Cell::new(false),
            write_blocked_since: Cell::new(None),
        })
    }

    fn stream(&self) -> &TcpStream {
        self.writer.as_ref().expect("the half for writing is present until the socket is dropped").as_ref()
    }

    /// Returns how much of the latest message has been handed to the kernel.
    pub fn write_progress(&self) -> WriteProgress {
        self.write_progress.get()
    }

    /// Returns since when bytes wait that the kernel does not accept, because the peer does not read. `None`
    /// while no bytes wait.
    pub fn write_blocked_since(&self) -> Option<Instant> {
        self.write_blocked_since.get()
    }

    /// Resets the write progress for the next message.
    pub(crate) fn begin_message(&self) {
        self.write_progress.set(WriteProgress::NotStarted);
    }

    /// Resets the result of [`Socket::response_started`] to false.
    pub(crate) fn reset_response_started(&self) {
        self.response_started.set(false);
    }

    /// Returns whether anything was received since [`Socket::reset_response_started`].
    pub(crate) fn response_started(&self) -> bool {
        self.response_started.get()
    }

    /// Closes the connection at once, even if its owner is dropped later: a server must never receive the
    /// next attempt of a request while the connection of this attempt still looks open. Later reads fail, so
    /// that the end of the input is not taken for an orderly close by the peer.
    pub fn abort(&self) {
        self.aborted.set(true);
        let _ = SockRef::from(self.stream()).shutdown(Shutdown::Both);
    }

    /// Starts to record the first `limit` bytes that are received from now on.
    pub fn record_input(&self, limit: usize) {
        self.recorded_input.borrow_mut().clear();
        self.record_limit.set(limit);
    }

    /// Stops recording, and returns and clears the recorded bytes.
    pub fn recorded_input(&self) -> Vec<u8> {
        self.record_limit.set(0);
        self.recorded_input.take()
    }

    /// Closes the sending side, then reads and discards input until the peer has closed its sending side,
    /// `time` has passed, or `bytes` bytes were read.
    pub async fn linger(&self, time: Duration, bytes: usize) {
        let _ = SockRef::from(self.stream()).shutdown(Shutdown::Write);
        let discard = async {
            let mut remaining = bytes;
            let mut buffer = vec![0; 8 * 1024];
            while remaining > 0 && self.stream().readable().await.is_ok() {
                match self.stream().try_read(&mut buffer) {
                    Ok(read) if read > 0 => remaining = remaining.saturating_sub(read),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    _ => break,
                }
            }
        };
        let _ = timeout(time, discard).await;
    }

    /// Waits until the peer has closed the connection or its sending side, even if there are unread bytes.
    pub async fn peer_closed(&self) {
        // With this interest, the socket reports the end of the input but no other input.
        match self.stream().ready(Interest::PRIORITY).await {
            Ok(ready) if !ready.is_read_closed() => pending().await,
            _ => {}
        }
    }

    fn record_write_blocked(&self) {
        let since = self.write_blocked_since.get().unwrap_or_else(Instant::now);
        self.write_blocked_since.set(Some(since));
    }

    /// Returns whether any bytes have been recorded since [`Socket::record_input`].
    pub fn has_input(&self) -> bool {
        !self.recorded_input.borrow().is_empty()
    }

    /// Sets the maximum time for which written bytes may stay unacknowledged before the connection fails
    /// (`TCP_USER_TIMEOUT`).
    ///
    /// # Errors
    /// Returns the error of the socket.
    pub fn set_user_timeout(&self, time: Duration) -> io::Result<()> {
        SockRef::from(self.stream()).set_tcp_user_timeout(Some(time))
    }

    /// Returns a handle that tells other threads whether the peer has closed the connection.
    ///
    /// # Errors
    /// Returns the error of the system if there is no file descriptor for it.
    pub fn peer_watch(&self) -> io::Result<PeerWatch> {
        Ok(PeerWatch(SockRef::from(self.stream()).try_clone()?))
    }

    /// Returns whether the connection is open and has no unread input. This asks the kernel, because the
    /// runtime may not have been notified yet.
    pub fn is_open_and_empty(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(self.stream()).peek(&mut byte);
        matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Tells whether the peer of a connection has closed it or its sending side. Any thread may ask.
pub struct PeerWatch(socket2::Socket);

impl PeerWatch {
    /// Returns whether the peer has closed the connection or its sending side. This asks the kernel, as the runtime
    /// may not have been notified yet. With unread input it returns false.
    pub fn has_closed(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match self.0.peek(&mut byte) {
            Ok(read) => read == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

impl Drop for Socket {
    /// Closes both directions at once. Dropping the half for writing would first shut down that direction in
    /// an orderly way.
    fn drop(&mut self) {
        if let Some(writer) = self.writer.take() {
            writer.forget();
        }
    }
}

/// The I/O stream through which hyper reads and writes a [`Socket`].
pub struct SocketIo(pub Rc<Socket>);

impl AsyncRead for SocketIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut *self.0.reader.borrow_mut()).poll_read(cx, buf))?;
        let data = &buf.filled()[before..];
        if data.is_empty() && self.0.aborted.get() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        self.0.response_started.set(true);
        let mut recorded_input = self.0.recorded_input.borrow_mut();
        let remaining = self.0.record_limit.get().saturating_sub(recorded_input.len());
        recorded_input.extend_from_slice(&data[..data.len().min(remaining)]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for SocketIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            let Poll::Ready(ready) = self.0.stream().poll_write_ready(cx) else {
                self.0.record_write_blocked();
                return Poll::Pending;
            };
            ready?;
            match self.0.stream().try_write_vectored(bufs) {
                Ok(n) => {
                    if n > 0 {
                        self.0.write_progress.set(WriteProgress::Partial);
                        self.0.write_blocked_since.set(None);
                    }
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Records that the message was written completely. hyper buffers a request whose body is available
    /// completely before it writes any of it, and flushes only when its buffer is empty. A flush after a
    /// write therefore means that the last byte was written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.write_blocked_since.set(None);
        if self.0.write_progress.get() == WriteProgress::Partial {
            self.0.write_progress.set(WriteProgress::Complete);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(self.0.stream()).shutdown(Shutdown::Write))
    }
}
