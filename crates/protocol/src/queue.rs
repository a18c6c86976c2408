//! The queue of outgoing messages of one link.
//!
//! Long messages are split into chunks, and chunks are sent only as fast as the peer acknowledges them. This limits the
//! bytes that are in flight or in socket buffers, so that a heartbeat which is sent after a long message is not delayed
//! by it.

use crate::framing::{frame_message, FrameKind, Prefix, MAX_CHUNK_BYTES};
use crate::lane::Lane;
use crate::outgoing::OutgoingMessage;
use displaydoc::Display;
use std::collections::VecDeque;

/// No further chunk is sent while at least this many bytes of chunks are unacknowledged.
pub const CHUNK_WINDOW_BYTES: usize = 512 * 1024;
/// Written bytes are removed from the buffer once there are more than this, and an empty buffer retains at most this
/// capacity.
const RETAINED_BUFFER_BYTES: usize = 64 * 1024;

/// the queue of outgoing messages is full: check the load of the peer
#[derive(Debug, Display, PartialEq, Eq)]
pub struct QueueFull;

struct Message {
    lane: Lane,
    bytes: Vec<u8>,
    is_compressed: bool,
    sent_bytes: usize,
}

impl Message {
    fn remaining(&self) -> usize {
        self.bytes.len() - self.sent_bytes
    }
}

/// The queue of outgoing messages to one peer.
#[derive(Default)]
pub struct FrameQueue {
    /// Encoded frames in the order in which they are written.
    ready: Vec<u8>,
    written_bytes: usize,
    /// Queued messages of [`Lane::Ordered`], which are sent in chunks.
    ordered: VecDeque<Message>,
    /// Queued messages of [`Lane::State`]: at most one that has been sent in part, and one behind it.
    states: VecDeque<Message>,
    /// Whether the latest chunk was taken from [`Lane::State`] if that lane had any. It alternates with each chunk, so
    /// that the two lanes share the link.
    prefer_state_lane: bool,
    /// The bytes of sent chunks that the peer has not acknowledged yet.
    in_flight_bytes: usize,
    /// Whether the peer can decompress messages.
    compression_enabled: bool,
}

impl FrameQueue {
    /// Inserts bytes at the front of the queue. Must be called before any bytes were written.
    pub fn prepend(&mut self, bytes: &[u8]) {
        self.ready.splice(..0, bytes.iter().copied());
    }

    /// Enables compression of long messages. The peer must have announced that it can decompress them.
    pub fn enable_compression(&mut self) {
        self.compression_enabled = true;
    }

    /// Queues an encoded message. A message of [`Lane::State`] replaces a queued one whose transmission has not begun, and
    /// is always accepted. On the other lanes, a message is rejected if the queue would then hold more than `max_bytes`
    /// bytes, unless the queue is empty. Messages of [`Lane::State`] that wait to be sent do not count.
    ///
    /// # Errors
    /// [`QueueFull`] if the message is rejected.
    pub fn push(&mut self, message: &OutgoingMessage<'_>, max_bytes: usize) -> Result<(), QueueFull> {
        let lane = message.lane();
        let compressed = self.compression_enabled.then(|| message.compressed()).flatten();
        let bytes = compressed.unwrap_or(message.bytes());
        if lane == Lane::State {
            self.states.retain(|pending| pending.sent_bytes > 0);
        } else {
            let before = self.bounded_bytes();
            if before > 0 && before + bytes.len() > max_bytes {
                return Err(QueueFull);
            }
        }
        let is_compressed = compressed.is_some();
        if lane == Lane::Control || !is_compressed && self.can_be_written_whole(lane, bytes) {
            frame_message(bytes, &mut self.ready);
            return Ok(());
        }
        let message = Message { lane, bytes: bytes.to_vec(), is_compressed, sent_bytes: 0 };
        match lane {
            Lane::State => self.states.push_back(message),
            _ => self.ordered.push_back(message),
        }
        Ok(())
    }

    /// Returns whether a message can be written whole without delaying others for long or overtaking one of its lane.
    fn can_be_written_whole(&self, lane: Lane, bytes: &[u8]) -> bool {
        let lane_is_empty = match lane {
            Lane::Control => true,
            Lane::Ordered => self.ordered.is_empty(),
            Lane::State => self.states.is_empty(),
        };
        lane_is_empty && bytes.len() <= MAX_CHUNK_BYTES && self.ready_bytes() <= MAX_CHUNK_BYTES
    }

    /// Returns the next bytes to be written. The slice is empty if the queue is empty, or if only chunks are queued and the
    /// window of unacknowledged chunks is full.
    pub fn pending(&mut self) -> &[u8] {
        while self.ready_bytes() < MAX_CHUNK_BYTES && self.in_flight_bytes < CHUNK_WINDOW_BYTES {
            let Some(message) = self.next_message() else { break };
            self.take_chunk(message);
        }
        &self.ready[self.written_bytes..]
    }

    /// Records that this many of the [`FrameQueue::pending`] bytes were written.
    pub fn advance(&mut self, written_bytes: usize) {
        self.written_bytes += written_bytes;
        if self.written_bytes == self.ready.len() {
            self.ready.clear();
            self.ready.shrink_to(RETAINED_BUFFER_BYTES);
            self.written_bytes = 0;
        } else if self.written_bytes > RETAINED_BUFFER_BYTES {
            self.ready.drain(..self.written_bytes);
            self.written_bytes = 0;
        }
    }

    /// Queues an acknowledgement of this many bytes of chunks from the peer.
    pub fn acknowledge_chunks(&mut self, bytes: usize) {
        let payload = (bytes as u32).to_le_bytes();
        let prefix = Prefix { kind: FrameKind::Acknowledgement, lane: Lane::Control, length: payload.len() };
        self.ready.extend_from_slice(&prefix.encode());
        self.ready.extend_from_slice(&payload);
    }

    /// Records that the peer has acknowledged this many bytes of chunks.
    pub fn receive_acknowledgement(&mut self, bytes: usize) {
        self.in_flight_bytes = self.in_flight_bytes.saturating_sub(bytes);
    }

    /// Returns the total number of queued bytes.
    pub fn bytes(&self) -> usize {
        self.bounded_bytes() + self.states.iter().map(Message::remaining).sum::<usize>()
    }

    fn ready_bytes(&self) -> usize {
        self.ready.len() - self.written_bytes
    }

    /// Returns the number of queued bytes that count towards the limit of [`FrameQueue::push`].
    fn bounded_bytes(&self) -> usize {
        self.ready_bytes() + self.ordered.iter().map(Message::remaining).sum::<usize>()
    }

    /// Removes the message that the next chunk is taken from. The lanes alternate if both have queued messages.
    fn next_message(&mut self) -> Option<Message> {
        self.prefer_state_lane = !self.prefer_state_lane;
        if self.prefer_state_lane {
            self.states.pop_front().or_else(|| self.ordered.pop_front())
        } else {
            self.ordered.pop_front().or_else(|| self.states.pop_front())
        }
    }

    /// Moves the next chunk of a message to `ready`, and puts the rest of the message back at the front of its lane.
    fn take_chunk(&mut self, mut message: Message) {
        let length = message.remaining().min(MAX_CHUNK_BYTES);
        let kind = match (length == message.remaining(), message.is_compressed) {
            (false, _) => FrameKind::Chunk,
            (true, false) => FrameKind::LastChunk,
            (true, true) => FrameKind::LastCompressedChunk,
        };
        let chunk = &message.bytes[message.sent_bytes..message.sent_bytes + length];
        self.ready.extend_from_slice(&Prefix { kind, lane: message.lane, length }.encode());
        self.ready.extend_from_slice(chunk);
        self.in_flight_bytes += length;
        message.sent_bytes += length;
        match (kind, message.lane) {
            (FrameKind::LastChunk | FrameKind::LastCompressedChunk, _) => {}
            (_, Lane::State) => self.states.push_front(message),
            _ => self.ordered.push_front(message),
        }
    }
}
