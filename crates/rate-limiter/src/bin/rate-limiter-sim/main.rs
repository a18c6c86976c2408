//! Hosts decision modules on the simulator's wire: reads batches of events from standard input and
//! writes one reply for each to standard output. It parses, routes and formats; it decides nothing.
#![forbid(unsafe_code)]

mod wire;

use rate_limiter::{Action, Event, Limiter};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use wire::{Line, Message};

/// The limiters this process hosts; they share nothing.
type Hosted = BTreeMap<u32, Instance>;

/// What is hosted under one number: none or one limiter at a time.
#[derive(Default)]
struct Instance {
    limiter: Option<Limiter>,
    /// How many have ended under this number: what was meant for them is not for the next.
    life: u32,
}

impl Instance {
    fn end(&mut self) {
        self.life += u32::from(self.limiter.take().is_some());
    }
}

/// The reply to the batch that is being read.
#[derive(Default)]
struct Reply {
    lines: Vec<u8>,
    /// Whose lines they are, up to which byte.
    parts: Vec<(u32, usize)>,
}

impl Reply {
    /// Takes back what an instance did before it ended within the batch: actions take effect after all its
    /// events, and would be those of a limiter that is gone, or of the next, which knows nothing of them.
    fn forget(&mut self, instance: u32) {
        let (mut kept, mut start) = (Reply::default(), 0);
        for (whose, end) in self.parts.drain(..) {
            if whose != instance {
                kept.lines.extend_from_slice(&self.lines[start..end]);
                kept.parts.push((whose, kept.lines.len()));
            }
            start = end;
        }
        *self = kept;
    }

    fn send(&mut self, turn: &str, output: &mut impl Write) -> io::Result<()> {
        output.write_all(&self.lines)?;
        writeln!(output, "NEXT {turn}")?;
        self.lines.clear();
        self.parts.clear();
        output.flush()
    }
}

fn main() -> ExitCode {
    match serve(io::stdin().lock(), BufWriter::with_capacity(1 << 20, io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("rate-limiter-sim: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut hosted = Hosted::new();
    let mut number = 0usize;
    let mut buffer = Vec::new();
    let mut reply = Reply::default();
    let mut batch: Option<(f64, String)> = None;
    let mut list: Option<wire::PendingList> = None;
    loop {
        buffer.clear();
        let read = input.read_until(b'\n', &mut buffer).map_err(|e| format!("cannot read: {e}"))?;
        if read == 0 {
            return match batch {
                Some(_) => Err(format!("line {number}: input ended within a batch")),
                None => Ok(()),
            };
        }
        number += 1;
        let at = |fault: String| format!("line {number}: {fault}");
        let text = std::str::from_utf8(&buffer).map_err(|_| at("not valid UTF-8".into()))?;
        let line = Line::new(text.trim_end_matches(['\n', '\r']));
        if let Some(mut pending) = list.take() {
            pending.push(&line).map_err(at)?;
            list = Some(pending);
        } else {
            let Some((now, _)) = &batch else {
                if !line.is_empty() {
                    batch = Some(wire::turn(&line).map_err(at)?);
                }
                continue;
            };
            match wire::message(&line).map_err(at)? {
                Message::End => {
                    if let Some((_, turn)) = batch.take() {
                        reply.send(&turn, &mut output).map_err(write_fault)?;
                    }
                }
                Message::Start(instance, seed, settings) => {
                    reply.forget(instance);
                    let hosted = hosted.entry(instance).or_default();
                    hosted.end();
                    hosted.limiter = Some(Limiter::new(*settings, seed, *now));
                }
                Message::Stop(instance) => {
                    reply.forget(instance);
                    hosted.entry(instance).or_default().end();
                }
                Message::List(pending) => list = Some(pending),
                Message::Event(instance, event) => {
                    deliver(&mut hosted, instance, *now, event, &mut reply)?;
                }
                Message::Alarm(instance, life, token) => {
                    if hosted.get(&instance).is_some_and(|hosted| hosted.life == life) {
                        deliver(&mut hosted, instance, *now, Event::Timer { token }, &mut reply)?;
                    }
                }
                Message::Skip => {}
            }
        }
        if list.as_ref().is_some_and(|p| p.complete()) {
            if let (Some(pending), Some((now, _))) = (list.take(), &batch) {
                let (instance, event) = pending.into_event();
                deliver(&mut hosted, instance, *now, event, &mut reply)?;
            }
        }
    }
}

fn deliver(
    hosted: &mut Hosted,
    instance: u32,
    now: f64,
    event: Event,
    reply: &mut Reply,
) -> Result<(), String> {
    let Some(Instance { limiter: Some(limiter), life }) = hosted.get_mut(&instance) else { return Ok(()) };
    let mut actions: Vec<Action> = Vec::new();
    let run = catch_unwind(AssertUnwindSafe(|| limiter.handle(now, event, &mut actions)));
    let lines = &mut reply.lines;
    let written = match run {
        Ok(()) => actions.iter().try_for_each(|a| wire::write(lines, (instance, *life), a)),
        Err(_) => writeln!(lines, "FAULT {instance} the decision module panicked"),
    };
    reply.parts.push((instance, reply.lines.len()));
    written.map_err(write_fault)
}

fn write_fault(e: io::Error) -> String {
    format!("cannot write: {e}")
}
