//! rate-limiter-sim: hosts the limiters of a simulation. It reads batches of events from standard input, and writes a
//! reply to each batch to standard output. It contains no decision logic.
#![forbid(unsafe_code)]

mod error;
mod line;
mod protocol;
mod reply;

use error::{LineError, SimError};
use line::Line;
use protocol::{Batch, Incarnation, Message, PendingList};
use rate_limiter::{Action, Event, Limiter};
use reply::Reply;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

/// The size of the output buffer, in bytes.
const OUTPUT_BUFFER: usize = 1 << 20;

/// The state of an instance number: its current limiter, if one is running.
#[derive(Default)]
struct Instance {
    limiter: Option<Limiter>,
    /// The number of limiters with this instance number that ended before. Timers of earlier limiters are recognized by it
    /// and ignored.
    incarnation: u32,
}

impl Instance {
    fn end(&mut self) {
        self.incarnation += u32::from(self.limiter.take().is_some());
    }
}

/// The limiters of the simulation by instance number, and the batch that is being read.
#[derive(Default)]
struct Simulation {
    instances: BTreeMap<u32, Instance>,
    batch: Option<Batch>,
    list: Option<PendingList>,
    reply: Reply,
}

fn main() -> ExitCode {
    let output = BufWriter::with_capacity(OUTPUT_BUFFER, io::stdout().lock());
    match serve(io::stdin().lock(), output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rate-limiter-sim: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), SimError> {
    let mut simulation = Simulation::default();
    let mut number = 0;
    let mut buffer = Vec::new();
    loop {
        buffer.clear();
        if input.read_until(b'\n', &mut buffer).map_err(SimError::Read)? == 0 {
            return match simulation.batch {
                Some(_) => Err(SimError::Truncated { number }),
                None => Ok(()),
            };
        }
        number += 1;
        let with_line_number = |error| SimError::Line { number, error };
        let text = std::str::from_utf8(&buffer).map_err(|_| with_line_number(LineError::Encoding))?;
        let line = Line::new(text.trim_end_matches(['\n', '\r']));
        simulation.handle_line(&line, &mut output).map_err(|error| match error {
            HandleError::Line(error) => with_line_number(error),
            HandleError::Write(error) => SimError::Write(error),
        })?;
    }
}

/// An error while handling a line.
enum HandleError {
    Line(LineError),
    Write(io::Error),
}

impl From<LineError> for HandleError {
    fn from(error: LineError) -> Self {
        HandleError::Line(error)
    }
}

impl From<io::Error> for HandleError {
    fn from(error: io::Error) -> Self {
        HandleError::Write(error)
    }
}

impl Simulation {
    fn handle_line(&mut self, line: &Line, output: &mut impl Write) -> Result<(), HandleError> {
        if let Some(list) = &mut self.list {
            list.push(line)?;
        } else if let Some(Batch { now, .. }) = self.batch {
            self.handle_message(now, protocol::parse_message(line)?, output)?;
        } else {
            if !line.is_empty() {
                self.batch = Some(protocol::parse_batch(line)?);
            }
            return Ok(());
        }
        if let Some(list) = self.list.take_if(|list| list.is_complete()) {
            let (instance, event) = list.into_event();
            let now = self.batch.as_ref().map_or(0.0, |batch| batch.now);
            self.deliver(instance, now, event)?;
        }
        Ok(())
    }

    fn handle_message(
        &mut self,
        now: f64,
        message: Message,
        output: &mut impl Write,
    ) -> Result<(), HandleError> {
        match message {
            Message::End => {
                if let Some(Batch { number, .. }) = self.batch.take() {
                    self.reply.send(number, output)?;
                }
            }
            Message::Start { instance, seed, settings } => {
                self.stop(instance).limiter = Some(Limiter::new(*settings, seed, now));
            }
            Message::Stop(instance) => {
                self.stop(instance);
            }
            Message::List(list) => self.list = Some(list),
            Message::Event { instance, event } => self.deliver(instance, now, event)?,
            Message::Timer { target: Incarnation { instance, incarnation }, token } => {
                let current = self.instances.get(&instance);
                if current.is_some_and(|current| current.incarnation == incarnation) {
                    self.deliver(instance, now, Event::Timer { token })?;
                }
            }
            Message::Ignored => {}
        }
        Ok(())
    }

    /// Ends the limiter with this instance number, if one is running, and discards its actions in the current batch.
    fn stop(&mut self, instance: u32) -> &mut Instance {
        self.reply.remove(instance);
        let stopped = self.instances.entry(instance).or_default();
        stopped.end();
        stopped
    }

    /// Passes an event to a limiter, and adds the resulting actions to the reply. Ignored if the limiter is not running.
    fn deliver(&mut self, instance: u32, now: f64, event: Event) -> io::Result<()> {
        let Some(Instance { limiter: Some(limiter), incarnation }) = self.instances.get_mut(&instance) else {
            return Ok(());
        };
        let source = Incarnation { instance, incarnation: *incarnation };
        let mut actions: Vec<Action> = Vec::new();
        let handled = catch_unwind(AssertUnwindSafe(|| limiter.handle(now, event, &mut actions)));
        self.reply.add(instance, |lines| match handled {
            Ok(()) => actions.iter().try_for_each(|action| protocol::write_action(lines, source, action)),
            Err(_) => writeln!(lines, "FAULT {instance} the decision module panicked"),
        })
    }
}
