//! Collects and writes the reply to a batch.

use std::io::{self, Write};

/// Consecutive lines that belong to one limiter.
struct Section {
    instance: u32,
    /// The end of the section in `Reply::lines`, in bytes.
    end: usize,
}

/// The reply to the batch that is being read. The sections are consecutive and cover all lines.
#[derive(Default)]
pub struct Reply {
    lines: Vec<u8>,
    sections: Vec<Section>,
}

impl Reply {
    /// Adds the lines that `write` produces for a limiter.
    pub fn add(
        &mut self,
        instance: u32,
        write: impl FnOnce(&mut Vec<u8>) -> io::Result<()>,
    ) -> io::Result<()> {
        let written = write(&mut self.lines);
        self.sections.push(Section { instance, end: self.lines.len() });
        written
    }

    /// Removes the lines of a limiter that ended within the batch. Actions take effect only after all events of the batch.
    /// They would then be performed for a limiter that has ended, or for its successor, which did not request them.
    pub fn remove(&mut self, instance: u32) {
        let mut kept = Reply::default();
        let mut start = 0;
        for section in self.sections.drain(..) {
            if section.instance != instance {
                kept.lines.extend_from_slice(&self.lines[start..section.end]);
                kept.sections.push(Section { instance: section.instance, end: kept.lines.len() });
            }
            start = section.end;
        }
        *self = kept;
    }

    /// Writes and flushes the reply to a batch, and clears it for the next batch.
    pub fn send(&mut self, batch: u64, output: &mut impl Write) -> io::Result<()> {
        output.write_all(&self.lines)?;
        writeln!(output, "NEXT {batch}")?;
        self.lines.clear();
        self.sections.clear();
        output.flush()
    }
}
