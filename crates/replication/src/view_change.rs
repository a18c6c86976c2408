//! A new view on its way: the state that elections and reconfigurations share.
//!
//! `PreVote` (elections only) → `Claim` → `Prepare` → `Fetch` (if this node is no member) → `Sync` → `Accept` →
//! `Activate` (if the set of witnesses changes) → in force.

use quillpulley_protocol::{NodeId, Position, View};
use std::collections::BTreeSet;
use std::time::Duration;

use crate::quorum::{has_majorities, is_newer, majority, witness_sets};

/// Where a view change stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Asks whether witnesses would promise.
    PreVote,
    /// Stores its own epoch.
    Claim,
    /// Asks witnesses to promise.
    Prepare,
    /// Asks members for their state.
    Fetch,
    /// Brings the members of the new view to the state.
    Sync,
    /// Asks witnesses to accept the view.
    Accept,
    /// Has the new witnesses store that the view is activated.
    Activate,
}

/// What an active primary wants to change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Plan {
    pub members: BTreeSet<NodeId>,
    pub witnesses: Vec<NodeId>,
    /// The node that becomes a witness, if one does.
    pub incoming: Option<NodeId>,
}

/// A new view on its way.
#[derive(Clone, Debug)]
pub(crate) struct ViewChange {
    pub epoch: u64,
    pub phase: Phase,
    /// When the phase began.
    pub since: Duration,
    pub resend_at: Duration,
    /// The newest view that anyone asked has accepted.
    pub highest: View,
    /// Who granted what the phase asks for.
    pub agreed: BTreeSet<NodeId>,
    /// Who has promised a higher epoch to another.
    pub refused: BTreeSet<NodeId>,
    /// What an active primary wants; none in an election.
    pub plan: Option<Plan>,
    /// The nodes that may become members.
    pub targets: BTreeSet<NodeId>,
    /// Those among them for which it is worth to wait a little.
    pub awaited: BTreeSet<NodeId>,
    /// The end of the log that every member has to reach: the entry that marks the epoch's begin.
    pub end: Position,
    /// The view, once it is chosen.
    pub proposal: Option<View>,
    /// Counts the members that were asked for their state.
    pub fetches: usize,
}

impl ViewChange {
    pub fn new(epoch: u64, phase: Phase, now: Duration, highest: View, plan: Option<Plan>) -> Self {
        ViewChange {
            epoch,
            phase,
            since: now,
            resend_at: now,
            highest,
            agreed: BTreeSet::new(),
            refused: BTreeSet::new(),
            plan,
            targets: BTreeSet::new(),
            awaited: BTreeSet::new(),
            end: Position::default(),
            proposal: None,
            fetches: 0,
        }
    }

    /// Goes on to a phase, with no answers yet.
    pub fn enter(&mut self, phase: Phase, now: Duration) {
        self.phase = phase;
        self.since = now;
        self.resend_at = now;
        self.agreed.clear();
        self.refused.clear();
    }

    /// Whether the epoch is this node's own: no longer a trial.
    pub fn is_claimed(&self) -> bool {
        self.phase != Phase::PreVote
    }

    /// Whether the promises are not in yet.
    pub fn is_contested(&self) -> bool {
        matches!(self.phase, Phase::Claim | Phase::Prepare)
    }

    /// Whether the log of this epoch is being written.
    pub fn is_writing(&self) -> bool {
        matches!(self.phase, Phase::Sync | Phase::Accept | Phase::Activate)
    }

    /// Whether witnesses have the epoch in sight, so that leases are asked for under it.
    pub fn is_public(&self) -> bool {
        self.is_writing() || matches!(self.phase, Phase::Prepare | Phase::Fetch)
    }

    /// Takes in a view that a witness has accepted. Says whether it was news.
    pub fn learn(&mut self, view: View) -> bool {
        let news = is_newer(&view, Some(&self.highest));
        if news {
            self.highest = view;
        }
        news
    }

    /// The view whose witnesses have to agree in this phase.
    pub fn voters(&self) -> &View {
        self.proposal.as_ref().unwrap_or(&self.highest)
    }

    /// Whether enough witnesses agree for the next phase.
    pub fn is_agreed(&self) -> bool {
        has_majorities(self.voters(), |node| self.agreed.contains(node))
    }

    /// Whether so many have refused that the others are no majority.
    pub fn is_lost(&self) -> bool {
        witness_sets(self.voters()).iter().any(|set| {
            let refused = set.iter().filter(|node| self.refused.contains(node)).count();
            set.len() - refused < majority(set.len())
        })
    }
}
