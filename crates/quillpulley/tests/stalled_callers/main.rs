//! Callers that stall in every way, on every listener of real processes: whatever they do, other callers are served
//! in time.
//!
//! ```sh
//! STALLED_SEEDS=1-50 cargo test --release --locked -p quillpulley --test stalled_callers
//! cargo test --release --locked -p quillpulley --test stalled_callers -- --ignored --nocapture   # measurements
//! ```

#[allow(dead_code)] // `tests/soak` uses the rest.
#[path = "../soak/answers.rs"]
mod answers;
mod callers;
#[allow(dead_code)] // `tests/system` uses the rest.
#[path = "../system/http.rs"]
mod http;
mod links;
#[allow(dead_code)]
#[path = "../system/machines.rs"]
mod machines;
mod measurements;
#[allow(dead_code)]
#[path = "../system/platform.rs"]
mod platform;
#[allow(dead_code)]
#[path = "../system/processes.rs"]
mod processes;
#[allow(dead_code)]
#[path = "../soak/server.rs"]
mod server;
mod system;

use callers::{Behaviour, Listener, StalledCallers};
use fastrand::Rng;
use std::env;
use system::System;

/// The number of stalled callers of a listener.
const CALLERS: std::ops::Range<usize> = 16..96;
/// The numbers of stalled callers of links: below and at the limits of agents and control nodes, and far beyond both.
const LINK_CALLERS: [usize; 4] = [95, 128, 256, 600];

/// Which listeners are beset by callers of each behaviour.
const TABLE: &str = "
    behaviour        | front ready control directory peers agent-peers
    silent           | yes   yes   yes     yes       yes   yes
    head-byte-wise   | yes   yes   yes     yes       yes   yes
    partial-body     | yes   yes   yes     yes       -     -
    longer-body      | yes   yes   yes     yes       -     -
    reset            | yes   yes   yes     yes       yes   yes
    never-reads      | yes   yes   yes     yes       yes   yes
";

fn cases() -> Vec<(Listener, Behaviour)> {
    let mut lines = TABLE.lines().filter(|line| !line.trim().is_empty());
    let columns = lines.next().expect("a header").split('|').nth(1).expect("columns");
    let listeners: Vec<Listener> = columns.split_whitespace().map(Listener::parse).collect();
    let mut cases = Vec::new();
    for line in lines {
        let (behaviour, cells) = line.split_once('|').expect("a row");
        let behaviour = Behaviour::parse(behaviour.trim());
        let cells = cells.split_whitespace().zip(&listeners);
        cases.extend(cells.filter(|(cell, _)| *cell == "yes").map(|(_, listener)| (*listener, behaviour)));
    }
    cases
}

fn seeds() -> std::ops::RangeInclusive<u64> {
    let seeds = env::var("STALLED_SEEDS").unwrap_or_else(|_| "1-1".to_string());
    let (first, last) = seeds.split_once('-').expect("STALLED_SEEDS is FIRST-LAST");
    first.parse().expect("a number")..=last.parse().expect("a number")
}

/// Guards against callers that stall and hold up all others.
#[test]
fn stalled_callers_hold_up_nobody() {
    let mut system = System::start("stalled");
    let mut late = Vec::new();
    for seed in seeds() {
        let mut random = Rng::with_seed(seed);
        let mut cases = cases();
        random.shuffle(&mut cases);
        for (listener, behaviour) in cases {
            let count = random.usize(CALLERS);
            let case_late = serve_beside(&mut system, listener, behaviour, count, random.u64(..));
            late.extend(case_late.into_iter().map(|case| format!("seed {seed}, {case}")));
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}

/// Guards against callers without a `Hello` that keep processes of the system from opening links.
#[test]
fn stalled_callers_of_links_beyond_their_limits_hold_up_nobody() {
    let mut system = System::start("stalled-links");
    let at_links =
        |(listener, _): &(Listener, Behaviour)| matches!(listener, Listener::Peers | Listener::AgentPeers);
    let mut late = Vec::new();
    for (listener, behaviour) in cases().into_iter().filter(at_links) {
        for count in LINK_CALLERS {
            late.extend(serve_beside(&mut system, listener, behaviour, count, count as u64));
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}

/// Serves others beside stalled callers. Returns those that were not served in time.
fn serve_beside(
    system: &mut System,
    listener: Listener,
    behaviour: Behaviour,
    count: usize,
    seed: u64,
) -> Vec<String> {
    let _stalled = StalledCallers::open(system, listener, behaviour, count, seed);
    let served = system.serve_others();
    let late = served.iter().filter(|served| !served.is_in_time());
    late.map(|served| format!("{count} {behaviour:?} at {listener:?}: {served}")).collect()
}
