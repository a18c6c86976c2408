//! The bytes of a snapshot: a head of fixed length, and then the state.
//!
//! Head: magic, version, length of the state, epoch, index, checksum of all that and of the state.

use super::{checksum, Reader, VERSION};
use quillpulley_protocol::Position;

const MAGIC: u32 = u32::from_le_bytes(*b"QPsn");
const CHECKED: usize = 32;
const HEADER_BYTES: usize = CHECKED + 4;

/// What the bytes of a snapshot are.
#[derive(Debug, PartialEq, Eq)]
pub enum Decoded {
    /// A complete snapshot.
    Intact(Position, Vec<u8>),
    /// None, or a part of one.
    Damaged,
    /// One that another version has written.
    OtherVersion,
}

/// Returns the head that goes before a state.
pub fn encode_header(last: Position, state: &[u8]) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&MAGIC.to_le_bytes());
    header[4..8].copy_from_slice(&VERSION.to_le_bytes());
    header[8..16].copy_from_slice(&(state.len() as u64).to_le_bytes());
    header[16..24].copy_from_slice(&last.epoch.to_le_bytes());
    header[24..CHECKED].copy_from_slice(&last.index.to_le_bytes());
    let checksum = checksum(&[&header[..CHECKED], state]);
    header[CHECKED..].copy_from_slice(&checksum.to_le_bytes());
    header
}

/// Reads a snapshot.
pub fn decode(mut bytes: Vec<u8>) -> Decoded {
    match decode_header(&bytes) {
        Some(Header { version, .. }) if version != VERSION => Decoded::OtherVersion,
        Some(header) if header.is_followed_by(&bytes) => {
            bytes.drain(..HEADER_BYTES);
            Decoded::Intact(header.last, bytes)
        }
        _ => Decoded::Damaged,
    }
}

struct Header {
    version: u32,
    length: u64,
    last: Position,
    checksum: u32,
}

impl Header {
    fn is_followed_by(&self, bytes: &[u8]) -> bool {
        let (header, state) = bytes.split_at(HEADER_BYTES);
        self.length == state.len() as u64 && self.checksum == checksum(&[&header[..CHECKED], state])
    }
}

fn decode_header(bytes: &[u8]) -> Option<Header> {
    let mut reader = Reader(bytes);
    if reader.u32()? != MAGIC {
        return None;
    }
    let version = reader.u32()?;
    let length = reader.u64()?;
    let last = Position { epoch: reader.u64()?, index: reader.u64()? };
    Some(Header { version, length, last, checksum: reader.u32()? })
}
