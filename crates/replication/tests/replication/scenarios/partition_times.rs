//! A machine that is partitioned for 20 s: when it stops serving reads, when another primary is elected, and
//! what happens after the partition has ended. Times count from the start or from the end of the partition.

use super::{three, StableCluster, SEEDS};
use crate::harness::Simulation;

const PARTITION_MS: u64 = 20_000;
/// The part of its lease that a primary relies on, from the request of the last round that was granted.
const USED_LEASE_MS: u64 = 810;
/// The maximum time after the start of a partition at which a message sent before it arrives.
const MAX_DELAY_MS: u64 = 25;

/// The directions in which a machine is partitioned from all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Partition {
    Both,
    /// The machine receives no messages.
    In,
    /// The messages of the machine reach nobody.
    Out,
}

fn isolate(simulation: &mut Simulation, machine: usize, partition: Partition) {
    for other in (0..simulation.machines.len()).filter(|other| *other != machine) {
        if partition != Partition::Out {
            simulation.network.partition(other, machine);
        }
        if partition != Partition::In {
            simulation.network.partition(machine, other);
        }
    }
    simulation.detect_partitions();
}

/// Runs until a condition holds, which must happen within `limit` ms. Returns the time until then in
/// milliseconds.
fn time_until(
    simulation: &mut Simulation,
    limit: u64,
    what: &str,
    condition: impl Fn(&Simulation) -> bool,
) -> u64 {
    let began = simulation.now;
    let held = simulation.run_until(limit, condition);
    assert!(held, "does not happen within {limit} ms: {what}\n{}", simulation.trace.join("\n"));
    simulation.now - began
}

/// What a primary does while it is partitioned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Load {
    Idle,
    /// It sends the entry of a command repeatedly.
    Command,
}

/// Partitions the primary. Returns the maximum time over all seeds until another machine leads.
fn max_time_until_another_leads(partition: Partition, load: Load) -> u64 {
    let times = (0..SEEDS).map(|seed| {
        let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
        let primary = cluster.names[0].1;
        let simulation = &mut cluster.simulation;
        isolate(simulation, primary, partition);
        if load == Load::Command {
            simulation.propose(primary);
        }
        let another_leads =
            |simulation: &Simulation| simulation.leader().is_some_and(|leader| leader != primary);
        time_until(simulation, 5000, "another primary", another_leads)
    });
    times.max().unwrap_or_default()
}

#[test]
fn a_partitioned_primary_stops_when_its_lease_expires() {
    three(
        "time | P                    | B       | C       | *
            0 | partition            |         |         |
          700 | propose=1            |         |         |
          810 | no-lease             |         |         |
          925 | no-hint              | no-hint | no-hint |
         1310 | deposed              |         |         |
        20000 | not-acked=1 no-hint  |         |         |",
    );
}

#[test]
fn a_primary_that_receives_nothing_stops_when_its_lease_expires() {
    three(
        "time | P                | B | C | *
            0 | partition-in     |   |   |
          810 | no-lease no-hint |   |   |
         1310 | deposed          |   |   |
        20000 | no-hint          |   |   |",
    );
}

#[test]
fn a_primary_whose_messages_are_lost_stops_when_its_lease_expires() {
    three(
        "time | P             | B | C | *
            0 | partition-out |   |   |
          810 | no-lease      |   |   |
         1310 | deposed       |   |   |
        20000 | deposed       |   |   |",
    );
}

#[test]
fn another_primary_is_elected_after_any_kind_of_partition() {
    for load in [Load::Idle, Load::Command] {
        let max_times = [Partition::Both, Partition::In, Partition::Out]
            .map(|partition| max_time_until_another_leads(partition, load));
        println!(
            "{load:?}: maximum times until another primary leads, partitioned in both directions, inbound, outbound: {max_times:?} ms"
        );
        assert!(max_times.iter().all(|time| *time <= 1500), "{load:?} {max_times:?}");
    }
}

#[test]
fn a_primary_that_receives_nothing_for_less_than_its_lease_keeps_it() {
    // The primary sends probes from 225 ms on, and requests the lease again after the first reply. Nobody
    // campaigns.
    three(
        "time | P            | B       | C       | *
            0 | partition-in |         |         |
          450 | heal leads   |         |         |
         1000 | leads        | hints:P | hints:P |
         1000 | propose=1    |         |         |
         1200 | acked=1      |         |         |
         5000 | leads        | hints:P | hints:P |",
    );
}

#[test]
fn heartbeats_without_the_lease_do_not_prevent_an_election() {
    // The others receive the heartbeats of the primary all the time. They still elect another primary, which
    // then remains the primary.
    for seed in 0..SEEDS {
        let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
        let primary = cluster.names[0].1;
        let simulation = &mut cluster.simulation;
        isolate(simulation, primary, Partition::In);
        let another_leads =
            |simulation: &Simulation| simulation.leader().is_some_and(|leader| leader != primary);
        time_until(simulation, 1500, "another primary", another_leads);
        let leader = simulation.leader();
        simulation.run_until(PARTITION_MS, |simulation| simulation.leader() != leader);
        assert_eq!(simulation.leader(), leader, "{}", simulation.trace.join("\n"));
    }
}

#[test]
fn a_partitioned_backup_names_no_primary_after_the_time_of_a_lease() {
    for partition in ["partition", "partition-in"] {
        three(&format!(
            "time | P               | B              | C       | *
                0 |                 | {partition}          |         |
              800 | leads           |                | hints:P |
              925 | leads           | no-hint        | hints:P |
            10000 | leads propose=1 | no-hint        | hints:P |
            10200 | leads acked=1   | no-hint        | hints:P |
            20000 | leads           | heal           | hints:P |
            22000 | leads           | hints:P member | hints:P |"
        ));
    }
}

#[test]
fn a_backup_whose_messages_are_lost_names_the_primary_while_connected() {
    // Without acknowledgements the primary closes the connection after 1 s.
    three(
        "time | P               | B                 | C       | *
            0 |                 | partition-out     |         |
          800 | leads           | hints:P           | hints:P |
         2000 | leads propose=1 | no-hint no-member | hints:P |
         2200 | leads acked=1   | no-hint           | hints:P |
         2200 |                 | heal              |         |
         5000 | leads           | hints:P member    | hints:P |",
    );
}

/// Partitions a machine for 20 s and ends the partition. Checks that the primary remains the primary for the
/// next 10 s. Returns the maximum time over all seeds until the machine names that primary.
fn max_time_until_primary_is_named(index: usize, partition: Partition) -> u64 {
    let times = (0..SEEDS).map(|seed| {
        let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
        let machine = cluster.names[index].1;
        let simulation = &mut cluster.simulation;
        isolate(simulation, machine, partition);
        simulation.run_for(PARTITION_MS);
        let leader = simulation.leader().expect("no primary during the partition");
        simulation.network.heal_all();
        let time = time_until(simulation, 3000, "the machine names the primary", |simulation| {
            simulation.hinted_primary(machine) == Some(leader)
        });
        simulation.run_until(10_000, |simulation| simulation.leader() != Some(leader));
        assert_eq!(
            simulation.leader(),
            Some(leader),
            "the primary was deposed\n{}",
            simulation.trace.join("\n")
        );
        assert!(
            simulation.members().contains(&machine),
            "the machine was not added again\n{}",
            simulation.trace.join("\n")
        );
        time
    });
    times.max().unwrap_or_default()
}

#[test]
fn a_machine_that_rejoins_names_the_primary_soon_and_does_not_depose_it() {
    for (index, name) in [(0, "the old primary"), (1, "a backup")] {
        let max_times = [Partition::Both, Partition::In, Partition::Out]
            .map(|partition| max_time_until_primary_is_named(index, partition));
        println!("{name} names the primary within {max_times:?} ms");
        assert!(max_times.into_iter().all(|time| time <= 400), "{name}: {max_times:?}");
    }
}

#[test]
fn a_lease_round_from_before_a_freeze_gives_no_lease_after_it() {
    // The primary is frozen for longer than its lease. Grants that were in flight are handled after it
    // resumes, and count from the time of their requests.
    for seed in 0..SEEDS {
        let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
        let primary = cluster.names[0].1;
        let simulation = &mut cluster.simulation;
        let time = 1 + seed * 13 % 150;
        simulation.run_for(time);
        simulation.freeze(primary);
        simulation.run_for(USED_LEASE_MS + MAX_DELAY_MS);
        simulation.resume(primary);
        assert_ne!(simulation.leader(), Some(primary), "{}", simulation.trace.join("\n"));
        assert_ne!(simulation.hinted_primary(primary), Some(primary));
    }
}
