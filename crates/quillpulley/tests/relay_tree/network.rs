//! The connections between processes, with the real link queues and decoders. A connection behaves like one of TCP: its
//! bytes arrive in order, lost packets are sent again, and it breaks when sent bytes stay unacknowledged for too long.

use quillpulley_protocol::{FrameDecoder, FrameQueue};
use std::collections::VecDeque;

/// The maximum number of bytes that a machine sends at once for one connection.
pub const PACKET_BYTES: usize = 8 * 1024;
/// The bytes of a segment, and those of its headers on the wire.
const SEGMENT_BYTES: usize = 1_448;
const HEADER_BYTES: usize = 66;
/// The bytes that may be unacknowledged on a new connection. Each acknowledged byte adds one more.
const INITIAL_WINDOW_BYTES: usize = 10 * SEGMENT_BYTES;
const MAX_WINDOW_BYTES: usize = 1024 * 1024;
/// The delay before lost packets are sent again. It doubles with each further loss.
pub const RETRANSMISSION_DELAY_US: u64 = 200_000;

/// What is in flight from one end of a connection to the other.
#[derive(Debug)]
pub enum Packet {
    Bytes(Vec<u8>),
    /// This end has closed the connection.
    Close,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndState {
    /// The TCP connection is not established, or the process has not handled its establishment.
    Connecting,
    /// The connection is established, and the `Hello` of the peer has not arrived.
    Established,
    Open,
    /// The connection has failed, and the process has not handled this.
    Broken,
    Closed,
}

/// One end of a connection, with the packets that it sends.
pub struct End {
    pub process: usize,
    /// The incarnation of the process. The end belongs to no later process.
    pub incarnation: u64,
    pub state: EndState,
    pub queue: FrameQueue,
    pub decoder: FrameDecoder,
    /// Packets that were lost, in order. Nothing else is sent before they have been sent again.
    pub lost: VecDeque<Packet>,
    /// Packets that are sent again, before the queue.
    pub resent: VecDeque<Packet>,
    pub retransmission_delay_us: u64,
    pub unacknowledged_bytes: usize,
    pub window_bytes: usize,
    /// When bytes were last acknowledged, or sent while none were unacknowledged.
    pub progress_at: u64,
    pub checks_progress: bool,
    /// Whether the end waits for its turn on the link of its machine.
    pub waits_for_link: bool,
}

pub struct Connection {
    /// The process that opened the connection, and the one that accepted it.
    pub ends: [End; 2],
    pub latency_us: u64,
    /// Whether both processes are on the same machine.
    pub is_loopback: bool,
}

impl End {
    pub fn new(process: usize, incarnation: u64) -> Self {
        End {
            process,
            incarnation,
            state: EndState::Connecting,
            queue: FrameQueue::default(),
            decoder: FrameDecoder::default(),
            lost: VecDeque::new(),
            resent: VecDeque::new(),
            retransmission_delay_us: RETRANSMISSION_DELAY_US,
            unacknowledged_bytes: 0,
            window_bytes: INITIAL_WINDOW_BYTES,
            progress_at: 0,
            checks_progress: false,
            waits_for_link: false,
        }
    }

    /// Returns whether the process may send and receive on this end.
    pub fn is_usable(&self) -> bool {
        matches!(self.state, EndState::Established | EndState::Open)
    }

    /// Returns whether there is a packet to be sent now.
    pub fn has_packet(&mut self) -> bool {
        if !self.is_usable() || !self.lost.is_empty() {
            return false;
        }
        !self.resent.is_empty()
            || self.unacknowledged_bytes < self.window_bytes && !self.queue.pending().is_empty()
    }

    /// Takes the next bytes to be sent. Returns `None` if there are none.
    pub fn next_packet(&mut self, now: u64) -> Option<Vec<u8>> {
        if !self.has_packet() {
            return None;
        }
        if let Some(Packet::Bytes(bytes)) = self.resent.pop_front() {
            return Some(bytes);
        }
        let available = self.window_bytes - self.unacknowledged_bytes;
        let pending = self.queue.pending();
        let length = pending.len().min(PACKET_BYTES).min(available);
        let bytes = pending[..length].to_vec();
        self.queue.advance(length);
        if self.unacknowledged_bytes == 0 {
            self.progress_at = now;
        }
        self.unacknowledged_bytes += length;
        Some(bytes)
    }

    pub fn acknowledged(&mut self, now: u64, bytes: usize) {
        self.unacknowledged_bytes = self.unacknowledged_bytes.saturating_sub(bytes);
        self.window_bytes = (self.window_bytes + bytes).min(MAX_WINDOW_BYTES);
        self.progress_at = now;
        self.retransmission_delay_us = RETRANSMISSION_DELAY_US;
    }
}

/// Returns the number of bytes that a packet takes on the wire.
pub fn wire_bytes(packet: &Packet) -> usize {
    match packet {
        Packet::Bytes(bytes) => bytes.len() + bytes.len().div_ceil(SEGMENT_BYTES) * HEADER_BYTES,
        Packet::Close => 0,
    }
}
