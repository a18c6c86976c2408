//! Binds listeners and datagram sockets, and sets the options of TCP connections.

use crate::HostError;
use log::debug;
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{sleep, Instant};

/// The kernel closes a connection if sent bytes stay unacknowledged for this long, for example because the other machine
/// has lost power.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The idle time after which TCP keepalive probes are sent, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How long binding is retried while the address is in use, because a previous process may still be exiting.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum number of connections that wait in the kernel to be accepted.
const BACKLOG: i32 = 256;
/// The same for links. A connection beyond it would be retransmitted only after a second, longer than a link may take.
const LINK_BACKLOG: i32 = 4_096;

/// Sets the options of a connection between processes of the system: no delay for small messages, and timeouts that
/// detect the loss of the other machine sooner than the defaults of the kernel. Failures are only logged.
pub fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    let results = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        debug!(error:% = error; "cannot set a socket option");
    }
}

/// Listens on a TCP address. Retries for up to two seconds if binding fails.
///
/// # Errors
/// [`HostError::Listen`] if binding still fails after that time.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, HostError> {
    bind_with_retry(address, || listen(address, BACKLOG)).await
}

/// Listens on a TCP address for links. Retries as [`bind`] does.
///
/// # Errors
/// [`HostError::Listen`] if binding still fails after that time.
pub async fn bind_links(address: SocketAddr) -> Result<TcpListener, HostError> {
    bind_with_retry(address, || listen(address, LINK_BACKLOG)).await
}

/// Binds a UDP socket. Retries for up to two seconds if binding fails.
///
/// # Errors
/// [`HostError::Listen`] if binding still fails after that time.
pub async fn bind_datagrams(address: SocketAddr) -> Result<UdpSocket, HostError> {
    bind_with_retry(address, || open_datagrams(address)).await
}

async fn bind_with_retry<T>(address: SocketAddr, bind: impl Fn() -> io::Result<T>) -> Result<T, HostError> {
    let started = Instant::now();
    loop {
        match bind() {
            Ok(socket) => return Ok(socket),
            Err(error) if started.elapsed() >= BIND_TIMEOUT => {
                return Err(HostError::Listen { address, error });
            }
            Err(_) => sleep(BIND_RETRY_INTERVAL).await,
        }
    }
}

fn listen(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}

fn open_datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}
