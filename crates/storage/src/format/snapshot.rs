//! The bytes of a snapshot: a head of fixed length, and then the state.
//!
//! Head: magic, version, length of the state, epoch, index, checksum of all that and of the state.

use super::{checksum, Reader, VERSION};
use quillpulley_protocol::Position;

const MAGIC: u32 = u32::from_le_bytes(*b"QPsn");
const CHECKED: usize = 32;
const HEAD: usize = CHECKED + 4;

/// What the bytes of a snapshot are.
#[derive(Debug, PartialEq, Eq)]
pub enum Decoded {
    /// A whole snapshot.
    Whole(Position, Vec<u8>),
    /// None, or a part of one.
    Damaged,
    /// One that another version has written.
    OtherVersion,
}

/// The head that goes before a state.
pub fn encode_head(last: Position, state: &[u8]) -> [u8; HEAD] {
    let mut head = [0; HEAD];
    head[..4].copy_from_slice(&MAGIC.to_le_bytes());
    head[4..8].copy_from_slice(&VERSION.to_le_bytes());
    head[8..16].copy_from_slice(&(state.len() as u64).to_le_bytes());
    head[16..24].copy_from_slice(&last.epoch.to_le_bytes());
    head[24..CHECKED].copy_from_slice(&last.index.to_le_bytes());
    let checksum = checksum(&[&head[..CHECKED], state]);
    head[CHECKED..].copy_from_slice(&checksum.to_le_bytes());
    head
}

/// Reads a snapshot.
pub fn decode(mut bytes: Vec<u8>) -> Decoded {
    match decode_head(&bytes) {
        Some(Head { version, .. }) if version != VERSION => Decoded::OtherVersion,
        Some(head) if head.is_followed_by(&bytes) => {
            bytes.drain(..HEAD);
            Decoded::Whole(head.last, bytes)
        }
        _ => Decoded::Damaged,
    }
}

struct Head {
    version: u32,
    length: u64,
    last: Position,
    checksum: u32,
}

impl Head {
    fn is_followed_by(&self, bytes: &[u8]) -> bool {
        let (head, state) = bytes.split_at(HEAD);
        self.length == state.len() as u64 && self.checksum == checksum(&[&head[..CHECKED], state])
    }
}

fn decode_head(bytes: &[u8]) -> Option<Head> {
    let mut reader = Reader(bytes);
    if reader.u32()? != MAGIC {
        return None;
    }
    let version = reader.u32()?;
    let length = reader.u64()?;
    let last = Position { epoch: reader.u64()?, index: reader.u64()? };
    Some(Head { version, length, last, checksum: reader.u32()? })
}
