//! The log format: a line for each record, with level, module, message, and key-value fields.

use env_logger::Builder;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use std::io::{self, Write};

/// Logs records of at least this level to standard error from now on.
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

/// Returns the module that logs, without the prefix that all modules have in common.
fn module<'a>(record: &'a Record<'_>) -> &'a str {
    let target = record.target();
    target.strip_prefix("quillpulley::").or(target.strip_prefix("quillpulley_")).unwrap_or(target)
}
