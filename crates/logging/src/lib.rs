//! The log format of all programs: a line for each record, `LEVEL module: message key=value ...`, on standard error.
//!
//! A line that cannot be written is lost: a closed standard error ends no process.
#![forbid(unsafe_code)]

use env_logger::Builder;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use std::io::{self, Write};

/// The prefixes of modules that a line does not show.
const HIDDEN_PREFIXES: [&str; 3] = ["quillpulley::", "quillpulley_", "rate_limiter::"];

/// Logs records of at least this level from now on.
///
/// # Panics
/// If the logger was started before.
pub fn start(level: LevelFilter) {
    Builder::new().filter_level(level).format(write_record).init();
}

fn write_record(line: &mut impl Write, record: &Record<'_>) -> io::Result<()> {
    write!(line, "{} {}: {}", record.level(), module(record), record.args())?;
    let mut fields = FieldWriter { line };
    record.key_values().visit(&mut fields).map_err(io::Error::other)?;
    writeln!(line)
}

/// Writes fields as ` key=value`.
struct FieldWriter<'a, W> {
    line: &'a mut W,
}

impl<'kvs, W: Write> VisitSource<'kvs> for FieldWriter<'_, W> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.line, " {key}={value}").map_err(Error::boxed)
    }
}

/// Returns the module that logs, without its hidden prefix.
fn module<'a>(record: &'a Record<'_>) -> &'a str {
    let target = record.target();
    HIDDEN_PREFIXES.iter().find_map(|prefix| target.strip_prefix(prefix)).unwrap_or(target)
}
