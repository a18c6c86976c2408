//! Members that receive a state transfer and crash in one of their writes.

use super::StableCluster;

/// Enough commands for the log to be compacted, so that the state is transferred as a snapshot.
const COMMANDS: usize = 30;
/// The number of writes until the machine is a member and a witness again.
const WRITES: u64 = 7;

/// A wiped member crashes in its write number `write`, and 10 ms later the primary loses power. Both restart.
fn crash_in_write(seed: u64, write: u64, loses_power: bool) {
    let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
    for _ in 0..COMMANDS {
        let leader = cluster.simulation.leader().expect("no primary");
        cluster.simulation.propose(leader);
        cluster.simulation.run_for(60);
    }
    cluster.run_timeline("time | B\n 0 | power-loss wipe\n 100 | start");
    let member = cluster.names[1].1;
    let is_writing = |simulation: &crate::harness::Simulation| simulation.write_count(member) >= write;
    assert!(cluster.simulation.run_until(5000, is_writing), "the member does not start write {write}");
    let operation = if loses_power { "power-loss" } else { "kill" };
    cluster.run_timeline(&format!(
        "time | P              | B              | C              | *
            0 |                | {operation}    |                |
           10 | power-loss     |                |                |
          200 | start          | start          |                |
         3200 |                |                |                | propose=1
         4200 |                |                |                | acked=1
         8000 | member witness | member witness | member witness |"
    ));
    let end = cluster.simulation.applied_index(cluster.simulation.leader().expect("no primary"));
    assert!((0..3).all(|machine| cluster.simulation.applied_index(machine) >= end));
}

#[test]
fn a_member_crashes_in_any_write_of_an_install() {
    for write in 1..=WRITES {
        for seed in 0..6 {
            crash_in_write(seed, write, seed % 2 == 0);
        }
    }
}
