//! The active primary: the lease, orders, and what is committed.

use log::info;
use quillpulley_protocol::{Body, LeaseGrant, LeaseRequest, NodeId, View};
use std::collections::VecDeque;
use std::time::Duration;

use crate::cover::CoverState;
use crate::event::{Action, Rejection, Write};
use crate::lease::Lease;
use crate::quorum::{majority, members, witness_sets};
use crate::replica::Replica;
use crate::view_change::{Phase, Plan, ViewChange};
use crate::StateMachine;

#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    order: u64,
    index: u64,
}

#[derive(Clone, Debug)]
struct WaitingOrder {
    order: u64,
    payload: Vec<u8>,
}

/// What a primary keeps while it leads. It goes from view to view as long as the primary leads.
#[derive(Clone, Debug)]
pub(crate) struct Leadership {
    pub view: View,
    /// When this primary was elected.
    pub elected_at: Duration,
    pub cover: CoverState,
    /// The end of the log with which it was elected. Its members hold all up to there, so it is committed.
    inherited: u64,
    lease: Lease,
    next_heartbeat: Duration,
    /// Orders in the log whose fate is open.
    pending: VecDeque<PendingOrder>,
    /// Orders that came during a view change.
    waiting: VecDeque<WaitingOrder>,
}

impl Leadership {
    fn new(view: View, inherited: u64, now: Duration, lease: Duration) -> Self {
        Leadership {
            view,
            elected_at: now,
            cover: CoverState::default(),
            inherited,
            lease: Lease::new(lease),
            next_heartbeat: now,
            pending: VecDeque::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Whether orders wait for the end of a view change.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    fn go_on_with(self, view: View, now: Duration) -> Self {
        Leadership { view, next_heartbeat: now, ..self }
    }
}

impl<S: StateMachine> Replica<S> {
    /// The proposed view is in force, and this node its primary.
    pub(crate) fn take_over(&mut self) {
        let Some(change) = self.change.take() else { return };
        let Some(view) = change.proposal else { return };
        info!(
            "{}: primary of epoch {} with backups {:?} and witnesses {:?}",
            self.options.me,
            view.epoch,
            addresses(&view.backups),
            addresses(&view.witnesses),
        );
        if self.witness.learn(&view) {
            self.disk.write_record(self.witness.record());
        }
        self.note_left_out(&view, change.plan);
        let leadership = match self.leadership.take() {
            Some(leadership) => leadership.go_on_with(view, self.now),
            None => Leadership::new(view, change.end.index, self.now, self.options.lease),
        };
        self.leadership = Some(leadership);
        self.peers.forget_refusals();
        self.heartbeat();
        self.check_cover();
        self.advance_commit();
        self.append_waiting();
    }

    /// Notes the members that were dropped, and the nodes that were to be let in and did not get there in time.
    fn note_left_out(&mut self, view: &View, plan: Option<Plan>) {
        let Some(leadership) = &self.leadership else { return };
        let in_view = members(view);
        let mut expected = members(&leadership.view);
        expected.extend(plan.into_iter().flat_map(|plan| plan.members));
        expected.retain(|node| !in_view.contains(node));
        expected.sort_unstable();
        expected.dedup();
        for node in expected {
            info!("{}: {node} is left out of the view", self.options.me);
            self.peers.get_mut(node).dropped(self.now);
            if let Some(replicator) = &mut self.replicator {
                replicator.remove(node);
            }
        }
    }

    /// Steps down. Orders in the log may come into force or not.
    pub(crate) fn step_down(&mut self, why: &'static str) {
        let Some(leadership) = self.leadership.take() else { return };
        let public = self.change.take().filter(ViewChange::is_public);
        let change_epoch = public.map_or(0, |change| change.epoch);
        self.replicator = None;
        info!("{}: steps down as the primary of epoch {}: {why}", self.options.me, leadership.view.epoch);
        for PendingOrder { order, .. } in leadership.pending {
            self.actions.push(Action::Rejected { order, why: Rejection::Unknown });
        }
        for WaitingOrder { order, .. } in leadership.waiting {
            self.actions.push(Action::Rejected { order, why: Rejection::NotPrimary { hint: None } });
        }
        self.resign(change_epoch.max(leadership.view.epoch));
        self.postpone_election();
    }

    pub(crate) fn tick_leadership(&mut self) {
        if self.leadership.is_none() {
            return;
        }
        if !self.disk.is_usable(self.now) {
            self.step_down("its disk does not answer");
            return;
        }
        self.check_lease();
        let heartbeat_due =
            self.leadership.as_ref().is_some_and(|leadership| self.now >= leadership.next_heartbeat);
        if heartbeat_due {
            self.heartbeat();
        }
        if self.change.is_none() {
            self.check_reconfiguration();
        }
        self.check_cover();
        if self.change.is_none() {
            self.pump();
            self.advance_commit();
            self.append_waiting();
        }
    }

    /// When the lease ends, if it was ever granted.
    pub(crate) fn lease_end(&self) -> Option<Duration> {
        let leadership = self.leadership.as_ref()?;
        let mut sets = witness_sets(&leadership.view);
        // From here on a candidate may know that the new witnesses alone decide.
        let activating = self.change.as_ref().filter(|change| change.phase == Phase::Activate);
        if let Some(view) = activating.and_then(|change| change.proposal.as_ref()) {
            sets.push(&view.witnesses);
        }
        leadership.lease.ends_at(&sets)
    }

    /// Asks all for the lease and tells them of the view. That is the heartbeat.
    fn heartbeat(&mut self) {
        let holds_lease = self.holds_lease(self.now);
        let Some(leadership) = &mut self.leadership else { return };
        let public = self.change.as_ref().filter(|change| change.is_public());
        let epoch = public.map_or(leadership.view.epoch, |change| change.epoch);
        leadership.next_heartbeat = self.now + self.options.heartbeat;
        let round = leadership.lease.ask(self.now, epoch);
        let view = Box::new(leadership.view.clone());
        let request = LeaseRequest { epoch, round, view, committed: self.applied.index, holds_lease };
        let request = Body::LeaseRequest(Box::new(request));
        self.send(self.options.me, request.clone());
        for node in self.peers.connected() {
            self.send(node, request.clone());
        }
    }

    pub(crate) fn on_lease_grant(&mut self, from: NodeId, grant: LeaseGrant) {
        self.note_epoch(grant.promised);
        let held_lease = self.holds_lease(self.now);
        let peer = self.peers.get_mut(from);
        peer.heard(self.now);
        peer.last = grant.last;
        let Some(leadership) = &mut self.leadership else { return };
        if grant.epoch >= leadership.view.epoch {
            peer.refuses = !grant.granted && grant.promised >= grant.epoch;
        }
        if grant.granted {
            leadership.lease.granted(from, grant.round, grant.epoch);
        }
        if !held_lease && self.holds_lease(self.now) {
            // The others follow only a primary that says that it holds the lease.
            self.heartbeat();
        }
    }

    /// Without the lease no order is acknowledged; without it for long, it steps down.
    fn check_lease(&mut self) {
        if self.holds_lease(self.now) {
            return;
        }
        self.forget_pending();
        let Some(leadership) = &self.leadership else { return };
        let end = self.lease_end().unwrap_or_default().max(leadership.elected_at + self.options.lease);
        if self.now > end + self.options.lease / 2 {
            self.step_down("it cannot renew its lease");
        }
    }

    /// The fate of orders in the log is no longer this primary's to tell.
    fn forget_pending(&mut self) {
        let Some(leadership) = &mut self.leadership else { return };
        for PendingOrder { order, .. } in leadership.pending.drain(..) {
            self.actions.push(Action::Rejected { order, why: Rejection::Unknown });
        }
    }

    pub(crate) fn propose(&mut self, order: u64, payload: Vec<u8>) {
        if self.leadership.is_some() && !self.disk.is_usable(self.now) {
            self.step_down("its disk does not answer");
        }
        if !self.holds_lease(self.now) {
            let why = Rejection::NotPrimary { hint: self.primary_hint(self.now) };
            self.actions.push(Action::Rejected { order, why });
            return;
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.waiting.push_back(WaitingOrder { order, payload });
        }
        self.append_waiting();
    }

    /// Appends the orders that came, unless a view change is under way or a node is about to be let in.
    pub(crate) fn append_waiting(&mut self) {
        if self.change.is_some() || self.waits_for_joiner() {
            return;
        }
        let Some(leadership) = &mut self.leadership else { return };
        let waiting = std::mem::take(&mut leadership.waiting);
        if waiting.is_empty() {
            return;
        }
        let epoch = leadership.view.epoch;
        let mut entries = Vec::with_capacity(waiting.len());
        for WaitingOrder { order, payload } in waiting {
            let index = self.log.append(epoch, payload).index;
            leadership.pending.push_back(PendingOrder { order, index });
            entries.extend(self.log.get(index).cloned());
        }
        self.disk.write(Write::Append(entries));
        self.acknowledge_own(epoch, self.log.last());
        self.pump();
    }

    /// Commits what every member of the view has stored.
    pub(crate) fn advance_commit(&mut self) {
        if self.change.is_some() {
            return;
        }
        let Some(stored) = self.stored_by_all() else { return };
        let inherited = self.leadership.as_ref().map_or(0, |leadership| leadership.inherited);
        let index = if self.may_acknowledge() { stored } else { stored.min(inherited) };
        if index > self.applied.index {
            self.apply_up_to(index);
            self.settle_orders();
        }
    }

    fn stored_by_all(&self) -> Option<u64> {
        let leadership = self.leadership.as_ref()?;
        let replicator = self.replicator.as_ref()?;
        let mut indices: Vec<u64> =
            members(&leadership.view).iter().map(|node| replicator.acked_index(*node).unwrap_or(0)).collect();
        indices.sort_unstable_by(|a, b| b.cmp(a));
        if self.options.faults.acknowledge_by_majority {
            return indices.get(majority(indices.len()) - 1).copied();
        }
        indices.last().copied()
    }

    /// Tells the fate of the orders that are committed.
    fn settle_orders(&mut self) {
        let holds_lease = self.holds_lease(self.now);
        let Some(leadership) = &mut self.leadership else { return };
        let applied = self.applied.index;
        let settled = leadership.pending.iter().take_while(|pending| pending.index <= applied).count();
        for PendingOrder { order, .. } in leadership.pending.drain(..settled) {
            self.actions.push(if holds_lease {
                Action::Committed { order }
            } else {
                Action::Rejected { order, why: Rejection::Unknown }
            });
        }
    }

    /// The nodes that get the log.
    pub(crate) fn receivers(&mut self) -> Vec<NodeId> {
        if let Some(change) = &self.change {
            return if change.is_writing() { change.targets.iter().copied().collect() } else { Vec::new() };
        }
        let Some(leadership) = &self.leadership else { return Vec::new() };
        let mut nodes = members(&leadership.view);
        nodes.extend(self.joiners());
        if let Some(replicator) = &mut self.replicator {
            for node in &nodes {
                let last = self.peers.get(*node).map(|peer| peer.last).unwrap_or_default();
                replicator.add(*node, last);
            }
        }
        nodes
    }
}

fn addresses(nodes: &[NodeId]) -> Vec<std::net::Ipv4Addr> {
    nodes.iter().map(NodeId::address).collect()
}
