//! The proposals of a primary whose outcome has not been reported yet.

use std::collections::VecDeque;

/// A proposal that has not been appended to the log yet.
#[derive(Clone, Debug)]
pub(crate) struct QueuedProposal {
    /// The proposal number, with which the outcome is reported.
    pub proposal: u64,
    pub payload: Vec<u8>,
}

/// A proposal that was appended to the log.
#[derive(Clone, Copy, Debug)]
struct LoggedProposal {
    proposal: u64,
    index: u64,
}

/// The unresolved proposals in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct Proposals {
    /// The proposals that are in the log but not known to be committed.
    logged: VecDeque<LoggedProposal>,
    /// The proposals that wait until a view change has completed or a learner has caught up.
    queued: VecDeque<QueuedProposal>,
}

impl Proposals {
    pub fn push(&mut self, proposal: u64, payload: Vec<u8>) {
        self.queued.push_back(QueuedProposal { proposal, payload });
    }

    pub fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    /// Removes and returns the proposals that are not in the log yet.
    pub fn take_queued(&mut self) -> VecDeque<QueuedProposal> {
        std::mem::take(&mut self.queued)
    }

    /// Records that a proposal was appended to the log at an index.
    pub fn record_logged(&mut self, proposal: u64, index: u64) {
        self.logged.push_back(LoggedProposal { proposal, index });
    }

    /// Removes and returns the numbers of the proposals in the log up to an index, which are committed.
    pub fn resolve_up_to(&mut self, index: u64) -> Vec<u64> {
        let resolved = self.logged.iter().take_while(|logged| logged.index <= index).count();
        self.logged.drain(..resolved).map(|logged| logged.proposal).collect()
    }

    /// Removes and returns the numbers of all proposals in the log.
    pub fn take_logged(&mut self) -> Vec<u64> {
        self.logged.drain(..).map(|logged| logged.proposal).collect()
    }
}
