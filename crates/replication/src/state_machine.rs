//! The interface of the replicated state machine.

use quillpulley_protocol::Entry;
use std::fmt;

/// A deterministic state machine: the same entries applied to the same state give the same state.
pub trait StateMachine {
    /// Applies the next entry of the log. An entry that cannot be read, or does not fit the state, is ignored.
    fn apply(&mut self, entry: &Entry);

    /// Returns the whole state, for [`StateMachine::restore`].
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by that of a snapshot.
    ///
    /// # Errors
    /// [`RestoreError`] if the snapshot cannot be read. The state is then unchanged.
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
            "the snapshot cannot be read ({reason}): run the same version on all control machines, \
             or empty the data folder of this one"
        )
    }
}

impl std::error::Error for RestoreError {}
