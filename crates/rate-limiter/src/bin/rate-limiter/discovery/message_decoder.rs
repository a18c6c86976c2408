//! The messages of a watch: one JSON value after the other, with any white space between and within them, in chunks of
//! any size.

use super::update::Update;
use bytes::{Buf, BytesMut};
use displaydoc::Display;

/// The most bytes of a message. A list of about ten thousand servers fits.
const MAX_MESSAGE: usize = 4 << 20;

/// Why a message cannot be decoded.
#[derive(Debug, Display)]
pub enum DecodeError {
    /// a message cannot be read: {0}
    Invalid(serde_json::Error),
    /// a message is too long
    TooLong,
}

/// Decodes messages.
#[derive(Default)]
pub struct MessageDecoder {
    buffer: BytesMut,
    /// Whether bytes since the last decoding may complete a message, which ends with a brace.
    may_be_complete: bool,
}

impl MessageDecoder {
    /// Adds received bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
        self.may_be_complete |= chunk.contains(&b'}');
    }

    /// Returns whether a part of a message was received.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the next message that is complete.
    ///
    /// # Errors
    /// [`DecodeError`] if it is invalid.
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
