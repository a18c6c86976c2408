//! The graceful shutdown of this node: it hands over, announces its shutdown, and waits until its data is safe.

use quillpulley_protocol::{Body, NodeId, Reject};

use super::Replica;
use crate::primary::ResignReason;
use crate::StateMachine;

impl<S: StateMachine> Replica<S> {
    /// Begins the shutdown: a primary hands over, a backup asks to be dropped, and the node stands for no election any
    /// more. It still votes and stores.
    pub(super) fn begin_shutdown(&mut self) {
        self.shutdown.begin();
        if self.primary.is_some() {
            self.step_down(ResignReason::Shutdown);
        }
        self.abandon_candidacy();
        self.announce_shutdown();
    }

    pub(super) fn tick_shutdown(&mut self) {
        if self.shutdown.is_announcement_due(self.now) {
            self.announce_shutdown();
        }
    }

    fn announce_shutdown(&mut self) {
        self.shutdown.record_announcement(self.now);
        for node in self.peers.connected() {
            self.announce_shutdown_to(node);
        }
    }

    /// Announces the shutdown to a node. This rejects no epoch.
    pub(super) fn announce_shutdown_to(&mut self, to: NodeId) {
        let reject = Reject { epoch: 0, promised: self.witness.promised(), shutting_down: true };
        self.send(to, Body::Reject(Box::new(reject)));
    }

    /// Returns whether a process that was signalled to shut down may exit. Until then it should go on for as long as it
    /// is given.
    ///
    /// It may exit once its data is safe elsewhere. It may also exit if nobody could take the data, since all other
    /// nodes are shutting down too or there are none: waiting would only delay the next start.
    pub fn can_exit(&self) -> bool {
        let is_data_safe = self.shutdown.is_data_safe(self.witness.promised());
        self.shutdown.has_begun() && (is_data_safe || !self.has_successor())
    }

    /// Returns whether there is another node that is not shutting down. One that is not connected may come back.
    fn has_successor(&self) -> bool {
        let connected = self.peers.connected();
        if connected.is_empty() {
            return self.known_nodes().iter().any(|node| *node != self.options.me);
        }
        connected.iter().any(|node| !self.peers.is_shutting_down(self.now, *node))
    }
}
