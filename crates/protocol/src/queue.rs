//! What waits to be sent on one link.
//!
//! Long messages are split into chunks, and are sent only as fast as the peer acknowledges chunks. So there is never
//! much of them between the two processes, and a heartbeat that is sent behind them is not held up.

use crate::compression::compress;
use crate::framing::{frame_message, FrameKind, Prefix, MAX_CHUNK_BYTES};
use crate::lane::Lane;
use displaydoc::Display;
use std::collections::VecDeque;

/// The most bytes of chunks that are not acknowledged.
pub const CHUNK_WINDOW_BYTES: usize = 512 * 1024;
/// Written bytes are removed from the buffer in units of this size, and an empty buffer keeps no more memory than
/// this.
const RETAINED_BUFFER_BYTES: usize = 64 * 1024;

/// more bytes wait than the bound allows: check the load of the peer
#[derive(Debug, Display, PartialEq, Eq)]
pub struct QueueFull;

struct Message {
    lane: Lane,
    bytes: Vec<u8>,
    is_compressed: bool,
    sent: usize,
}

impl Message {
    fn remaining(&self) -> usize {
        self.bytes.len() - self.sent
    }
}

/// Messages on their way to one peer.
#[derive(Default)]
pub struct FrameQueue {
    /// Frames in the order in which they go out.
    ready: Vec<u8>,
    written: usize,
    /// Messages that are sent in chunks.
    ordered: VecDeque<Message>,
    /// Of these one may be sent in part, and one may wait behind it.
    states: VecDeque<Message>,
    /// The lane that is next.
    states_next: bool,
    /// Bytes of chunks that the peer has not acknowledged.
    in_flight: usize,
    /// Whether the peer can decompress messages.
    compresses: bool,
}

impl FrameQueue {
    /// Puts bytes before all that waits; nothing may have been written yet.
    pub fn prepend(&mut self, bytes: &[u8]) {
        self.ready.splice(..0, bytes.iter().copied());
    }

    /// Has long log entries and states compressed from now on. The peer must have announced that it can decompress them.
    pub fn enable_compression(&mut self) {
        self.compresses = true;
    }

    /// Adds an encoded message. On the lane for state it replaces one that has not been begun; on the others it is
    /// refused if more bytes than `maximum` would wait, unless nothing waits before it.
    ///
    /// # Errors
    /// [`QueueFull`].
    pub fn push(&mut self, lane: Lane, message: &[u8], maximum: usize) -> Result<(), QueueFull> {
        if lane == Lane::State {
            self.states.retain(|pending| pending.sent > 0);
        } else {
            let before = self.bounded_bytes();
            if before > 0 && before + message.len() > maximum {
                return Err(QueueFull);
            }
        }
        let is_short = message.len() <= MAX_CHUNK_BYTES && self.ready_bytes() <= MAX_CHUNK_BYTES;
        let lane_is_empty = match lane {
            Lane::Control => true,
            Lane::Ordered => self.ordered.is_empty(),
            Lane::State => self.states.is_empty(),
        };
        if lane == Lane::Control || is_short && lane_is_empty {
            frame_message(message, &mut self.ready);
            return Ok(());
        }
        let is_compressible = self.compresses && lane == Lane::State && message.len() > MAX_CHUNK_BYTES;
        let compressed = is_compressible.then(|| compress(message)).flatten();
        let is_compressed = compressed.is_some();
        let bytes = compressed.unwrap_or_else(|| message.to_vec());
        let message = Message { lane, bytes, is_compressed, sent: 0 };
        match lane {
            Lane::State => self.states.push_back(message),
            _ => self.ordered.push_back(message),
        }
        Ok(())
    }

    /// Returns the next bytes to write; empty if nothing may be sent now.
    pub fn pending(&mut self) -> &[u8] {
        while self.ready_bytes() < MAX_CHUNK_BYTES && self.in_flight < CHUNK_WINDOW_BYTES {
            let Some(message) = self.next_message() else { break };
            self.take_chunk(message);
        }
        &self.ready[self.written..]
    }

    /// So many of the waiting bytes were written.
    pub fn advance(&mut self, written: usize) {
        self.written += written;
        if self.written == self.ready.len() {
            self.ready.clear();
            self.ready.shrink_to(RETAINED_BUFFER_BYTES);
            self.written = 0;
        } else if self.written > RETAINED_BUFFER_BYTES {
            self.ready.drain(..self.written);
            self.written = 0;
        }
    }

    /// Acknowledges this many bytes of the peer's chunks.
    pub fn acknowledge_chunks(&mut self, bytes: usize) {
        let credit = (bytes as u32).to_le_bytes();
        let prefix = Prefix { kind: FrameKind::Credit, lane: Lane::Control, length: credit.len() };
        self.ready.extend_from_slice(&prefix.encode());
        self.ready.extend_from_slice(&credit);
    }

    /// Handles that the peer has acknowledged this many bytes of chunks.
    pub fn receive_credit(&mut self, bytes: usize) {
        self.in_flight = self.in_flight.saturating_sub(bytes);
    }

    /// Returns bytes held for this link.
    pub fn bytes(&self) -> usize {
        self.bounded_bytes() + self.states.iter().map(Message::remaining).sum::<usize>()
    }

    fn ready_bytes(&self) -> usize {
        self.ready.len() - self.written
    }

    fn bounded_bytes(&self) -> usize {
        self.ready_bytes() + self.ordered.iter().map(Message::remaining).sum::<usize>()
    }

    /// Takes the message that is next out of its lane.
    fn next_message(&mut self) -> Option<Message> {
        self.states_next = !self.states_next;
        if self.states_next {
            self.states.pop_front().or_else(|| self.ordered.pop_front())
        } else {
            self.ordered.pop_front().or_else(|| self.states.pop_front())
        }
    }

    /// Prepares the next chunk of a message, and keeps the rest of the message.
    fn take_chunk(&mut self, mut message: Message) {
        let length = message.remaining().min(MAX_CHUNK_BYTES);
        let kind = match (length == message.remaining(), message.is_compressed) {
            (false, _) => FrameKind::Chunk,
            (true, false) => FrameKind::LastChunk,
            (true, true) => FrameKind::LastCompressedChunk,
        };
        let chunk = &message.bytes[message.sent..message.sent + length];
        self.ready.extend_from_slice(&Prefix { kind, lane: message.lane, length }.encode());
        self.ready.extend_from_slice(chunk);
        self.in_flight += length;
        message.sent += length;
        match (kind, message.lane) {
            (FrameKind::LastChunk | FrameKind::LastCompressedChunk, _) => {}
            (_, Lane::State) => self.states.push_front(message),
            _ => self.ordered.push_front(message),
        }
    }
}
