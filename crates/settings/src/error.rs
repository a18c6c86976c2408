//! Why settings cannot be used.

use displaydoc::Display;
use std::io;
use std::path::PathBuf;

/// Why settings cannot be used, and what to do about it.
#[derive(Debug, Display)]
pub enum SettingsError {
    /// QUILLPULLEY_CONFIG is not set: set it to the path of the settings file
    NoPath,
    /// the settings file {path} cannot be read ({error}): check that it exists and may be read by this user
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        error: Box<io::Error>,
    },
    /// the settings are no TOML (line {line}: {reason}): correct that line
    NotToml {
        /// The line, from 1.
        line: usize,
        /// What the parser said.
        reason: String,
    },
    /// the settings lack {key}: add it as {expected}
    Missing {
        /// The key with its section.
        key: String,
        /// What belongs there.
        expected: &'static str,
    },
    /// {key} cannot be {found}: give it as {expected}
    WrongKind {
        /// The key with its section.
        key: String,
        /// The value that is there.
        found: String,
        /// What belongs there.
        expected: &'static str,
    },
}

impl std::error::Error for SettingsError {}

impl SettingsError {
    pub(super) fn missing(key: &str, expected: &'static str) -> SettingsError {
        SettingsError::Missing { key: key.to_string(), expected }
    }
}
