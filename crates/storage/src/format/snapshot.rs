//! The format of a snapshot: a header of fixed length, followed by the state.
//!
//! Header: magic, version, length of the state, epoch and index of the last entry that the snapshot covers,
//! checksum of the header up to here and of the state.

use super::{checksum, Reader, VERSION};
use quillpulley_protocol::Position;

const MAGIC: u32 = u32::from_le_bytes(*b"QPsn");
const CHECKSUMMED_HEADER_BYTES: usize = 32;
const HEADER_BYTES: usize = CHECKSUMMED_HEADER_BYTES + 4;

/// The result of decoding a snapshot.
#[derive(Debug, PartialEq, Eq)]
pub enum Decoded {
    /// A complete snapshot: the position of the last entry that it covers, and the state.
    Intact(Position, Vec<u8>),
    /// The bytes are no complete snapshot, or their checksum does not match.
    Damaged,
    /// The header has another version. The checksum is not verified.
    OtherVersion,
}

/// Returns the header of a snapshot of `state`, where `last` is the position of the last entry that it
/// covers.
pub fn encode_header(last: Position, state: &[u8]) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&MAGIC.to_le_bytes());
    header[4..8].copy_from_slice(&VERSION.to_le_bytes());
    header[8..16].copy_from_slice(&(state.len() as u64).to_le_bytes());
    header[16..24].copy_from_slice(&last.epoch.to_le_bytes());
    header[24..CHECKSUMMED_HEADER_BYTES].copy_from_slice(&last.index.to_le_bytes());
    let checksum = checksum(&[&header[..CHECKSUMMED_HEADER_BYTES], state]);
    header[CHECKSUMMED_HEADER_BYTES..].copy_from_slice(&checksum.to_le_bytes());
    header
}

/// Decodes the contents of a snapshot file.
pub fn decode(mut bytes: Vec<u8>) -> Decoded {
    match decode_header(&bytes) {
        Some(Header { version, .. }) if version != VERSION => Decoded::OtherVersion,
        Some(header) if header.matches_contents(&bytes) => {
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
    fn matches_contents(&self, bytes: &[u8]) -> bool {
        let (header, state) = bytes.split_at(HEADER_BYTES);
        self.length == state.len() as u64
            && self.checksum == checksum(&[&header[..CHECKSUMMED_HEADER_BYTES], state])
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
