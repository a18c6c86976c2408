//! Nodes that are about to be let in: new orders wait until they have the last entries.
//!
//! With long entries one after the other such a node would always lack the one that is on its way. A view change
//! that begins then sends it a second time, in the new epoch, and the node does not get there in time.

use quillpulley_protocol::NodeId;

use crate::primary::Leadership;
use crate::replica::Replica;
use crate::StateMachine;

impl<S: StateMachine> Replica<S> {
    /// Lets a node in as soon as it has the log, if orders wait that would follow. Otherwise the next tick does.
    pub(crate) fn let_in_before_orders(&mut self, node: NodeId) {
        let orders_wait = self.leadership.as_ref().is_some_and(Leadership::has_waiting);
        if orders_wait && self.change.is_none() && self.joiners().contains(&node) && self.is_ready(node) {
            self.check_reconfiguration();
        }
    }

    /// Whether new orders have to wait, since a node that is about to be let in gets the last entries.
    pub(crate) fn waits_for_joiner(&self) -> bool {
        self.joiners().iter().any(|node| self.is_catching_up(*node))
    }

    /// Whether the last entries are on their way to a node that takes them. One that leaves them without an answer
    /// is not waited for.
    pub(crate) fn is_catching_up(&self, node: NodeId) -> bool {
        let Some(progress) = self.replicator.as_ref().and_then(|replicator| replicator.get(node)) else {
            return false;
        };
        let Some(acked) = progress.acked() else { return false };
        let lacks_something = acked.index < self.log.last().index;
        lacks_something && self.log.contains(acked) && !progress.is_stuck(self.now, self.options.drop_after)
    }
}
