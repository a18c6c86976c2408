//! The end of a process: what it hands over, and when its data stands elsewhere.

use quillpulley_protocol::{Body, NodeId, Reject, View};
use std::collections::BTreeSet;
use std::time::Duration;

use crate::quorum::{is_member, members};
use crate::replica::Replica;
use crate::view_change::Phase;
use crate::StateMachine;

/// How often a process that is to end says so: peers believe it for a while only.
const ANNOUNCE_AGAIN: Duration = Duration::from_millis(500);

/// What a process that is to end has told and heard.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Leaving {
    announce_at: Duration,
    /// The newest view in force that this node has heard of from its primary, if that can do without the node.
    left_out_of: Option<u64>,
}

impl<S: StateMachine> Replica<S> {
    /// Ends this node's part: a primary hands over, a backup asks to be dropped, and it stands no more. It still
    /// votes and stores.
    pub(crate) fn stop(&mut self) {
        self.stopped = true;
        if self.leadership.is_some() {
            self.step_down("the process is to end");
        }
        self.abandon_candidacy();
        self.announce_leaving();
    }

    /// Says again that this node is to end. A peer that has connected meanwhile does not know.
    pub(crate) fn tick_leaving(&mut self) {
        if self.stopped && self.now >= self.leaving.announce_at {
            self.announce_leaving();
        }
    }

    fn announce_leaving(&mut self) {
        self.leaving.announce_at = self.now + ANNOUNCE_AGAIN;
        for node in self.peers.connected() {
            self.announce_leaving_to(node);
        }
    }

    /// Says that this node is to end, whatever is under way: this refuses no epoch.
    pub(crate) fn announce_leaving_to(&mut self, to: NodeId) {
        let reject = Reject { epoch: 0, promised: self.witness.promised(), shutting_down: true };
        self.send(to, Body::Reject(Box::new(reject)));
    }

    /// A primary has told of its view, which is in force, under an epoch that this node has admitted.
    pub(crate) fn note_view_in_force(&mut self, epoch: u64, view: &View) {
        // Under a higher epoch than its own the primary prepares another view, which may name this node.
        let is_settled = epoch == view.epoch;
        self.leaving.left_out_of = (is_settled && self.is_dispensable(view)).then_some(view.epoch);
    }

    /// Whether a view has enough members without this node, and keeps its majority of witnesses after its end as
    /// well as it can: it is no witness, or nobody is to take its place and the set does not get smaller either.
    fn is_dispensable(&self, view: &View) -> bool {
        let me = self.options.me;
        let members = members(view);
        let is_settled =
            view.witnesses.len() % 2 == 1 && members.iter().all(|node| view.witnesses.contains(node));
        let is_spare_witness = !view.witnesses.contains(&me) || is_settled;
        !members.contains(&me) && members.len() > self.options.tolerated_machines && is_spare_witness
    }

    /// The members that are about to end and that a primary keeps beside those that stay: as many as are needed for
    /// the loss of machines, and those whose place is needed until a node that is connected takes it.
    pub(crate) fn leaving_to_keep(
        &self,
        members: &BTreeSet<NodeId>,
        staying: &BTreeSet<NodeId>,
    ) -> BTreeSet<NodeId> {
        let is_there = |node: &&NodeId| {
            let answers = self.peers.is_answering(self.now, **node);
            answers && self.peers.is_leaving(self.now, **node)
        };
        let leaving: BTreeSet<NodeId> = members.iter().filter(is_there).copied().collect();
        let missing = (self.options.tolerated_machines + 1).saturating_sub(staying.len());
        if missing > leaving.len() {
            return BTreeSet::new();
        }
        let mut kept: BTreeSet<NodeId> = leaving.iter().take(missing).copied().collect();
        let with_kept: BTreeSet<NodeId> = staying.union(&kept).copied().collect();
        let mut with_joiners = with_kept.clone();
        with_joiners.extend(self.answering_nodes());
        if self.exposed_kinds(&with_joiners) < self.exposed_kinds(&with_kept) {
            kept.extend(self.needed_by_place(&with_kept, &leaving));
        }
        kept
    }

    /// The nodes that are about to end and that have to be members of the view under way, beside its other targets.
    pub(crate) fn leaving_needed(&self) -> BTreeSet<NodeId> {
        let Some(change) = &self.change else { return BTreeSet::new() };
        let is_leaving = |node: &NodeId| self.peers.is_leaving(self.now, *node);
        if self.leadership.is_some() {
            return self.best_plan().members.into_iter().filter(is_leaving).collect();
        }
        let is_there = |node: &NodeId| self.peers.is_connected(*node) || *node == self.options.me;
        // One that was no member may not get the state in time: it takes no other's place before it has it.
        let has_state = |node: &NodeId| is_member(&change.highest, *node) || self.has_synced(*node);
        let stays = |node: &&NodeId| is_there(node) && !is_leaving(node) && has_state(node);
        let staying: BTreeSet<NodeId> = change.targets.iter().filter(stays).copied().collect();
        let leaving: BTreeSet<NodeId> = self.peers.connected().into_iter().filter(is_leaving).collect();
        if staying.len() <= self.options.tolerated_machines {
            return leaving;
        }
        self.needed_by_place(&staying, &leaving)
    }

    /// Whether a node has the state with which the view under way begins.
    pub(crate) fn has_synced(&self, node: NodeId) -> bool {
        let Some(change) = self.change.as_ref().filter(|change| change.phase == Phase::Sync) else {
            return false;
        };
        let acked = self.replicator.as_ref().and_then(|replicator| replicator.acked_index(node));
        acked.is_some_and(|index| index >= change.end.index)
    }

    /// Those with which more losses of places are survived.
    fn needed_by_place(&self, staying: &BTreeSet<NodeId>, leaving: &BTreeSet<NodeId>) -> BTreeSet<NodeId> {
        let exposed = self.exposed_kinds(staying);
        let helps = |node: &&NodeId| {
            let mut with_node = staying.clone();
            with_node.insert(**node);
            self.exposed_kinds(&with_node) < exposed
        };
        leaving.iter().filter(helps).copied().collect()
    }

    fn exposed_kinds(&self, members: &BTreeSet<NodeId>) -> usize {
        let members: Vec<NodeId> = members.iter().copied().collect();
        self.member_exposure(&members).count()
    }

    /// Whether a process that was told to stop may end: its data stands elsewhere. Until then it should go on, for as
    /// long as it is given.
    ///
    /// That is so if a view that can do without it is in force, and it has admitted no epoch since: whoever made it a member
    /// again would have brought it to a higher epoch first. It is also so if it has never admitted any. If nobody
    /// could take the data, since all others are told to stop too or there are none, waiting would only keep the
    /// next start away.
    pub fn may_end(&self) -> bool {
        let promised = self.witness.promised();
        let stands_elsewhere = self.leaving.left_out_of == Some(promised);
        self.stopped && (promised == 0 || stands_elsewhere || !self.someone_stays())
    }

    /// Whether there is another node that is not about to end. One that is not connected may come back.
    fn someone_stays(&self) -> bool {
        let connected = self.peers.connected();
        if connected.is_empty() {
            return self.known_nodes().iter().any(|node| *node != self.options.me);
        }
        connected.iter().any(|node| !self.peers.is_leaving(self.now, *node))
    }
}
