//! Distribution of the published state down the tree: subscriptions, responses to them, and updates.
//!
//! Invariant: a revision identifies one state of the store, which is the state of the root at that revision.
//! An update of the kind `Changes` lists every key that was changed between two revisions. It therefore
//! applies to the state at any revision between them. An update of the kind `Delta` lists only the keys that
//! differ between two states. It applies only to the first of them, because a key may have changed and
//! changed back in between. While a subscription has no response, updates are ignored, so that the response
//! applies to the state whose digests were sent.

use crate::children::{Phase, Subscription};
use crate::history::Coverage;
use crate::node::{signed_byte_count, Action, Role, SyncNode};
use crate::options::expected_link_bytes;
use crate::publishing::frame_items;
use crate::store::{change_from_frame, Change, ChangedKey, Store, RANGE_COUNT};
use quillpulley_protocol::{Body, Item, Revision, Subscribe, Update, UpdateKind};
use std::collections::HashSet;
use std::hash::Hash;
use std::time::Duration;

/// How a node responds to a subscription.
enum RepairDecision {
    /// Do not respond yet: the node is at an older epoch than the child, its own state must not be sent, the two
    /// states differ although their revisions are equal, or the limit of bytes is reached.
    Wait,
    /// Respond without items: the child is at the node's revision or at a later one in the same epoch, so
    /// that later updates are enough.
    UpToDate,
    /// Respond with these keys, which include all whose values differ.
    SendKeys(Vec<String>),
    /// Respond with all items of these ranges.
    SendRanges(Vec<u8>),
}

impl<Child: Copy + Eq + Hash + Ord> SyncNode<Child> {
    pub(crate) fn subscribe(&mut self, now: Duration, actions: &mut Vec<Action<Child>>) {
        self.role = Role::Subscribing { at: now };
        self.subscription_timer.sent(now);
        let digests = self.store.digests().to_vec();
        let subscribe = Subscribe { revision: self.revision, digests };
        actions.push(Action::SendParent(Body::Subscribe(Box::new(subscribe))));
    }

    pub(crate) fn handle_update(&mut self, now: Duration, update: Update, actions: &mut Vec<Action<Child>>) {
        let is_subscribing = matches!(self.role, Role::Subscribing { .. });
        match update.kind {
            UpdateKind::RangeRepair if is_subscribing => self.apply_repair(now, update, actions),
            UpdateKind::RangeRepair => {}
            UpdateKind::Changes | UpdateKind::Delta if is_subscribing || update.revision <= self.revision => {
            }
            UpdateKind::Changes | UpdateKind::Delta if self.is_applicable(&update) => {
                self.apply_changes(now, update, actions);
            }
            UpdateKind::Changes | UpdateKind::Delta => self.subscribe(now, actions),
        }
    }

    /// Returns whether an update that is newer than the node's state can be applied to it.
    fn is_applicable(&self, update: &Update) -> bool {
        let epoch = self.revision.epoch;
        let is_between =
            update.base.epoch == epoch && update.revision.epoch == epoch && update.base <= self.revision;
        update.base == self.revision || (update.kind == UpdateKind::Changes && is_between)
    }

    fn apply_changes(&mut self, now: Duration, update: Update, actions: &mut Vec<Action<Child>>) {
        let changes = update.items.iter().cloned().map(change_from_frame).collect();
        let changed = self.apply_all(changes);
        let coverage = match update.kind {
            UpdateKind::Changes => Coverage::AllChanges,
            UpdateKind::Delta | UpdateKind::RangeRepair => Coverage::Difference,
        };
        let keys = update.items.iter().map(|item| (item.key.as_str(), item.removed));
        self.history.record(self.revision, update.revision, coverage, keys);
        self.advance(now, update.revision);
        let digest = update.digest;
        self.forward(update, actions);
        self.finish_update(now, digest, changed, actions);
    }

    fn apply_repair(&mut self, now: Duration, repair: Update, actions: &mut Vec<Action<Child>>) {
        if repair.base != self.revision {
            return;
        }
        self.role = Role::Following;
        self.subscription_timer.answered(now, item_bytes(&repair.items));
        if repair.revision <= self.revision {
            return;
        }
        let changes = self.changes_of_repair(&repair.complete, repair.items);
        let changed = self.apply_all(changes);
        let keys = changed.iter().map(|changed| (changed.key.as_str(), changed.new.is_none()));
        self.history.record(self.revision, repair.revision, Coverage::Difference, keys);
        self.advance(now, repair.revision);
        if self.store.digest() == repair.digest {
            self.forward(self.update(UpdateKind::Delta, repair.base, frame_items(&changed)), actions);
        }
        self.finish_update(now, repair.digest, changed, actions);
    }

    /// Returns the changes of a response: its items, and the removal of all other items in its ranges.
    fn changes_of_repair(&self, ranges: &[u8], items: Vec<Item>) -> Vec<Change> {
        let present: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let removed = self.store.keys_in_ranges(ranges).filter(|key| !present.contains(key));
        let removed: Vec<Change> = removed.map(|key| Change { key: key.to_string(), value: None }).collect();
        removed.into_iter().chain(items.into_iter().map(change_from_frame)).collect()
    }

    fn apply_all(&mut self, changes: Vec<Change>) -> Vec<ChangedKey> {
        changes.into_iter().filter_map(|change| self.store.apply(change)).collect()
    }

    /// Completes an update: notifies the host of the changes, checks the digest of the store, subscribes
    /// again if it is wrong, and responds to subscriptions.
    fn finish_update(
        &mut self,
        now: Duration,
        digest: u64,
        changed: Vec<ChangedKey>,
        actions: &mut Vec<Action<Child>>,
    ) {
        if !changed.is_empty() {
            actions.push(Action::Changed(changed));
        }
        self.digest_mismatch = self.store.digest() != digest;
        if self.digest_mismatch {
            self.subscribe(now, actions);
        }
        self.serve_subscriptions(actions);
    }

    /// Sends an update to the children that were sent a response to their subscription.
    pub(crate) fn forward(&self, update: Update, actions: &mut Vec<Action<Child>>) {
        let followers = self.children.children_where(|child| child.is_following());
        if !followers.is_empty() {
            actions.push(Action::SendChildren(followers, Body::Update(Box::new(update))));
        }
    }

    pub(crate) fn handle_subscription(
        &mut self,
        child: Child,
        subscribe: Subscribe,
        actions: &mut Vec<Action<Child>>,
    ) {
        let Some(subscription) = Subscription::from_frame(subscribe) else {
            return self.drop_child(child, actions);
        };
        if let Some(state) = self.children.get_mut(child) {
            state.set_phase(Phase::Subscribed(subscription));
        }
        self.serve_subscriptions(actions);
    }

    /// Responds to the subscriptions that can be answered now, as far as the limit of bytes allows. Children that lack
    /// only some changes come first, so that they do not wait for those that need much of the state.
    pub(crate) fn serve_subscriptions(&mut self, actions: &mut Vec<Action<Child>>) {
        let mut need_ranges = Vec::new();
        for (child, subscription) in self.children.subscriptions() {
            match self.decide_repair(&subscription) {
                RepairDecision::Wait => {}
                RepairDecision::UpToDate => self.send_keys(child, subscription.revision, &[], actions),
                RepairDecision::SendKeys(keys) => {
                    self.send_keys(child, subscription.revision, &keys, actions);
                }
                RepairDecision::SendRanges(ranges) => {
                    need_ranges.push((child, subscription.revision, ranges))
                }
            }
        }
        for (child, base, ranges) in need_ranges {
            if self.may_send_items() {
                self.send_ranges(child, base, ranges, actions);
            }
        }
    }

    fn may_send_items(&self) -> bool {
        self.remaining_repair_bytes > 0
    }

    fn decide_repair(&self, subscription: &Subscription) -> RepairDecision {
        if !self.can_serve_children() || self.revision.epoch < subscription.revision.epoch {
            return RepairDecision::Wait;
        }
        if self.revision < subscription.revision {
            return RepairDecision::UpToDate;
        }
        let ranges = self.store.ranges_differing_from(&subscription.digests);
        match ranges.is_empty() {
            true => RepairDecision::UpToDate,
            false if self.revision == subscription.revision || !self.may_send_items() => RepairDecision::Wait,
            false => match self.changed_keys_in(subscription.revision, &ranges) {
                Some(keys) => RepairDecision::SendKeys(keys),
                None => RepairDecision::SendRanges(ranges),
            },
        }
    }

    /// Returns the keys in the differing ranges that have changed since a revision. Returns `None` if the history does
    /// not reach back that far, or if it does not explain why one of the ranges differs.
    fn changed_keys_in(&self, since: Revision, differing_ranges: &[u8]) -> Option<Vec<String>> {
        let changed = self.history.changed_since(since)?;
        let (keys, ranges): (Vec<String>, Vec<u8>) = changed
            .map(|key| (key, Store::range_of(key)))
            .filter(|(_, range)| differing_ranges.contains(range))
            .map(|(key, range)| (key.to_string(), range))
            .unzip();
        differing_ranges.iter().all(|range| ranges.contains(range)).then_some(keys)
    }

    /// Returns whether the state can be sent to children: there is one, its digest is correct, and a new root
    /// has published.
    fn can_serve_children(&self) -> bool {
        let is_announced = match self.role {
            Role::Root { announced } => announced == self.revision,
            Role::Orphan | Role::Subscribing { .. } | Role::Following => true,
        };
        is_announced && !self.digest_mismatch && self.revision != Revision::default()
    }

    fn send_keys(&mut self, child: Child, base: Revision, keys: &[String], actions: &mut Vec<Action<Child>>) {
        let items = keys.iter().map(|key| self.store.frame_item(key)).collect();
        self.send_repair(child, self.update(UpdateKind::RangeRepair, base, items), actions);
    }

    fn send_ranges(
        &mut self,
        child: Child,
        base: Revision,
        ranges: Vec<u8>,
        actions: &mut Vec<Action<Child>>,
    ) {
        let items = self.store.items_in_ranges(&ranges);
        let update = Update { complete: ranges, ..self.update(UpdateKind::RangeRepair, base, items) };
        self.send_repair(child, update, actions);
    }

    fn send_repair(&mut self, child: Child, repair: Update, actions: &mut Vec<Action<Child>>) {
        self.remaining_repair_bytes -= signed_byte_count(expected_link_bytes(item_bytes(&repair.items)));
        if let Some(state) = self.children.get_mut(child) {
            state.set_phase(Phase::Following);
        }
        actions.push(Action::SendChild(child, Body::Update(Box::new(repair))));
    }

    pub(crate) fn tick_updates(&mut self, now: Duration, actions: &mut Vec<Action<Child>>) {
        if let Role::Subscribing { at } = self.role {
            if now >= at + self.options.resubscribe_after {
                self.subscribe(now, actions);
            }
        }
        if now >= self.repair_interval_began_at + self.options.repair_interval {
            self.repair_interval_began_at = now;
            let budget = signed_byte_count(self.options.repair_bytes);
            self.remaining_repair_bytes = self.remaining_repair_bytes.min(0) + budget;
        }
        self.serve_subscriptions(actions);
    }

    /// Returns when a subscription must be sent again, or when a delayed response can be sent.
    pub(crate) fn updates_due(&self) -> Duration {
        let has_delayed_response = self.remaining_repair_bytes <= 0
            && self.children.values().any(|child| child.subscription().is_some());
        match self.role {
            _ if has_delayed_response => self.repair_interval_began_at + self.options.repair_interval,
            Role::Subscribing { at } => at + self.options.resubscribe_after,
            Role::Root { .. } | Role::Orphan | Role::Following => Duration::MAX,
        }
    }
}

/// Returns the size of the keys and values of items.
fn item_bytes(items: &[Item]) -> usize {
    items.iter().map(|item| item.key.len() + item.value.len()).sum()
}

const _: () = assert!(RANGE_COUNT <= u8::MAX as usize);
