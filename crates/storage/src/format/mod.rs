//! The binary formats of the files.

pub mod segment;
pub mod snapshot;

/// The version of the segment and snapshot formats.
pub const VERSION: u32 = 1;

/// Reads little-endian integers from the front of a slice. The methods return `None` if too few bytes are
/// left.
pub struct Reader<'a>(pub &'a [u8]);

impl Reader<'_> {
    pub fn u32(&mut self) -> Option<u32> {
        let (bytes, rest) = self.0.split_first_chunk()?;
        self.0 = rest;
        Some(u32::from_le_bytes(*bytes))
    }

    pub fn u64(&mut self) -> Option<u64> {
        let (bytes, rest) = self.0.split_first_chunk()?;
        self.0 = rest;
        Some(u64::from_le_bytes(*bytes))
    }
}

/// Returns the CRC-32 of the concatenation of several slices.
pub fn checksum(parts: &[&[u8]]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    parts.iter().for_each(|part| hasher.update(part));
    hasher.finalize()
}
