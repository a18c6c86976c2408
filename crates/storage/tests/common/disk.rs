//! A folder on a simulated disk, which can lose power, run out of space and return errors.
//!
//! A loss of power keeps, drops or tears each write that was not synced, and keeps or drops each change of a
//! file name that was not synced, independently of the others.

use quillpulley_storage::files::{DataFile, Files};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// A fault of the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The disk loses power: no file can be opened or changed until [`Disk::lose_power`].
    PowerLoss,
    /// One operation fails. A failed write may be performed in part.
    OneCallFails,
    /// From now on, all writes and the creation of files fail.
    AllWritesFail,
    /// From now on, the creation of files and writes that extend a file fail. Files can still be overwritten.
    GrowthFails,
}

/// A handle of the disk. All clones share the contents.
#[derive(Clone)]
pub struct Disk(Rc<RefCell<DiskState>>);

struct DiskState {
    files: Vec<StoredFile>,
    names: Names,
    durable_names: Names,
    /// The changes of names that are not synced, in order.
    pending_names: Vec<NameChange>,
    /// Whether a sync of a new file makes its name durable, too.
    sync_makes_name_durable: bool,
    /// A fault, and the number of disk operations before it.
    scheduled: Option<(Fault, usize)>,
    active: Option<Fault>,
    random: Random,
}

/// File names and their indices in [`DiskState::files`].
type Names = BTreeMap<String, usize>;

#[derive(Default)]
struct StoredFile {
    bytes: Vec<u8>,
    durable: Vec<u8>,
    /// The changes of the contents that are not synced, in order.
    pending: Vec<Change>,
}

#[derive(Clone)]
enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    Length(usize),
}

#[derive(Clone)]
enum NameChange {
    Created(String, usize),
    Renamed(String, String, usize),
    Removed(String),
}

/// The kinds of disk operations that faults distinguish.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OperationKind {
    Grow,
    Overwrite,
    Other,
}

impl Disk {
    pub fn new(seed: u64) -> Disk {
        Disk(Rc::new(RefCell::new(DiskState {
            files: Vec::new(),
            names: Names::new(),
            durable_names: Names::new(),
            pending_names: Vec::new(),
            sync_makes_name_durable: seed.is_multiple_of(2),
            scheduled: None,
            active: None,
            random: Random(seed),
        })))
    }

    /// Schedules a fault that occurs after `operations_before` more disk operations; 0 means at the next one.
    pub fn schedule(&self, fault: Fault, operations_before: usize) {
        self.0.borrow_mut().scheduled = Some((fault, operations_before));
    }

    /// Ends the active fault, unless it is a loss of power, and cancels the scheduled one.
    pub fn clear_faults(&self) {
        let state = &mut *self.0.borrow_mut();
        state.scheduled = None;
        state.active = state.active.filter(|fault| *fault == Fault::PowerLoss);
    }

    pub fn has_lost_power(&self) -> bool {
        self.0.borrow().active == Some(Fault::PowerLoss)
    }

    /// Drops the changes that were not synced, or a random part of them, and ends all faults.
    pub fn lose_power(&self) {
        let state = &mut *self.0.borrow_mut();
        state.scheduled = None;
        state.active = None;
        let drops_all = state.random.below(4) == 0;
        for file in &mut state.files {
            let pending = std::mem::take(&mut file.pending);
            if !drops_all {
                pending
                    .into_iter()
                    .for_each(|change| apply_randomly(&mut file.durable, change, &mut state.random));
            }
            file.bytes = file.durable.clone();
        }
        let pending = std::mem::take(&mut state.pending_names);
        for change in pending {
            if !drops_all && state.random.below(2) == 0 {
                change.apply(&mut state.durable_names);
            }
        }
        state.names = state.durable_names.clone();
    }

    pub fn names(&self) -> Vec<String> {
        self.0.borrow().names.keys().cloned().collect()
    }

    /// Changes the durable contents of a file without a call of the storage.
    pub fn damage(&self, name: &str, damage: impl FnOnce(&mut Vec<u8>)) {
        let state = &mut *self.0.borrow_mut();
        let file = &mut state.files[state.names[name]];
        damage(&mut file.bytes);
        file.durable = file.bytes.clone();
    }

    pub fn remove_durably(&self, name: &str) {
        let state = &mut *self.0.borrow_mut();
        state.names.remove(name);
        state.durable_names = state.names.clone();
    }

    pub fn create_durably(&self, name: &str, bytes: &[u8]) {
        let state = &mut *self.0.borrow_mut();
        state.names.insert(name.to_string(), state.files.len());
        state.durable_names = state.names.clone();
        state.files.push(StoredFile { bytes: bytes.to_vec(), durable: bytes.to_vec(), pending: Vec::new() });
    }

    pub fn read(&self, name: &str) -> Vec<u8> {
        let state = self.0.borrow();
        state.files[state.names[name]].bytes.clone()
    }

    pub fn length(&self, name: &str) -> usize {
        self.read(name).len()
    }

    fn check_fault(&self, kind: OperationKind) -> io::Result<()> {
        self.0.borrow_mut().check_fault(kind)
    }
}

/// Applies a change completely, in part, or not at all.
fn apply_randomly(bytes: &mut Vec<u8>, change: Change, random: &mut Random) {
    match (random.below(3), change) {
        (0, _) => {}
        (1, Change::Write { offset, bytes: written }) => {
            let (start, end) = (random.below(written.len() + 1), random.below(written.len() + 1));
            let (start, end) = (start.min(end), start.max(end));
            Change::Write { offset: offset + start, bytes: written[start..end].to_vec() }.apply(bytes);
        }
        (_, change) => change.apply(bytes),
    }
}

impl DiskState {
    fn check_fault(&mut self, kind: OperationKind) -> io::Result<()> {
        if let Some((fault, remaining)) = self.scheduled {
            self.scheduled = (remaining > 0).then(|| (fault, remaining - 1));
            if remaining == 0 {
                return self.activate(fault, kind);
            }
        }
        self.error_for(kind)
    }

    fn activate(&mut self, fault: Fault, kind: OperationKind) -> io::Result<()> {
        if fault == Fault::OneCallFails {
            return Err(io::Error::other("a scheduled error"));
        }
        self.active = Some(fault);
        self.error_for(kind)
    }

    fn error_for(&self, kind: OperationKind) -> io::Result<()> {
        match (self.active, kind) {
            (Some(Fault::PowerLoss), _) => Err(io::Error::other("no power")),
            (Some(Fault::AllWritesFail), OperationKind::Grow | OperationKind::Overwrite)
            | (Some(Fault::GrowthFails), OperationKind::Grow) => {
                Err(io::Error::new(io::ErrorKind::StorageFull, "no space"))
            }
            _ => Ok(()),
        }
    }

    fn change_names(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.pending_names.push(change);
    }

    fn make_name_durable(&mut self, file: usize) {
        let creates_file =
            |change: &NameChange| matches!(change, NameChange::Created(_, created) if *created == file);
        let synced: Vec<NameChange> =
            self.pending_names.extract_if(.., |change| creates_file(change)).collect();
        synced.iter().for_each(|change| change.apply(&mut self.durable_names));
    }
}

impl NameChange {
    fn apply(&self, names: &mut Names) {
        match self {
            NameChange::Created(name, file) => {
                names.insert(name.clone(), *file);
            }
            NameChange::Renamed(from, to, file) => {
                if names.get(from) == Some(file) {
                    names.remove(from);
                }
                names.insert(to.clone(), *file);
            }
            NameChange::Removed(name) => {
                names.remove(name);
            }
        }
    }
}

impl Change {
    fn apply(&self, contents: &mut Vec<u8>) {
        match self {
            Change::Write { bytes, .. } if bytes.is_empty() => {}
            Change::Write { offset, bytes } => {
                let end = offset + bytes.len();
                if contents.len() < end {
                    contents.resize(end, 0);
                }
                contents[*offset..end].copy_from_slice(bytes);
            }
            Change::Length(length) => contents.resize(*length, 0),
        }
    }
}

impl StoredFile {
    fn change(&mut self, change: Change) {
        change.apply(&mut self.bytes);
        self.pending.push(change);
    }
}

impl Files for Disk {
    type File = DiskFile;

    fn names(&self) -> io::Result<Vec<String>> {
        if self.has_lost_power() {
            return Err(io::Error::other("no power"));
        }
        Ok(Disk::names(self))
    }

    fn create(&self, name: &str) -> io::Result<DiskFile> {
        self.check_fault(OperationKind::Grow)?;
        let state = &mut *self.0.borrow_mut();
        if let Some(file) = state.names.get(name) {
            state.files[*file].change(Change::Length(0));
            return Ok(DiskFile { disk: self.clone(), file: *file });
        }
        let file = state.files.len();
        state.files.push(StoredFile::default());
        state.change_names(NameChange::Created(name.to_string(), file));
        Ok(DiskFile { disk: self.clone(), file })
    }

    fn open(&self, name: &str) -> io::Result<DiskFile> {
        if self.has_lost_power() {
            return Err(io::Error::other("no power"));
        }
        let file = self.0.borrow().names.get(name).copied();
        let file = file.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        Ok(DiskFile { disk: self.clone(), file })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.check_fault(OperationKind::Other)?;
        let state = &mut *self.0.borrow_mut();
        assert!(!state.names.contains_key(to), "{to} exists already");
        let file = state.names[from];
        state.change_names(NameChange::Renamed(from.to_string(), to.to_string(), file));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.check_fault(OperationKind::Other)?;
        let state = &mut *self.0.borrow_mut();
        assert!(state.names.contains_key(name), "{name} does not exist");
        state.change_names(NameChange::Removed(name.to_string()));
        Ok(())
    }

    fn sync_names(&self) -> io::Result<()> {
        self.check_fault(OperationKind::Other)?;
        let state = &mut *self.0.borrow_mut();
        state.pending_names.clear();
        state.durable_names = state.names.clone();
        Ok(())
    }
}

pub struct DiskFile {
    disk: Disk,
    file: usize,
}

impl DiskFile {
    fn change(&self, change: Change) {
        self.disk.0.borrow_mut().files[self.file].change(change);
    }

    fn write_random_prefix(&self, offset: usize, bytes: &[u8]) {
        let length = self.disk.0.borrow_mut().random.below(bytes.len() + 1);
        self.change(Change::Write { offset, bytes: bytes[..length].to_vec() });
    }
}

impl DataFile for DiskFile {
    fn read(&self) -> io::Result<Vec<u8>> {
        Ok(self.disk.0.borrow().files[self.file].bytes.clone())
    }

    fn write(&self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let offset = offset as usize;
        let length = self.disk.0.borrow().files[self.file].bytes.len();
        let kind = if offset + bytes.len() > length { OperationKind::Grow } else { OperationKind::Overwrite };
        if let Err(error) = self.disk.check_fault(kind) {
            self.write_random_prefix(offset, bytes);
            return Err(error);
        }
        self.change(Change::Write { offset, bytes: bytes.to_vec() });
        Ok(())
    }

    fn set_length(&self, length: u64) -> io::Result<()> {
        self.disk.check_fault(OperationKind::Other)?;
        self.change(Change::Length(length as usize));
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        self.disk.check_fault(OperationKind::Other)?;
        let state = &mut *self.disk.0.borrow_mut();
        let file = &mut state.files[self.file];
        file.pending.clear();
        file.durable = file.bytes.clone();
        if state.sync_makes_name_durable {
            state.make_name_durable(self.file);
        }
        Ok(())
    }
}

/// The SplitMix64 generator.
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) % bound as u64) as usize
    }
}
