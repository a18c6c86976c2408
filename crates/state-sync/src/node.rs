//! A node of the relay tree: its state, events and actions.

use crate::aggregate::{Aggregate, Source};
use crate::children::{ChildState, Children};
use crate::options::Options;
use crate::store::{Change, ChangedKey, Store};
use crate::subtree::{LocalReport, SubtreeState};
use crate::totals::{Totals, TotalsState};
use quillpulley_protocol::{Body, Revision};
use std::hash::Hash;
use std::time::Duration;

/// An event of a node.
#[derive(Clone, Debug)]
pub enum Event<Child> {
    /// A link to a parent is open, and replaces an earlier one.
    ParentUp,
    /// The link to the parent is closed.
    ParentDown,
    /// A frame of the parent: `Update` or `Totals`; others are ignored.
    ParentFrame(Body),
    /// A link of a child is open, and replaces an earlier one of the same name.
    ChildUp(Child),
    /// The link of a child is closed.
    ChildDown(Child),
    /// A frame of a child: `Subscribe` or `Report`; others are ignored.
    ChildFrame(Child, Body),
    /// Root only: publish changes at a new revision.
    Publish(Vec<Change>),
    /// Root only: publish a new revision without changes, as a heartbeat. Due at least every 200 ms while the host
    /// holds the lease.
    Heartbeat,
    /// This process becomes the root. Nothing is sent to children before the first `Publish` or `Heartbeat`: until
    /// then the root can fill its store (see [`Store::changes_to`]). Ignored if the node has seen a later epoch.
    BecomeRoot {
        /// The epoch, in which no other node and no earlier incarnation of this process has published.
        epoch: u64,
    },
    /// This process is not the root any more.
    LeaveRoot,
    /// The complete report of this process itself.
    LocalReport(LocalReport),
    /// Time has passed. Due at [`SyncNode::next_tick`] or a little later.
    Tick,
}

/// An action for the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<Child> {
    /// Send a frame to the parent.
    SendParent(Body),
    /// Send a frame to a child.
    SendChild(Child, Body),
    /// Send a frame to several children, which needs to be encoded only once.
    SendChildren(Vec<Child>, Body),
    /// Close the link of a child that the node has removed.
    DropChild(Child),
    /// These items have changed, at one revision.
    Changed(Vec<ChangedKey>),
    /// The totals have changed.
    TotalsChanged,
    /// The proxies or the suspicions of the subtree have changed.
    EndpointsChanged,
}

/// Where a node receives its state from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// The node publishes.
    Root {
        /// The last revision that children may have. While it is older than the node's own, the root has not
        /// published in its epoch yet.
        announced: Revision,
    },
    /// The node has no parent.
    Orphan,
    /// The node has subscribed at its parent, and ignores updates until the response.
    Subscribing { at: Duration },
    /// The node has its response and applies updates.
    Following,
}

/// One node of the tree: root, relay or leaf. `Child` identifies the link of a child.
#[derive(Debug)]
pub struct SyncNode<Child> {
    pub(crate) options: Options,
    pub(crate) role: Role,
    pub(crate) store: Store,
    pub(crate) revision: Revision,
    /// Whether the store is known to be wrong at its revision.
    pub(crate) damaged: bool,
    /// When the revision advanced last, and since when it has never stalled.
    pub(crate) moved_at: Option<Duration>,
    pub(crate) fresh_since: Duration,
    pub(crate) children: Children<Child>,
    /// Bytes of items that may still be sent in responses, and since when they are counted. Less than zero after a
    /// long response.
    pub(crate) remaining_repair_bytes: i64,
    pub(crate) repair_interval_began_at: Duration,
    pub(crate) aggregate: Aggregate<Child>,
    /// When the last report was sent, the last totals were sent, and the last tick was.
    pub(crate) reported_at: Duration,
    pub(crate) totals: TotalsState,
    pub(crate) totals_sent_at: Duration,
    pub(crate) ticked_at: Duration,
}

/// Returns a number of bytes that can be subtracted from.
pub(crate) fn byte_count(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}

impl<Child: Copy + Eq + Hash + Ord> SyncNode<Child> {
    /// Creates a node without state and parent.
    pub fn new(options: Options) -> Self {
        SyncNode {
            totals: TotalsState::new(&options.name),
            remaining_repair_bytes: byte_count(options.repair_bytes),
            options,
            role: Role::Orphan,
            store: Store::default(),
            revision: Revision::default(),
            damaged: false,
            moved_at: None,
            fresh_since: Duration::ZERO,
            children: Children::new(),
            repair_interval_began_at: Duration::ZERO,
            aggregate: Aggregate::new(),
            reported_at: Duration::ZERO,
            totals_sent_at: Duration::ZERO,
            ticked_at: Duration::ZERO,
        }
    }

    /// Handles an event, and adds the resulting actions. `now` is the time since the start of the process.
    pub fn handle(&mut self, now: Duration, event: Event<Child>, actions: &mut Vec<Action<Child>>) {
        match event {
            Event::ParentUp => self.parent_up(now, actions),
            Event::ParentDown => self.parent_down(),
            Event::ParentFrame(body) => self.parent_frame(now, body, actions),
            Event::ChildUp(child) => self.child_up(now, child, actions),
            Event::ChildDown(child) => self.forget_child(child, actions),
            Event::ChildFrame(child, body) => self.child_frame(now, child, body, actions),
            Event::Publish(changes) => self.publish(now, changes, actions),
            Event::Heartbeat => self.publish(now, Vec::new(), actions),
            Event::BecomeRoot { epoch } => self.become_root(now, epoch),
            Event::LeaveRoot => self.leave_root(),
            Event::LocalReport(report) => self.local_report(report, actions),
            Event::Tick => self.tick(now, actions),
        }
    }

    /// Returns the published items at [`SyncNode::revision`].
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the revision of the state; 0:0 if there is none.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether this node publishes.
    pub fn is_root(&self) -> bool {
        matches!(self.role, Role::Root { .. })
    }

    /// Returns whether the revision has advanced within the last second ([`Options::fresh_for`]).
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.moved_at.is_some_and(|moved_at| now.saturating_sub(moved_at) <= self.options.fresh_for)
    }

    /// Returns since when the state has been fresh without interruption, if it is.
    pub fn fresh_since(&self, now: Duration) -> Option<Duration> {
        self.is_fresh(now).then_some(self.fresh_since)
    }

    /// Returns when the revision advanced last.
    pub fn last_moved(&self) -> Option<Duration> {
        self.moved_at
    }

    /// Returns the totals of the root, or else the sums of this subtree.
    pub fn totals(&self) -> &Totals {
        self.totals.current()
    }

    /// Returns the merged reports of this process and its subtree.
    pub fn subtree(&self) -> &SubtreeState {
        self.aggregate.merged()
    }

    /// Returns when an [`Event::Tick`] is due.
    pub fn next_tick(&self) -> Duration {
        let timeouts = self.children.values().map(|child| match child.suspended_report {
            Some(_) => child.received_at + self.options.child_timeout,
            None => child.received_at + self.options.receive_timeout,
        });
        let times = [self.updates_due(), self.report_due(), self.totals_due()];
        times.into_iter().chain(timeouts).min().unwrap_or(Duration::MAX)
    }

    /// Sets the revision, which never decreases.
    pub(crate) fn advance(&mut self, now: Duration, revision: Revision) {
        if !self.is_fresh(now) {
            self.fresh_since = now;
        }
        self.moved_at = Some(now);
        self.revision = revision;
    }

    fn parent_up(&mut self, now: Duration, actions: &mut Vec<Action<Child>>) {
        if self.is_root() {
            return;
        }
        self.totals.reset_parent();
        self.subscribe(now, actions);
        self.send_full_report(now, actions);
    }

    fn parent_down(&mut self) {
        if self.is_root() {
            return;
        }
        self.totals.reset_parent();
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
        self.forget_child(child, actions);
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

    /// Closes the link of a child and removes it.
    pub(crate) fn drop_child(&mut self, child: Child, actions: &mut Vec<Action<Child>>) {
        self.forget_child(child, actions);
        actions.push(Action::DropChild(child));
    }

    fn forget_child(&mut self, child: Child, actions: &mut Vec<Action<Child>>) {
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
