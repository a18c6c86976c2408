//! Pings and their answers, as datagrams.

use log::debug;
use quillpulley_protocol::{decode_frame, Body, FrameEncoder};
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// No ping is longer.
const LONGEST: usize = 1_024;
/// Datagrams that are no messages, and errors, are skipped up to this number at a time.
const MOST_SKIPPED: usize = 16;

/// The socket for pings.
pub struct Datagrams {
    socket: UdpSocket,
    encoder: FrameEncoder,
}

impl Datagrams {
    /// Pings on this socket.
    pub fn new(socket: UdpSocket) -> Datagrams {
        Datagrams { socket, encoder: FrameEncoder::default() }
    }

    /// Waits until a datagram has come, or the socket has failed.
    pub async fn readable(&self) {
        // An error shows again at the next attempt to receive.
        let _ = self.socket.readable().await;
    }

    /// Returns the next datagram that is a message, if one has come.
    pub fn receive(&self) -> Option<(Body, SocketAddr)> {
        let mut bytes = [0; LONGEST];
        for _ in 0..MOST_SKIPPED {
            match self.socket.try_recv_from(&mut bytes) {
                Ok((length, from)) => match decode_frame(&bytes[..length]) {
                    Ok(body) => return Some((body, from)),
                    Err(error) => debug!("datagram from {from}: {error}"),
                },
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
                Err(error) => debug!("an earlier datagram was refused: {error}"),
            }
        }
        None
    }

    /// Sends a datagram. One that the system does not take at once is lost, as others are on their way.
    pub fn send(&mut self, to: SocketAddr, body: &Body) {
        let message = self.encoder.message(body);
        if let Err(error) = self.socket.try_send_to(message, to) {
            debug!("no datagram to {to}: {error}");
        }
    }
}
