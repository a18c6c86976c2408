//! From the state to a view in force: members are brought to it, witnesses accept.

use quillpulley_protocol::{Accept, Accepted, AppendAck, Body, Installed, NodeId, Position, Reject, View};
use std::collections::BTreeSet;
use std::time::Duration;

use crate::election::ASK_AGAIN;
use crate::event::Write;
use crate::progress::Replicator;
use crate::quorum::{electors, is_member, members};
use crate::replica::Replica;
use crate::view_change::{Phase, ViewChange};
use crate::StateMachine;

/// How long a candidate waits for more members once it has enough.
const SYNC_GRACE: Duration = Duration::from_millis(300);

/// How long a phase may take before the view change is tried again or given up.
fn patience(phase: Phase) -> Option<Duration> {
    match phase {
        // A trial binds no one, and a claim waits for the own disk, which has its own limit.
        Phase::PreVote | Phase::Claim => None,
        Phase::Prepare => Some(Duration::from_millis(700)),
        Phase::Fetch | Phase::Sync => Some(Duration::from_millis(2500)),
        Phase::Accept => Some(Duration::from_millis(1500)),
        Phase::Activate => Some(Duration::from_millis(3000)),
    }
}

impl<S: StateMachine> Replica<S> {
    pub(crate) fn tick_view_change(&mut self) {
        let Some(change) = &self.change else { return };
        if change.is_claimed() && !self.disk.is_usable(self.now) {
            self.give_up("its disk does not answer");
            return;
        }
        if patience(change.phase).is_some_and(|patience| self.now > change.since + patience) {
            self.retry_or_give_up();
            return;
        }
        if change.phase == Phase::Sync {
            self.add_targets();
            self.pump();
            self.check_sync();
        } else if self.now >= change.resend_at {
            self.ask_again();
        }
    }

    fn ask_again(&mut self) {
        let Some(change) = &self.change else { return };
        match change.phase {
            Phase::PreVote | Phase::Prepare => self.ask_for_promises(),
            Phase::Fetch => self.ask_for_state(),
            Phase::Accept | Phase::Activate => self.ask_to_accept(),
            Phase::Claim | Phase::Sync => {}
        }
    }

    /// Brings the nodes that are to be members to this node's state. An entry of its own marks the epoch's begin in
    /// every log, and takes the place of what other logs hold beyond this one.
    pub(crate) fn begin_sync(&mut self) {
        let me = self.options.me;
        let Some(change) = &mut self.change else { return };
        change.enter(Phase::Sync, self.now);
        change.awaited = match &change.plan {
            Some(plan) => plan.members.clone(),
            None => members(&change.highest).into_iter().chain(electors(&change.highest)).collect(),
        };
        // Nodes that are about to end come in only if they are needed beside the others.
        change.awaited.retain(|node| !self.peers.is_leaving(self.now, *node));
        change.targets = change.awaited.clone();
        change.targets.insert(me);
        let needed = self.leaving_needed();
        let Some(change) = &mut self.change else { return };
        change.awaited.extend(&needed);
        change.targets.extend(&needed);
        change.end = self.log.append(change.epoch, Vec::new());
        let Some(entry) = self.log.get(change.end.index).cloned() else { return };
        let (epoch, end) = (change.epoch, change.end);
        let mut replicator = Replicator::new(epoch);
        for node in &change.targets {
            let known = self.replicator.as_ref().and_then(|replicator| replicator.get(*node));
            let told = self.peers.get(*node).map_or_else(Position::default, |peer| peer.last);
            replicator.add(*node, known.map_or(told, |progress| progress.guess()));
        }
        self.replicator = Some(replicator);
        self.disk.write(Write::Append(vec![entry]));
        self.acknowledge_own(epoch, end);
        self.add_targets();
        self.pump();
    }

    /// An elected node takes every node that it reaches as a member: it may need them for the tolerated losses. A
    /// active primary does so when planned members fail it.
    fn add_targets(&mut self) {
        let needed = self.leaving_needed();
        let (Some(change), Some(replicator)) = (&mut self.change, &mut self.replicator) else { return };
        if change.plan.is_some() && self.now < change.since + self.options.drop_after {
            return;
        }
        for node in self.peers.connected() {
            let stays = needed.contains(&node) || !self.peers.is_leaving(self.now, node);
            if stays && !change.refused.contains(&node) && change.targets.insert(node) {
                let last = self.peers.get(node).map(|peer| peer.last).unwrap_or_default();
                replicator.add(node, last);
            }
        }
    }

    /// Counts this node's own log like that of any member, once it is durable.
    pub(crate) fn acknowledge_own(&mut self, epoch: u64, last: Position) {
        let ack = AppendAck { epoch, last, matched: true };
        self.send_once_durable(self.options.me, Body::AppendAck(Box::new(ack)));
    }

    /// Sends every node what it lacks of the log.
    pub(crate) fn pump(&mut self) {
        let nodes = self.receivers();
        for node in nodes {
            self.pump_to(node);
        }
    }

    pub(crate) fn pump_to(&mut self, node: NodeId) {
        if node == self.options.me || !self.peers.is_connected(node) {
            return;
        }
        let Some(replicator) = &mut self.replicator else { return };
        let state = &self.state;
        let message = replicator.next_message(self.now, node, &self.log, self.applied, || state.snapshot());
        if let Some(body) = message {
            self.send(node, body);
        }
    }

    pub(crate) fn on_append_ack(&mut self, from: NodeId, ack: AppendAck) {
        self.peers.get_mut(from).heard(self.now);
        let Some(replicator) = self.replicator.as_mut().filter(|replicator| replicator.epoch() == ack.epoch)
        else {
            return;
        };
        if ack.matched {
            replicator.acked(self.now, from, ack.last, &self.log);
        } else {
            replicator.mismatched(from, ack.last, &self.log);
        }
        self.on_progress(from);
    }

    pub(crate) fn on_installed(&mut self, from: NodeId, installed: Installed) {
        self.peers.get_mut(from).heard(self.now);
        let Some(replicator) =
            self.replicator.as_mut().filter(|replicator| replicator.epoch() == installed.epoch)
        else {
            return;
        };
        if installed.ok {
            replicator.acked(self.now, from, installed.last, &self.log);
        }
        self.on_progress(from);
    }

    /// A node has promised a higher epoch, cannot store, or is leaving: it is not waited for.
    pub(crate) fn on_reject(&mut self, from: NodeId, reject: Reject) {
        self.note_epoch(reject.promised);
        if reject.shutting_down {
            self.peers.note_leaving(self.now, from);
        }
        if let Some(replicator) = &mut self.replicator {
            replicator.rejected(self.now, from, reject.epoch);
        }
        let Some(change) = &mut self.change else { return };
        let is_superseded = change.epoch == reject.epoch && reject.promised >= reject.epoch;
        match change.phase {
            // It takes the log as long as it is there.
            _ if reject.shutting_down && !is_superseded => self.go_on_without_leaving(from),
            // A holder of the state that went after an epoch of its own follows a higher one.
            Phase::Fetch if is_superseded => self.claim_again(),
            Phase::Fetch if change.epoch == reject.epoch => change.resend_at = self.now + ASK_AGAIN,
            Phase::Sync if is_superseded => self.go_on_without(from),
            Phase::Sync if change.epoch == reject.epoch => {
                change.awaited.remove(&from);
                self.check_sync();
            }
            _ => {}
        }
    }

    /// A node is about to end. It comes into the view only if it is needed beside the others.
    fn go_on_without_leaving(&mut self, node: NodeId) {
        let is_needed = self.leaving_needed().contains(&node);
        let Some(change) = self.change.as_mut().filter(|change| change.phase == Phase::Sync) else { return };
        if !is_needed {
            change.awaited.remove(&node);
            change.targets.remove(&node);
        }
        self.check_sync();
    }

    /// A node has promised a higher epoch, and does not come into the view of this one.
    fn go_on_without(&mut self, node: NodeId) {
        let Some(change) = &mut self.change else { return };
        change.refused.insert(node);
        change.targets.remove(&node);
        change.awaited.remove(&node);
        let reachable = change.targets.iter().filter(|node| self.peers.is_connected(**node)).count();
        if reachable < self.options.tolerated_machines {
            // Not enough nodes are left, but under a higher epoch this one can come in.
            self.claim_again();
        } else {
            self.check_sync();
        }
    }

    /// Begins again with a higher epoch.
    pub(crate) fn claim_again(&mut self) {
        let Some(change) = &self.change else { return };
        let highest = change.highest.clone();
        let plan = self.leadership.is_some().then(|| self.best_plan());
        let epoch = self.highest_epoch + 1;
        self.change = Some(ViewChange::new(epoch, Phase::Claim, self.now, highest, plan));
        self.claim_epoch();
    }

    fn on_progress(&mut self, from: NodeId) {
        if self.may_write_log() {
            self.pump_to(from);
        }
        self.check_sync();
        self.advance_commit();
        self.let_in_before_orders(from);
        self.append_waiting();
    }

    /// Whether the log of the replicator's epoch is being sent: not while a new epoch is being promised.
    pub(crate) fn may_write_log(&self) -> bool {
        self.change.as_ref().map_or(self.leadership.is_some(), ViewChange::is_writing)
    }

    /// Goes on to the witnesses once enough members have the state, and the others had their time.
    fn check_sync(&mut self) {
        let Some(change) = self.change.as_ref().filter(|change| change.phase == Phase::Sync) else { return };
        let has_all = |node: &NodeId| {
            let is_counted_early =
                self.options.faults.count_joiner_early && !is_member(&change.highest, *node);
            is_counted_early || self.has_synced(*node)
        };
        let mut synced: BTreeSet<NodeId> = change.targets.iter().copied().filter(has_all).collect();
        let leaving = |node: &NodeId| self.peers.is_leaving(self.now, *node);
        if synced.iter().filter(|node| !leaving(node)).count() > self.options.tolerated_machines {
            let needed = self.leaving_needed();
            synced.retain(|node| !leaving(node) || needed.contains(node));
        }
        let grace = if change.plan.is_some() { self.options.drop_after } else { SYNC_GRACE };
        let in_grace = self.now < change.since + grace;
        let may_come = |node: &NodeId| !synced.contains(node) && self.peers.is_connected(*node);
        let is_enough = synced.contains(&self.options.me) && synced.len() > self.options.tolerated_machines;
        if is_enough && !(in_grace && change.awaited.iter().any(may_come)) {
            self.propose_view(synced);
        }
    }

    fn propose_view(&mut self, synced: BTreeSet<NodeId>) {
        let me = self.options.me;
        let Some(change) = &mut self.change else { return };
        let highest = &change.highest;
        let (witnesses, previous_witnesses) = if highest.activated {
            let may_change =
                self.leadership.as_ref().is_some_and(|leadership| leadership.view.epoch == highest.epoch);
            let planned = change.plan.as_ref().filter(|plan| may_change && plan.fits(&synced));
            let witnesses = planned.map_or(&highest.witnesses, |plan| &plan.witnesses);
            (witnesses.clone(), highest.witnesses.clone())
        } else {
            // Both sets still decide, and so both stay.
            (highest.witnesses.clone(), highest.previous_witnesses.clone())
        };
        let faults = &self.options.faults;
        let witnesses = match faults.replace_all_witnesses {
            true => synced.iter().copied().collect(),
            false => witnesses,
        };
        let is_one_step = faults.change_witnesses_in_one_step || faults.replace_all_witnesses;
        let previous_witnesses = if is_one_step { witnesses.clone() } else { previous_witnesses };
        let view = View {
            epoch: change.epoch,
            primary: me,
            backups: synced.into_iter().filter(|node| *node != me).collect(),
            activated: witnesses == previous_witnesses,
            witnesses,
            previous_witnesses,
        };
        change.proposal = Some(view);
        change.enter(Phase::Accept, self.now);
        self.ask_to_accept();
    }

    fn ask_to_accept(&mut self) {
        let Some(change) = &mut self.change else { return };
        let Some(view) = &change.proposal else { return };
        change.resend_at = self.now + ASK_AGAIN;
        let mut asked = electors(view);
        asked.retain(|node| !change.agreed.contains(node));
        let accept = Body::Accept(Box::new(Accept { view: Box::new(view.clone()) }));
        for node in asked {
            self.send(node, accept.clone());
        }
    }

    pub(crate) fn on_accepted(&mut self, from: NodeId, accepted: Accepted) {
        self.peers.get_mut(from).heard(self.now);
        self.note_epoch(accepted.promised);
        let Some(change) = &mut self.change else { return };
        let Some(proposal) = &mut change.proposal else { return };
        if change.epoch != accepted.epoch || proposal.activated != accepted.activated {
            return;
        }
        if !accepted.granted {
            change.refused.insert(from);
            if change.is_lost() {
                self.retry_or_give_up();
            }
            return;
        }
        change.agreed.insert(from);
        if !change.is_agreed() {
            return;
        }
        if proposal_is_activated(change) {
            self.take_over();
        } else {
            self.activate();
        }
    }

    /// The view is accepted by both sets of witnesses. That the old set is out must be durable with a majority of
    /// the new one before anything relies on it.
    fn activate(&mut self) {
        let Some(change) = &mut self.change else { return };
        if let Some(proposal) = &mut change.proposal {
            proposal.activated = true;
        }
        change.enter(Phase::Activate, self.now);
        self.ask_to_accept();
    }

    /// A primary that still holds its lease tries again with a higher epoch; anyone else gives up.
    pub(crate) fn retry_or_give_up(&mut self) {
        if self.holds_lease(self.now) {
            self.claim_again();
        } else {
            self.give_up("its view change found no majority");
        }
    }
}

fn proposal_is_activated(change: &ViewChange) -> bool {
    change.proposal.as_ref().is_some_and(|view| view.activated)
}
