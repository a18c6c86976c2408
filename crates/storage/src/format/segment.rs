//! The format of a segment: a header of fixed length, followed by one record for each entry.
//!
//! Header: magic, version, generation, index of the first entry, checksum of the last record in the previous
//! segment, checksum of the header up to here.
//!
//! Record: magic, checksum of all fields that follow it, length of the payload, checksum of the previous
//! record, synced length, epoch, index, payload.
//!
//! The checksum of the previous record links each record to its predecessor, so that records of different
//! histories are not read as one log. The synced length is the length of the segment, in bytes, that had been
//! synced when the record was written. A complete record thus proves that damage before its synced length is
//! not due to a loss of power.

use super::{checksum, Reader, VERSION};
use quillpulley_protocol::Entry;

const HEADER_MAGIC: u32 = u32::from_le_bytes(*b"QPsg");
const RECORD_MAGIC: [u8; 4] = *b"QPen";
const HEADER_CHECKED: usize = 28;
/// The length of the header.
pub const HEADER_BYTES: usize = HEADER_CHECKED + 4;
const RECORD_HEADER_BYTES: usize = 40;
/// The length of the fields that the checksum of a record does not cover: the magic and the checksum.
const RECORD_UNCHECKED: usize = 8;

/// The header of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The generation that the segment belongs to.
    pub generation: u64,
    /// The index of the first entry in the segment.
    pub first: u64,
    /// The checksum of the last record in the previous segment; 0 in the first segment of a generation.
    pub chain: u32,
}

/// The result of decoding the header of a segment.
#[derive(Debug, PartialEq, Eq)]
pub enum DecodedHeader {
    /// A complete header of this version.
    Intact(Header),
    /// The bytes are no complete header, or their checksum does not match.
    Damaged,
    /// A complete header that another version has written.
    OtherVersion,
}

/// Where a record ends in its segment, and what identifies it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLocation {
    /// The epoch of the entry in the record.
    pub epoch: u64,
    /// The offset of the first byte after the record.
    pub end: u64,
    /// The checksum of the record, which the next record refers to.
    pub checksum: u32,
}

/// The complete records at the beginning of a segment.
#[derive(Debug, Default)]
pub struct Scan {
    /// The entries in the records.
    pub entries: Vec<Entry>,
    /// The locations of the records, in the order of `entries`.
    pub records: Vec<RecordLocation>,
}

impl Header {
    /// Appends the encoded header to a buffer.
    pub fn encode(&self, buffer: &mut Vec<u8>) {
        let start = buffer.len();
        buffer.extend_from_slice(&HEADER_MAGIC.to_le_bytes());
        buffer.extend_from_slice(&VERSION.to_le_bytes());
        buffer.extend_from_slice(&self.generation.to_le_bytes());
        buffer.extend_from_slice(&self.first.to_le_bytes());
        buffer.extend_from_slice(&self.chain.to_le_bytes());
        let checksum = checksum(&[&buffer[start..]]);
        buffer.extend_from_slice(&checksum.to_le_bytes());
    }

    /// Decodes the header of a segment from the contents of its file.
    pub fn decode(bytes: &[u8]) -> DecodedHeader {
        let Some((version, header, checksum)) = Header::read(bytes) else { return DecodedHeader::Damaged };
        if checksum != super::checksum(&[&bytes[..HEADER_CHECKED]]) {
            return DecodedHeader::Damaged;
        }
        match version {
            VERSION => DecodedHeader::Intact(header),
            _ => DecodedHeader::OtherVersion,
        }
    }

    fn read(bytes: &[u8]) -> Option<(u32, Header, u32)> {
        let mut reader = Reader(bytes);
        if reader.u32()? != HEADER_MAGIC {
            return None;
        }
        let version = reader.u32()?;
        let header = Header { generation: reader.u64()?, first: reader.u64()?, chain: reader.u32()? };
        Some((version, header, reader.u32()?))
    }
}

/// Appends the record of an entry to a buffer, and returns the checksum of the record.
pub fn encode_record(entry: &Entry, chain: u32, durable: u64, buffer: &mut Vec<u8>) -> u32 {
    let start = buffer.len();
    buffer.extend_from_slice(&RECORD_MAGIC);
    buffer.extend_from_slice(&[0; 4]);
    buffer.extend_from_slice(&(entry.payload.len() as u32).to_le_bytes());
    buffer.extend_from_slice(&chain.to_le_bytes());
    buffer.extend_from_slice(&durable.to_le_bytes());
    buffer.extend_from_slice(&entry.epoch.to_le_bytes());
    buffer.extend_from_slice(&entry.index.to_le_bytes());
    buffer.extend_from_slice(&entry.payload);
    let checksum = checksum(&[&buffer[start + RECORD_UNCHECKED..]]);
    buffer[start + 4..start + RECORD_UNCHECKED].copy_from_slice(&checksum.to_le_bytes());
    checksum
}

/// Reads the records after the header, up to the first one that is incomplete or does not follow the one
/// before it.
pub fn scan(bytes: &[u8], header: &Header) -> Scan {
    let mut scan = Scan::default();
    let mut chain = header.chain;
    let mut offset = HEADER_BYTES;
    while let Some(record) = bytes.get(offset..).and_then(Record::decode) {
        let expected = header.first + scan.entries.len() as u64;
        if (record.index, record.chain) != (expected, chain) {
            break;
        }
        offset += RECORD_HEADER_BYTES + record.payload.len();
        chain = record.checksum;
        scan.records.push(RecordLocation { epoch: record.epoch, end: offset as u64, checksum: chain });
        let payload = record.payload.to_vec();
        scan.entries.push(Entry { epoch: record.epoch, index: record.index, payload });
    }
    scan
}

/// Returns whether a complete record at or after `offset` proves that the byte at `offset` had been synced.
pub fn was_synced(bytes: &[u8], offset: u64) -> bool {
    let rest = bytes.get(offset as usize..).unwrap_or_default();
    let starts = (0..rest.len()).filter(|start| rest[*start..].starts_with(&RECORD_MAGIC));
    let mut records = starts.filter_map(|start| Record::decode(&rest[start..]));
    records.any(|record| record.durable > offset)
}

struct Record<'a> {
    checksum: u32,
    chain: u32,
    durable: u64,
    epoch: u64,
    index: u64,
    payload: &'a [u8],
}

impl<'a> Record<'a> {
    /// Decodes the record at the beginning of `bytes`; `None` if it is incomplete or damaged.
    fn decode(bytes: &'a [u8]) -> Option<Record<'a>> {
        let mut reader = Reader(bytes.strip_prefix(&RECORD_MAGIC)?);
        let checksum = reader.u32()?;
        let length = reader.u32()? as usize;
        let chain = reader.u32()?;
        let durable = reader.u64()?;
        let epoch = reader.u64()?;
        let index = reader.u64()?;
        let payload = reader.0.get(..length)?;
        let checked = &bytes[RECORD_UNCHECKED..RECORD_HEADER_BYTES + length];
        (checksum == super::checksum(&[checked])).then_some(Record {
            checksum,
            chain,
            durable,
            epoch,
            index,
            payload,
        })
    }
}
