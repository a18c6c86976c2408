//! The protocol of the simulator: parses lines into events and settings, and formats actions as lines.

use super::error::LineError;
use super::line::Line;
use rate_limiter::{
    Action, AttemptResult, CounterResponse, Event, LoadReport, Outcome, Request, ServerEntry, ServerState,
    Settings,
};
use std::io::{self, Write};
use std::sync::Arc;

/// The keywords of lines that concern a limiter. Other lines are ignored.
const KNOWN_KEYWORDS: [&str; 10] = [
    "PROVISION",
    "REGISTRY",
    "SUBMIT",
    "FIRST",
    "ENDED",
    "DESTROY",
    "CLIENT_GONE",
    "TOTAL",
    "HEALTH_RESULT",
    "ALARM",
];

/// The header of a batch.
pub struct Batch {
    /// The time of all events of the batch, in seconds.
    pub now: f64,
    pub number: u64,
}

/// Identifies one limiter among those that successively have the same instance number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation {
    pub instance: u32,
    /// The number of limiters with this instance number that ended before.
    pub incarnation: u32,
}

/// The content of a line within a batch.
pub enum Message {
    /// The end of the batch.
    End,
    /// A limiter is started.
    Start { instance: u32, seed: u64, settings: Box<Settings> },
    /// A limiter is stopped.
    Stop(u32),
    /// A server list, whose entries follow as separate lines.
    List(PendingList),
    /// An event for a limiter.
    Event { instance: u32, event: Event },
    /// A timer fires that was set by this incarnation.
    Timer { target: Incarnation, token: u64 },
    /// The line does not concern a limiter.
    Ignored,
}

/// A server list whose entries are being read.
pub struct PendingList {
    instance: u32,
    kind: ListKind,
    remaining: usize,
    entries: Vec<ServerEntry>,
}

enum ListKind {
    Complete,
    Changes,
    Failed,
}

impl PendingList {
    pub fn is_complete(&self) -> bool {
        self.remaining == 0
    }

    /// Adds the entry in an `ITEM` line.
    pub fn push(&mut self, line: &Line) -> Result<(), LineError> {
        if line.keyword() != "ITEM" {
            return Err(line.unexpected(&format!("{} more ITEM lines are due", self.remaining)));
        }
        let state = match line.text(5, "status")? {
            "in_service" => ServerState::InService,
            "terminating" => ServerState::Draining,
            // Nothing is sent to a server in an unknown state.
            _ => ServerState::Removed,
        };
        self.entries.push(ServerEntry {
            id: line.text(1, "server")?.into(),
            zone: line.text(2, "region-part")?.into(),
            kind: line.text(3, "flavor")?.into(),
            cell: line.optional(4).map(|_| line.integer(4, "group")).transpose()?.unwrap_or(0),
            state,
            weight: line.optional_number(6, "heft")?.unwrap_or(1.0),
            started_at: line.optional_number(7, "start-time-s")?.filter(|time| *time != 0.0),
        });
        self.remaining -= 1;
        Ok(())
    }

    /// Returns the instance number of the limiter that gets the list, and the event for it.
    pub fn into_event(self) -> (u32, Event) {
        let event = match self.kind {
            ListKind::Complete => Event::ServerList(self.entries),
            ListKind::Changes => Event::ServerChanges(self.entries),
            ListKind::Failed => Event::DiscoveryFailed,
        };
        (self.instance, event)
    }
}

/// Parses the `TURN` line that begins a batch.
pub fn parse_batch(line: &Line) -> Result<Batch, LineError> {
    if line.keyword() != "TURN" {
        return Err(line.unexpected("TURN is due"));
    }
    let number = line.integer(2, "number")?;
    Ok(Batch { now: line.number(1, "clock")?, number })
}

/// Parses a line within a batch, except for the entries of a server list.
pub fn parse_message(line: &Line) -> Result<Message, LineError> {
    match line.keyword() {
        "OVER_TO_YOU" => return Ok(Message::End),
        "TURN" | "ITEM" => return Err(line.unexpected("an event or OVER_TO_YOU is due")),
        "" => return Err(LineError::Empty),
        keyword if !KNOWN_KEYWORDS.contains(&keyword) => return Ok(Message::Ignored),
        _ => {}
    }
    let instance: u32 = line.integer(1, "limiter-id")?;
    match line.keyword() {
        "PROVISION" => parse_start(line, instance),
        "DESTROY" => Ok(Message::Stop(instance)),
        "REGISTRY" => parse_list(line, instance),
        "ALARM" => parse_timer(line, instance),
        _ => Ok(match parse_event(line)? {
            Some(event) => Message::Event { instance, event },
            None => Message::Ignored,
        }),
    }
}

fn parse_start(line: &Line, instance: u32) -> Result<Message, LineError> {
    let settings = serde_json::from_str(line.rest(3, "config")?);
    let settings: Settings = settings.map_err(|error| line.invalid("config", error.to_string()))?;
    Ok(Message::Start { instance, seed: line.integer(2, "rng-seed")?, settings: Box::new(settings) })
}

fn parse_list(line: &Line, instance: u32) -> Result<Message, LineError> {
    let kind = match line.text(2, "kind")? {
        "whole" | "stale_copy" => ListKind::Complete,
        "patch" => ListKind::Changes,
        "broken" => ListKind::Failed,
        other => return Err(line.invalid("kind", format!("unknown: {other:?}"))),
    };
    let remaining = line.optional(4).map(|_| line.integer(4, "elements")).transpose()?.unwrap_or(0);
    Ok(Message::List(PendingList { instance, kind, remaining, entries: Vec::new() }))
}

/// Parses a timer. A timer whose token does not have the format that this program writes is ignored.
fn parse_timer(line: &Line, instance: u32) -> Result<Message, LineError> {
    let reference = line.text(2, "ref")?;
    let (token, incarnation) = reference.split_once('.').unwrap_or((reference, "0"));
    Ok(match (token.parse(), incarnation.parse()) {
        (Ok(token), Ok(incarnation)) => {
            Message::Timer { target: Incarnation { instance, incarnation }, token }
        }
        _ => Message::Ignored,
    })
}

fn parse_event(line: &Line) -> Result<Option<Event>, LineError> {
    let id = || line.integer::<u64>(2, "handle");
    Ok(Some(match line.keyword() {
        "SUBMIT" => Event::Request(Request {
            id: id()?,
            is_retry: line.flag(4, "repeat")?,
            deadline: line.number(5, "due-s")?,
            tenant_limiters: line.number(6, "width")?.max(1.0) as u32,
            units: line.number(7, "weight")?,
            plan: line.text(9, "contract")?.into(),
            class: line.text(10, "profile")?.into(),
            tenant: line.text(11, "api-key")?.into(),
        }),
        "FIRST" => Event::StreamStarted { id: id()? },
        "ENDED" => Event::AttemptFinished(AttemptResult {
            id: id()?,
            attempt: line.integer(3, "n")?,
            finished: line.flag(5, "final")?,
            elapsed: line.number(7, "time-taken-s")?,
            outcome: parse_outcome(line, 8)?,
            units: line.optional_number(9, "actual")?.filter(|units| *units > 0.0),
            report: parse_report(line, 10)?,
        }),
        "CLIENT_GONE" => Event::ClientClosed { id: id()? },
        "TOTAL" => Event::CounterResponse(CounterResponse {
            outcome: parse_outcome(line, 3)?,
            total: line.optional_number(2, "level")?.unwrap_or(0.0),
            elapsed: line.optional_number(4, "time-taken-s")?.unwrap_or(0.0),
            name: line.text(5, "counter")?.into(),
        }),
        "HEALTH_RESULT" => Event::ProbeResponse {
            server: Arc::from(line.text(2, "server")?),
            outcome: parse_outcome(line, 4)?,
            report: parse_report(line, 5)?,
        },
        _ => return Ok(None),
    }))
}

fn parse_outcome(line: &Line, index: usize) -> Result<Outcome, LineError> {
    Ok(match line.integer::<u32>(index, "code")? {
        100 => Outcome::Completed,
        301 => Outcome::Error,
        302 => Outcome::Rejected,
        303 => Outcome::Timeout,
        304 => Outcome::ConnectFailed,
        305 => Outcome::Reset,
        306 => Outcome::Cancelled,
        307 => Outcome::NotSent,
        other => return Err(line.invalid("code", format!("unknown: {other}"))),
    })
}

fn parse_report(line: &Line, index: usize) -> Result<LoadReport, LineError> {
    let mut report = LoadReport::default();
    for pair in line.optional(index).into_iter().flat_map(|text| text.split(',')) {
        let named = pair.split_once(':');
        let (name, value) =
            named.ok_or_else(|| line.invalid("report", format!("not a name:value pair: {pair:?}")))?;
        report.set(name, line.parse_number(value, "report")?);
    }
    Ok(report)
}

/// Writes an action of a limiter as a line.
pub fn write_action(output: &mut impl Write, source: Incarnation, action: &Action) -> io::Result<()> {
    let Incarnation { instance, incarnation } = source;
    match action {
        // The simulator sends requests immediately, so that `send_by` is always met.
        Action::Send { id, server, timeout, send_by: _ } => {
            writeln!(output, "ASSIGN {instance} {id} {timeout} {server}")
        }
        Action::Reject { id, retry_after } => writeln!(output, "SAY_NO {instance} {id} {retry_after}"),
        Action::Fail { id } => writeln!(output, "END_FAILED {instance} {id}"),
        Action::Cancel { id, attempt } => writeln!(output, "STOP_ATTEMPT {instance} {id} {attempt}"),
        Action::AddToCounter { name, amount, ttl } => {
            writeln!(output, "INCR {instance} {name} {amount} {ttl}")
        }
        Action::SetTimer { at, token } if incarnation == 0 => {
            writeln!(output, "DEFER {instance} {at} {token}")
        }
        // Timers cannot be cancelled. The incarnation is added to the token so that a timer of an earlier limiter is not
        // delivered to a later one.
        Action::SetTimer { at, token } => writeln!(output, "DEFER {instance} {at} {token}.{incarnation}"),
        Action::Probe { server } => writeln!(output, "TEST {instance} {server}"),
        Action::WatchServers => writeln!(output, "FOLLOW {instance} 1"),
    }
}
