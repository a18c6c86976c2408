//! Elections: when a node stands, and how candidates and active primaries collect promises and the state.

use log::info;
use quillpulley_protocol::{Body, FetchState, NodeId, Prepare, Promise, Resign, StateTransfer, View};
use std::time::Duration;

use crate::disk::Effect;
use crate::quorum::{electors, is_member, is_witness, members};
use crate::replica::Replica;
use crate::view_change::{Phase, ViewChange};
use crate::StateMachine;

/// How long a node waits for a primary beyond the lease, at most.
const ELECTION_JITTER_MS: u64 = 200;
/// How long a node waits for the others at the first start.
const FIRST_ELECTION: Duration = Duration::from_millis(250);
/// How long a node waits for connections after a restart if only its own lease can be running.
const RETURN_DELAY: Duration = Duration::from_millis(50);
/// How much longer a node waits that is no member: it would have to fetch the state.
const OUTSIDER_DELAY: Duration = Duration::from_millis(200);
/// How long a candidate that failed waits at most.
const BACKOFF_MS: u64 = 300;
/// How often requests to witnesses are repeated.
pub(crate) const ASK_AGAIN: Duration = Duration::from_millis(200);
/// How long a member has to send its state before another is asked.
const FETCH_PATIENCE: Duration = Duration::from_millis(700);

impl<S: StateMachine> Replica<S> {
    /// At a first start no lease can be running, and all begin at about the same time.
    pub(crate) fn schedule_first_election(&mut self) {
        self.election_at = self.now + FIRST_ELECTION + self.jitter(ELECTION_JITTER_MS);
    }

    /// After a restart the node to which the last promise was made stands at once: no other's lease is in its way,
    /// and its own does not hold it up. The others have to wait for that lease anyway.
    pub(crate) fn schedule_election_after_restart(&mut self) {
        if self.witness.promised_to() == Some(self.options.me) {
            self.election_at = self.now + RETURN_DELAY;
        } else {
            self.postpone_election();
        }
    }

    /// Counts the time to an election from now on.
    pub(crate) fn postpone_election(&mut self) {
        let me = self.options.me;
        let outsider =
            self.witness.view().is_some_and(|view| !members(view).is_empty() && !is_member(view, me));
        let delay = if outsider { OUTSIDER_DELAY } else { Duration::ZERO };
        self.election_at = self.now + self.options.lease + delay + self.jitter(ELECTION_JITTER_MS);
    }

    /// Stands for election if no primary was heard for long enough.
    pub(crate) fn check_election(&mut self) {
        let is_free = self.leadership.is_none() && self.change.is_none() && !self.stopped;
        if !is_free || self.now < self.election_at || !self.disk.is_usable(self.now) {
            return;
        }
        let Some(view) = self.witness.view().filter(|view| self.belongs_to(view)).cloned() else { return };
        let epoch = self.highest_epoch + 1;
        self.change = Some(ViewChange::new(epoch, Phase::PreVote, self.now, view, None));
        self.ask_for_promises();
    }

    fn belongs_to(&self, view: &View) -> bool {
        is_witness(view, self.options.me) || is_member(view, self.options.me)
    }

    /// Asks all witnesses that have not promised yet.
    pub(crate) fn ask_for_promises(&mut self) {
        let Some(change) = &mut self.change else { return };
        let prepare = Prepare {
            epoch: change.epoch,
            candidate: self.options.me,
            pre_vote: change.phase == Phase::PreVote,
        };
        let mut asked = electors(change.voters());
        asked.retain(|node| !change.agreed.contains(node));
        change.resend_at = self.now + ASK_AGAIN;
        for node in asked {
            self.send(node, Body::Prepare(Box::new(prepare.clone())));
        }
    }

    /// Asks a witness that can be reached from now on, without waiting for the next round.
    pub(crate) fn ask_for_promise(&mut self, node: NodeId) {
        let Some(change) = &self.change else { return };
        let is_asked = matches!(change.phase, Phase::PreVote | Phase::Prepare)
            && electors(change.voters()).contains(&node)
            && !change.agreed.contains(&node);
        if is_asked {
            let pre_vote = change.phase == Phase::PreVote;
            let prepare = Prepare { epoch: change.epoch, candidate: self.options.me, pre_vote };
            self.send(node, Body::Prepare(Box::new(prepare)));
        }
    }

    /// Makes the epoch durable as this node's own, so that it never stands with the same one twice.
    pub(crate) fn claim_epoch(&mut self) {
        let Some(change) = &mut self.change else { return };
        change.enter(Phase::Claim, self.now);
        let epoch = change.epoch;
        let me = self.options.me;
        if self.witness.is_held_by_other(self.now, me) || !self.witness.admit(epoch, me) {
            self.abandon_candidacy();
            return;
        }
        self.note_epoch(epoch);
        self.disk.write_record(self.witness.record());
        if let Some(effect) = self.disk.then(Effect::Claimed { epoch }) {
            self.perform(effect);
        }
    }

    pub(crate) fn on_claimed(&mut self, epoch: u64) {
        let Some(change) = &mut self.change else { return };
        if change.epoch == epoch && change.phase == Phase::Claim {
            change.enter(Phase::Prepare, self.now);
            self.ask_for_promises();
        }
    }

    pub(crate) fn on_promise(&mut self, from: NodeId, promise: Promise) {
        let peer = self.peers.get_mut(from);
        peer.heard(self.now);
        peer.last = promise.last;
        self.note_epoch(promise.promised);
        let Some(change) = &mut self.change else { return };
        let asked_for = match change.phase {
            Phase::PreVote => promise.pre_vote,
            Phase::Prepare => !promise.pre_vote,
            _ => false,
        };
        if change.epoch != promise.epoch || !asked_for {
            return;
        }
        let has_news = promise.accepted.is_some_and(|accepted| change.learn(*accepted));
        if promise.granted {
            change.agreed.insert(from);
        } else {
            change.agreed.remove(&from);
        }
        let superseded = !promise.granted && promise.promised >= promise.epoch;
        if self.is_out_of_place() {
            self.give_up("a newer view has come up");
        } else if superseded {
            self.on_superseded(from);
        } else if self.change.as_ref().is_some_and(ViewChange::is_agreed) {
            self.on_promised();
        } else if has_news {
            // The newer view may bring in witnesses that have not been asked.
            self.ask_for_promises();
        }
    }

    /// Whether the newest view that came up is one in which this node has no business: it was left out, or, as a
    /// active primary, replaced.
    fn is_out_of_place(&self) -> bool {
        let Some(change) = &self.change else { return false };
        match &self.leadership {
            Some(leadership) => {
                change.highest.epoch > leadership.view.epoch && change.highest.primary != self.options.me
            }
            None => !self.belongs_to(&change.highest),
        }
    }

    /// A witness has promised an epoch that is as high to another.
    fn on_superseded(&mut self, by: NodeId) {
        let next_epoch = self.highest_epoch + 1;
        let Some(change) = &mut self.change else { return };
        if change.phase == Phase::PreVote {
            change.epoch = next_epoch;
            change.enter(Phase::PreVote, self.now);
            self.ask_for_promises();
            return;
        }
        change.refused.insert(by);
        if self.leadership.is_none() && by < self.options.me {
            // Rivals with a lower identity yield.
            self.claim_again();
        } else if change.is_lost() {
            self.retry_or_give_up();
        }
    }

    /// Enough witnesses have promised, or would. The newest view's state is needed next, unless this node holds it
    /// as a member.
    fn on_promised(&mut self) {
        let me = self.options.me;
        let Some(change) = &mut self.change else { return };
        if change.phase == Phase::PreVote {
            self.claim_epoch();
            return;
        }
        let highest = &change.highest;
        let is_up_to_date = members(highest).is_empty() || is_member(highest, me);
        if is_up_to_date || self.options.faults.elect_from_stale_snapshot {
            self.begin_sync();
        } else {
            change.enter(Phase::Fetch, self.now);
            self.ask_for_state();
        }
    }

    /// Asks the next member that can be reached.
    pub(crate) fn ask_for_state(&mut self) {
        let Some(change) = &mut self.change else { return };
        change.resend_at = self.now + FETCH_PATIENCE;
        let mut holders = members(&change.highest);
        holders.retain(|node| self.peers.is_connected(*node));
        if holders.is_empty() {
            change.resend_at = self.now + ASK_AGAIN;
            return;
        }
        let holder = holders[change.fetches % holders.len()];
        change.fetches += 1;
        let fetch = FetchState { epoch: change.epoch };
        self.send(holder, Body::FetchState(Box::new(fetch)));
    }

    pub(crate) fn on_state_transfer(&mut self, transfer: StateTransfer) {
        let Some(change) = &self.change else { return };
        if change.phase != Phase::Fetch || change.epoch != transfer.epoch || !self.disk.is_healthy() {
            return;
        }
        if self.adopt(transfer.snapshot_last, transfer.snapshot, transfer.entries) {
            self.begin_sync();
        }
    }

    /// Ends an election or reconfiguration that cannot succeed.
    pub(crate) fn give_up(&mut self, why: &'static str) {
        if self.leadership.is_some() {
            self.step_down(why);
        } else {
            self.abandon_candidacy();
        }
    }

    /// Ends an election that this node stands in. Those who promised are free to promise others at once.
    pub(crate) fn abandon_candidacy(&mut self) {
        let Some(change) = self.change.take() else { return };
        self.replicator = None;
        self.election_at = self.now + ASK_AGAIN + self.jitter(BACKOFF_MS);
        // Before its claim is durable no one has heard of the epoch, and the next life may use it again.
        if change.is_public() {
            info!("{}: election in epoch {} failed in {:?}", self.options.me, change.epoch, change.phase);
            self.resign(change.epoch);
        }
    }

    /// Tells all that this node gives an epoch up.
    pub(crate) fn resign(&mut self, epoch: u64) {
        let resign = Body::Resign(Box::new(Resign { epoch }));
        self.send(self.options.me, resign.clone());
        for node in self.peers.connected() {
            self.send(node, resign.clone());
        }
    }
}
