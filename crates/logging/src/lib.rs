//! The log format of all programs: one line for each record, `LEVEL module: message key=value ...`, on standard error.
//!
//! A line that cannot be written is dropped, so that a process keeps running after its standard error was closed.
#![forbid(unsafe_code)]

use env_logger::Builder;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use std::io::{self, Write};

/// Module prefixes that are omitted from log lines.
const HIDDEN_PREFIXES: [&str; 3] = ["quillpulley::", "quillpulley_", "rate_limiter::"];

/// Installs the logger, which writes records of this level and of more severe ones.
///
/// # Panics
/// If a logger is already installed.
pub fn start(level: LevelFilter) {
    Builder::new().filter_level(level).format(write_record).init();
}

fn write_record(line: &mut impl Write, record: &Record<'_>) -> io::Result<()> {
    write!(line, "{} {}: {}", record.level(), module(record), record.args())?;
    let mut fields = FieldWriter { line };
    record.key_values().visit(&mut fields).map_err(io::Error::other)?;
    writeln!(line)
}

/// Writes each key-value pair of a record as ` key=value`.
struct FieldWriter<'a, W> {
    line: &'a mut W,
}

impl<'kvs, W: Write> VisitSource<'kvs> for FieldWriter<'_, W> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.line, " {key}={value}").map_err(Error::boxed)
    }
}

/// Returns the module that logs the record, without a hidden prefix.
fn module<'a>(record: &'a Record<'_>) -> &'a str {
    let target = record.target();
    HIDDEN_PREFIXES.iter().find_map(|prefix| target.strip_prefix(prefix)).unwrap_or(target)
}
