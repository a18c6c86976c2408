//! Errors of the simulator host.

use displaydoc::Display;
use std::io;

/// An error in a line of the input.
#[derive(Debug, Display)]
pub enum LineError {
    /// {keyword}: {field}: missing
    Missing { keyword: String, field: &'static str },
    /// {keyword}: {field}: {problem}
    Invalid { keyword: String, field: &'static str, problem: String },
    /// unexpected {keyword:?}: {expected}
    Unexpected { keyword: String, expected: String },
    /// empty line within a batch
    Empty,
    /// not valid UTF-8
    Encoding,
}

/// Why the program ends.
#[derive(Debug, Display)]
pub enum SimError {
    /// cannot read standard input: {0}
    Read(io::Error),
    /// cannot write standard output: {0}
    Write(io::Error),
    /// line {number}: {error}
    Line { number: usize, error: LineError },
    /// line {number}: input ended within a batch
    Truncated { number: usize },
}
