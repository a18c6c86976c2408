//! The UDP socket for pings of the membership protocol and their acknowledgements.

use log::debug;
use quillpulley_protocol::{decode_frame, Body, FrameEncoder};
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// The maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 1_024;
/// The maximum number of invalid datagrams and receive errors that one call of [`Datagrams::receive`] skips.
const MAX_SKIPPED: usize = 16;

/// A UDP socket that sends and receives protocol messages, one in each datagram.
pub struct Datagrams {
    socket: UdpSocket,
    encoder: FrameEncoder,
}

impl Datagrams {
    /// Wraps a bound socket.
    pub fn new(socket: UdpSocket) -> Datagrams {
        Datagrams { socket, encoder: FrameEncoder::default() }
    }

    /// Waits until a datagram can be received, or the socket reports an error.
    pub async fn readable(&self) {
        // The error is ignored here because the next attempt to receive returns it again.
        let _ = self.socket.readable().await;
    }

    /// Returns the message of the next valid datagram and the address of its sender, or `None` if no valid datagram
    /// has arrived.
    pub fn receive(&self) -> Option<(Body, SocketAddr)> {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_SKIPPED {
            match self.socket.try_recv_from(&mut bytes) {
                Ok((length, from)) => match decode_frame(&bytes[..length]) {
                    Ok(body) => return Some((body, from)),
                    Err(error) => debug!(peer:% = from, error:% = error; "skipping an invalid datagram"),
                },
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
                Err(error) => {
                    debug!(error:% = error; "cannot receive a datagram: an earlier one may have been refused")
                }
            }
        }
        None
    }

    /// Sends a datagram without waiting. It is dropped if the send buffer of the socket is full; the membership
    /// protocol tolerates the loss of datagrams anyway.
    pub fn send(&mut self, to: SocketAddr, body: &Body) {
        let message = self.encoder.message(body);
        if let Err(error) = self.socket.try_send_to(message, to) {
            debug!(peer:% = to, error:% = error; "cannot send a datagram");
        }
    }
}
