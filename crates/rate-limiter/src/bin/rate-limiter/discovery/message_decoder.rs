//! Decodes the messages of a watch: a sequence of JSON values with optional white space between and within them, received
//! in chunks of any size.

use super::update::Update;
use bytes::{Buf, BytesMut};
use displaydoc::Display;

/// Maximum bytes of a message. A list of about ten thousand servers fits.
const MAX_MESSAGE: usize = 4 << 20;

/// Why a message cannot be decoded.
#[derive(Debug, Display)]
pub enum DecodeError {
    /// cannot parse a message: {0}
    Invalid(serde_json::Error),
    /// a message exceeds the maximum length
    TooLong,
}

/// An incremental decoder of messages.
#[derive(Default)]
pub struct MessageDecoder {
    buffer: BytesMut,
    /// Whether the bytes received since the last parse contain a closing brace, and so may complete a message.
    may_be_complete: bool,
}

impl MessageDecoder {
    /// Adds received bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
        self.may_be_complete |= chunk.contains(&b'}');
    }

    /// Returns whether a message was received in part.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the next complete message, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// [`DecodeError`] if the message is invalid or too long.
    pub fn next_message(&mut self) -> Result<Option<Update>, DecodeError> {
        let blank = self.buffer.len() - self.buffer.trim_ascii_start().len();
        self.buffer.advance(blank);
        if self.may_be_complete && !self.buffer.is_empty() {
            let mut values = serde_json::Deserializer::from_slice(&self.buffer).into_iter::<Update>();
            match values.next() {
                Some(Ok(update)) => {
                    let end = values.byte_offset();
                    self.buffer.advance(end);
                    return Ok(Some(update));
                }
                Some(Err(error)) if !error.is_eof() => return Err(DecodeError::Invalid(error)),
                _ => {}
            }
        }
        self.may_be_complete = false;
        match self.buffer.len() > MAX_MESSAGE {
            true => Err(DecodeError::TooLong),
            false => Ok(None),
        }
    }
}
