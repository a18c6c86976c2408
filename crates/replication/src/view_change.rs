//! A view change in progress: an election or a reconfiguration, which go through the same phases.
//!
//! `PreVote` (elections only) → `Claim` → `Prepare` → `Fetch` (if this node is not a member of the newest view) →
//! `Sync` → `Accept` → `Activate` (if the set of witnesses changes) → the view is active.

use quillpulley_protocol::{NodeId, Position, View};
use std::collections::BTreeSet;
use std::time::Duration;

use crate::membership::DesiredView;
use crate::view::{has_quorum, is_newer, majority, voters, witness_sets};

/// The phases of a view change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Asks the witnesses whether they would promise the epoch, without changing their state.
    PreVote,
    /// Makes this node's claim to the epoch durable.
    Claim,
    /// Asks the witnesses to promise the epoch.
    Prepare,
    /// Fetches the state from a member of the newest view.
    Fetch,
    /// Replicates the state to the members of the new view.
    Sync,
    /// Asks the witnesses to accept the view.
    Accept,
    /// Asks the new witnesses to store that the view is activated.
    Activate,
}

impl Phase {
    /// Returns the time after which the view change is retried or aborted; `None` if the phase has no timeout.
    fn timeout(self) -> Option<Duration> {
        match self {
            // A pre-vote has no effect on other nodes, and a claim waits for this node's disk, whose writes have their
            // own timeout.
            Phase::PreVote | Phase::Claim => None,
            Phase::Prepare => Some(Duration::from_millis(700)),
            Phase::Fetch | Phase::Sync => Some(Duration::from_millis(2500)),
            Phase::Accept => Some(Duration::from_millis(1500)),
            Phase::Activate => Some(Duration::from_millis(3000)),
        }
    }
}

/// A view change in progress.
#[derive(Clone, Debug)]
pub(crate) struct ViewChange {
    epoch: u64,
    phase: Phase,
    phase_began_at: Duration,
    resend_at: Duration,
    /// The newest view that any witness is known to have accepted.
    newest: View,
    /// The witnesses that have granted the request of the phase.
    granted: BTreeSet<NodeId>,
    /// The nodes that have promised a higher epoch to another node.
    rejected: BTreeSet<NodeId>,
    /// The view that an active primary wants to form; `None` in an election.
    desired_view: Option<DesiredView>,
    /// The nodes that may become members.
    targets: BTreeSet<NodeId>,
    /// The targets that the view change waits for until the grace period ends.
    awaited: BTreeSet<NodeId>,
    /// The end of the log that every member has to reach: the position of the entry that marks the start of the epoch.
    log_end: Position,
    /// The new view; `None` until its members are determined.
    proposed: Option<View>,
    /// The number of requests to members for their state.
    fetch_attempts: usize,
}

impl ViewChange {
    pub fn new(
        epoch: u64,
        phase: Phase,
        now: Duration,
        newest: View,
        desired_view: Option<DesiredView>,
    ) -> Self {
        ViewChange {
            epoch,
            phase,
            phase_began_at: now,
            resend_at: now,
            newest,
            granted: BTreeSet::new(),
            rejected: BTreeSet::new(),
            desired_view,
            targets: BTreeSet::new(),
            awaited: BTreeSet::new(),
            log_end: Position::default(),
            proposed: None,
            fetch_attempts: 0,
        }
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the newest view that any witness is known to have accepted.
    pub fn newest_view(&self) -> &View {
        &self.newest
    }

    pub fn desired_view(&self) -> Option<&DesiredView> {
        self.desired_view.as_ref()
    }

    /// Returns the end of the log that every member has to reach.
    pub fn log_end(&self) -> Position {
        self.log_end
    }

    pub fn proposed_view(&self) -> Option<&View> {
        self.proposed.as_ref()
    }

    /// Returns the nodes that may become members.
    pub fn targets(&self) -> &BTreeSet<NodeId> {
        &self.targets
    }

    pub fn awaited(&self) -> &BTreeSet<NodeId> {
        &self.awaited
    }

    /// Enters a phase and clears the replies of the previous one.
    pub fn enter(&mut self, phase: Phase, now: Duration) {
        self.phase = phase;
        self.phase_began_at = now;
        self.resend_at = now;
        self.granted.clear();
        self.rejected.clear();
    }

    /// Restarts the pre-vote with a higher epoch.
    pub fn restart_pre_vote(&mut self, epoch: u64, now: Duration) {
        self.epoch = epoch;
        self.enter(Phase::PreVote, now);
    }

    /// Returns whether the phase has exceeded its timeout.
    pub fn is_timed_out(&self, now: Duration) -> bool {
        self.phase.timeout().is_some_and(|timeout| now > self.phase_began_at + timeout)
    }

    /// Returns whether the phase began less than `time` ago.
    pub fn is_within(&self, now: Duration, time: Duration) -> bool {
        now < self.phase_began_at + time
    }

    pub fn is_resend_due(&self, now: Duration) -> bool {
        now >= self.resend_at
    }

    pub fn schedule_resend(&mut self, time: Duration) {
        self.resend_at = time;
    }

    /// Returns whether this node claims the epoch, that is, whether the view change is past the pre-vote.
    pub fn is_claimed(&self) -> bool {
        self.phase != Phase::PreVote
    }

    /// Returns whether a quorum of promises is still missing.
    pub fn is_awaiting_promises(&self) -> bool {
        matches!(self.phase, Phase::Claim | Phase::Prepare)
    }

    /// Returns whether the log is replicated in the epoch of this view change.
    pub fn is_replicating(&self) -> bool {
        matches!(self.phase, Phase::Sync | Phase::Accept | Phase::Activate)
    }

    /// Returns whether the epoch was announced to the witnesses, which may have promised it. A primary then requests
    /// its lease in this epoch.
    pub fn is_announced(&self) -> bool {
        self.is_replicating() || matches!(self.phase, Phase::Prepare | Phase::Fetch)
    }

    /// Records a view that a witness has accepted, if it is newer than the known one. Returns whether it is newer.
    pub fn learn(&mut self, view: View) -> bool {
        let is_new = is_newer(&view, Some(&self.newest));
        if is_new {
            self.newest = view;
        }
        is_new
    }

    /// Returns the view whose witnesses have to grant the request of this phase.
    fn deciding_view(&self) -> &View {
        self.proposed.as_ref().unwrap_or(&self.newest)
    }

    /// Returns the witnesses that have not granted the request of this phase yet.
    pub fn pending_voters(&self) -> Vec<NodeId> {
        let mut pending = voters(self.deciding_view());
        pending.retain(|node| !self.granted.contains(node));
        pending
    }

    pub fn record_grant(&mut self, node: NodeId) {
        self.granted.insert(node);
    }

    pub fn revoke_grant(&mut self, node: NodeId) {
        self.granted.remove(&node);
    }

    pub fn record_rejection(&mut self, node: NodeId) {
        self.rejected.insert(node);
    }

    /// Returns whether enough witnesses have granted the request of this phase to complete it.
    pub fn has_quorum(&self) -> bool {
        has_quorum(self.deciding_view(), |node| self.granted.contains(node))
    }

    /// Returns whether so many witnesses have rejected the request that the others cannot form a quorum.
    pub fn cannot_reach_quorum(&self) -> bool {
        witness_sets(self.deciding_view()).iter().any(|set| {
            let rejected = set.iter().filter(|node| self.rejected.contains(node)).count();
            set.len() - rejected < majority(set.len())
        })
    }

    /// Returns the source to fetch the state from next, in rotation; `None` if there are no sources.
    pub fn next_fetch_source(&mut self, sources: &[NodeId]) -> Option<NodeId> {
        if sources.is_empty() {
            return None;
        }
        let source = sources[self.fetch_attempts % sources.len()];
        self.fetch_attempts += 1;
        Some(source)
    }

    /// Sets the nodes that may become members: `me`, and `targets`, which the view change waits for.
    pub fn set_targets(&mut self, me: NodeId, targets: BTreeSet<NodeId>) {
        self.awaited = targets.clone();
        self.targets = targets;
        self.targets.insert(me);
    }

    /// Adds nodes that may become members and that the view change waits for.
    pub fn await_targets(&mut self, nodes: &BTreeSet<NodeId>) {
        self.awaited.extend(nodes);
        self.targets.extend(nodes);
    }

    /// Adds a node that may become a member, unless it has rejected the epoch. Returns whether it was added.
    pub fn add_target(&mut self, node: NodeId) -> bool {
        !self.rejected.contains(&node) && self.targets.insert(node)
    }

    pub fn remove_target(&mut self, node: NodeId) {
        self.targets.remove(&node);
        self.awaited.remove(&node);
    }

    pub fn stop_awaiting(&mut self, node: NodeId) {
        self.awaited.remove(&node);
    }

    pub fn set_log_end(&mut self, log_end: Position) {
        self.log_end = log_end;
    }

    /// Proposes a view to the witnesses.
    pub fn propose(&mut self, view: View, now: Duration) {
        self.proposed = Some(view);
        self.enter(Phase::Accept, now);
    }

    /// Marks the proposed view as activated and enters the phase in which the new witnesses store this.
    pub fn activate(&mut self, now: Duration) {
        if let Some(view) = &mut self.proposed {
            view.activated = true;
        }
        self.enter(Phase::Activate, now);
    }

    /// Returns the outcome of a completed view change; `None` if no view was proposed.
    pub fn into_outcome(self) -> Option<ViewChangeOutcome> {
        let ViewChange { proposed, desired_view, log_end, .. } = self;
        proposed.map(|view| ViewChangeOutcome { view, desired_view, log_end })
    }
}

/// The outcome of a completed view change.
pub(crate) struct ViewChangeOutcome {
    /// The new view, which is active.
    pub view: View,
    /// The view that an active primary wanted to form; `None` after an election.
    pub desired_view: Option<DesiredView>,
    /// The end of the log that all members have reached.
    pub log_end: Position,
}
