//! The graceful shutdown of this node: it resigns as primary, announces the shutdown, and waits until its data is safe
//! on other nodes.

use quillpulley_protocol::{Body, NodeId, Reject};

use super::Replica;
use crate::primary::ResignReason;
use crate::StateMachine;

impl<S: StateMachine> Replica<S> {
    /// Begins the shutdown: a primary steps down, and the node asks to be dropped from the view and no longer stands
    /// for election. It still votes and stores entries.
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

    /// Announces the shutdown to a node. The message is a `Reject` of epoch 0, which rejects no actual epoch.
    pub(super) fn announce_shutdown_to(&mut self, to: NodeId) {
        let reject = Reject { epoch: 0, promised: self.witness.promised(), shutting_down: true };
        self.send(to, Body::Reject(Box::new(reject)));
    }

    /// Returns whether the process may exit after [`Event::Shutdown`]. Until then it should continue for as long as it
    /// is allowed to run.
    ///
    /// It may exit once its data is safe on other nodes. It may also exit if no other node can take over the data,
    /// since there is none or all others are shutting down too: waiting would only delay the next start.
    ///
    /// [`Event::Shutdown`]: crate::Event::Shutdown
    pub fn can_exit(&self) -> bool {
        let is_data_safe = self.shutdown.is_data_safe(self.witness.promised());
        self.shutdown.has_begun() && (is_data_safe || !self.has_successor())
    }

    /// Returns whether another node can take over the data: a connected one that is not shutting down or, if none is
    /// connected, any other known node, since it may reconnect.
    fn has_successor(&self) -> bool {
        let connected = self.peers.connected();
        if connected.is_empty() {
            return self.known_nodes().iter().any(|node| *node != self.options.me);
        }
        connected.iter().any(|node| !self.peers.is_shutting_down(self.now, *node))
    }
}
