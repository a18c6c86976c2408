//! LZ4 compression of long messages. It is used only if the peer has announced that it can decompress them.

use crate::framing::{ProtocolError, MAX_FRAME_BYTES};
use lz4_flex::block::{compress_prepend_size, decompress_size_prepended};

/// A message is sent compressed only if that saves more than this fraction of its length: one eighth.
const MIN_SAVING_DIVISOR: usize = 8;

/// Returns the compressed message with its original length in front, or `None` if compression saves too little.
pub(crate) fn compress(message: &[u8]) -> Option<Vec<u8>> {
    let compressed = compress_prepend_size(message);
    let max_compressed_length = message.len() - message.len() / MIN_SAVING_DIVISOR;
    (compressed.len() < max_compressed_length).then_some(compressed)
}

/// Decompresses a message. A message whose decompressed length exceeds [`MAX_FRAME_BYTES`] is rejected before memory is
/// allocated for it.
pub(crate) fn decompress(bytes: &[u8]) -> Result<Vec<u8>, ProtocolError> {
    let malformed = |reason: &str| ProtocolError::Malformed(format!("compressed message: {reason}"));
    let length = bytes.first_chunk().map(|length| u32::from_le_bytes(*length) as usize);
    match length {
        None => Err(malformed("missing length")),
        Some(length) if length > MAX_FRAME_BYTES => Err(ProtocolError::TooLong(length)),
        Some(_) => decompress_size_prepended(bytes).map_err(|error| malformed(&error.to_string())),
    }
}
