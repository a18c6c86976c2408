//! Aggregation: reports are sent up the tree, and totals are sent down.

use crate::aggregate::Source;
use crate::node::{Action, Role, SyncNode};
use crate::subtree::LocalReport;
use quillpulley_protocol as protocol;
use quillpulley_protocol::{Body, Report};
use std::hash::Hash;
use std::time::Duration;

/// A subtree with at least this many levels is assumed to contain a loop.
const MAX_DEPTH: u8 = 12;

impl<Child: Copy + Eq + Hash + Ord> SyncNode<Child> {
    pub(crate) fn handle_local_report(&mut self, report: LocalReport, actions: &mut Vec<Action<Child>>) {
        let report = report.into_report(&self.options.name);
        self.aggregate_report(Source::Own, report, actions);
    }

    pub(crate) fn handle_report(&mut self, child: Child, report: Report, actions: &mut Vec<Action<Child>>) {
        let contains_this_node = report.endpoints.iter().any(|endpoint| endpoint.name == self.options.name);
        if contains_this_node || report.depth >= MAX_DEPTH {
            // The tree has a loop.
            return self.drop_child(child, actions);
        }
        let Some(state) = self.children.get_mut(child) else { return };
        // A further complete report means that the child has restarted or connected again, and has no totals.
        let has_reconnected = !report.delta && std::mem::replace(&mut state.has_reported, true);
        state.has_totals &= !has_reconnected;
        if let Some(suspended) = state.suspended_report.take() {
            self.aggregate_report(Source::Child(child), suspended, actions);
        }
        self.aggregate_report(Source::Child(child), report, actions);
    }

    fn aggregate_report(&mut self, source: Source<Child>, report: Report, actions: &mut Vec<Action<Child>>) {
        if self.aggregate.apply(source, report) {
            actions.push(Action::EndpointsChanged);
        }
    }

    /// Suspends the reports of children that have sent nothing for `receive_timeout`, and removes children
    /// that have sent nothing for `child_timeout`.
    pub(crate) fn check_idle_children(&mut self, now: Duration, actions: &mut Vec<Action<Child>>) {
        let (receive_timeout, child_timeout) = (self.options.receive_timeout, self.options.child_timeout);
        if now >= self.ticked_at + receive_timeout {
            // This process was stalled, so the frames of the children have not been read yet.
            self.children.values_mut().for_each(|child| child.received_at = now);
        }
        self.ticked_at = now;
        for child in self.children.children_where(|child| now >= child.received_at + child_timeout) {
            self.drop_child(child, actions);
        }
        for child in self.children.children_where(|child| {
            child.suspended_report.is_none() && now >= child.received_at + receive_timeout
        }) {
            self.suspend_report(child, actions);
        }
    }

    fn suspend_report(&mut self, child: Child, actions: &mut Vec<Action<Child>>) {
        let source = Source::Child(child);
        let report = self.aggregate.contribution(source).map(|subtree| subtree.to_report());
        if let Some(state) = self.children.get_mut(child) {
            state.suspended_report = Some(report.unwrap_or_default());
        }
        if self.aggregate.remove(source) {
            actions.push(Action::EndpointsChanged);
        }
    }

    pub(crate) fn send_full_report(&mut self, now: Duration, actions: &mut Vec<Action<Child>>) {
        let report = self.aggregate.full_report();
        self.send_report(now, report, actions);
    }

    pub(crate) fn tick_report(&mut self, now: Duration, actions: &mut Vec<Action<Child>>) {
        if now >= self.report_due() {
            let report = self.aggregate.delta_report(self.options.max_servers_per_frame);
            self.send_report(now, report, actions);
        }
    }

    /// Returns when the next report to the parent is due, or `Duration::MAX` without a parent.
    pub(crate) fn report_due(&self) -> Duration {
        match self.role {
            Role::Root { .. } | Role::Orphan => Duration::MAX,
            Role::Subscribing { .. } | Role::Following => {
                self.reported_at + self.send_interval(self.aggregate.upward.is_empty())
            }
        }
    }

    fn send_report(&mut self, now: Duration, report: Report, actions: &mut Vec<Action<Child>>) {
        self.reported_at = now;
        actions.push(Action::SendParent(Body::Report(Box::new(report))));
    }

    pub(crate) fn handle_totals(
        &mut self,
        now: Duration,
        frame: protocol::Totals,
        actions: &mut Vec<Action<Child>>,
    ) {
        if let Some(delta) = self.totals.handle_parent(now, frame) {
            self.send_totals_to_children(now, delta, actions);
        }
    }

    /// Sends this node's own sums to the children if they are due: either changes to them, or the switch to
    /// them after the parent's totals have expired.
    pub(crate) fn tick_totals(&mut self, now: Duration, actions: &mut Vec<Action<Child>>) {
        if now < self.totals_due() {
            return;
        }
        let complete = self.is_root();
        let delta = if self.totals.is_own() {
            let delta = self.aggregate.delta_totals(complete, self.options.max_servers_per_frame);
            self.totals.apply_own_delta(delta)
        } else {
            self.aggregate.downward.clear();
            self.totals.switch_to_own(complete, &self.aggregate.merged().counters)
        };
        self.send_totals_to_children(now, delta, actions);
    }

    /// Returns when own totals are due or, while the parent's totals are used, when these expire. A new root
    /// replaces the parent's totals at once.
    pub(crate) fn totals_due(&self) -> Duration {
        match self.totals.expires_at(self.options.receive_timeout) {
            Some(_) if self.is_root() => Duration::ZERO,
            Some(expires_at) => expires_at,
            None => {
                let is_up_to_date =
                    self.aggregate.downward.is_empty() && self.totals.current().complete == self.is_root();
                self.totals_sent_at + self.send_interval(is_up_to_date)
            }
        }
    }

    /// Sends the changes of the totals to the children, and the full totals to children that have none yet.
    fn send_totals_to_children(
        &mut self,
        now: Duration,
        delta: protocol::Totals,
        actions: &mut Vec<Action<Child>>,
    ) {
        self.totals_sent_at = now;
        let with_totals = self.children.children_where(|child| child.has_totals);
        let without_totals = self.children.children_where(|child| !child.has_totals);
        if !without_totals.is_empty() {
            let full_totals = self.totals.full_totals(&delta);
            actions.push(Action::SendChildren(without_totals.clone(), Body::Totals(Box::new(full_totals))));
        }
        if !with_totals.is_empty() {
            actions.push(Action::SendChildren(with_totals, Body::Totals(Box::new(delta))));
        }
        for child in without_totals {
            if let Some(state) = self.children.get_mut(child) {
                state.has_totals = true;
            }
        }
        if self.totals.take_changed() {
            actions.push(Action::TotalsChanged);
        }
    }

    fn send_interval(&self, is_unchanged: bool) -> Duration {
        if is_unchanged {
            self.options.keep_alive
        } else {
            self.options.report_interval
        }
    }
}
