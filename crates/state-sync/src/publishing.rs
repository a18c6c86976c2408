//! The root: stamps and publishes.

use crate::node::{Action, FeedNode, Role};
use crate::store::{item, Change, ChangedKey};
use quillpulley_protocol::{Item, Stamp, Update, UpdateKind};
use std::hash::Hash;
use std::time::Duration;

impl<Child: Copy + Eq + Hash + Ord> FeedNode<Child> {
    pub(crate) fn become_root(&mut self, now: Duration, epoch: u64) {
        if epoch < self.stamp.epoch {
            return;
        }
        let announced = self.stamp;
        let first = Stamp { epoch, tick: 1 };
        let stamp = if first > announced { first } else { next(announced) };
        self.role = Role::Root { announced };
        self.advance(now, stamp);
    }

    pub(crate) fn leave_root(&mut self) {
        if self.is_root() {
            self.totals.reset_parent();
            self.role = Role::Orphan;
        }
    }

    /// Applies changes at a new stamp and tells the children.
    pub(crate) fn publish(&mut self, now: Duration, changes: Vec<Change>, actions: &mut Vec<Action<Child>>) {
        let Role::Root { announced } = self.role else { return };
        let changed: Vec<ChangedKey> =
            changes.into_iter().filter_map(|change| self.store.apply(change)).collect();
        let stamp = next(self.stamp);
        self.advance(now, stamp);
        self.role = Role::Root { announced: stamp };
        self.forward(self.update(UpdateKind::Changes, announced, items_of(&changed)), actions);
        if !changed.is_empty() {
            actions.push(Action::Changed(changed));
        }
        self.answer_subscriptions(actions);
    }

    /// An update from a stamp to this node's own.
    pub(crate) fn update(&self, kind: UpdateKind, since: Stamp, items: Vec<Item>) -> Update {
        let digest = self.store.digest();
        Update { kind, since, stamp: self.stamp, digest, complete: Vec::new(), items }
    }
}

/// Changed items as a frame has them.
pub(crate) fn items_of(changed: &[ChangedKey]) -> Vec<Item> {
    changed.iter().map(|changed| item(&changed.key, changed.new.as_ref())).collect()
}

fn next(stamp: Stamp) -> Stamp {
    Stamp { epoch: stamp.epoch, tick: stamp.tick + 1 }
}
