//! Lost disks, replaced machines and added nodes.

use super::{five, run_timeline, three, three_and_a_spare, StableCluster, SEEDS};
use crate::harness::{Simulation, SimulationOptions};

#[test]
fn a_command_survives_a_lost_disk_and_a_power_loss_of_all() {
    for column in ["P", "B", "C"] {
        let cell = |name: &str| if name == column { "power-loss wipe" } else { "power-loss" };
        three(&format!(
            "time | P              | B              | C              | *
                0 | propose=1      |                |                |
              150 | acked=1 {}     | {}             | {}             |
             1000 | start          | start          | start          |
             3000 |                |                |                | leads propose=2
             4500 |                |                |                | acked=2
             7000 | member witness | member witness | member witness |",
            cell("P"),
            cell("B"),
            cell("C"),
        ));
    }
}

#[test]
fn a_command_survives_two_lost_disks_of_five() {
    for columns in [["P", "B"], ["P", "E"], ["C", "D"]] {
        let cell = |name: &str| if columns.contains(&name) { "power-loss wipe" } else { "power-loss" };
        five(&format!(
            "time | P              | B              | C              | D              | E              | *
                0 | propose=1      |                |                |                |                |
              150 | acked=1 {}     | {}             | {}             | {}             | {}             |
             1000 | start          | start          | start          | start          | start          |
             3000 |                |                |                |                |                | leads propose=2
             4500 |                |                |                |                |                | acked=2
             9000 | member witness | member witness | member witness | member witness | member witness |",
            cell("P"),
            cell("B"),
            cell("C"),
            cell("D"),
            cell("E"),
        ));
    }
}

#[test]
fn a_wiped_backup_rejoins_as_a_new_node() {
    three(
        "time | P         | B               | C               | *
            0 | propose=1 | power-loss wipe |                 |
          200 |           | start           |                 |
         1500 | acked=1   | member          |                 |
         3000 |           | witness         |                 |
         3000 |           |                 | power-loss wipe |
         3500 |           |                 | start           |
         6500 |           |                 | member witness  | propose=2
         6700 |           |                 |                 | acked=2",
    );
}

#[test]
fn a_machine_is_replaced_by_one_added_before() {
    three_and_a_spare(
        "time | P                    | B               | C       | S              | *
         1500 |                      |                 |         | member witness |
         1500 | shutdown             |                 |         |                |
         1600 | kill                 |                 |         |                |
         3500 |                      |                 |         |                | propose=1
         3700 |                      |                 |         |                | acked=1
         6500 | no-member no-witness | witness         | witness | witness        |
         6500 |                      | power-loss wipe |         |                |
         9000 |                      |                 |         |                | propose=2 acked=1
         9200 |                      |                 |         |                | acked=2",
    );
}

#[test]
fn a_machine_is_replaced_by_one_added_after_its_loss() {
    for seed in 0..SEEDS {
        let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
        cluster.run_timeline(
            "time | P          | B | C | *
                0 | power-loss |   |   |
             2500 |            |   |   | propose=1
             2700 |            |   |   | acked=1",
        );
        cluster.names.push(("S", cluster.simulation.add_spare()));
        cluster.run_timeline(
            "time | P                    | B | C               | S       | *
             1500 |                      |   |                 | member  |
             4000 | no-member no-witness |   |                 | witness |
             4000 |                      |   | power-loss wipe |         |
             6500 |                      |   |                 |         | propose=2
             7500 |                      |   |                 |         | acked=2",
        );
    }
}

#[test]
fn all_nine_machines_become_members_and_witnesses() {
    for seed in 0..SEEDS {
        let options = SimulationOptions { seed, tolerated_machines: 2, ..SimulationOptions::default() };
        let mut simulation = Simulation::first_start(options, 9, 3);
        let is_complete =
            |simulation: &Simulation| simulation.members().len() == 9 && simulation.witnesses().len() == 9;
        assert!(simulation.run_until(5000, is_complete), "{}", simulation.trace.join("\n"));
    }
}

#[test]
fn a_first_start_without_one_of_the_bootstrap_witnesses() {
    for seed in 0..SEEDS {
        let mut simulation =
            Simulation::first_start(SimulationOptions { seed, ..SimulationOptions::default() }, 4, 3);
        simulation.remove(0);
        let names = [("B", 1), ("C", 2), ("D", 3)];
        run_timeline(
            &mut simulation,
            &names,
            "time | B              | C              | D              | *
             1500 |                |                |                | propose=1
             2000 |                |                |                | acked=1
             6000 | member witness | member witness | member witness |",
        );
    }
}

#[test]
fn a_primary_killed_at_any_moment_of_adding_a_node() {
    for delay in (0..1500).step_by(20) {
        let mut cluster = StableCluster::new(delay, 1, ["P", "B", "C"]);
        cluster.names.push(("S", cluster.simulation.add_spare()));
        cluster.simulation.run_for(delay);
        cluster.run_timeline(
            "time | P              | B              | C              | S              | *
                0 | propose=1      |                |                |                |
               30 | kill           |                |                |                |
             2600 |                |                |                |                | propose=2
             3600 |                |                |                |                | acked=2
             3600 | start          |                |                |                |
             6600 | member witness | member witness | member witness | member witness |",
        );
    }
}

#[test]
fn a_primary_killed_at_any_moment_of_dropping_a_node() {
    for delay in (300..1200).step_by(15) {
        let mut cluster = StableCluster::new(delay, 1, ["P", "B", "C"]);
        cluster.run_timeline("time | B\n 0 | kill");
        cluster.simulation.run_for(delay);
        cluster.run_timeline(
            "time | P              | B              | C              | *
                0 | power-loss     | start          |                |
             3000 |                |                |                | propose=1
             4000 |                |                |                | acked=1
             4000 | start          |                |                |
             7000 | member witness | member witness | member witness |",
        );
    }
}

/// Two machines are replaced so quickly that the new machines become witnesses before the old ones are
/// dropped. Two more disks may be lost once the old machines are neither members nor witnesses.
#[test]
fn two_disks_are_lost_after_two_quick_replacements() {
    for seed in 0..SEEDS {
        let mut cluster = StableCluster::new(seed, 2, ["P", "B", "C", "D", "E"]);
        cluster.names.push(("S", cluster.simulation.add_spare()));
        cluster.names.push(("T", cluster.simulation.add_spare()));
        cluster.run_timeline(
            "time | P               | B               | C                    | D                    | E | S              | T              | *
             2500 |                 |                 |                      |                      |   | member witness | member witness |
             2500 |                 |                 | power-loss           | power-loss           |   |                |                | propose=1
             3500 |                 |                 |                      |                      |   |                |                | acked=1
             9000 |                 |                 | no-member no-witness | no-member no-witness |   |                |                |
             9000 | power-loss wipe | power-loss wipe |                      |                      |   |                |                |
            12000 |                 |                 |                      |                      |   |                |                | propose=2
            13500 |                 |                 |                      |                      |   |                |                | acked=1 acked=2",
        );
    }
}
