//! The graceful shutdown of a node: what it announces, and when its data is safe elsewhere.

use quillpulley_protocol::{NodeId, View};
use std::time::Duration;

use crate::view::members;

/// How often the shutdown is announced: peers believe an announcement only for a while.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// The state of a graceful shutdown.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GracefulShutdown {
    has_begun: bool,
    announce_at: Duration,
    /// The epoch of the newest active view that this node has heard of from its primary, if that view does not need
    /// this node.
    dispensable_in: Option<u64>,
}

impl GracefulShutdown {
    pub fn begin(&mut self) {
        self.has_begun = true;
    }

    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Returns whether the shutdown has to be announced again: peers that have connected meanwhile do not know of it.
    pub fn is_announcement_due(&self, now: Duration) -> bool {
        self.has_begun && now >= self.announce_at
    }

    pub fn record_announcement(&mut self, now: Duration) {
        self.announce_at = now + ANNOUNCE_INTERVAL;
    }

    /// Records the view that a primary has reported under an epoch that this node has admitted.
    pub fn record_view(&mut self, me: NodeId, epoch: u64, view: &View, tolerated_machines: usize) {
        // Under a higher epoch than that of its view the primary prepares another one, which may name this node.
        let is_in_force = epoch == view.epoch;
        let is_dispensable = is_in_force && is_dispensable(me, view, tolerated_machines);
        self.dispensable_in = is_dispensable.then_some(view.epoch);
    }

    /// Returns whether the data is safe without this node, which has promised `promised`.
    ///
    /// That is so if a view that does not need the node is in force, and the node has admitted no higher epoch since:
    /// whoever made it a member again would have brought it to a higher epoch first.
    pub fn is_data_safe(&self, promised: u64) -> bool {
        promised == 0 || self.dispensable_in == Some(promised)
    }
}

/// Returns whether a view has enough members without a node, and does not need it as a witness either: it is none, or
/// nobody is to take its place and the set will not get smaller.
fn is_dispensable(node: NodeId, view: &View, tolerated_machines: usize) -> bool {
    let members = members(view);
    let is_odd = view.witnesses.len() % 2 == 1;
    let is_final_set = is_odd && members.iter().all(|member| view.witnesses.contains(member));
    let is_spare_witness = !view.witnesses.contains(&node) || is_final_set;
    !members.contains(&node) && members.len() > tolerated_machines && is_spare_witness
}
