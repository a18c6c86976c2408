//! The graceful shutdown of a node: when it announces the shutdown, and when its data is safe on other nodes.

use quillpulley_protocol::{NodeId, View};
use std::time::Duration;

use crate::view::members;

/// The interval at which the shutdown is announced, since an announcement expires at the peers.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// The state of a graceful shutdown.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GracefulShutdown {
    has_begun: bool,
    next_announcement_at: Duration,
    /// The epoch of the view that a primary reported last to this node, if that view is active and does not need this
    /// node; `None` otherwise.
    dispensable_in_epoch: Option<u64>,
}

impl GracefulShutdown {
    pub fn begin(&mut self) {
        self.has_begun = true;
    }

    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Returns whether the shutdown has to be announced again: earlier announcements expire, and peers that have
    /// connected since have not received one.
    pub fn is_announcement_due(&self, now: Duration) -> bool {
        self.has_begun && now >= self.next_announcement_at
    }

    pub fn record_announcement(&mut self, now: Duration) {
        self.next_announcement_at = now + ANNOUNCE_INTERVAL;
    }

    /// Records the view that a primary has reported in an epoch that this node has admitted.
    pub fn record_view(&mut self, me: NodeId, epoch: u64, view: &View, tolerated_machines: usize) {
        // If the epoch is higher than that of the view, the primary is preparing a view that may name this node.
        let is_active_view = epoch == view.epoch;
        let is_dispensable = is_active_view && is_dispensable(me, view, tolerated_machines);
        self.dispensable_in_epoch = is_dispensable.then_some(view.epoch);
    }

    /// Returns whether the data is safe without this node, whose highest promised epoch is `promised`.
    ///
    /// The data is safe if the node has never promised an epoch, or if a view that does not need the node is active and
    /// the node has admitted no higher epoch since: before the node becomes a member again, it has to admit a higher
    /// epoch.
    pub fn is_data_safe(&self, promised: u64) -> bool {
        promised == 0 || self.dispensable_in_epoch == Some(promised)
    }
}

/// Returns whether a view has enough members without a node and does not need it as a witness either: the node is not a
/// witness, or the set of witnesses is final, so that no other node will replace it and the set will not shrink.
fn is_dispensable(node: NodeId, view: &View, tolerated_machines: usize) -> bool {
    let members = members(view);
    let is_odd = view.witnesses.len() % 2 == 1;
    let is_final_set = is_odd && members.iter().all(|member| view.witnesses.contains(member));
    let is_dispensable_witness = !view.witnesses.contains(&node) || is_final_set;
    !members.contains(&node) && members.len() > tolerated_machines && is_dispensable_witness
}
