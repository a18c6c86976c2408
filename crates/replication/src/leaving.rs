//! The end of a process: what it hands over, and when its data stands elsewhere.

use quillpulley_wire::{Body, Decline, NodeId, View};
use std::time::Duration;

use crate::quorum::members;
use crate::replica::Replica;
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
        let decline = Decline { epoch: 0, promised: self.witness.promised(), leaving: true };
        self.send(to, Body::Decline(Box::new(decline)));
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
