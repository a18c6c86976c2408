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
const CHECKSUMMED_HEADER_BYTES: usize = 28;
/// The length of the header.
pub const HEADER_BYTES: usize = CHECKSUMMED_HEADER_BYTES + 4;
const RECORD_HEADER_BYTES: usize = 40;
/// The length of the fields that the checksum of a record does not cover: the magic and the checksum.
const UNCHECKSUMMED_RECORD_BYTES: usize = 8;

/// The header of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The generation that the segment belongs to.
    pub generation: u64,
    /// The index of the first entry in the segment.
    pub first_index: u64,
    /// The checksum of the last record in the previous segment; 0 in the first segment of a generation.
    pub previous_checksum: u32,
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
    pub end_offset: u64,
    /// The checksum of the record, which the next record refers to.
    pub checksum: u32,
}

/// The complete records at the beginning of a segment.
#[derive(Debug, Default)]
pub struct ScannedRecords {
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
        buffer.extend_from_slice(&self.first_index.to_le_bytes());
        buffer.extend_from_slice(&self.previous_checksum.to_le_bytes());
        let checksum = checksum(&[&buffer[start..]]);
        buffer.extend_from_slice(&checksum.to_le_bytes());
    }

    /// Decodes the header of a segment from the contents of its file.
    pub fn decode(bytes: &[u8]) -> DecodedHeader {
        let Some((version, header, checksum)) = Header::read(bytes) else { return DecodedHeader::Damaged };
        if checksum != super::checksum(&[&bytes[..CHECKSUMMED_HEADER_BYTES]]) {
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
        let header = Header {
            generation: reader.u64()?,
            first_index: reader.u64()?,
            previous_checksum: reader.u32()?,
        };
        Some((version, header, reader.u32()?))
    }
}

/// Appends the record of an entry to a buffer, and returns the checksum of the record.
pub fn encode_record(entry: &Entry, previous_checksum: u32, synced_length: u64, buffer: &mut Vec<u8>) -> u32 {
    let start = buffer.len();
    buffer.extend_from_slice(&RECORD_MAGIC);
    buffer.extend_from_slice(&[0; 4]);
    buffer.extend_from_slice(&(entry.payload.len() as u32).to_le_bytes());
    buffer.extend_from_slice(&previous_checksum.to_le_bytes());
    buffer.extend_from_slice(&synced_length.to_le_bytes());
    buffer.extend_from_slice(&entry.epoch.to_le_bytes());
    buffer.extend_from_slice(&entry.index.to_le_bytes());
    buffer.extend_from_slice(&entry.payload);
    let checksum = checksum(&[&buffer[start + UNCHECKSUMMED_RECORD_BYTES..]]);
    buffer[start + 4..start + UNCHECKSUMMED_RECORD_BYTES].copy_from_slice(&checksum.to_le_bytes());
    checksum
}

/// Reads the records after the header, up to the first one that is incomplete or does not follow the one
/// before it.
pub fn scan_records(bytes: &[u8], header: &Header) -> ScannedRecords {
    let mut scanned = ScannedRecords::default();
    let mut last_checksum = header.previous_checksum;
    let mut offset = HEADER_BYTES;
    while let Some(record) = bytes.get(offset..).and_then(Record::decode) {
        let expected = header.first_index + scanned.entries.len() as u64;
        if (record.index, record.previous_checksum) != (expected, last_checksum) {
            break;
        }
        offset += RECORD_HEADER_BYTES + record.payload.len();
        last_checksum = record.checksum;
        scanned.records.push(RecordLocation {
            epoch: record.epoch,
            end_offset: offset as u64,
            checksum: last_checksum,
        });
        let payload = record.payload.to_vec();
        scanned.entries.push(Entry { epoch: record.epoch, index: record.index, payload });
    }
    scanned
}

/// Returns whether a complete record at or after `offset` proves that the byte at `offset` had been synced.
pub fn was_synced(bytes: &[u8], offset: u64) -> bool {
    let rest = bytes.get(offset as usize..).unwrap_or_default();
    let starts = (0..rest.len()).filter(|start| rest[*start..].starts_with(&RECORD_MAGIC));
    let mut records = starts.filter_map(|start| Record::decode(&rest[start..]));
    records.any(|record| record.synced_length > offset)
}

struct Record<'a> {
    checksum: u32,
    previous_checksum: u32,
    synced_length: u64,
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
        let previous_checksum = reader.u32()?;
        let synced_length = reader.u64()?;
        let epoch = reader.u64()?;
        let index = reader.u64()?;
        let payload = reader.0.get(..length)?;
        let checksummed = &bytes[UNCHECKSUMMED_RECORD_BYTES..RECORD_HEADER_BYTES + length];
        (checksum == super::checksum(&[checksummed])).then_some(Record {
            checksum,
            previous_checksum,
            synced_length,
            epoch,
            index,
            payload,
        })
    }
}
