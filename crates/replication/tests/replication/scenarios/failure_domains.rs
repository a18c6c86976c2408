//! Failure domains: which losses a view survives, and how replicas behave while its members are in too few
//! zones or regions.

use quickcheck::{quickcheck, TestResult};
use quillpulley_protocol::{NodeId, View, WitnessRecord};
use quillpulley_replication::{Event, FaultTolerance, Locality, Options, Recovered, Replica, Role};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use super::SEEDS;
use crate::harness::command_history::CommandHistory;
use crate::harness::{DiskMode, Simulation, SimulationOptions};

/// The time within which a command has to be acknowledged: the default of `AckMs`.
const ACKNOWLEDGE_TIMEOUT_MS: u64 = 5000;

/// The zones and regions of machines.
const A: (&str, &str) = ("zone-a", "east");
const A2: (&str, &str) = ("zone-a2", "east");
const B: (&str, &str) = ("zone-b", "west");
const B2: (&str, &str) = ("zone-b2", "west");
const C: (&str, &str) = ("zone-c", "north");

/// Returns a simulation of machines in these zones and regions, all of them members. One machine, one zone or
/// one region may be lost.
fn start_simulation(seed: u64, localities: &[(&'static str, &'static str)]) -> Simulation {
    let options = SimulationOptions {
        seed,
        tolerated_zones: 1,
        tolerated_regions: 1,
        localities: localities.to_vec(),
        ..SimulationOptions::default()
    };
    let mut simulation = Simulation::first_start(options, localities.len(), 3);
    let is_complete = |simulation: &Simulation| simulation.members().len() == localities.len();
    assert!(simulation.run_until(6000, is_complete), "{}", simulation.trace.join("\n"));
    simulation.run_for(2000 + seed * 37 % 150);
    simulation
}

/// Proposes a command. Returns whether it is acknowledged within `within` ms; `false` without a leader.
fn acknowledges(simulation: &mut Simulation, within: u64) -> bool {
    let Some(leader) = simulation.leader() else { return false };
    let command = simulation.propose(leader);
    simulation.run_until(within, |simulation| simulation.is_acknowledged(command))
}

fn assert_serves_again(simulation: &mut Simulation) {
    let is_led = simulation.run_until(4000, |simulation| simulation.leader().is_some());
    assert!(is_led, "no machine leads\n{}", simulation.trace.join("\n"));
    assert!(acknowledges(simulation, 3000), "{}", simulation.trace.join("\n"));
}

#[test]
fn a_command_waits_for_a_node_in_another_region_that_is_joining() {
    for seed in 0..SEEDS {
        let mut simulation = start_simulation(seed, &[A, A2, B]);
        simulation.kill(2, false);
        simulation.run_for(2500);
        let durability = simulation.durability().expect("no view");
        assert!(durability.members.regions && !durability.members.zones && !durability.members.machines);
        assert!(
            acknowledges(&mut simulation, 200),
            "a command waits although no node in another region could join"
        );

        simulation.start(2);
        let leader = simulation.leader().expect("no primary");
        let id = simulation.machines[2].id;
        let knows = |simulation: &Simulation| {
            let replica = simulation.machines[leader].replica.as_ref();
            replica.is_some_and(|replica| replica.locality_of(id).is_some()) && simulation.is_running(2)
        };
        assert!(simulation.run_until(1000, knows));
        simulation.run_for(250);
        assert!(!simulation.members().contains(&2), "the machine in the other region is a member too early");
        let command = simulation.propose(leader);
        assert!(
            simulation.run_until(ACKNOWLEDGE_TIMEOUT_MS, |simulation| simulation.is_acknowledged(command))
        );
        assert!(
            simulation.members().contains(&2),
            "the command was acknowledged in one region only\n{}",
            simulation.trace.join("\n")
        );
        assert!(simulation.durability().is_some_and(|durability| durability.members.is_empty()));
    }
}

#[test]
fn a_command_does_not_wait_long_for_a_node_that_cannot_join() {
    for seed in 0..SEEDS {
        let mut simulation = start_simulation(seed, &[A, A2, B]);
        simulation.set_disk(2, DiskMode::Full);
        acknowledges(&mut simulation, 500);
        simulation.run_for(3000);
        for _ in 0..8 {
            assert!(
                acknowledges(&mut simulation, ACKNOWLEDGE_TIMEOUT_MS - 2000),
                "{}",
                simulation.trace.join("\n")
            );
            simulation.run_for(130);
        }
    }
}

#[test]
fn a_command_waits_only_briefly_for_a_node_that_replies_but_cannot_store() {
    for seed in 0..SEEDS {
        let mut simulation = start_simulation(seed, &[A, A2, B]);
        simulation.kill(2, false);
        simulation.run_for(2500);
        simulation.start(2);
        // After the machine has promised the epoch, it answers the primary even while its disk hangs.
        let epoch = |simulation: &Simulation| {
            let leader =
                simulation.leader().and_then(|leader| simulation.machines[leader].replica.as_ref())?;
            leader.view().map(|view| view.epoch)
        };
        let has_promised = |simulation: &Simulation| {
            let record = simulation.machines[2].disk.record.as_ref();
            record.map(|record| record.promised) == epoch(simulation)
        };
        assert!(simulation.run_until(1000, has_promised));
        simulation.set_disk(2, DiskMode::Hangs);
        simulation.run_for(200);
        let begin = simulation.now;
        assert!(
            acknowledges(&mut simulation, ACKNOWLEDGE_TIMEOUT_MS - 2000),
            "{}",
            simulation.trace.join("\n")
        );
        assert!(simulation.now > begin + 500, "the command did not wait for the node");
        // The wait is not repeated for every command.
        for _ in 0..5 {
            assert!(acknowledges(&mut simulation, 200), "{}", simulation.trace.join("\n"));
        }
    }
}

#[test]
fn a_cluster_in_one_region_acknowledges_commands_in_a_degraded_state() {
    for seed in 0..SEEDS {
        let mut simulation = start_simulation(seed, &[A, A, A]);
        assert!(acknowledges(&mut simulation, 200));
        let durability = simulation.durability().expect("no view");
        assert!(durability.members.zones && durability.members.regions && !durability.members.machines);
        assert!(durability.witnesses.zones && durability.witnesses.regions);
    }
}

#[test]
fn a_region_with_two_of_four_machines_may_be_lost() {
    for seed in 0..SEEDS {
        let mut simulation = start_simulation(seed, &[A, B, C, A2]);
        assert!(
            simulation.durability().is_some_and(|durability| durability.is_covered()),
            "{}",
            simulation.trace.join("\n")
        );
        assert!(acknowledges(&mut simulation, 500));
        simulation.remove(0);
        simulation.remove(3);
        assert_serves_again(&mut simulation);
    }
}

#[test]
fn witnesses_are_spread_over_the_regions() {
    for seed in 0..SEEDS {
        let mut simulation = start_simulation(seed, &[A, A2, B, C]);
        assert!(
            simulation.durability().is_some_and(|durability| durability.is_covered()),
            "{}",
            simulation.trace.join("\n")
        );
        assert!(acknowledges(&mut simulation, 500));
        simulation.kill(0, true);
        simulation.kill(1, true);
        simulation.wipe(0);
        simulation.wipe(1);
        assert_serves_again(&mut simulation);
    }
}

/// Signals a machine to shut down. Returns the time in milliseconds until it may exit.
fn time_to_exit(simulation: &mut Simulation, machine: usize) -> u64 {
    let signalled_at = simulation.now;
    simulation.shut_down(machine);
    assert!(
        simulation.run_until(7000, |simulation| simulation.can_exit(machine)),
        "{}",
        simulation.trace.join("\n")
    );
    simulation.now - signalled_at
}

/// The only member of a region is signalled to shut down, 200 ms and `delay` ms after another machine was
/// started in the same region. Checks that it may exit only when that machine is a member.
fn check_exit_waits_for_successor(seed: u64, delay: u64) {
    let mut simulation = start_simulation(seed, &[A, A2, B]);
    let command = simulation.propose(simulation.leader().expect("no primary"));
    simulation.options.localities.push(B2);
    let successor = simulation.add_spare();
    simulation.run_for(200 + delay);
    time_to_exit(&mut simulation, 2);
    simulation.remove(2);
    assert!(simulation.is_acknowledged(command), "{}", simulation.trace.join("\n"));
    // If both machines of the other region lost their disks now, the successor would still hold all
    // acknowledged entries. A primary that was elected just now may not hold its lease yet.
    let leads = |machine: &usize| matches!(simulation.role(*machine), Some(Role::Primary { .. }));
    let leaders = (0..simulation.machines.len()).filter(leads);
    let views = leaders.filter_map(|machine| simulation.machines[machine].replica.as_ref()?.view());
    let view = views.max_by_key(|view| view.epoch);
    let successor = simulation.machines[successor].id;
    let is_member = view.is_some_and(|view| view.primary == successor || view.backups.contains(&successor));
    assert!(is_member, "seed {seed}, {delay} ms\n{}", simulation.trace.join("\n"));
}

#[test]
fn the_only_member_of_a_region_exits_once_its_successor_has_joined() {
    for seed in 0..SEEDS {
        for delay in (0..900).step_by(60) {
            check_exit_waits_for_successor(seed, delay);
        }
    }
}

#[test]
fn the_only_member_of_a_region_does_not_exit_while_its_successor_joins() {
    for seed in 40..46 {
        for delay in (0..600).step_by(5) {
            check_exit_waits_for_successor(seed, delay);
        }
    }
}

#[test]
fn the_only_member_of_a_region_exits_soon_without_a_successor() {
    for seed in 0..SEEDS {
        let mut simulation = start_simulation(seed, &[A, A2, B]);
        let time = time_to_exit(&mut simulation, 2);
        assert!(time < 1000, "{time} ms\n{}", simulation.trace.join("\n"));
        simulation.kill(2, false);
        simulation.run_for(500);
        assert!(acknowledges(&mut simulation, 1000), "{}", simulation.trace.join("\n"));
    }
}

/// Returns the uncovered failures that a replica reports for a view whose nodes are in these zones and
/// regions, as [machines, zones, regions], first for the members and then for the witnesses.
fn uncovered_failures(localities: &[(u8, u8)], tolerated: (usize, usize, usize)) -> [[bool; 3]; 2] {
    let nodes: Vec<NodeId> =
        (0..localities.len()).map(|index| NodeId::new(Ipv4Addr::new(10, 0, 0, 1 + index as u8), 0)).collect();
    let view = View {
        epoch: 5,
        primary: nodes[0],
        backups: nodes[1..].to_vec(),
        witnesses: nodes.clone(),
        previous_witnesses: nodes.clone(),
        activated: true,
    };
    let record =
        WitnessRecord { incarnation: 0, promised: 5, promised_to: nodes[0], accepted: Some(Box::new(view)) };
    let options = Options {
        me: nodes[0],
        locality: Locality {
            zone: format!("zone-{}", localities[0].0),
            region: format!("region-{}", localities[0].1),
        },
        fault_tolerance: FaultTolerance { machines: tolerated.0, zones: tolerated.1, regions: tolerated.2 },
        ..Options::default()
    };
    let recovered = Recovered { record: Some(record), ..Recovered::default() };
    let mut replica = Replica::new(options, recovered, CommandHistory::default(), Duration::ZERO)
        .expect("the replica does not start");
    for (node, (zone, region)) in nodes.iter().zip(localities) {
        let locality = Locality { zone: format!("zone-{zone}"), region: format!("region-{region}") };
        replica.handle(Duration::ZERO, Event::LocalityLearned { node: *node, locality }, &mut Vec::new());
    }
    let durability = replica.durability().expect("no view");
    [durability.members, durability.witnesses]
        .map(|uncovered| [uncovered.machines, uncovered.zones, uncovered.regions])
}

/// Returns whether the loss of some `count` or fewer of the groups leaves fewer than `needed` nodes. Tries
/// all sets of groups. `groups` contains the group of each node.
fn some_loss_leaves_fewer(groups: &[u8], count: usize, needed: usize) -> bool {
    let names: Vec<u8> = groups.iter().copied().collect::<BTreeSet<u8>>().into_iter().collect();
    (0..1_u32 << names.len()).any(|lost| {
        let is_lost =
            |group: &u8| names.iter().position(|name| name == group).is_some_and(|at| lost >> at & 1 == 1);
        let left = groups.iter().filter(|group| !is_lost(group)).count();
        count > 0 && lost.count_ones() as usize <= count && left < needed
    })
}

#[test]
fn uncovered_failures_match_an_exhaustive_search() {
    fn holds(localities: Vec<(u8, u8)>, machines: u8, zones: u8, regions: u8) -> TestResult {
        if localities.is_empty() {
            return TestResult::discard();
        }
        let localities: Vec<(u8, u8)> =
            localities.iter().take(7).map(|(zone, region)| (zone % 5, region % 3)).collect();
        let tolerated = (usize::from(machines % 4), usize::from(zones % 3), usize::from(regions % 3));
        let nodes: Vec<u8> = (0..localities.len() as u8).collect();
        let zones: Vec<u8> = localities.iter().map(|locality| locality.0).collect();
        let regions: Vec<u8> = localities.iter().map(|locality| locality.1).collect();
        let expected = [1, localities.len() / 2 + 1].map(|needed| {
            let machines = nodes.len() < needed || some_loss_leaves_fewer(&nodes, tolerated.0, needed);
            [
                machines,
                some_loss_leaves_fewer(&zones, tolerated.1, needed),
                some_loss_leaves_fewer(&regions, tolerated.2, needed),
            ]
        });
        TestResult::from_bool(uncovered_failures(&localities, tolerated) == expected)
    }
    quickcheck(holds as fn(Vec<(u8, u8)>, u8, u8, u8) -> TestResult);
}
