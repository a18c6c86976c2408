//! Why the simulator's input cannot be processed.

use std::fmt::{Display, Formatter};
use std::io;

/// An error in a line.
#[derive(Debug)]
pub enum LineError {
    /// A field is missing.
    Missing { word: String, field: &'static str },
    /// A field is invalid.
    Invalid { word: String, field: &'static str, problem: String },
    /// Another line is due.
    Unexpected { word: String, expected: String },
    /// A line within a batch is empty.
    Empty,
    /// The line is not valid UTF-8.
    Encoding,
}

impl Display for LineError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            LineError::Missing { word, field } => write!(formatter, "{word}: {field}: missing"),
            LineError::Invalid { word, field, problem } => write!(formatter, "{word}: {field}: {problem}"),
            LineError::Unexpected { word, expected } => write!(formatter, "{word:?} where {expected}"),
            LineError::Empty => write!(formatter, "empty line within a batch"),
            LineError::Encoding => write!(formatter, "not valid UTF-8"),
        }
    }
}

/// Why the program ends.
#[derive(Debug)]
pub enum SimError {
    /// The input cannot be read.
    Read(io::Error),
    /// The output cannot be written.
    Write(io::Error),
    /// A line of the input is invalid.
    Line { number: usize, error: LineError },
    /// The input ended within a batch.
    Truncated { number: usize },
}

impl Display for SimError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            SimError::Read(error) => write!(formatter, "cannot read: {error}"),
            SimError::Write(error) => write!(formatter, "cannot write: {error}"),
            SimError::Line { number, error } => write!(formatter, "line {number}: {error}"),
            SimError::Truncated { number } => {
                write!(formatter, "line {number}: input ended within a batch")
            }
        }
    }
}
