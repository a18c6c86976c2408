//! Why the simulator's input cannot be processed.

use displaydoc::Display;
use std::io;

/// An error in a line.
#[derive(Debug, Display)]
pub enum LineError {
    /// {word}: {field}: missing
    Missing { word: String, field: &'static str },
    /// {word}: {field}: {problem}
    Invalid { word: String, field: &'static str, problem: String },
    /// {word:?} where {expected}
    Unexpected { word: String, expected: String },
    /// empty line within a batch
    Empty,
    /// not valid UTF-8
    Encoding,
}

/// Why the program ends.
#[derive(Debug, Display)]
pub enum SimError {
    /// cannot read: {0}
    Read(io::Error),
    /// cannot write: {0}
    Write(io::Error),
    /// line {number}: {error}
    Line { number: usize, error: LineError },
    /// line {number}: input ended within a batch
    Truncated { number: usize },
}
