//! The decisions that the control state makes on commands before they are appended to the log.

use quillpulley_serving_config::ConfigurationError;

/// The decision on a command to replace the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplaceDecision {
    /// The same configuration was applied on the same base version: acknowledge the command, even if other
    /// configurations have followed.
    AlreadyApplied,
    /// The base version is not the active version: reject the command.
    Conflict {
        /// The active version.
        current: u64,
    },
    /// The base version is older than the history. Whether the configuration was applied is unknown, so the
    /// command is neither acknowledged nor rejected.
    HistoryExpired {
        /// The oldest base version in the history.
        oldest: u64,
    },
    /// The configuration is invalid: reject the command.
    Invalid(ConfigurationError),
    /// Append an entry with this payload to the log.
    Propose(Vec<u8>),
}

/// The decision on a command to evacuate or restore a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationDecision {
    /// The zone is already in the requested state: acknowledge the command.
    AlreadyInEffect,
    /// Append an entry with this payload to the log.
    Propose(Vec<u8>),
}
