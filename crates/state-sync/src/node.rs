//! A node of the relay tree: its state, events and actions.

use crate::aggregate::{Aggregate, Source};
use crate::children::{ChildState, Children};
use crate::history::ChangeHistory;
use crate::options::Options;
use crate::store::{Change, ChangedKey, Store};
use crate::subscription_progress::{SubscriptionProgress, SubscriptionTimer};
use crate::subtree::{LocalReport, SubtreeState};
use crate::totals::{Totals, TotalsState};
use quillpulley_protocol::{Body, Revision, Subscribe};
use std::hash::Hash;
use std::time::Duration;

/// An event that the host passes to a node.
#[derive(Clone, Debug)]
pub enum Event<Child> {
    /// A link to a parent was opened. It replaces an earlier link to a parent.
    ParentUp,
    /// The link to the parent was closed.
    ParentDown,
    /// A frame from the parent: `Update` or `Totals`. Other frames are ignored.
    ParentFrame(Body),
    /// A link from a child was opened. It replaces an earlier link with the same identifier.
    ChildUp(Child),
    /// The link from a child was closed.
    ChildDown(Child),
    /// A frame from a child: `Subscribe` or `Report`. Other frames are ignored.
    ChildFrame(Child, Body),
    /// Root only: publish changes at a new revision.
    Publish(Vec<Change>),
    /// Root only: publish a new revision without changes, as a heartbeat. The host must send it at least
    /// every 200 ms while it holds the lease.
    Heartbeat,
    /// This process becomes the root. Updates are not sent to children before the first `Publish` or
    /// `Heartbeat`, so that the first `Publish` can bring the store to the current state (see
    /// [`Store::changes_to`]). Ignored if the node has seen a later epoch.
    BecomeRoot {
        /// The epoch. No other node and no earlier incarnation of this process may have published in it.
        epoch: u64,
    },
    /// This process is no longer the root.
    LeaveRoot,
    /// The complete report of this process about itself.
    LocalReport(LocalReport),
    /// Time has passed. Due at [`SyncNode::next_tick`] or shortly after.
    Tick,
}

/// An action for the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<Child> {
    /// Send a frame to the parent.
    SendParent(Body),
    /// Send a frame to a child.
    SendChild(Child, Body),
    /// Send the same frame to several children. It needs to be encoded only once.
    SendChildren(Vec<Child>, Body),
    /// Close the link from a child that the node has removed or rejected.
    DropChild(Child),
    /// These items of the store have changed, all at one revision.
    Changed(Vec<ChangedKey>),
    /// The totals have changed.
    TotalsChanged,
    /// The endpoints or the suspicions of the subtree have changed.
    EndpointsChanged,
}

/// The role of a node, which determines where it receives its state from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// The node publishes the state.
    Root {
        /// The latest revision that children may have. While it is older than the node's own revision, the
        /// node has not published as the root yet.
        announced: Revision,
    },
    /// The node has no parent.
    Orphan,
    /// The node has sent a subscription to its parent at the time `at`. It ignores updates until the response
    /// arrives.
    Subscribing { at: Duration },
    /// The node has received the response and applies updates.
    Following,
}

/// One node of the tree: root, relay or leaf. `Child` identifies the link from a child.
#[derive(Debug)]
pub struct SyncNode<Child> {
    pub(crate) options: Options,
    pub(crate) role: Role,
    pub(crate) store: Store,
    pub(crate) revision: Revision,
    pub(crate) history: ChangeHistory,
    /// Whether the digest of the store differs from the one that the latest update gives for its revision.
    pub(crate) digest_mismatch: bool,
    /// When the revision last advanced; `None` if it never has.
    pub(crate) advanced_at: Option<Duration>,
    /// Since when the state has been fresh without interruption; only meaningful while it is fresh.
    pub(crate) fresh_since: Duration,
    pub(crate) subscription_timer: SubscriptionTimer,
    pub(crate) children: Children<Child>,
    /// Bytes that responses are still expected to take on the link in this interval. Negative after a response that
    /// exceeded the limit.
    pub(crate) remaining_repair_bytes: i64,
    pub(crate) repair_interval_began_at: Duration,
    pub(crate) aggregate: Aggregate<Child>,
    /// When the latest report was sent to the parent.
    pub(crate) reported_at: Duration,
    pub(crate) totals: TotalsState,
    /// When the latest totals were sent to the children.
    pub(crate) totals_sent_at: Duration,
    /// When the latest tick was handled.
    pub(crate) ticked_at: Duration,
}

/// Converts a number of bytes to a signed integer, or to the maximum if it is too large.
pub(crate) fn signed_byte_count(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}

impl<Child: Copy + Eq + Hash + Ord> SyncNode<Child> {
    /// Creates a node without state and without a parent.
    pub fn new(options: Options) -> Self {
        SyncNode {
            totals: TotalsState::new(&options.name),
            remaining_repair_bytes: signed_byte_count(options.repair_bytes),
            options,
            role: Role::Orphan,
            store: Store::default(),
            revision: Revision::default(),
            history: ChangeHistory::default(),
            digest_mismatch: false,
            advanced_at: None,
            fresh_since: Duration::ZERO,
            subscription_timer: SubscriptionTimer::default(),
            children: Children::new(),
            repair_interval_began_at: Duration::ZERO,
            aggregate: Aggregate::new(),
            reported_at: Duration::ZERO,
            totals_sent_at: Duration::ZERO,
            ticked_at: Duration::ZERO,
        }
    }

    /// Handles an event, and appends the resulting actions to `actions`. `now` is the time since the start of
    /// the process.
    pub fn handle(&mut self, now: Duration, event: Event<Child>, actions: &mut Vec<Action<Child>>) {
        match event {
            Event::ParentUp => self.parent_up(now, actions),
            Event::ParentDown => self.parent_down(),
            Event::ParentFrame(body) => self.parent_frame(now, body, actions),
            Event::ChildUp(child) => self.child_up(now, child, actions),
            Event::ChildDown(child) => self.remove_child(child, actions),
            Event::ChildFrame(child, body) => self.child_frame(now, child, body, actions),
            Event::Publish(changes) => self.publish(now, changes, actions),
            Event::Heartbeat => self.publish(now, Vec::new(), actions),
            Event::BecomeRoot { epoch } => self.become_root(now, epoch),
            Event::LeaveRoot => self.leave_root(),
            Event::LocalReport(report) => self.handle_local_report(report, actions),
            Event::Tick => self.tick(now, actions),
        }
    }

    /// Returns the published items at [`SyncNode::revision`].
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the revision of the state, or 0:0 if there is no state yet.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether this node is the root, which publishes the state.
    pub fn is_root(&self) -> bool {
        matches!(self.role, Role::Root { .. })
    }

    /// Returns whether the revision has advanced within [`Options::fresh_for`], which is one second by
    /// default.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.advanced_at.is_some_and(|advanced_at| now.saturating_sub(advanced_at) <= self.options.fresh_for)
    }

    /// Returns since when the state has been fresh without interruption, or `None` if it is stale.
    pub fn fresh_since(&self, now: Duration) -> Option<Duration> {
        self.is_fresh(now).then_some(self.fresh_since)
    }

    /// Returns when the revision last advanced, or `None` if it never has.
    pub fn last_advanced(&self) -> Option<Duration> {
        self.advanced_at
    }

    /// Returns the progress of the subscription to the present parent.
    pub fn subscription_progress(&self, now: Duration) -> SubscriptionProgress {
        self.subscription_timer.progress(now)
    }

    /// Returns whether a child that subscribes should look for another parent: it has seen a later epoch than this node, whose
    /// state is stale. This node cannot answer before it has reached that epoch.
    pub fn is_outdated_for(&self, now: Duration, subscribe: &Subscribe) -> bool {
        self.revision.epoch < subscribe.revision.epoch && !self.is_fresh(now)
    }

    /// Returns whether the present parent has answered the subscription.
    pub fn is_subscription_answered(&self) -> bool {
        self.subscription_timer.is_answered()
    }

    /// Returns the number of children whose subscription has no response yet.
    pub fn waiting_children(&self) -> usize {
        self.children.values().filter(|child| child.subscription().is_some()).count()
    }

    /// Returns the totals received from the parent, or else the sums over this subtree.
    pub fn totals(&self) -> &Totals {
        self.totals.current()
    }

    /// Returns the merged reports of this process and its subtree.
    pub fn subtree(&self) -> &SubtreeState {
        self.aggregate.merged()
    }

    /// Returns when the next [`Event::Tick`] is due.
    pub fn next_tick(&self) -> Duration {
        let timeouts = self.children.values().map(|child| match child.suspended_report {
            Some(_) => child.received_at + self.options.child_timeout,
            None => child.received_at + self.options.receive_timeout,
        });
        let times = [self.updates_due(), self.report_due(), self.totals_due()];
        times.into_iter().chain(timeouts).min().unwrap_or(Duration::MAX)
    }

    /// Sets the revision, which must not decrease, and updates the freshness of the state.
    pub(crate) fn advance(&mut self, now: Duration, revision: Revision) {
        if !self.is_fresh(now) {
            self.fresh_since = now;
        }
        self.advanced_at = Some(now);
        self.revision = revision;
    }

    fn parent_up(&mut self, now: Duration, actions: &mut Vec<Action<Child>>) {
        if self.is_root() {
            return;
        }
        self.totals.reset_parent();
        self.subscription_timer.reset();
        self.subscribe(now, actions);
        self.send_full_report(now, actions);
    }

    fn parent_down(&mut self) {
        if self.is_root() {
            return;
        }
        self.totals.reset_parent();
        self.subscription_timer.reset();
        self.role = Role::Orphan;
    }

    fn parent_frame(&mut self, now: Duration, body: Body, actions: &mut Vec<Action<Child>>) {
        match (self.role, body) {
            (Role::Root { .. } | Role::Orphan, _) => {}
            (_, Body::Update(update)) => self.handle_update(now, *update, actions),
            (_, Body::Totals(totals)) => self.handle_totals(now, *totals, actions),
            _ => {}
        }
    }

    fn child_up(&mut self, now: Duration, child: Child, actions: &mut Vec<Action<Child>>) {
        self.remove_child(child, actions);
        if self.children.len() >= self.options.max_children {
            actions.push(Action::DropChild(child));
            return;
        }
        self.children.insert(child, ChildState::new(now));
    }

    fn child_frame(&mut self, now: Duration, child: Child, body: Body, actions: &mut Vec<Action<Child>>) {
        let Some(state) = self.children.get_mut(child) else { return };
        state.received_at = now;
        match body {
            Body::Subscribe(subscribe) => self.handle_subscription(child, *subscribe, actions),
            Body::Report(report) => self.handle_report(child, *report, actions),
            _ => {}
        }
    }

    /// Removes a child and closes the link from it.
    pub(crate) fn drop_child(&mut self, child: Child, actions: &mut Vec<Action<Child>>) {
        self.remove_child(child, actions);
        actions.push(Action::DropChild(child));
    }

    fn remove_child(&mut self, child: Child, actions: &mut Vec<Action<Child>>) {
        if self.children.remove(child).is_some() && self.aggregate.remove(Source::Child(child)) {
            actions.push(Action::EndpointsChanged);
        }
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action<Child>>) {
        self.check_idle_children(now, actions);
        self.tick_updates(now, actions);
        self.tick_totals(now, actions);
        self.tick_report(now, actions);
    }
}
