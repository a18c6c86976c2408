//! Length-prefixed frames on a byte stream, and flatbuffers on their own.

use crate::compression::decompress;
use crate::lane::{Lane, LANES};
use crate::{Body, Frame, FrameRef};
use displaydoc::Display;
use planus::{Builder, ReadAsRoot, WriteAsOffset};

/// The most bytes that one frame may hold, its length prefix aside. A complete configuration and what is
/// published beside it fit.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;
/// The most bytes of a chunk.
pub const MAX_CHUNK_BYTES: usize = 64 * 1024;
pub(crate) const PREFIX: usize = 4;
/// The length has the low bits of a prefix. The kind of the frame and, for chunks, the lane are in the bits above.
const LENGTH_BITS: u32 = 26;
const LANE_SHIFT: u32 = LENGTH_BITS;
const KIND_SHIFT: u32 = LANE_SHIFT + 2;
/// Consumed bytes are removed from the buffer in units of this size; an idle buffer keeps no more memory than this.
const COMPACT_AT: usize = 64 * 1024;
/// An encoder that has written a longer message than this gives its memory back.
const RETAINED_BUILDER_BYTES: usize = 64 * 1024;

/// Why bytes are no frame or no value.
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

/// One message as it goes on a stream, with its length in front.
pub fn encode_frame(body: Body) -> Vec<u8> {
    let mut builder = Builder::new();
    let bytes = builder.finish(Frame { body: Some(body) }, None);
    let mut framed = Vec::with_capacity(PREFIX + bytes.len());
    framed.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    framed.extend_from_slice(bytes);
    framed
}

/// Writes messages without taking them and without a new buffer for each.
#[derive(Default)]
pub struct FrameEncoder {
    builder: Builder,
}

impl FrameEncoder {
    /// One message without its length, as a datagram carries it.
    pub fn message(&mut self, body: &Body) -> &[u8] {
        if self.builder.len() > RETAINED_BUILDER_BYTES {
            self.builder = Builder::new();
        }
        self.builder.clear();
        self.builder.finish(Frame::builder().body(body), None)
    }

    /// Adds one message to what goes on a stream, with its length in front.
    pub fn append(&mut self, body: &Body, stream: &mut Vec<u8>) {
        frame_message(self.message(body), stream);
    }
}

/// Adds a message as [`FrameEncoder::message`] gave it to what goes on a stream, with its length in front.
pub fn frame_message(message: &[u8], stream: &mut Vec<u8>) {
    stream.reserve(PREFIX + message.len());
    stream.extend_from_slice(&(message.len() as u32).to_le_bytes());
    stream.extend_from_slice(message);
}

/// Reads one message, without its length: a datagram, or what a [`FrameDecoder`] has cut out.
///
/// # Errors
/// [`ProtocolError`].
pub fn decode_frame(bytes: &[u8]) -> Result<Body, ProtocolError> {
    let frame = FrameRef::read_as_root(bytes)?;
    let body = frame.body()?.ok_or_else(|| ProtocolError::Malformed("an empty frame".to_string()))?;
    Ok(Body::try_from(body)?)
}

/// Encodes a table on its own, such as the value of an item.
pub fn encode_value<T>(value: impl WriteAsOffset<T>) -> Vec<u8> {
    Builder::new().finish(value, None).to_vec()
}

/// Decodes a table on its own: `decode_value::<ServerRef, Server>(bytes)`.
///
/// # Errors
/// [`ProtocolError`].
pub fn decode_value<'a, R, T>(bytes: &'a [u8]) -> Result<T, ProtocolError>
where
    R: ReadAsRoot<'a>,
    T: TryFrom<R, Error = planus::Error>,
{
    Ok(T::try_from(R::read_as_root(bytes)?)?)
}

/// What a frame on a stream holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameKind {
    /// A message.
    Complete,
    /// A chunk of a message. More follow on the same lane, with other frames between them.
    Chunk,
    /// The last chunk of a message.
    LastChunk,
    /// An acknowledgement of chunks: their bytes, as four bytes. On the lane for state, which carries no
    /// acknowledgements, it announces that its sender can decompress messages; releases that cannot take it for an
    /// acknowledgement of nothing.
    Credit,
    /// The last chunk of a compressed message.
    LastCompressedChunk,
}

/// The four bytes before a frame.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prefix {
    pub kind: FrameKind,
    pub lane: Lane,
    pub length: usize,
}

impl Prefix {
    pub fn encode(self) -> [u8; PREFIX] {
        let (kind, lane) = (self.kind as u32, self.lane as u32);
        (self.length as u32 | lane << LANE_SHIFT | kind << KIND_SHIFT).to_le_bytes()
    }

    fn decode(bytes: [u8; PREFIX]) -> Result<Self, ProtocolError> {
        let word = u32::from_le_bytes(bytes);
        let length = (word & ((1 << LENGTH_BITS) - 1)) as usize;
        let (kind, limit) = match word >> KIND_SHIFT {
            0 => (FrameKind::Complete, MAX_FRAME_BYTES),
            1 => (FrameKind::Chunk, MAX_CHUNK_BYTES),
            2 => (FrameKind::LastChunk, MAX_CHUNK_BYTES),
            3 => (FrameKind::Credit, PREFIX),
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

/// Splits a byte stream into messages, and joins messages that come in chunks.
#[derive(Default)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
    consumed: usize,
    /// The received part of a message on each lane.
    unfinished: [Vec<u8>; LANES],
    received: usize,
    receive_credit: usize,
    peer_decompresses: bool,
}

impl FrameDecoder {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.consumed > COMPACT_AT || self.consumed == self.buffer.len() {
            self.buffer.drain(..self.consumed);
            self.buffer.shrink_to(COMPACT_AT);
            self.consumed = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete message, if there is one. After an error the stream is of no further use.
    ///
    /// # Errors
    /// [`ProtocolError`].
    pub fn next_frame(&mut self) -> Result<Option<Body>, ProtocolError> {
        loop {
            let pending = &self.buffer[self.consumed..];
            let Some((prefix, rest)) = pending.split_first_chunk::<PREFIX>() else { return Ok(None) };
            let Prefix { kind, lane, length } = Prefix::decode(*prefix)?;
            let Some(bytes) = rest.get(..length) else { return Ok(None) };
            self.consumed += PREFIX + length;
            match kind {
                FrameKind::Complete => return decode_frame(bytes).map(Some),
                FrameKind::Credit => {
                    self.receive_credit += read_credit(bytes)?;
                    self.peer_decompresses |= lane == Lane::State;
                }
                FrameKind::Chunk | FrameKind::LastChunk | FrameKind::LastCompressedChunk => {
                    self.received += length;
                    let unfinished = &mut self.unfinished[lane as usize];
                    if unfinished.len() + length > MAX_FRAME_BYTES {
                        return Err(ProtocolError::TooLong(unfinished.len() + length));
                    }
                    unfinished.extend_from_slice(bytes);
                    match kind {
                        FrameKind::LastChunk => return decode_frame(&std::mem::take(unfinished)).map(Some),
                        FrameKind::LastCompressedChunk => {
                            let message = decompress(&std::mem::take(unfinished))?;
                            return decode_frame(&message).map(Some);
                        }
                        _ => {}
                    }
                }
            }
        }
    }

    /// Returns the bytes of chunks that were received since the last call, which must be acknowledged.
    pub fn take_received(&mut self) -> usize {
        std::mem::take(&mut self.received)
    }

    /// Returns whether the peer has announced that it can decompress messages.
    pub fn peer_decompresses(&self) -> bool {
        self.peer_decompresses
    }

    /// Returns the bytes of chunks that the peer has acknowledged since the last call.
    pub fn take_credited(&mut self) -> usize {
        std::mem::take(&mut self.receive_credit)
    }
}

/// Returns the frame by which a process announces that it can decompress messages. It follows the introduction.
pub fn compression_announcement() -> Vec<u8> {
    let nothing = 0u32.to_le_bytes();
    let prefix = Prefix { kind: FrameKind::Credit, lane: Lane::State, length: nothing.len() };
    [prefix.encode(), nothing].concat()
}

fn read_credit(bytes: &[u8]) -> Result<usize, ProtocolError> {
    let bytes =
        bytes.try_into().map_err(|_| ProtocolError::Malformed("a credit without a number".to_string()))?;
    Ok(u32::from_le_bytes(bytes) as usize)
}
