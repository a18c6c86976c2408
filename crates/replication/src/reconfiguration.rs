//! What an active primary changes about its view: whom it drops, whom it lets in, who becomes a witness.

use quillpulley_protocol::{NodeId, View};
use std::collections::BTreeSet;
use std::time::Duration;

use crate::quorum::members;
use crate::replica::Replica;
use crate::view_change::{Phase, Plan, ViewChange};
use crate::StateMachine;

/// How long a node has to have answered before it is let in.
const STEADY: Duration = Duration::from_millis(300);
impl Plan {
    /// Whether the witness that comes in has the state.
    pub(crate) fn fits(&self, synced: &BTreeSet<NodeId>) -> bool {
        self.incoming.is_none_or(|node| synced.contains(&node))
    }
}

impl<S: StateMachine> Replica<S> {
    /// Begins a view change if the view should be another one.
    pub(crate) fn check_reconfiguration(&mut self) {
        if !self.holds_lease(self.now) {
            return;
        }
        let Some(leadership) = &self.leadership else { return };
        let plan = self.best_plan();
        let is_change = plan.members != members(&leadership.view).into_iter().collect()
            || plan.witnesses != leadership.view.witnesses;
        if is_change || self.is_superseded(&plan) {
            self.begin_reconfiguration(leadership.view.clone(), plan);
        }
    }

    /// Begins a view change with a new epoch, on top of the newest view that is known.
    fn begin_reconfiguration(&mut self, highest: View, plan: Plan) {
        let epoch = self.highest_epoch + 1;
        self.change = Some(ViewChange::new(epoch, Phase::Claim, self.now, highest, Some(plan)));
        self.claim_epoch();
    }

    /// The view as it should be now. Members are lost only as long as enough are left.
    pub(crate) fn best_plan(&self) -> Plan {
        let Some(leadership) = &self.leadership else { return Plan::default() };
        let before: BTreeSet<NodeId> = members(&leadership.view).into_iter().collect();
        let mut after: BTreeSet<NodeId> =
            before.iter().copied().filter(|node| !self.is_lost(*node)).collect();
        let ready: Vec<NodeId> = self.joiners().into_iter().filter(|node| self.is_ready(*node)).collect();
        after.extend(&ready);
        after.extend(self.leaving_to_keep(&before, &after));
        if after.len() <= self.options.tolerated_machines {
            after.extend(before);
        }
        let (witnesses, incoming) = self.next_witnesses(&after);
        Plan { members: after, witnesses, incoming }
    }

    /// Whether a member does not do its part any more.
    fn is_lost(&self, node: NodeId) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        if node == self.options.me {
            return false;
        }
        let drop_after = self.options.drop_after;
        let silent = self.silent_for(node, leadership.elected_at) > drop_after;
        let progress = self.replicator.as_ref().and_then(|replicator| replicator.get(node));
        silent
            || self.peers.is_leaving(self.now, node)
            || progress.is_some_and(|progress| progress.is_stuck(self.now, drop_after))
    }

    /// For how long nothing was heard of a node since a time.
    pub(crate) fn silent_for(&self, node: NodeId, start: Duration) -> Duration {
        match self.peers.get(node) {
            Some(peer) => peer.silent_for(self.now, start),
            None => self.now.saturating_sub(start),
        }
    }

    /// Nodes that answer steadily and are no members.
    pub(crate) fn joiners(&self) -> Vec<NodeId> {
        let Some(leadership) = &self.leadership else { return Vec::new() };
        let in_view = members(&leadership.view);
        let mut nodes = self.peers.connected();
        nodes.retain(|node| !in_view.contains(node) && self.is_steady(*node));
        nodes
    }

    fn is_steady(&self, node: NodeId) -> bool {
        let is_steady = self.peers.get(node).is_some_and(|peer| peer.is_steady(self.now, STEADY));
        is_steady && !self.peers.is_leaving(self.now, node)
    }

    /// Whether a node that is no member has the log, or can get it only under a higher epoch.
    pub(crate) fn is_ready(&self, node: NodeId) -> bool {
        let Some(replicator) = &self.replicator else { return false };
        let refuses = self.peers.get(node).is_some_and(|peer| peer.refuses);
        let is_counted_early = self.options.faults.count_joiner_early;
        let has_log = replicator.acked_index(node).is_some_and(|index| index >= self.applied.index);
        refuses || is_counted_early || has_log && !self.is_catching_up(node)
    }

    /// Whether a node of the view has promised an epoch to another, and so takes nothing from this one.
    fn is_superseded(&self, plan: &Plan) -> bool {
        let refuses = |node: &NodeId| {
            self.peers.get(*node).is_some_and(|peer| peer.is_answering(self.now) && peer.refuses)
        };
        plan.members.iter().chain(&plan.witnesses).any(refuses)
    }
}
