//! Random timelines of faults.

use std::fmt::Write;

/// The times at which faults begin, in milliseconds after the first event.
const FAULTS_UNTIL_MS: u64 = 10_000;
const MAX_FAULTS: u64 = 6;

/// Returns the timeline of a seed.
pub fn timeline(seed: u64) -> String {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut text = format!("0 | configure every {}\n", random.u64(200..1_000));
    if random.bool() {
        let _ = writeln!(text, "0 | churn {}", random.u64(1..60));
    }
    for _ in 0..random.u64(1..=MAX_FAULTS) {
        let (at, fault) = (random.u64(0..FAULTS_UNTIL_MS), fault(&mut random));
        let _ = writeln!(text, "{at} | {fault}");
    }
    text
}

/// Returns the timeline of a seed, in which one or two control nodes get no updates from the root for some time.
pub fn timeline_with_stale_control_nodes(seed: u64) -> String {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut text = timeline(seed);
    let first = random.u64(2..=5);
    let second = random.u64(2..=5);
    let (at, duration) = (random.u64(0..3_000), random.u64(4_000..16_000));
    let _ = writeln!(text, "{at} | part control {first} + control {second} from control 1 for {duration}");
    text
}

fn fault(random: &mut fastrand::Rng) -> String {
    let duration = random.u64(100..6_000);
    let machines = machines(random);
    match random.u8(0..6) {
        0 => format!("kill {machines} for {duration}"),
        1 => format!("power {machines} for {duration}"),
        2 => format!("freeze {machines} for {duration}"),
        3 => format!("cut {machines} for {duration}"),
        4 => format!("restart {machines}"),
        _ => format!("roll {machines} every {}", duration / 10),
    }
}

fn machines(random: &mut fastrand::Rng) -> String {
    let zone = ["a", "b", "c"][random.usize(0..3)];
    let first = random.u64(1..5);
    match random.u8(0..8) {
        0..3 => format!("{zone}#{first}-{}", first + random.u64(0..4)),
        3 => format!("agents of {zone}"),
        4 => format!("zone {zone}"),
        5 => "region east".to_string(),
        6 => format!("control {}", random.u64(2..=5)),
        _ => format!("{}%", random.u64(1..40)),
    }
}
