//! The format of a segment: a header of fixed length, and then one record for each entry.
//!
//! Header: magic, version, generation, index of the first entry, the checksum of the record before it (the *chain*),
//! checksum of all that.
//!
//! Record: magic, checksum of what follows, length of the payload, chain, durable length, epoch, index, payload.
//! The chain is the checksum of the previous record; it distinguishes records of different histories.
//! The durable length is that of the segment when the record was written: all bytes before it had been synced. So a
//! complete record shows whether damage before it can be due to a loss of power.

use super::{checksum, Reader, VERSION};
use quillpulley_protocol::Entry;

const HEADER_MAGIC: u32 = u32::from_le_bytes(*b"QPsg");
const RECORD_MAGIC: [u8; 4] = *b"QPen";
const HEADER_CHECKED: usize = 28;
/// The bytes of a header.
pub const HEADER_BYTES: usize = HEADER_CHECKED + 4;
const RECORD_HEADER_BYTES: usize = 40;
/// What the checksum of a record does not cover: the magic and itself.
const RECORD_UNCHECKED: usize = 8;

/// The header of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The generation that it belongs to.
    pub generation: u64,
    /// The index of its first entry.
    pub first: u64,
    /// The checksum of the record before; 0 at the beginning of a generation.
    pub chain: u32,
}

/// The decoded beginning of a segment.
#[derive(Debug, PartialEq, Eq)]
pub enum DecodedHeader {
    /// A complete header.
    Intact(Header),
    /// No header, or a part of one.
    Damaged,
    /// A header that another version has written.
    OtherVersion,
}

/// The location and identity of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLocation {
    /// The epoch of its entry.
    pub epoch: u64,
    /// The offset of the end of the record.
    pub end: u64,
    /// Its checksum, which is the chain of the next record.
    pub checksum: u32,
}

/// The complete records at the beginning of a segment.
#[derive(Debug, Default)]
pub struct Scan {
    /// Their entries.
    pub entries: Vec<Entry>,
    /// Their locations.
    pub records: Vec<RecordLocation>,
}

impl Header {
    /// Appends it to a buffer.
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

    /// Reads the beginning of a segment.
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

/// Appends the record of an entry to a buffer, and returns its checksum.
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

/// Reads the consecutive records after the header.
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

/// Returns whether a complete record shows that what is at this offset had been synced.
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
    /// Reads one record, if it is complete.
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
