//! All orders in which machines can be lost permanently, one after the other: how many losses the cluster
//! survives, and whether the number of spare witnesses predicts the outcome of each loss.

use crate::harness::{World, WorldOptions};

/// The time between two losses: enough for the primary to change the view and the set of witnesses.
const PAUSE_MS: u64 = 4500;
/// The maximum time of an election, and then of an acknowledgement.
const ANSWER_MS: u64 = 3000;

fn stable_world(count: usize, tolerated: usize) -> World {
    let mut world = World::first_start(WorldOptions { tolerated, ..WorldOptions::default() }, count, 3);
    let is_complete = |world: &World| world.members().len() == count && world.witnesses().len() == count;
    assert!(world.run_until(15_000, is_complete), "{}", world.trace.join("\n"));
    world
}

/// Returns whether a primary is elected and acknowledges a command in time.
fn acknowledges(world: &mut World) -> bool {
    if !world.run_until(ANSWER_MS, |world| world.leader().is_some()) {
        return false;
    }
    let leader = world.leader().expect("no primary");
    let command = world.propose(leader);
    world.run_until(ANSWER_MS, |world| world.is_acknowledged(command))
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
fn losses_until_stopped(count: usize, tolerated: usize, order: &[usize]) -> usize {
    let mut world = stable_world(count, tolerated);
    for (lost, machine) in order.iter().enumerate() {
        let spare = world.spare_witnesses().expect("no primary");
        world.kill(*machine, true);
        let goes_on = acknowledges(&mut world);
        assert_eq!(
            goes_on,
            spare > 0,
            "order {order:?}, loss {lost}, spare {spare}\n{}",
            world.trace.join("\n")
        );
        if !goes_on {
            return lost + 1;
        }
        world.run_for(PAUSE_MS);
    }
    order.len() + 1
}

#[test]
fn in_every_order_the_status_tells_which_loss_stops_the_core() {
    for (count, tolerated, stopped_by) in [(3, 1, 2), (5, 2, 3)] {
        for order in orders(count, stopped_by) {
            assert_eq!(losses_until_stopped(count, tolerated, &order), stopped_by, "{order:?}");
        }
    }
}

#[test]
fn a_larger_core_goes_on_with_as_many_as_it_tolerates_and_one_more() {
    // Two of the seven machines may be lost at once, but four are lost one after the other, since the set of
    // witnesses shrinks after every two losses.
    for order in [[0, 1, 2, 3], [6, 5, 4, 3], [0, 2, 4, 6], [3, 0, 6, 1]] {
        let stopped_by = losses_until_stopped(7, 2, &order);
        assert!(stopped_by >= 4, "{order:?}: {stopped_by}");
    }
}
