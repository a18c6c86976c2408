//! The reply to a batch.

use std::io::{self, Write};

/// The lines of one limiter.
struct Section {
    instance: u32,
    /// The end of its lines.
    end: usize,
}

/// The reply to the batch that is being read.
#[derive(Default)]
pub struct Reply {
    lines: Vec<u8>,
    sections: Vec<Section>,
}

impl Reply {
    /// Adds lines of a limiter, which `write` writes.
    pub fn add(
        &mut self,
        instance: u32,
        write: impl FnOnce(&mut Vec<u8>) -> io::Result<()>,
    ) -> io::Result<()> {
        let written = write(&mut self.lines);
        self.sections.push(Section { instance, end: self.lines.len() });
        written
    }

    /// Removes the lines of a limiter that ended within the batch: actions take effect after all events of the batch,
    /// and would be those of a limiter that has ended, or of the next one, which knows nothing of them.
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

    /// Writes the reply to a batch, and clears it.
    pub fn send(&mut self, batch: u64, output: &mut impl Write) -> io::Result<()> {
        output.write_all(&self.lines)?;
        writeln!(output, "NEXT {batch}")?;
        self.lines.clear();
        self.sections.clear();
        output.flush()
    }
}
