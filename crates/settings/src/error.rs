//! The errors of settings files.

use displaydoc::Display;
use std::io;
use std::path::PathBuf;

/// Why settings cannot be used. The message also says how to correct them.
#[derive(Debug, Display)]
pub enum SettingsError {
    /// QUILLPULLEY_CONFIG is not set: set it to the path of the settings file
    NoPath,
    /// the settings file {path} cannot be read ({error}): check that it exists and may be read by this user
    Unreadable {
        /// The path of the settings file.
        path: PathBuf,
        /// The error that the operating system reported.
        error: Box<io::Error>,
    },
    /// the settings are no TOML (line {line}: {reason}): correct that line
    NotToml {
        /// The number of the line, counted from 1.
        line: usize,
        /// The message of the TOML parser.
        reason: String,
    },
    /// the settings lack {key}: add it as {expected}
    Missing {
        /// The key, preceded by the name of its table.
        key: String,
        /// A description of the expected value.
        expected: &'static str,
    },
    /// {key} cannot be {found}: give it as {expected}
    WrongKind {
        /// The key, preceded by the name of its table.
        key: String,
        /// The invalid value.
        found: String,
        /// A description of the expected value.
        expected: &'static str,
    },
}

impl std::error::Error for SettingsError {}

impl SettingsError {
    pub(super) fn missing(key: &str, expected: &'static str) -> SettingsError {
        SettingsError::Missing { key: key.to_string(), expected }
    }
}
