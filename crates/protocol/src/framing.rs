//! Encoding and decoding of frames on a byte stream, and of stand-alone flatbuffers.

use crate::compression::decompress;
use crate::lane::{Lane, LANE_COUNT};
use crate::{Body, Frame, FrameRef};
use displaydoc::Display;
use planus::{Builder, ReadAsRoot, WriteAsOffset};

/// The maximum length of a message, not counting the prefix. It is large enough for a complete configuration together
/// with the other published items.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;
/// The maximum length of a chunk, not counting the prefix.
pub const MAX_CHUNK_BYTES: usize = 64 * 1024;
/// The length of a frame prefix.
pub(crate) const PREFIX_BYTES: usize = 4;
/// The number of low bits of a prefix that hold the length of the frame. The bits above hold the lane and the kind of the
/// frame.
const LENGTH_BITS: u32 = 26;
const LANE_SHIFT: u32 = LENGTH_BITS;
const KIND_SHIFT: u32 = LANE_SHIFT + 2;
/// Consumed bytes are removed from the buffer once there are more than this, or once all bytes are consumed. The capacity
/// of the buffer is then reduced to this, or to its length if that is greater.
const COMPACTION_THRESHOLD_BYTES: usize = 64 * 1024;
/// An encoder releases its memory after it has written a message longer than this.
const RETAINED_BUILDER_BYTES: usize = 64 * 1024;

/// Why received or stored bytes cannot be decoded.
#[derive(Debug, Display, PartialEq, Eq)]
pub enum ProtocolError {
    /// a frame of {0} bytes is over the limit: close the connection and check that the peer speaks this protocol
    TooLong(usize),
    /// the bytes are no message of this protocol ({0}): check that both sides run the same version
    Malformed(String),
}

impl std::error::Error for ProtocolError {}

impl From<planus::Error> for ProtocolError {
    fn from(error: planus::Error) -> Self {
        ProtocolError::Malformed(error.to_string())
    }
}

/// Encodes a message as one frame, with the prefix.
pub fn encode_frame(body: Body) -> Vec<u8> {
    let mut builder = Builder::new();
    let bytes = builder.finish(Frame { body: Some(body) }, None);
    let mut framed = Vec::with_capacity(PREFIX_BYTES + bytes.len());
    framed.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    framed.extend_from_slice(bytes);
    framed
}

/// Encodes messages by reference, and reuses one buffer for all of them.
#[derive(Default)]
pub struct FrameEncoder {
    builder: Builder,
}

impl FrameEncoder {
    /// Encodes a message without a prefix, as it is sent in a datagram.
    pub fn message(&mut self, body: &Body) -> &[u8] {
        if self.builder.len() > RETAINED_BUILDER_BYTES {
            self.builder = Builder::new();
        }
        self.builder.clear();
        self.builder.finish(Frame::builder().body(body), None)
    }

    /// Encodes a message as one frame, with the prefix, and appends it to `stream`.
    pub fn append(&mut self, body: &Body, stream: &mut Vec<u8>) {
        frame_message(self.message(body), stream);
    }
}

/// Appends a frame with the prefix to `stream`, from a message that [`FrameEncoder::message`] has encoded.
pub fn frame_message(message: &[u8], stream: &mut Vec<u8>) {
    stream.reserve(PREFIX_BYTES + message.len());
    stream.extend_from_slice(&(message.len() as u32).to_le_bytes());
    stream.extend_from_slice(message);
}

/// Decodes a message without a prefix, such as a datagram.
///
/// # Errors
/// [`ProtocolError::Malformed`] if the bytes are not a message.
pub fn decode_frame(bytes: &[u8]) -> Result<Body, ProtocolError> {
    let frame = FrameRef::read_as_root(bytes)?;
    let body = frame.body()?.ok_or_else(|| ProtocolError::Malformed("frame without a body".to_string()))?;
    Ok(Body::try_from(body)?)
}

/// Encodes a stand-alone flatbuffers table, such as the value of a published item.
pub fn encode_value<T>(value: impl WriteAsOffset<T>) -> Vec<u8> {
    Builder::new().finish(value, None).to_vec()
}

/// Decodes a stand-alone flatbuffers table: `decode_value::<ServerRef, Server>(bytes)`.
///
/// # Errors
/// [`ProtocolError::Malformed`] if the bytes are not such a table.
pub fn decode_value<'a, R, T>(bytes: &'a [u8]) -> Result<T, ProtocolError>
where
    R: ReadAsRoot<'a>,
    T: TryFrom<R, Error = planus::Error>,
{
    Ok(T::try_from(R::read_as_root(bytes)?)?)
}

/// The kind of a frame on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameKind {
    /// A complete message.
    Complete,
    /// A chunk of a message. More chunks follow on the same lane; other frames may be sent between them.
    Chunk,
    /// The last chunk of an uncompressed message.
    LastChunk,
    /// An acknowledgement of chunks: the number of their bytes, as a four-byte little-endian integer. Acknowledgements are
    /// sent on [`Lane::Control`]. On [`Lane::State`], this frame with the number 0 announces that its sender can decompress
    /// messages; earlier releases without compression ignore the lane and read it as an acknowledgement of 0 bytes.
    Acknowledgement,
    /// The last chunk of a compressed message.
    LastCompressedChunk,
}

/// The prefix of a frame, which is encoded in four bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prefix {
    pub kind: FrameKind,
    pub lane: Lane,
    pub length: usize,
}

impl Prefix {
    pub fn encode(self) -> [u8; PREFIX_BYTES] {
        let (kind, lane) = (self.kind as u32, self.lane as u32);
        (self.length as u32 | lane << LANE_SHIFT | kind << KIND_SHIFT).to_le_bytes()
    }

    fn decode(bytes: [u8; PREFIX_BYTES]) -> Result<Self, ProtocolError> {
        let word = u32::from_le_bytes(bytes);
        let length = (word & ((1 << LENGTH_BITS) - 1)) as usize;
        let (kind, limit) = match word >> KIND_SHIFT {
            0 => (FrameKind::Complete, MAX_FRAME_BYTES),
            1 => (FrameKind::Chunk, MAX_CHUNK_BYTES),
            2 => (FrameKind::LastChunk, MAX_CHUNK_BYTES),
            3 => (FrameKind::Acknowledgement, PREFIX_BYTES),
            4 => (FrameKind::LastCompressedChunk, MAX_CHUNK_BYTES),
            _ => return Err(ProtocolError::TooLong(word as usize)),
        };
        let lane = Lane::from_number(word >> LANE_SHIFT & 3).ok_or(ProtocolError::TooLong(word as usize))?;
        if length > limit {
            return Err(ProtocolError::TooLong(word as usize));
        }
        Ok(Prefix { kind, lane, length })
    }
}

/// Splits a byte stream into frames, and joins chunks into messages.
#[derive(Default)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
    consumed_bytes: usize,
    /// For each lane, the chunks of the current message that were received so far.
    partial_messages: [Vec<u8>; LANE_COUNT],
    received_bytes: usize,
    acknowledged_bytes: usize,
    peer_decompresses: bool,
}

impl FrameDecoder {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.consumed_bytes > COMPACTION_THRESHOLD_BYTES || self.consumed_bytes == self.buffer.len() {
            self.buffer.drain(..self.consumed_bytes);
            self.buffer.shrink_to(COMPACTION_THRESHOLD_BYTES);
            self.consumed_bytes = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete message, or `None` if more bytes are needed. After an error, the rest of the stream cannot
    /// be decoded.
    ///
    /// # Errors
    /// [`ProtocolError`] if a frame is invalid or a message is too long.
    pub fn next_frame(&mut self) -> Result<Option<Body>, ProtocolError> {
        loop {
            let pending = &self.buffer[self.consumed_bytes..];
            let Some((prefix, rest)) = pending.split_first_chunk::<PREFIX_BYTES>() else { return Ok(None) };
            let Prefix { kind, lane, length } = Prefix::decode(*prefix)?;
            let Some(bytes) = rest.get(..length) else { return Ok(None) };
            self.consumed_bytes += PREFIX_BYTES + length;
            match kind {
                FrameKind::Complete => return decode_frame(bytes).map(Some),
                FrameKind::Acknowledgement => {
                    self.acknowledged_bytes += read_acknowledgement(bytes)?;
                    self.peer_decompresses |= lane == Lane::State;
                }
                FrameKind::Chunk | FrameKind::LastChunk | FrameKind::LastCompressedChunk => {
                    self.received_bytes += length;
                    let partial = &mut self.partial_messages[lane as usize];
                    if partial.len() + length > MAX_FRAME_BYTES {
                        return Err(ProtocolError::TooLong(partial.len() + length));
                    }
                    partial.extend_from_slice(bytes);
                    match kind {
                        FrameKind::LastChunk => return decode_frame(&std::mem::take(partial)).map(Some),
                        FrameKind::LastCompressedChunk => {
                            let message = decompress(&std::mem::take(partial))?;
                            return decode_frame(&message).map(Some);
                        }
                        _ => {}
                    }
                }
            }
        }
    }

    /// Returns the number of bytes of chunks that were received since the last call. The caller must acknowledge them to
    /// the peer.
    pub fn take_received(&mut self) -> usize {
        std::mem::take(&mut self.received_bytes)
    }

    /// Returns whether the peer has announced that it can decompress messages.
    pub fn peer_decompresses(&self) -> bool {
        self.peer_decompresses
    }

    /// Returns the number of bytes of chunks that the peer has acknowledged since the last call.
    pub fn take_acknowledged(&mut self) -> usize {
        std::mem::take(&mut self.acknowledged_bytes)
    }
}

/// Returns the frame that announces that this process can decompress messages. It is sent directly after the `Hello`.
pub fn compression_announcement() -> Vec<u8> {
    let nothing = 0u32.to_le_bytes();
    let prefix = Prefix { kind: FrameKind::Acknowledgement, lane: Lane::State, length: nothing.len() };
    [prefix.encode(), nothing].concat()
}

fn read_acknowledgement(bytes: &[u8]) -> Result<usize, ProtocolError> {
    let bytes = bytes
        .try_into()
        .map_err(|_| ProtocolError::Malformed("acknowledgement without a number of bytes".to_string()))?;
    Ok(u32::from_le_bytes(bytes) as usize)
}
