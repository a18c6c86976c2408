//! The task of one link: reads, writes, and nothing in between.

use super::table::SharedOutbound;
use super::{socket, LinkId, Shared};
use displaydoc::Display;
use log::{debug, warn};
use quillpulley_protocol::{Body, FrameDecoder, Hello, ProtocolError};
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
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// A connection must come up within this time. The first packet to a machine without power is lost, and the
/// kernel would send it again only after a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// The other side's `Hello` must come within this time after that.
const HELLO_LIMIT: Duration = Duration::from_secs(1);
/// After a failure to accept (no descriptors left), the next try waits for this time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Bytes taken from the socket at once.
const READ_SIZE: usize = 16 * 1024;

/// Why a link ended.
#[derive(Debug, Display)]
enum LinkEnd {
    /// the peer closed it
    Peer,
    /// closed here
    Here,
    /// {0}
    Failed(io::Error),
    /// {0}
    Wire(ProtocolError),
    /// the first message is no hello: check that the peer speaks this protocol
    NoHello,
    /// nothing came in time
    Silent,
}

/// Takes connections until its task is ended.
pub async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => take(&shared, stream, address),
            Err(error) => {
                warn!("cannot accept a connection ({error}): raise the limit of open files");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn take(shared: &Rc<Shared>, stream: TcpStream, address: SocketAddr) {
    if shared.incoming.get() >= shared.options.maximum_incoming {
        debug!("connection from {address} closed: too many");
        return;
    }
    shared.incoming.set(shared.incoming.get() + 1);
    let (link, outbound) = shared.table.borrow_mut().add_incoming(address);
    let shared = shared.clone();
    spawn_local(async move {
        let end = run(&shared, link, outbound, stream).await;
        shared.incoming.set(shared.incoming.get() - 1);
        finish(&shared, link, address, end);
    });
}

/// Connects, and serves the link until it ends.
pub async fn connect(shared: Rc<Shared>, link: LinkId, outbound: SharedOutbound, address: SocketAddr) {
    let connecting = async {
        tokio::select! {
            connected = TcpStream::connect(address) => connected.map_err(LinkEnd::Failed),
            () = ended(&outbound) => Err(LinkEnd::Here),
        }
    };
    let end = match timeout(CONNECT_LIMIT, connecting).await {
        Ok(Ok(stream)) => run(&shared, link, outbound, stream).await,
        Ok(Err(end)) => end,
        Err(_) => LinkEnd::Silent,
    };
    finish(&shared, link, address, end);
}

/// Comes back once the link is to close.
async fn ended(outbound: &SharedOutbound) {
    poll_fn(|context| {
        let mut outbound = outbound.borrow_mut();
        outbound.watch(context);
        if outbound.is_ended() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
}

fn finish(shared: &Shared, link: LinkId, address: SocketAddr, end: LinkEnd) {
    match end {
        LinkEnd::Wire(_) | LinkEnd::NoHello => warn!("{link} to {address}: {end}"),
        _ => debug!("{link} to {address}: {end}"),
    }
    shared.table.borrow_mut().closed(link);
}

async fn run(shared: &Shared, link: LinkId, outbound: SharedOutbound, stream: TcpStream) -> LinkEnd {
    socket::tune(&stream);
    outbound.borrow_mut().prepend(&shared.hello);
    let connection = Connection { stream, decoder: FrameDecoder::default(), outbound, heard: Instant::now() };
    match serve(shared, link, connection).await {
        Ok(never) => match never {},
        Err(end) => end,
    }
}

async fn serve(
    shared: &Shared,
    link: LinkId,
    mut connection: Connection,
) -> Result<std::convert::Infallible, LinkEnd> {
    let hello = connection.hello().await?;
    shared.table.borrow_mut().open(link, hello);
    loop {
        let body = connection.frame(shared.options.idle_limit).await?;
        shared.table.borrow_mut().frame(link, body);
    }
}

/// A socket with what was read of the next message and what waits to be written.
struct Connection {
    stream: TcpStream,
    decoder: FrameDecoder,
    outbound: SharedOutbound,
    /// When something last came.
    heard: Instant,
}

impl Connection {
    /// Returns the first message.
    async fn hello(&mut self) -> Result<Hello, LinkEnd> {
        let first = poll_fn(|context| self.poll_frame(context));
        match timeout(HELLO_LIMIT, first).await {
            Ok(Ok(Body::Hello(hello))) => Ok(*hello),
            Ok(Ok(_)) => Err(LinkEnd::NoHello),
            Ok(Err(end)) => Err(end),
            Err(_) => Err(LinkEnd::Silent),
        }
    }

    /// Returns the next message; an error where nothing at all comes for the idle limit.
    async fn frame(&mut self, idle_limit: Option<Duration>) -> Result<Body, LinkEnd> {
        let Some(limit) = idle_limit else {
            return poll_fn(|context| self.poll_frame(context)).await;
        };
        loop {
            let left = limit.saturating_sub(self.heard.elapsed());
            if left.is_zero() {
                return Err(LinkEnd::Silent);
            }
            if let Ok(outcome) = timeout(left, poll_fn(|context| self.poll_frame(context))).await {
                return outcome;
            }
        }
    }

    /// Writes what waits, and reads until there is a whole message.
    fn poll_frame(&mut self, context: &mut Context<'_>) -> Poll<Result<Body, LinkEnd>> {
        self.write(context)?;
        loop {
            let body = self.decoder.next_frame().map_err(LinkEnd::Wire)?;
            self.count_pieces(context)?;
            if let Some(body) = body {
                return Poll::Ready(Ok(body));
            }
            ready!(self.poll_read(context))?;
        }
    }

    /// Tells the other side of pieces that have come, and goes on where it has told of some.
    fn count_pieces(&mut self, context: &mut Context<'_>) -> Result<(), LinkEnd> {
        let (here, there) = (self.decoder.take_received(), self.decoder.take_credited());
        if here == 0 && there == 0 {
            return Ok(());
        }
        self.outbound.borrow_mut().pieces_came(here, there);
        self.write(context)
    }

    /// Writes as much as the socket takes.
    fn write(&mut self, context: &mut Context<'_>) -> Result<(), LinkEnd> {
        let mut outbound = self.outbound.borrow_mut();
        outbound.watch(context);
        loop {
            let waiting = outbound.waiting();
            if waiting.is_empty() {
                break;
            }
            match Pin::new(&mut self.stream).poll_write(context, waiting) {
                Poll::Ready(written) => outbound.advance(written.map_err(LinkEnd::Failed)?),
                Poll::Pending => break,
            }
        }
        if outbound.is_ended() {
            return Err(LinkEnd::Here);
        }
        Ok(())
    }

    fn poll_read(&mut self, context: &mut Context<'_>) -> Poll<Result<(), LinkEnd>> {
        let mut bytes = [MaybeUninit::uninit(); READ_SIZE];
        let mut buffer = ReadBuf::uninit(&mut bytes);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer)).map_err(LinkEnd::Failed)?;
        if buffer.filled().is_empty() {
            return Poll::Ready(Err(LinkEnd::Peer));
        }
        self.heard = Instant::now();
        self.decoder.push(buffer.filled());
        Poll::Ready(Ok(()))
    }
}
