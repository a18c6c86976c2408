//! Planned work of a day: signals, restarts and changes, drawn from a seed.

use fastrand::Rng;
use std::time::Duration;

/// The lowest and highest pause between the starts of two pieces of work. They overlap, as a restart takes up to
/// `GraceS`.
const PAUSE_MS: std::ops::Range<u64> = 100..1_500;

/// A piece of planned work.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// A proxy gets SIGTERM, and is started again when it has ended.
    RestartProxy,
    /// An agent gets SIGTERM, and is started again when it has ended.
    RestartAgent,
    /// A control node gets SIGTERM, and is started again when it has ended.
    RestartControlNode { number: u8 },
    /// All processes get SIGHUP.
    Reload,
    /// A configuration with these limits and another split of the traffic.
    Configure { idle_timeout_ms: u64, header_timeout_ms: u64, weight: u32 },
    /// A zone is evacuated, and taken back.
    Evacuate { zone: u8 },
}

/// Draws the work of a day: when each piece begins, since the start of the day.
pub fn draw(random: &mut Rng, control_nodes: u8, time: Duration) -> Vec<(Duration, Work)> {
    let mut work = Vec::new();
    let mut at = Duration::from_millis(random.u64(PAUSE_MS));
    while at < time {
        work.push((at, draw_one(random, control_nodes)));
        at += Duration::from_millis(random.u64(PAUSE_MS));
    }
    work
}

fn draw_one(random: &mut Rng, control_nodes: u8) -> Work {
    match random.u32(0..12) {
        0..=2 => Work::RestartProxy,
        3 => Work::RestartAgent,
        4 => Work::RestartControlNode { number: random.u8(1..=control_nodes) },
        5..=6 => Work::Reload,
        7..=10 => Work::Configure {
            idle_timeout_ms: *random.choice(&[1_000, 1_000, 3_000, 15_000]).expect("a choice"),
            header_timeout_ms: *random.choice(&[500, 3_000]).expect("a choice"),
            weight: random.u32(1..100),
        },
        _ => Work::Evacuate { zone: random.u8(1..=control_nodes) },
    }
}
