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
    PowerOut,
    /// One operation fails. A failed write may be performed in part.
    Error,
    /// From now on, all writes and the creation of files fail.
    Full,
    /// From now on, the creation of files and writes that extend a file fail. Files can still be overwritten.
    NoSpace,
}

/// A handle of the disk. All clones share the contents.
#[derive(Clone)]
pub struct Disk(Rc<RefCell<Contents>>);

struct Contents {
    files: Vec<Stored>,
    names: Names,
    durable_names: Names,
    pending_names: Vec<NameChange>,
    /// Whether a sync of a new file makes its name durable, too.
    sync_keeps_name: bool,
    planned: Option<(Fault, usize)>,
    present: Option<Fault>,
    random: Random,
}

type Names = BTreeMap<String, usize>;

#[derive(Default)]
struct Stored {
    bytes: Vec<u8>,
    durable: Vec<u8>,
    pending: Vec<Change>,
}

#[derive(Clone)]
enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    Length(usize),
}

#[derive(Clone)]
enum NameChange {
    Made(String, usize),
    Renamed(String, String, usize),
    Removed(String),
}

/// The kinds of disk operations that faults distinguish.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Step {
    Grow,
    Overwrite,
    Other,
}

impl Disk {
    pub fn new(seed: u64) -> Disk {
        Disk(Rc::new(RefCell::new(Contents {
            files: Vec::new(),
            names: Names::new(),
            durable_names: Names::new(),
            pending_names: Vec::new(),
            sync_keeps_name: seed.is_multiple_of(2),
            planned: None,
            present: None,
            random: Random(seed),
        })))
    }

    /// Schedules a fault that occurs after `step` more disk operations; 0 means at the next one.
    pub fn plan(&self, fault: Fault, step: usize) {
        self.0.borrow_mut().planned = Some((fault, step));
    }

    /// Ends the present fault, unless it is a loss of power, and cancels the scheduled one.
    pub fn calm(&self) {
        let contents = &mut *self.0.borrow_mut();
        contents.planned = None;
        contents.present = contents.present.filter(|fault| *fault == Fault::PowerOut);
    }

    pub fn is_out(&self) -> bool {
        self.0.borrow().present == Some(Fault::PowerOut)
    }

    /// Drops the changes that were not synced, or a random part of them, and ends all faults.
    pub fn lose_power(&self) {
        let contents = &mut *self.0.borrow_mut();
        contents.planned = None;
        contents.present = None;
        let all = contents.random.below(4) == 0;
        for file in &mut contents.files {
            let pending = std::mem::take(&mut file.pending);
            if !all {
                pending
                    .into_iter()
                    .for_each(|change| survive(&mut file.durable, change, &mut contents.random));
            }
            file.bytes = file.durable.clone();
        }
        let pending = std::mem::take(&mut contents.pending_names);
        for change in pending {
            if !all && contents.random.below(2) == 0 {
                change.apply(&mut contents.durable_names);
            }
        }
        contents.names = contents.durable_names.clone();
    }

    pub fn names(&self) -> Vec<String> {
        self.0.borrow().names.keys().cloned().collect()
    }

    /// Changes the durable contents of a file without a call of the storage.
    pub fn damage(&self, name: &str, damage: impl FnOnce(&mut Vec<u8>)) {
        let contents = &mut *self.0.borrow_mut();
        let file = &mut contents.files[contents.names[name]];
        damage(&mut file.bytes);
        file.durable = file.bytes.clone();
    }

    pub fn remove_durably(&self, name: &str) {
        let contents = &mut *self.0.borrow_mut();
        contents.names.remove(name);
        contents.durable_names = contents.names.clone();
    }

    pub fn make_durably(&self, name: &str, bytes: &[u8]) {
        let contents = &mut *self.0.borrow_mut();
        contents.names.insert(name.to_string(), contents.files.len());
        contents.durable_names = contents.names.clone();
        contents.files.push(Stored { bytes: bytes.to_vec(), durable: bytes.to_vec(), pending: Vec::new() });
    }

    pub fn read(&self, name: &str) -> Vec<u8> {
        let contents = self.0.borrow();
        contents.files[contents.names[name]].bytes.clone()
    }

    pub fn length(&self, name: &str) -> usize {
        self.read(name).len()
    }

    fn step(&self, step: Step) -> io::Result<()> {
        self.0.borrow_mut().step(step)
    }
}

/// Applies a change completely, in part, or not at all.
fn survive(bytes: &mut Vec<u8>, change: Change, random: &mut Random) {
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

impl Contents {
    fn step(&mut self, step: Step) -> io::Result<()> {
        if let Some((fault, left)) = self.planned {
            self.planned = (left > 0).then(|| (fault, left - 1));
            if left == 0 {
                return self.begin(fault, step);
            }
        }
        self.refusal(step)
    }

    fn begin(&mut self, fault: Fault, step: Step) -> io::Result<()> {
        if fault == Fault::Error {
            return Err(io::Error::other("a scheduled error"));
        }
        self.present = Some(fault);
        self.refusal(step)
    }

    fn refusal(&self, step: Step) -> io::Result<()> {
        match (self.present, step) {
            (Some(Fault::PowerOut), _) => Err(io::Error::other("no power")),
            (Some(Fault::Full), Step::Grow | Step::Overwrite) | (Some(Fault::NoSpace), Step::Grow) => {
                Err(io::Error::new(io::ErrorKind::StorageFull, "no space"))
            }
            _ => Ok(()),
        }
    }

    fn change_names(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.pending_names.push(change);
    }

    fn keep_name(&mut self, file: usize) {
        let of_file = |change: &NameChange| matches!(change, NameChange::Made(_, made) if *made == file);
        let kept: Vec<NameChange> = self.pending_names.extract_if(.., |change| of_file(change)).collect();
        kept.iter().for_each(|change| change.apply(&mut self.durable_names));
    }
}

impl NameChange {
    fn apply(&self, names: &mut Names) {
        match self {
            NameChange::Made(name, file) => {
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

impl Stored {
    fn change(&mut self, change: Change) {
        change.apply(&mut self.bytes);
        self.pending.push(change);
    }
}

impl Files for Disk {
    type File = DiskFile;

    fn names(&self) -> io::Result<Vec<String>> {
        if self.is_out() {
            return Err(io::Error::other("no power"));
        }
        Ok(Disk::names(self))
    }

    fn create(&self, name: &str) -> io::Result<DiskFile> {
        self.step(Step::Grow)?;
        let contents = &mut *self.0.borrow_mut();
        if let Some(file) = contents.names.get(name) {
            contents.files[*file].change(Change::Length(0));
            return Ok(DiskFile { disk: self.clone(), file: *file });
        }
        let file = contents.files.len();
        contents.files.push(Stored::default());
        contents.change_names(NameChange::Made(name.to_string(), file));
        Ok(DiskFile { disk: self.clone(), file })
    }

    fn open(&self, name: &str) -> io::Result<DiskFile> {
        if self.is_out() {
            return Err(io::Error::other("no power"));
        }
        let file = self.0.borrow().names.get(name).copied();
        let file = file.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        Ok(DiskFile { disk: self.clone(), file })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.step(Step::Other)?;
        let contents = &mut *self.0.borrow_mut();
        assert!(!contents.names.contains_key(to), "{to} exists already");
        let file = contents.names[from];
        contents.change_names(NameChange::Renamed(from.to_string(), to.to_string(), file));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.step(Step::Other)?;
        let contents = &mut *self.0.borrow_mut();
        assert!(contents.names.contains_key(name), "{name} does not exist");
        contents.change_names(NameChange::Removed(name.to_string()));
        Ok(())
    }

    fn sync_names(&self) -> io::Result<()> {
        self.step(Step::Other)?;
        let contents = &mut *self.0.borrow_mut();
        contents.pending_names.clear();
        contents.durable_names = contents.names.clone();
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

    fn write_part(&self, offset: usize, bytes: &[u8]) {
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
        let step = if offset + bytes.len() > length { Step::Grow } else { Step::Overwrite };
        if let Err(error) = self.disk.step(step) {
            self.write_part(offset, bytes);
            return Err(error);
        }
        self.change(Change::Write { offset, bytes: bytes.to_vec() });
        Ok(())
    }

    fn set_length(&self, length: u64) -> io::Result<()> {
        self.disk.step(Step::Other)?;
        self.change(Change::Length(length as usize));
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        self.disk.step(Step::Other)?;
        let contents = &mut *self.disk.0.borrow_mut();
        let file = &mut contents.files[self.file];
        file.pending.clear();
        file.durable = file.bytes.clone();
        if contents.sync_keeps_name {
            contents.keep_name(self.file);
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
