//! Compression of long messages, on links whose peer has announced that it can decompress them.

use crate::framing::{ProtocolError, MAX_FRAME_BYTES};
use lz4_flex::block::{compress_prepend_size, decompress_size_prepended};

/// A compressed message has to be shorter than the message by one part in so many.
const LEAST_GAIN_DIVISOR: usize = 8;

/// Compresses a message, if that makes it noticeably shorter.
pub(crate) fn compress(message: &[u8]) -> Option<Vec<u8>> {
    let compressed = compress_prepend_size(message);
    let worthwhile = message.len() - message.len() / LEAST_GAIN_DIVISOR;
    (compressed.len() < worthwhile).then_some(compressed)
}

/// Decompresses a message. One that would be longer than a frame may be is rejected before it takes memory.
pub(crate) fn decompress(bytes: &[u8]) -> Result<Vec<u8>, ProtocolError> {
    let malformed = |reason: &str| ProtocolError::Malformed(format!("a compressed message: {reason}"));
    let length = bytes.first_chunk().map(|length| u32::from_le_bytes(*length) as usize);
    match length {
        None => Err(malformed("without a length")),
        Some(length) if length > MAX_FRAME_BYTES => Err(ProtocolError::TooLong(length)),
        Some(_) => decompress_size_prepended(bytes).map_err(|error| malformed(&error.to_string())),
    }
}
