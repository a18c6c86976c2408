//! What to do about an order.

use quillpulley_serving_config::ConfigurationError;

/// What to do about a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplaceDecision {
    /// That very configuration was taken on that very base: acknowledge it, whatever has followed.
    AlreadyApplied,
    /// It builds on another version than the one in force: reject it.
    Conflict {
        /// The version in force.
        current: u64,
    },
    /// It builds on a version that is older than all that is remembered: whether it was taken is not known any
    /// more, so it is neither acknowledged nor rejected.
    HistoryExpired {
        /// The oldest base for which it would be known.
        oldest: u64,
    },
    /// It is invalid: reject it.
    Invalid(ConfigurationError),
    /// Append this payload to the log.
    Propose(Vec<u8>),
}

/// What to do about an order to evacuate a zone, or to take it back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationDecision {
    /// The zone is as the order wants it: acknowledge it.
    AlreadyInEffect,
    /// Append this payload to the log.
    Propose(Vec<u8>),
}
