//! What is replicated, as the replication sees it.

use quillpulley_protocol::Entry;
use std::fmt;

/// A deterministic state machine: whoever applies the same entries to the same state gets the same state.
pub trait StateMachine {
    /// Applies the next entry of the log. An entry that cannot be read, or does not fit the state, is ignored.
    fn apply(&mut self, entry: &Entry);

    /// The whole state, for [`StateMachine::restore`].
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by a snapshot's. After an error the state is as before.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
}

/// Why a snapshot cannot be restored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestoreError {
    /// What is wrong with the bytes.
    pub reason: String,
}

impl fmt::Display for RestoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reason = &self.reason;
        write!(
            formatter,
            "the snapshot cannot be read ({reason}): run the same version on all core machines, \
             or empty the data folder of this one"
        )
    }
}

impl std::error::Error for RestoreError {}
