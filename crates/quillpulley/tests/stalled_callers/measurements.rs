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
    for behaviour in
        [Behaviour::Silent, Behaviour::HeadByteWise, Behaviour::PartialBody, Behaviour::NeverReads]
    {
        for count in [0, 8, 64, 512, 1_200] {
            let _stalled = StalledCallers::open(&system, Listener::Control, behaviour, count, 1);
            let rounds = (0..ROUNDS).flat_map(|_| system.serve_others());
            let at_control = rounds.filter(|served| matches!(served.what, "read" | "order"));
            let (served, unserved): (Vec<Served>, Vec<Served>) =
                at_control.partition(|served| served.is_served);
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
    for count in [0, 10, 100, 1_000, 2_200] {
        let mut system = System::start(&format!("measure-memory-{count}"));
        let _stalled = StalledCallers::open(&system, Listener::Front, Behaviour::NeverReads, count, 1);
        thread::sleep(UNREAD_TIME);
        let other = system.serve_others().swap_remove(0);
        println!("{count} clients: {}, another client: {other}", memory(system.proxy.id()));
    }
}

#[test]
#[ignore = "a measurement, by hand"]
fn measure_the_memory_of_control_nodes_whose_callers_stall() {
    for behaviour in [Behaviour::Silent, Behaviour::LongPartialBody, Behaviour::NeverReads] {
        for count in [0, 100, 1_000] {
            let mut system = System::start(&format!("measure-control-{behaviour:?}-{count}"));
            let _stalled = StalledCallers::open(&system, Listener::Control, behaviour, count, 1);
            thread::sleep(UNREAD_TIME);
            let in_time = system.serve_others().iter().all(Served::is_in_time);
            let nodes: Vec<String> = system.control_nodes.iter().map(|node| memory(node.id())).collect();
            println!("{behaviour:?}, {count} at each control node: {nodes:?}, others in time: {in_time}");
        }
    }
}

/// Returns the resident memory of a process: now, and at its highest.
fn memory(process: u32) -> String {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let fields = status.lines().filter(|line| line.starts_with("VmHWM") || line.starts_with("VmRSS"));
    fields.map(|line| line.replace('\t', " ")).collect::<Vec<_>>().join(", ")
}
