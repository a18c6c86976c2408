//! Decisions on commands.

use quillpulley_serving_config::ConfigurationError;

/// The decision on a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplaceDecision {
    /// The same configuration was applied on the same base: acknowledge it, whatever has followed.
    AlreadyApplied,
    /// It builds on another version than the active one: reject it.
    Conflict {
        /// The active version.
        current: u64,
    },
    /// It builds on a version that is older than the history: whether it was applied is unknown, so that it is
    /// neither acknowledged nor rejected.
    HistoryExpired {
        /// The oldest base in the history.
        oldest: u64,
    },
    /// It is invalid: reject it.
    Invalid(ConfigurationError),
    /// Append this payload to the log.
    Propose(Vec<u8>),
}

/// The decision on a command to evacuate or restore a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationDecision {
    /// The zone is in the requested state: acknowledge the command.
    AlreadyInEffect,
    /// Append this payload to the log.
    Propose(Vec<u8>),
}
