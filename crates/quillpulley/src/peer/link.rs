//! The tasks that accept connections, and that read and write the frames of one link.

use super::link_table::{Admission, SharedOutbound};
use super::{socket, LinkId, Shared};
use displaydoc::Display;
use log::{debug, warn};
use quillpulley_protocol::{compression_announcement, Body, FrameDecoder, Hello, ProtocolError};
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout, Instant};

/// The maximum time to establish a TCP connection. Waiting a little longer would not help: if the first packet is lost,
/// as with a machine without power, the kernel retransmits it only after one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum time from the establishment of a connection until the `Hello` of the peer has arrived.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of bytes that are received before the `Hello` is complete.
const MAX_HELLO_BYTES: usize = 64 * 1024;
/// The delay after `accept` has failed. The most likely cause is that the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The maximum number of bytes that are read from a socket at once.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Why a link closed.
#[derive(Debug, Display)]
enum CloseReason {
    /// closed by the peer
    ClosedByPeer,
    /// closed by this side
    ClosedLocally,
    /// {0}
    Io(io::Error),
    /// {0}
    Protocol(ProtocolError),
    /// the first message is not a Hello: check that the peer speaks this protocol
    NoHello,
    /// no Hello within the first bytes: check that the peer speaks this protocol
    HelloTooLong,
    /// timed out
    TimedOut,
}

/// Accepts connections until the task is aborted.
pub async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                if is_admitted(&shared).await {
                    accept_stream(&shared, stream, address);
                } else {
                    debug!(address:% = address; "too many open links; closing a new connection");
                }
            }
            Err(error) => {
                warn!(error:% = error; "cannot accept a connection: the limit of open files may be too low");
                shared.link_table.borrow_mut().evict_oldest();
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until there is room for another connection. Returns whether it is admitted.
async fn is_admitted(shared: &Shared) -> bool {
    loop {
        let mut admission = shared.link_table.borrow().admission();
        if admission == Admission::EvictOldest {
            // What the oldest connection has sent may not have been read yet.
            yield_now().await;
            admission = shared.link_table.borrow().admission();
        }
        match admission {
            Admission::Admitted => return true,
            Admission::Refused => return false,
            Admission::EvictOldest => shared.link_table.borrow_mut().evict_oldest(),
            Admission::Wait(time) => {
                let _ = timeout(time, shared.handshake_ended.notified()).await;
            }
        }
    }
}

fn accept_stream(shared: &Rc<Shared>, stream: TcpStream, address: SocketAddr) {
    let (link, outbound) = shared.link_table.borrow_mut().add_incoming(address);
    let shared = shared.clone();
    spawn_local(async move {
        let reason = run(&shared, link, outbound, stream).await;
        finish(&shared, link, address, reason);
    });
}

/// Connects to a peer, and runs the link until it closes.
pub async fn connect(shared: Rc<Shared>, link: LinkId, outbound: SharedOutbound, address: SocketAddr) {
    let connecting = async {
        tokio::select! {
            connected = TcpStream::connect(address) => connected.map_err(CloseReason::Io),
            () = close_requested(&outbound) => Err(CloseReason::ClosedLocally),
        }
    };
    let reason = match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(stream)) => run(&shared, link, outbound, stream).await,
        Ok(Err(reason)) => reason,
        Err(_) => CloseReason::TimedOut,
    };
    finish(&shared, link, address, reason);
}

/// Waits until this side requests that the link be closed.
async fn close_requested(outbound: &SharedOutbound) {
    poll_fn(|context| {
        let mut outbound = outbound.borrow_mut();
        outbound.register_waker(context);
        if outbound.is_closing() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
}

fn finish(shared: &Shared, link: LinkId, address: SocketAddr, reason: CloseReason) {
    match reason {
        CloseReason::Protocol(_) | CloseReason::NoHello | CloseReason::HelloTooLong => {
            warn!(link:% = link, address:% = address, reason:% = reason; "link closed")
        }
        _ => debug!(link:% = link, address:% = address, reason:% = reason; "link closed"),
    }
    shared.link_table.borrow_mut().link_closed(link);
    shared.handshake_ended.notify_waiters();
}

async fn run(shared: &Shared, link: LinkId, outbound: SharedOutbound, stream: TcpStream) -> CloseReason {
    socket::set_options(&stream);
    outbound.borrow_mut().prepend(&compression_announcement());
    outbound.borrow_mut().prepend(&shared.hello);
    let connection = Connection {
        stream,
        decoder: FrameDecoder::default(),
        outbound,
        last_received_at: Instant::now(),
        remaining_hello_bytes: Some(MAX_HELLO_BYTES),
    };
    match serve(shared, link, connection).await {
        Ok(never) => match never {},
        Err(reason) => reason,
    }
}

async fn serve(
    shared: &Shared,
    link: LinkId,
    mut connection: Connection,
) -> Result<std::convert::Infallible, CloseReason> {
    let hello = connection.receive_hello().await?;
    shared.link_table.borrow_mut().hello_received(link, hello);
    shared.handshake_ended.notify_waiters();
    loop {
        let body = connection.receive_frame(shared.options.idle_timeout).await?;
        shared.link_table.borrow_mut().frame_received(link, body);
    }
}

/// A socket, the decoder that holds the part of the next frame that was received so far, and the queue of frames to be
/// written.
struct Connection {
    stream: TcpStream,
    decoder: FrameDecoder,
    outbound: SharedOutbound,
    /// When any bytes were last received.
    last_received_at: Instant,
    /// How many more bytes may be received before the `Hello` is complete. `None` once it is.
    remaining_hello_bytes: Option<usize>,
}

impl Connection {
    /// Returns the first message, which must be a `Hello` and must arrive within [`HELLO_TIMEOUT`].
    async fn receive_hello(&mut self) -> Result<Hello, CloseReason> {
        let first = poll_fn(|context| self.poll_frame(context));
        match timeout(HELLO_TIMEOUT, first).await {
            Ok(Ok(Body::Hello(hello))) => {
                self.remaining_hello_bytes = None;
                Ok(*hello)
            }
            Ok(Ok(_)) => Err(CloseReason::NoHello),
            Ok(Err(reason)) => Err(reason),
            Err(_) => Err(CloseReason::TimedOut),
        }
    }

    /// Returns the next message. Fails if no bytes are received for the idle timeout.
    async fn receive_frame(&mut self, idle_timeout: Option<Duration>) -> Result<Body, CloseReason> {
        let Some(limit) = idle_timeout else {
            return poll_fn(|context| self.poll_frame(context)).await;
        };
        loop {
            let remaining = limit.saturating_sub(self.last_received_at.elapsed());
            if remaining.is_zero() {
                return Err(CloseReason::TimedOut);
            }
            if let Ok(outcome) = timeout(remaining, poll_fn(|context| self.poll_frame(context))).await {
                return outcome;
            }
        }
    }

    /// Writes queued frames as far as the socket accepts them, and reads until a message is complete.
    fn poll_frame(&mut self, context: &mut Context<'_>) -> Poll<Result<Body, CloseReason>> {
        self.write(context)?;
        loop {
            let body = self.decoder.next_frame().map_err(CloseReason::Protocol)?;
            self.exchange_chunk_credit(context)?;
            if let Some(body) = body {
                return Poll::Ready(Ok(body));
            }
            ready!(self.poll_read(context))?;
        }
    }

    /// Acknowledges the received chunks to the peer, and applies the acknowledgements that the peer has sent. Enables
    /// compression once the peer has announced that it can decompress.
    fn exchange_chunk_credit(&mut self, context: &mut Context<'_>) -> Result<(), CloseReason> {
        if self.decoder.peer_decompresses() {
            self.outbound.borrow_mut().enable_compression();
        }
        let (received_bytes, acknowledged_bytes) =
            (self.decoder.take_received(), self.decoder.take_acknowledged());
        if received_bytes == 0 && acknowledged_bytes == 0 {
            return Ok(());
        }
        self.outbound.borrow_mut().record_chunks(received_bytes, acknowledged_bytes);
        self.write(context)
    }

    /// Writes queued frames until the socket accepts no more bytes or the queue is empty. Fails with
    /// [`CloseReason::ClosedLocally`] if the link is to be closed.
    fn write(&mut self, context: &mut Context<'_>) -> Result<(), CloseReason> {
        let mut outbound = self.outbound.borrow_mut();
        outbound.register_waker(context);
        loop {
            let pending = outbound.pending();
            if pending.is_empty() {
                break;
            }
            match Pin::new(&mut self.stream).poll_write(context, pending) {
                Poll::Ready(written) => outbound.advance(written.map_err(CloseReason::Io)?),
                Poll::Pending => break,
            }
        }
        if outbound.is_closing() {
            return Err(CloseReason::ClosedLocally);
        }
        Ok(())
    }

    fn poll_read(&mut self, context: &mut Context<'_>) -> Poll<Result<(), CloseReason>> {
        let mut bytes = [MaybeUninit::uninit(); READ_BUFFER_BYTES];
        let mut buffer = ReadBuf::uninit(&mut bytes);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer)).map_err(CloseReason::Io)?;
        if buffer.filled().is_empty() {
            return Poll::Ready(Err(CloseReason::ClosedByPeer));
        }
        self.last_received_at = Instant::now();
        if let Some(remaining) = &mut self.remaining_hello_bytes {
            *remaining = remaining.checked_sub(buffer.filled().len()).ok_or(CloseReason::HelloTooLong)?;
        }
        self.decoder.push(buffer.filled());
        Poll::Ready(Ok(()))
    }
}
