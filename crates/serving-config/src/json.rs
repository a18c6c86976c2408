//! Reading and writing JSON.

use super::ConfigurationError;
use serde::Serialize;
use simd_json::tape::Value;

/// Reads a JSON text. The values live as long as the call: the text is copied, as it is read in place.
pub(super) fn read<T>(
    text: &[u8],
    read: impl FnOnce(Value<'_, '_>) -> Result<T, ConfigurationError>,
) -> Result<T, ConfigurationError> {
    let mut text = text.to_vec();
    let unreadable = |error: simd_json::Error| ConfigurationError::Unreadable(error.to_string());
    let tape = simd_json::to_tape(&mut text).map_err(unreadable)?;
    read(tape.as_value())
}

/// Serializes a part of a configuration. Equal parts give equal texts.
pub(crate) fn write(part: &impl Serialize) -> Vec<u8> {
    simd_json::to_vec(part).expect("texts, numbers and lists of them have a JSON form")
}
