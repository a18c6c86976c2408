//! Parsing and serialization of JSON.

use super::ConfigurationError;
use serde::Serialize;
use simd_json::tape::Value;

/// Parses a JSON text and passes its root value to `read`. The parser modifies its input, so it gets a copy of the text,
/// which lives until `read` returns.
pub(super) fn read<T>(
    text: &[u8],
    read: impl FnOnce(Value<'_, '_>) -> Result<T, ConfigurationError>,
) -> Result<T, ConfigurationError> {
    let mut text = text.to_vec();
    let unreadable = |error: simd_json::Error| ConfigurationError::Unreadable(error.to_string());
    let tape = simd_json::to_tape(&mut text).map_err(unreadable)?;
    read(tape.as_value())
}

/// Serializes a part of a configuration. Equal parts are serialized to equal bytes.
pub(crate) fn write(part: &impl Serialize) -> Vec<u8> {
    simd_json::to_vec(part).expect("strings, numbers and lists can be serialized")
}
