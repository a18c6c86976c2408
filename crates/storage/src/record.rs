//! The record: a short byte string that is replaced atomically, even on a full disk.
//!
//! The file has two slots of fixed length, which are allocated when the storage is first opened. Each save
//! overwrites the slot with the older record, gives the new record the next sequence number, and syncs the
//! file. The other slot keeps the previous record until the new one is durable.

use crate::files::{DataFile, Files};
use crate::format::{checksum, Reader};
use crate::names::FileName;
use crate::StorageError;

const SLOT_BYTES: usize = 4096;
const SLOT_COUNT: usize = 2;
const MAGIC: u32 = u32::from_le_bytes(*b"QPre");
/// The length of the fields before the record: magic, checksum, sequence number, length of the record.
const HEADER_BYTES: usize = 20;
/// The length of the fields that the checksum does not cover: the magic and the checksum.
const UNCHECKSUMMED_BYTES: usize = 8;

/// The maximum length of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = SLOT_BYTES - HEADER_BYTES;

/// The file of the record.
pub(crate) struct RecordFile<F: Files> {
    /// `None` if the file could not be created, or has to be created again by the next save.
    file: Option<F::File>,
    /// The sequence number of the last record that was synced; 0 before the first record.
    number: u64,
    /// Whether the slot that the next record goes to holds a torn record. The slot must be zeroed before
    /// another record is written to it, since the remains of two torn writes could together form the older of
    /// the two records.
    next_slot_is_torn: bool,
}

impl<F: Files> RecordFile<F> {
    /// Opens the file, and returns it with the record, if one was saved. If the file does not exist, tries to
    /// create it; a failure of that is ignored, since the next save tries again.
    pub fn open(files: &F, exists: bool) -> Result<(RecordFile<F>, Option<Vec<u8>>), StorageError> {
        if !exists {
            let file = create(files).ok();
            return Ok((RecordFile { file, number: 0, next_slot_is_torn: false }, None));
        }
        let file = files.open(&file_name()).map_err(StorageError::io("open", FileName::Record))?;
        let bytes = file.read().map_err(StorageError::io("read", FileName::Record))?;
        let Slots { newest, other_slot_is_torn } = Slots::decode(&bytes)?;
        // A killed process may have written the record without syncing it: it must be durable before it is
        // returned.
        file.sync().map_err(StorageError::io("sync", FileName::Record))?;
        let (number, record) = newest.map_or((0, None), |slot| (slot.number, Some(slot.record)));
        // A file of another length without a record was not created completely: the next save creates it again.
        let is_usable = bytes.len() == SLOT_COUNT * SLOT_BYTES || number > 0;
        Ok((
            RecordFile { file: is_usable.then_some(file), number, next_slot_is_torn: other_slot_is_torn },
            record,
        ))
    }

    /// Replaces the record. After an error, the next save writes to the same slot.
    pub fn save(&mut self, files: &F, record: &[u8]) -> Result<(), StorageError> {
        if record.len() > MAX_RECORD_BYTES {
            return Err(StorageError::RecordTooLong { length: record.len(), max_length: MAX_RECORD_BYTES });
        }
        let file = match self.file.take() {
            Some(file) => file,
            None => create(files)?,
        };
        let file = self.file.insert(file);
        let number = self.number + 1;
        let offset = (slot_index(number) * SLOT_BYTES) as u64;
        if self.next_slot_is_torn {
            write_durably(file, offset, &[0; SLOT_BYTES])?;
            self.next_slot_is_torn = false;
        }
        write_durably(file, offset, &encode_slot(number, record))?;
        self.number = number;
        Ok(())
    }
}

fn write_durably(file: &impl DataFile, offset: u64, bytes: &[u8]) -> Result<(), StorageError> {
    file.write(offset, bytes).map_err(StorageError::io("write", FileName::Record))?;
    file.sync().map_err(StorageError::io("sync", FileName::Record))
}

fn create<F: Files>(files: &F) -> Result<F::File, StorageError> {
    let file = files.create(&file_name()).map_err(StorageError::io("create", FileName::Record))?;
    write_durably(&file, 0, &[0; SLOT_COUNT * SLOT_BYTES])?;
    files.sync_names().map_err(StorageError::io("sync the folder of", FileName::Record))?;
    Ok(file)
}

fn file_name() -> String {
    FileName::Record.to_string()
}

/// Returns the index of the slot for the record with this sequence number. The first record has the sequence
/// number 1 and goes to slot 1.
fn slot_index(number: u64) -> usize {
    (number % SLOT_COUNT as u64) as usize
}

/// The contents of a slot.
enum Slot {
    /// No record was ever written to the slot, or a torn record was cleared.
    Empty,
    /// An incomplete or damaged record.
    Torn,
    /// A complete record.
    Intact(NumberedRecord),
}

struct NumberedRecord {
    number: u64,
    record: Vec<u8>,
}

/// The contents of both slots.
struct Slots {
    /// The complete record with the highest sequence number.
    newest: Option<NumberedRecord>,
    /// Whether the other slot holds a torn record.
    other_slot_is_torn: bool,
}

impl Slots {
    /// Decodes both slots. Only one slot is written at a time, and slot 1 is written first. A torn slot 0
    /// without a complete record in slot 1 is therefore not due to an interrupted write, but damage.
    fn decode(bytes: &[u8]) -> Result<Slots, StorageError> {
        let mut slots = bytes.chunks(SLOT_BYTES).map(decode_slot);
        let first = slots.next().unwrap_or(Slot::Empty);
        let second = slots.next().unwrap_or(Slot::Empty);
        let (newest, other_slot_is_torn) = match (first, second) {
            (Slot::Intact(first), Slot::Intact(second)) if first.number > second.number => {
                (Some(first), false)
            }
            (Slot::Intact(_) | Slot::Empty, Slot::Intact(second)) => (Some(second), false),
            (Slot::Torn, Slot::Intact(second)) => (Some(second), true),
            (Slot::Intact(first), Slot::Torn) => (Some(first), true),
            (Slot::Intact(first), Slot::Empty) => (Some(first), false),
            (Slot::Empty, Slot::Torn) => (None, true),
            (Slot::Empty, Slot::Empty) => (None, false),
            (Slot::Torn, Slot::Torn | Slot::Empty) => return Err(StorageError::damaged(FileName::Record, 0)),
        };
        Ok(Slots { newest, other_slot_is_torn })
    }
}

fn encode_slot(number: u64, record: &[u8]) -> Vec<u8> {
    let mut slot = Vec::with_capacity(HEADER_BYTES + record.len());
    slot.extend_from_slice(&MAGIC.to_le_bytes());
    slot.extend_from_slice(&[0; 4]);
    slot.extend_from_slice(&number.to_le_bytes());
    slot.extend_from_slice(&(record.len() as u32).to_le_bytes());
    slot.extend_from_slice(record);
    let checksum = checksum(&[&slot[UNCHECKSUMMED_BYTES..]]);
    slot[4..UNCHECKSUMMED_BYTES].copy_from_slice(&checksum.to_le_bytes());
    slot
}

fn decode_slot(bytes: &[u8]) -> Slot {
    if bytes.iter().all(|byte| *byte == 0) {
        return Slot::Empty;
    }
    decode_record(bytes).map_or(Slot::Torn, Slot::Intact)
}

fn decode_record(bytes: &[u8]) -> Option<NumberedRecord> {
    let mut reader = Reader(bytes);
    if reader.u32()? != MAGIC {
        return None;
    }
    let checksum_read = reader.u32()?;
    let number = reader.u64()?;
    let length = reader.u32()? as usize;
    let record = reader.0.get(..length)?.to_vec();
    let checksummed = &bytes[UNCHECKSUMMED_BYTES..HEADER_BYTES + length];
    (checksum_read == checksum(&[checksummed])).then_some(NumberedRecord { number, record })
}
