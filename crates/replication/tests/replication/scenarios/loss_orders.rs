//! All orders in which machines are lost for good, one after the other: how many losses the core goes on after, and
//! whether the status said so before each of them.

use crate::harness::{World, WorldOptions};

/// Between two losses the primary has the time to change the view and the set of witnesses.
const PAUSE_MS: u64 = 4500;
const ANSWER_MS: u64 = 3000;

fn stable_world(count: usize, tolerated: usize) -> World {
    let mut world = World::first_start(WorldOptions { tolerated, ..WorldOptions::default() }, count, 3);
    let is_complete = |world: &World| world.members().len() == count && world.witnesses().len() == count;
    assert!(world.run_until(15_000, is_complete), "{}", world.trace.join("\n"));
    world
}

fn acknowledges(world: &mut World) -> bool {
    if !world.run_until(ANSWER_MS, |world| world.leader().is_some()) {
        return false;
    }
    let leader = world.leader().expect("a primary");
    let command = world.propose(leader);
    world.run_until(ANSWER_MS, |world| world.is_acknowledged(command))
}

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

/// Loses machines in an order. Returns after how many losses nothing is acknowledged any more.
fn losses_until_stopped(count: usize, tolerated: usize, order: &[usize]) -> usize {
    let mut world = stable_world(count, tolerated);
    for (lost, machine) in order.iter().enumerate() {
        let spare = world.spare_witnesses().expect("a primary");
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
    // Of seven, of which two may be lost, three remain: the set of witnesses gets smaller with each two losses.
    for order in [[0, 1, 2, 3], [6, 5, 4, 3], [0, 2, 4, 6], [3, 0, 6, 1]] {
        let stopped_by = losses_until_stopped(7, 2, &order);
        assert!(stopped_by >= 4, "{order:?}: {stopped_by}");
    }
}
