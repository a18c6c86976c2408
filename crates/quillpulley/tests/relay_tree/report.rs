//! Texts about the machines whose state was too old.

use crate::topology::ROOT;
use crate::world::{Parameters, World};
use std::fmt::Write;

/// The time before a machine was too late from which its history is printed.
const HISTORY_US: u64 = 8_000_000;
/// The number of late machines whose history is printed.
const MAX_HISTORIES: usize = 3;

/// Returns a line with the greatest age.
pub fn summary(world: &World) -> String {
    let Some((age, machine, at)) = world.measurement.oldest else { return "nothing was measured".into() };
    format!(
        "the oldest state: {} ms at {} at {} ms; {} machines late",
        age / 1_000,
        world.places[machine].name,
        at / 1_000,
        world.measurement.late.len()
    )
}

/// Returns a list of the late machines, with the histories of some of them and of the machines that they name.
pub fn late_machines(world: &World, parameters: Parameters, start_ms: u64) -> String {
    let mut text = format!("{}, {parameters:?}; times in ms from the start, ", summary(world));
    let _ = writeln!(text, "the timeline begins at {start_ms}");
    let mut late: Vec<_> = world.measurement.late.iter().collect();
    late.sort_by_key(|(_, late)| late.since);
    for (machine, late) in &late {
        let name = &world.places[**machine].name;
        let (since, age, at) = (late.since / 1_000, late.max_age_us / 1_000, late.at / 1_000);
        let _ = writeln!(text, "{name} late since {since}, {age} ms old at {at}");
    }
    for (machine, late) in late.iter().take(MAX_HISTORIES) {
        write_history(world, **machine, late.at, &mut text);
        for other in named_machines(world, **machine, late.at) {
            write_history(world, other, late.at, &mut text);
        }
    }
    text
}

fn history(world: &World, machine: usize, until: u64) -> impl Iterator<Item = &(u64, String)> {
    let lines = world.history[machine].iter();
    lines.filter(move |(at, _)| *at <= until && *at + HISTORY_US >= until)
}

fn write_history(world: &World, machine: usize, until: u64, text: &mut String) {
    let place = &world.places[machine];
    let _ = writeln!(text, "\n{} ({}):", place.name, place.settings.ip);
    for (at, line) in history(world, machine, until) {
        let _ = writeln!(text, "{:>8} {line}", at / 1_000);
    }
}

/// Returns the machines that have been parents of a machine, or candidates for it, except for the root.
fn named_machines(world: &World, machine: usize, until: u64) -> Vec<usize> {
    let lines: Vec<&str> = history(world, machine, until).map(|(_, line)| line.as_str()).collect();
    let is_named = |other: &usize| {
        let ip = format!("({})", world.places[*other].settings.ip);
        lines.iter().any(|line| line.starts_with("uses") && line.contains(&ip))
    };
    (0..world.places.len()).filter(|other| *other != ROOT && *other != machine && is_named(other)).collect()
}
