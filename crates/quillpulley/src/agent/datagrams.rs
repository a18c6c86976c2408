//! Pings of the membership protocol and their acknowledgements, as datagrams.

use log::debug;
use quillpulley_protocol::{decode_frame, Body, FrameEncoder};
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// The most bytes of a datagram.
const MAX_DATAGRAM_BYTES: usize = 1_024;
/// The most invalid datagrams and errors that are skipped at a time.
const MAX_SKIPPED: usize = 16;

/// The socket for pings.
pub struct Datagrams {
    socket: UdpSocket,
    encoder: FrameEncoder,
}

impl Datagrams {
    /// Wraps a socket.
    pub fn new(socket: UdpSocket) -> Datagrams {
        Datagrams { socket, encoder: FrameEncoder::default() }
    }

    /// Waits until a datagram has arrived, or the socket has failed.
    pub async fn readable(&self) {
        // An error occurs again at the next attempt to receive.
        let _ = self.socket.readable().await;
    }

    /// Returns the next valid datagram, if one has arrived.
    pub fn receive(&self) -> Option<(Body, SocketAddr)> {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_SKIPPED {
            match self.socket.try_recv_from(&mut bytes) {
                Ok((length, from)) => match decode_frame(&bytes[..length]) {
                    Ok(body) => return Some((body, from)),
                    Err(error) => debug!(peer:% = from, error:% = error; "invalid datagram"),
                },
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
                Err(error) => debug!(error:% = error; "an earlier datagram was refused"),
            }
        }
        None
    }

    /// Sends a datagram. It is lost if the socket's buffer is full, like datagrams on the network.
    pub fn send(&mut self, to: SocketAddr, body: &Body) {
        let message = self.encoder.message(body);
        if let Err(error) = self.socket.try_send_to(message, to) {
            debug!(peer:% = to, error:% = error; "datagram not sent");
        }
    }
}
