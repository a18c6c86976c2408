//! The proposals of a primary whose outcome is not reported yet.

use std::collections::VecDeque;

/// A proposal that is not in the log yet.
#[derive(Clone, Debug)]
pub(crate) struct QueuedProposal {
    /// The number under which its outcome is reported.
    pub proposal: u64,
    pub payload: Vec<u8>,
}

#[derive(Clone, Copy, Debug)]
struct LoggedProposal {
    proposal: u64,
    index: u64,
}

/// Proposals in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct Proposals {
    /// In the log, and not known to be committed.
    logged: VecDeque<LoggedProposal>,
    /// Waiting for the end of a view change.
    queued: VecDeque<QueuedProposal>,
}

impl Proposals {
    pub fn push(&mut self, proposal: u64, payload: Vec<u8>) {
        self.queued.push_back(QueuedProposal { proposal, payload });
    }

    pub fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    /// Removes and returns the proposals that are not in the log.
    pub fn take_queued(&mut self) -> VecDeque<QueuedProposal> {
        std::mem::take(&mut self.queued)
    }

    /// Records that a proposal is in the log at an index.
    pub fn record_logged(&mut self, proposal: u64, index: u64) {
        self.logged.push_back(LoggedProposal { proposal, index });
    }

    /// Removes and returns the proposals that are committed up to an index.
    pub fn resolve_up_to(&mut self, index: u64) -> Vec<u64> {
        let resolved = self.logged.iter().take_while(|logged| logged.index <= index).count();
        self.logged.drain(..resolved).map(|logged| logged.proposal).collect()
    }

    /// Removes and returns all proposals in the log.
    pub fn take_logged(&mut self) -> Vec<u64> {
        self.logged.drain(..).map(|logged| logged.proposal).collect()
    }
}
