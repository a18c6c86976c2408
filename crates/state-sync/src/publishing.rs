//! The root: assigns revisions and publishes changes.

use crate::history::Coverage;
use crate::node::{Action, Role, SyncNode};
use crate::store::{frame_item, Change, ChangedKey};
use quillpulley_protocol::{Item, Revision, Update, UpdateKind};
use std::hash::Hash;
use std::time::Duration;

impl<Child: Copy + Eq + Hash + Ord> SyncNode<Child> {
    pub(crate) fn become_root(&mut self, now: Duration, epoch: u64) {
        if epoch < self.revision.epoch {
            return;
        }
        let announced = self.revision;
        let first = Revision { epoch, tick: 1 };
        let revision = if first > announced { first } else { next_revision(announced) };
        self.role = Role::Root { announced };
        self.history.record(announced, revision, Coverage::AllChanges, std::iter::empty());
        self.advance(now, revision);
    }

    pub(crate) fn leave_root(&mut self) {
        if self.is_root() {
            self.totals.reset_parent();
            self.role = Role::Orphan;
        }
    }

    /// Applies changes at a new revision, and sends them to the children. Does nothing unless this node is
    /// the root.
    pub(crate) fn publish(&mut self, now: Duration, changes: Vec<Change>, actions: &mut Vec<Action<Child>>) {
        let Role::Root { announced } = self.role else { return };
        let changed: Vec<ChangedKey> =
            changes.into_iter().filter_map(|change| self.store.apply(change)).collect();
        let revision = next_revision(self.revision);
        let keys = changed.iter().map(|changed| (changed.key.as_str(), changed.new.is_none()));
        self.history.record(self.revision, revision, Coverage::AllChanges, keys);
        self.advance(now, revision);
        self.role = Role::Root { announced: revision };
        self.forward(self.update(UpdateKind::Changes, announced, frame_items(&changed)), actions);
        if !changed.is_empty() {
            actions.push(Action::Changed(changed));
        }
        self.serve_subscriptions(actions);
    }

    /// Returns an update from the revision `base` to this node's revision.
    pub(crate) fn update(&self, kind: UpdateKind, base: Revision, items: Vec<Item>) -> Update {
        let digest = self.store.digest();
        Update { kind, base, revision: self.revision, digest, complete: Vec::new(), items }
    }
}

/// Converts changed items to their form in a frame.
pub(crate) fn frame_items(changed: &[ChangedKey]) -> Vec<Item> {
    changed.iter().map(|changed| frame_item(&changed.key, changed.new.as_ref())).collect()
}

fn next_revision(revision: Revision) -> Revision {
    Revision { epoch: revision.epoch, tick: revision.tick + 1 }
}
