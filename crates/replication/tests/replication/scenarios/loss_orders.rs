//! All orders in which machines can be lost permanently, one after the other: how many losses the cluster
//! survives, and whether the number of spare witnesses predicts the outcome of each loss.

use crate::harness::{Simulation, SimulationOptions};

/// The time between two losses: enough for the primary to change the view and the set of witnesses.
const PAUSE_MS: u64 = 4500;
/// The maximum time of an election, and then of an acknowledgement.
const TIMEOUT_MS: u64 = 3000;

fn stable_simulation(count: usize, tolerated_machines: usize) -> Simulation {
    let mut simulation = Simulation::first_start(
        SimulationOptions { tolerated_machines, ..SimulationOptions::default() },
        count,
        3,
    );
    let is_complete = |simulation: &Simulation| {
        simulation.members().len() == count && simulation.witnesses().len() == count
    };
    assert!(simulation.run_until(15_000, is_complete), "{}", simulation.trace.join("\n"));
    simulation
}

/// Returns whether a primary is elected and acknowledges a command in time.
fn acknowledges(simulation: &mut Simulation) -> bool {
    if !simulation.run_until(TIMEOUT_MS, |simulation| simulation.leader().is_some()) {
        return false;
    }
    let leader = simulation.leader().expect("no primary");
    let command = simulation.propose(leader);
    simulation.run_until(TIMEOUT_MS, |simulation| simulation.is_acknowledged(command))
}

/// Returns all ordered selections of `length` of the `count` machines.
fn orders(count: usize, length: usize) -> Vec<Vec<usize>> {
    if length == 0 {
        return vec![Vec::new()];
    }
    let shorter = orders(count, length - 1);
    let longer = shorter.iter().flat_map(|order| {
        let next = (0..count).filter(|machine| !order.contains(machine));
        next.map(|machine| [order.clone(), vec![machine]].concat()).collect::<Vec<_>>()
    });
    longer.collect()
}

/// Kills machines in an order, without restarting them, until commands are no longer acknowledged. Checks
/// that the number of spare witnesses predicts each outcome. Returns the number of killed machines; one more
/// than all of `order` if commands are acknowledged to the end.
fn losses_until_stopped(count: usize, tolerated_machines: usize, order: &[usize]) -> usize {
    let mut simulation = stable_simulation(count, tolerated_machines);
    for (lost, machine) in order.iter().enumerate() {
        let spare = simulation.spare_witnesses().expect("no primary");
        simulation.kill(*machine, true);
        let acknowledged = acknowledges(&mut simulation);
        assert_eq!(
            acknowledged,
            spare > 0,
            "order {order:?}, loss {lost}, spare {spare}\n{}",
            simulation.trace.join("\n")
        );
        if !acknowledged {
            return lost + 1;
        }
        simulation.run_for(PAUSE_MS);
    }
    order.len() + 1
}

#[test]
fn spare_witnesses_predict_the_outcome_of_losses_in_every_order() {
    for (count, tolerated_machines, stopped_by) in [(3, 1, 2), (5, 2, 3)] {
        for order in orders(count, stopped_by) {
            assert_eq!(losses_until_stopped(count, tolerated_machines, &order), stopped_by, "{order:?}");
        }
    }
}

#[test]
fn seven_machines_survive_more_successive_losses_than_tolerated_at_once() {
    // Two of the seven machines may be lost at once. Here four are lost one after the other, so that three
    // remain: the set of witnesses shrinks after every two losses.
    for order in [[0, 1, 2, 3], [6, 5, 4, 3], [0, 2, 4, 6], [3, 0, 6, 1]] {
        let stopped_by = losses_until_stopped(7, 2, &order);
        assert!(stopped_by >= 4, "{order:?}: {stopped_by}");
    }
}
