//! An encoded message that is queued on one or several links, and its compressed form.

use crate::compression::compress;
use crate::framing::MAX_CHUNK_BYTES;
use crate::lane::Lane;
use std::cell::OnceCell;

/// Messages of [`Lane::Ordered`] that are longer than this are compressed where the peer can decompress them.
pub const MIN_COMPRESSED_ORDERED_BYTES: usize = 16 * 1024;

/// An encoded message with its lane. It is compressed at most once, however many links it is queued on.
pub struct OutgoingMessage<'a> {
    lane: Lane,
    bytes: &'a [u8],
    /// The compressed message, once it was asked for; `None` if compression saves too little.
    compressed: OnceCell<Option<Vec<u8>>>,
}

impl<'a> OutgoingMessage<'a> {
    /// Creates a message from its encoded form.
    pub fn new(lane: Lane, bytes: &'a [u8]) -> Self {
        OutgoingMessage { lane, bytes, compressed: OnceCell::new() }
    }

    /// Returns the lane on which the message is sent.
    pub fn lane(&self) -> Lane {
        self.lane
    }

    /// Returns the encoded message, not compressed.
    pub fn bytes(&self) -> &'a [u8] {
        self.bytes
    }

    /// Returns the compressed message, or `None` if it is too short or if compression saves too little.
    pub fn compressed(&self) -> Option<&[u8]> {
        let min_length = match self.lane {
            Lane::Control => return None,
            Lane::Ordered => MIN_COMPRESSED_ORDERED_BYTES,
            Lane::State => MAX_CHUNK_BYTES,
        };
        let compress_if_long = || (self.bytes.len() > min_length).then(|| compress(self.bytes)).flatten();
        self.compressed.get_or_init(compress_if_long).as_deref()
    }
}
