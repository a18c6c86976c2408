//! The interface of the replicated state machine.

use quillpulley_protocol::Entry;
use std::fmt;

/// A deterministic state machine: applying the same entries to the same state results in the same state.
pub trait StateMachine {
    /// Applies the next entry of the log. Ignores an entry that cannot be decoded or is not valid in this state.
    fn apply(&mut self, entry: &Entry);

    /// Returns the whole state, encoded for [`StateMachine::restore`].
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by the state in a snapshot.
    ///
    /// # Errors
    /// Returns [`RestoreError`] if the snapshot cannot be decoded. The state is then unchanged.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
}

/// Why a snapshot cannot be restored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestoreError {
    /// Why the snapshot cannot be decoded.
    pub reason: String,
}

impl fmt::Display for RestoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reason = &self.reason;
        write!(
            formatter,
            "the snapshot cannot be read ({reason}): run the same version on all control machines, \
             or empty the data folder of this one"
        )
    }
}

impl std::error::Error for RestoreError {}
