//! The published state: a map of small items, with a digest for each range of key hashes.

use quillpulley_protocol::Item;
use std::collections::btree_map::{BTreeMap, Range};
use std::ops::Bound;
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of ranges into which the hashes of keys are divided.
pub const RANGE_COUNT: usize = 64;
/// Right shift that turns a key's hash into the number of its range, which is in the upper bits.
const RANGE_SHIFT: u32 = u64::BITS - RANGE_COUNT.trailing_zeros();

/// A change that the root publishes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The item's key.
    pub key: String,
    /// The new value, or `None` if the item is removed.
    pub value: Option<Vec<u8>>,
}

/// An item that has changed in a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangedKey {
    /// The item's key.
    pub key: String,
    /// The previous value, or `None` if the item is new.
    pub old: Option<Arc<[u8]>>,
    /// The new value, or `None` if the item was removed.
    pub new: Option<Arc<[u8]>>,
}

/// The digests of all ranges, by number of the range.
pub type Digests = [u64; RANGE_COUNT];

#[derive(Clone, Debug)]
struct StoredItem {
    value: Arc<[u8]>,
    range: u8,
    hash: u64,
}

/// The published items, ordered by key. Each range of key hashes has a digest, which is the wrapping sum of
/// the hashes of its items. It is updated with each change.
#[derive(Clone, Debug)]
pub struct Store {
    entries: BTreeMap<String, StoredItem>,
    digests: Digests,
}

impl Default for Store {
    fn default() -> Self {
        Store { entries: BTreeMap::new(), digests: [0; RANGE_COUNT] }
    }
}

impl Store {
    /// Returns the value of an item, or `None` if there is no item with this key.
    pub fn get(&self, key: &str) -> Option<&[u8]> {
        self.entries.get(key).map(|entry| &*entry.value)
    }

    /// Returns all items in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.entries.iter().map(|(key, entry)| (key.as_str(), &*entry.value))
    }

    /// Returns the items whose keys begin with a prefix, in the order of their keys.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        let from: Range<'a, String, StoredItem> =
            self.entries.range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        from.take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(key, entry)| (key.as_str(), &*entry.value))
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no item.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the digest of each range.
    pub fn digests(&self) -> &Digests {
        &self.digests
    }

    /// Returns the digest of the whole store, which is the wrapping sum of the digests of all ranges.
    pub fn digest(&self) -> u64 {
        self.digests.iter().fold(0, |sum, digest| sum.wrapping_add(*digest))
    }

    /// Returns the changes that turn this store into one with exactly these items. A new root publishes them.
    pub fn changes_to(&self, items: &BTreeMap<String, Vec<u8>>) -> Vec<Change> {
        let removed = self.entries.keys().filter(|key| !items.contains_key(*key));
        let removed = removed.map(|key| Change { key: key.clone(), value: None });
        let differing = items.iter().filter(|(key, value)| self.get(key) != Some(value));
        let differing = differing.map(|(key, value)| Change { key: key.clone(), value: Some(value.clone()) });
        removed.chain(differing).collect()
    }

    /// Sets or removes an item. Returns the change, or `None` if the item already was in this state.
    pub(crate) fn apply(&mut self, change: Change) -> Option<ChangedKey> {
        if self.get(&change.key) == change.value.as_deref() {
            return None;
        }
        let old = self.remove(&change.key);
        let new: Option<Arc<[u8]>> = change.value.map(Arc::from);
        if let Some(value) = &new {
            self.insert(change.key.clone(), value.clone());
        }
        Some(ChangedKey { key: change.key, old, new })
    }

    /// Returns the number of the range that a key belongs to.
    pub(crate) fn range_of(key: &str) -> u8 {
        range_of_hash(xxh3_64(key.as_bytes()))
    }

    /// Returns an item in its form in a frame. If there is none, marks it as removed.
    pub(crate) fn frame_item(&self, key: &str) -> Item {
        frame_item(key, self.entries.get(key).map(|entry| &entry.value))
    }

    /// Returns the items in some ranges, in their form in a frame.
    pub(crate) fn items_in_ranges(&self, ranges: &[u8]) -> Vec<Item> {
        let entries = self.entries.iter().filter(|(_, entry)| ranges.contains(&entry.range));
        entries.map(|(key, entry)| frame_item(key, Some(&entry.value))).collect()
    }

    /// Returns the keys in some ranges.
    pub(crate) fn keys_in_ranges<'a>(&'a self, ranges: &'a [u8]) -> impl Iterator<Item = &'a str> {
        let entries = self.entries.iter().filter(|(_, entry)| ranges.contains(&entry.range));
        entries.map(|(key, _)| key.as_str())
    }

    /// Returns the ranges whose digests differ from the given ones.
    pub(crate) fn ranges_differing_from(&self, digests: &Digests) -> Vec<u8> {
        (0u8..)
            .zip(self.digests.iter().zip(digests))
            .filter(|(_, (own, other))| own != other)
            .map(|(range, _)| range)
            .collect()
    }

    fn insert(&mut self, key: String, value: Arc<[u8]>) {
        let key_hash = xxh3_64(key.as_bytes());
        let range = range_of_hash(key_hash);
        let hash = xxh3_64_with_seed(&value, key_hash);
        self.digests[usize::from(range)] = self.digests[usize::from(range)].wrapping_add(hash);
        self.entries.insert(key, StoredItem { value, range, hash });
    }

    fn remove(&mut self, key: &str) -> Option<Arc<[u8]>> {
        let entry = self.entries.remove(key)?;
        let digest = &mut self.digests[usize::from(entry.range)];
        *digest = digest.wrapping_sub(entry.hash);
        Some(entry.value)
    }
}

fn range_of_hash(key_hash: u64) -> u8 {
    (key_hash >> RANGE_SHIFT) as u8
}

/// Converts an item to its form in a frame. `None` as its value marks it as removed.
pub(crate) fn frame_item(key: &str, value: Option<&Arc<[u8]>>) -> Item {
    Item {
        key: key.to_string(),
        removed: value.is_none(),
        value: value.map(|value| value.to_vec()).unwrap_or_default(),
    }
}

/// Converts an item in a frame to a change.
pub(crate) fn change_from_frame(item: Item) -> Change {
    Change { key: item.key, value: (!item.removed).then_some(item.value) }
}
