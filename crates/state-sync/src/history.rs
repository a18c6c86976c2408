//! The revisions at which the keys of a store have last changed, so that a child with an earlier state can be sent
//! exactly the keys that may differ.

use quillpulley_protocol::Revision;
use std::collections::{HashMap, VecDeque};

/// Maximum number of removed keys that are remembered beyond the number of present ones.
const MAX_REMOVED_KEYS: usize = 4_096;
/// Maximum number of skipped intervals that are remembered.
const MAX_SKIPPED_INTERVALS: usize = 16;

/// Whether an update lists every key that was changed in its interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Coverage {
    /// It lists every key that was changed.
    AllChanges,
    /// It lists only the keys that differ between the ends of the interval. Others may have changed and changed back.
    Difference,
}

/// An interval of revisions between whose ends this node has not seen every change.
#[derive(Clone, Copy, Debug)]
struct SkippedInterval {
    from: Revision,
    to: Revision,
}

impl SkippedInterval {
    fn contains(self, revision: Revision) -> bool {
        self.from < revision && revision < self.to
    }
}

/// The history of one store.
///
/// Invariant: if [`ChangeHistory::changed_since`] returns keys for a revision, then they include every key whose value
/// at that revision differs from the current one.
#[derive(Debug, Default)]
pub(crate) struct ChangeHistory {
    /// The earliest revision since which all changes are known; `None` while the store has no state.
    complete_since: Option<Revision>,
    /// For each key that was set or removed after `complete_since`, the revision of its latest change.
    changed_at: HashMap<String, Revision>,
    /// The removed keys in the order of their removal. A key that was set again afterwards is still listed.
    removals: VecDeque<(Revision, String)>,
    skipped: VecDeque<SkippedInterval>,
}

impl ChangeHistory {
    /// Records that the store has advanced from one revision to a later one by changes of these keys, with whether
    /// each of them was removed.
    pub(crate) fn record<'a>(
        &mut self,
        from: Revision,
        to: Revision,
        coverage: Coverage,
        keys: impl Iterator<Item = (&'a str, bool)>,
    ) {
        if self.complete_since.is_none() {
            self.complete_since = Some(to);
            return;
        }
        if coverage == Coverage::Difference || from.epoch != to.epoch {
            self.skip(SkippedInterval { from, to });
        }
        for (key, is_removed) in keys {
            self.changed_at.insert(key.to_string(), to);
            if is_removed {
                self.removals.push_back((to, key.to_string()));
            }
        }
        self.forget_oldest_removals();
    }

    /// Returns the keys that may have changed since a revision, or `None` if that is not known.
    pub(crate) fn changed_since(&self, revision: Revision) -> Option<impl Iterator<Item = &str>> {
        let is_known = self.complete_since.is_some_and(|complete_since| revision >= complete_since)
            && !self.skipped.iter().any(|interval| interval.contains(revision));
        let changed = self.changed_at.iter().filter(move |(_, changed_at)| **changed_at > revision);
        is_known.then(|| changed.map(|(key, _)| key.as_str()))
    }

    fn skip(&mut self, interval: SkippedInterval) {
        self.skipped.push_back(interval);
        if self.skipped.len() > MAX_SKIPPED_INTERVALS {
            let oldest = self.skipped.pop_front();
            oldest.into_iter().for_each(|oldest| self.limit_to(oldest.to));
        }
    }

    fn forget_oldest_removals(&mut self) {
        while self.removals.len() > MAX_REMOVED_KEYS {
            let Some((removed_at, key)) = self.removals.pop_front() else { return };
            if self.changed_at.get(&key) == Some(&removed_at) {
                self.changed_at.remove(&key);
                self.limit_to(removed_at);
            }
        }
    }

    /// Gives up the history before a revision.
    fn limit_to(&mut self, revision: Revision) {
        self.complete_since = self.complete_since.max(Some(revision));
    }
}
