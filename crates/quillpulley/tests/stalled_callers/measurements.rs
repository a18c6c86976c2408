//! Measurements by hand: how long other callers wait, and how much memory a proxy needs.

use crate::callers::{Behaviour, Listener, StalledCallers};
use crate::system::{Served, System};
use std::fs;
use std::thread;
use std::time::Duration;

/// How often other callers are served beside each number of stalled ones.
const ROUNDS: usize = 7;
/// How long clients do not read before the memory of the proxy is read.
const UNREAD_TIME: Duration = Duration::from_secs(3);

#[test]
#[ignore = "a measurement, by hand"]
fn measure_how_long_other_callers_wait() {
    let mut system = System::start("measure-waits");
    for behaviour in [Behaviour::Silent, Behaviour::PartialBody, Behaviour::NeverReads] {
        for count in [0, 8, 64, 512] {
            let _stalled = StalledCallers::open(&system, Listener::Control, behaviour, count, 1);
            let rounds = (0..ROUNDS).flat_map(|_| system.serve_others());
            let at_control = rounds.filter(|served| matches!(served.what, "read" | "order"));
            let (served, unserved): (Vec<Served>, Vec<Served>) =
                at_control.partition(|served| served.status == Some(200));
            let unserved = unserved.len();
            let mut waits: Vec<Duration> = served.into_iter().map(|served| served.waited).collect();
            waits.sort();
            let median = waits.get(waits.len() / 2);
            println!(
                "{behaviour:?}, {count} at each control node: median {median:.1?}, maximum {:.1?}, {unserved} not served",
                waits.last()
            );
        }
    }
}

#[test]
#[ignore = "a measurement, by hand"]
fn measure_the_memory_of_a_proxy_whose_clients_do_not_read() {
    for count in [0, 10, 100, 1_000] {
        let mut system = System::start(&format!("measure-memory-{count}"));
        let _stalled = StalledCallers::open(&system, Listener::Front, Behaviour::NeverReads, count, 1);
        thread::sleep(UNREAD_TIME);
        let other = system.serve_others().swap_remove(0);
        let status = fs::read_to_string(format!("/proc/{}/status", system.proxy.id())).unwrap_or_default();
        let fields = status.lines().filter(|line| line.starts_with("VmHWM") || line.starts_with("VmRSS"));
        println!("{count} clients: {:?}, another client: {other}", fields.collect::<Vec<_>>());
    }
}
