//! Timelines of faults as text: a line has a time in milliseconds and an event.
//!
//! | event | meaning |
//! | --- | --- |
//! | `configure every MS` | publishes a new version of the configuration at this interval |
//! | `churn N` | replaces N servers in every second |
//! | `kill MACHINES for MS` | kills the processes; the machines keep their power |
//! | `power MACHINES for MS` | takes the power: the machines say nothing |
//! | `freeze MACHINES for MS` | stops the processes: they accept connections and say nothing |
//! | `cut MACHINES for MS` | cuts the network between these machines and all others |
//! | `part MACHINES from MACHINES for MS` | cuts the network between the two groups; all others reach both |
//! | `restart MACHINES` | sends SIGTERM, and starts the processes again a second after they have ended |
//! | `roll MACHINES every MS` | restarts the machines one after the other at this interval |
//!
//! `MACHINES` is `b#1` or `b#1-3` (agents of zone b by rank), `agents of b`, `zone b` or `region east` (also their control
//! nodes), `control 2`, `16%` (of all agents, chosen by the seed), or several of them with `+`.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    Kill,
    Power,
    Freeze,
    Cut,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    Configure { every_ms: u64 },
    Churn { servers: usize },
    Fault { kind: FaultKind, machines: Vec<Selector>, for_ms: u64 },
    Part { machines: Vec<Selector>, from: Vec<Selector>, for_ms: u64 },
    Restart { machines: Vec<Selector> },
    Roll { machines: Vec<Selector>, every_ms: u64 },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Selector {
    /// The agents of a zone with these ranks, from 1.
    Ranks {
        zone: String,
        first: usize,
        last: usize,
    },
    AgentsOf(String),
    Zone(String),
    Region(String),
    /// The control node with this number, from 1.
    Control(usize),
    /// The machine with this name.
    Machine(String),
    PercentOfAgents(usize),
}

/// Returns the commands of a timeline with their times in milliseconds.
pub fn parse(text: &str) -> Vec<(u64, Command)> {
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    lines.map(parse_line).collect()
}

fn parse_line(line: &str) -> (u64, Command) {
    let (time, event) = line.split_once('|').unwrap_or_else(|| panic!("a line has two columns: {line}"));
    let (verb, rest) = event.trim().split_once(' ').unwrap_or_else(|| panic!("no arguments: {line}"));
    let number = |text: &str| -> u64 { text.trim().parse().unwrap_or_else(|_| panic!("no number: {line}")) };
    let split = |word: &str| rest.split_once(word).unwrap_or_else(|| panic!("no '{word}': {line}"));
    let fault = |kind| {
        let (machines, duration) = split(" for ");
        Command::Fault { kind, machines: selectors(machines), for_ms: number(duration) }
    };
    let command = match verb {
        "configure" => Command::Configure { every_ms: number(split("every ").1) },
        "churn" => Command::Churn { servers: number(rest) as usize },
        "kill" => fault(FaultKind::Kill),
        "power" => fault(FaultKind::Power),
        "freeze" => fault(FaultKind::Freeze),
        "cut" => fault(FaultKind::Cut),
        "part" => {
            let (machines, rest) = split(" from ");
            let (from, duration) = rest.split_once(" for ").unwrap_or_else(|| panic!("no 'for': {line}"));
            Command::Part { machines: selectors(machines), from: selectors(from), for_ms: number(duration) }
        }
        "restart" => Command::Restart { machines: selectors(rest) },
        "roll" => {
            let (machines, interval) = split(" every ");
            Command::Roll { machines: selectors(machines), every_ms: number(interval) }
        }
        _ => panic!("unknown event: {line}"),
    };
    (number(time), command)
}

fn selectors(text: &str) -> Vec<Selector> {
    text.split('+').map(|part| selector(part.trim())).collect()
}

fn selector(text: &str) -> Selector {
    let number = |text: &str| -> usize { text.parse().unwrap_or_else(|_| panic!("no number: {text}")) };
    if let Some(percent) = text.strip_suffix('%') {
        return Selector::PercentOfAgents(number(percent));
    }
    if let Some((zone, ranks)) = text.split_once('#') {
        let (first, last) = ranks.split_once('-').unwrap_or((ranks, ranks));
        return Selector::Ranks { zone: zone.to_string(), first: number(first), last: number(last) };
    }
    match text.split_once(' ') {
        Some(("zone", zone)) => Selector::Zone(zone.to_string()),
        Some(("region", region)) => Selector::Region(region.to_string()),
        Some(("control", control)) => Selector::Control(number(control)),
        Some(("agents", rest)) => Selector::AgentsOf(rest.trim_start_matches("of ").to_string()),
        _ => panic!("unknown machines: {text}"),
    }
}
