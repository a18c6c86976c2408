//! Single courses of events, each with the trouble at every moment of an order's way.

use super::network::NetworkOptions;
use super::node::{CallId, Fault};
use super::orders::Wish;
use super::world::World;
use quillpulley::control::response::Response;

/// The moments after the sending of an order at which trouble strikes, in milliseconds: up to its answer.
const MOMENTS: std::ops::Range<u64> = 0..80;
const ELECTION_MS: u64 = 4000;
const ANSWER_MS: u64 = 1000;
/// Orders are sent so often until there is a clear answer.
const SENDS: usize = 40;

/// Three machines with a leader and version 5 in force.
fn with_version_5(seed: u64) -> (World, usize) {
    let mut world = World::new(seed, 3, NetworkOptions::default(), Fault::None);
    assert!(world.run_until(ELECTION_MS, |world| world.is_whole()));
    assert_eq!(insist(&mut world, &Wish::valid(0, 5, "first")), Response::Acknowledged);
    let leader = world.leader().expect("a leader");
    (world, leader)
}

/// Sends an order to one machine after the other until its answer is clear.
fn insist(world: &mut World, wish: &Wish) -> Response {
    let mut answer = None;
    for send in 0..SENDS {
        let call = world.call(send % world.machines.len(), wish);
        answer = outcome(world, call);
        match &answer {
            None | Some(Response::Unavailable | Response::Redirect(_)) => world.run_for(100),
            Some(clear) => return clear.clone(),
        }
    }
    panic!("no clear answer to an order, the last is {answer:?}");
}

fn outcome(world: &mut World, call: CallId) -> Option<Response> {
    world.run_until(ANSWER_MS, |world| world.answer(call).is_some());
    world.answer(call).cloned().flatten()
}

/// Whether the log on a machine's disk has an entry with the order.
fn is_on_disk(world: &World, machine: usize, wish: &Wish) -> bool {
    let Wish::Replace { body, .. } = wish else { return false };
    let entries = &world.machines[machine].disk.entries;
    entries.iter().any(|entry| entry.payload.windows(body.len()).any(|bytes| bytes == body))
}

fn exactly_one_won(one: &Response, other: &Response) -> bool {
    let refused = |answer: &Response| matches!(answer, Response::Conflict { .. });
    *one == Response::Acknowledged && refused(other) || *other == Response::Acknowledged && refused(one)
}

//    operator | 7 on 5 |       |           | again, to any machine: done
//    leader   |        | killed|           |
//    others   |        |       | elect one |
#[test]
fn an_order_is_known_after_the_leader_was_killed_at_any_moment() {
    for moment in MOMENTS {
        let (mut world, leader) = with_version_5(moment);
        let order = Wish::valid(5, 7, "a");
        world.call(leader, &order);
        world.run_for(moment);
        world.kill(leader);
        assert_eq!(insist(&mut world, &order), Response::Acknowledged, "killed after {moment} ms");
        assert_eq!(insist(&mut world, &order), Response::Acknowledged, "killed after {moment} ms");
        assert_eq!(world.checker.changes(), 2, "killed after {moment} ms");
    }
}

//    one      | 7a on 5, to the leader  |        |           | again: one of them is done,
//    other    | 7b on 5, to a backup    |        |           | again: the other is refused
//    leader   |                         | killed |           |
#[test]
fn of_two_commands_at_two_machines_one_wins_when_the_leader_is_killed() {
    for moment in MOMENTS {
        let (mut world, leader) = with_version_5(moment);
        let (one, other) = (Wish::valid(5, 7, "a"), Wish::valid(5, 7, "b"));
        world.call(leader, &one);
        world.call((leader + 1) % 3, &other);
        world.call(leader, &other);
        world.run_for(moment);
        world.kill(leader);
        let answers = (insist(&mut world, &one), insist(&mut world, &other));
        assert!(exactly_one_won(&answers.0, &answers.1), "killed after {moment} ms: {answers:?}");
    }
}

//    one      | 7a on 5 |         |           |             |        | again: refused, unless 7b was
//    other    |         |         |           | 7b on 5     |        |
//    leader   |         | cut off |           |             | joined | its own entry is cut off, if it is new
//    others   |         |         | elect one | take 7b     |        |
#[test]
fn an_entry_that_is_cut_off_is_not_acknowledged() {
    let mut cut_entries = 0;
    for moment in MOMENTS {
        let (mut world, leader) = with_version_5(moment);
        let (one, other) = (Wish::valid(5, 7, "a"), Wish::valid(5, 7, "b"));
        world.call(leader, &one);
        world.run_for(moment);
        world.cut_off(leader, true);
        let moved = |world: &World| world.leader().is_some_and(|other| other != leader);
        assert!(world.run_until(ELECTION_MS, moved), "cut off after {moment} ms");
        let new = world.leader().expect("a leader");
        let call = world.call(new, &other);
        let second = outcome(&mut world, call).expect("an answer");
        let was_appended = is_on_disk(&world, leader, &one);
        world.network.join_all();
        let first = insist(&mut world, &one);
        assert!(exactly_one_won(&first, &second), "cut off after {moment} ms: {first:?}, {second:?}");
        world.run_until(ELECTION_MS, |world| !is_on_disk(world, leader, &one));
        let is_there = is_on_disk(&world, leader, &one);
        assert!(!is_there || first == Response::Acknowledged, "cut off after {moment} ms: the entry stays");
        cut_entries += usize::from(was_appended && !is_there && second == Response::Acknowledged);
    }
    assert!(cut_entries > 0, "no entry of the old leader was cut off");
}

//    operator | 7 on 5 |         |           |        | again: done, as a new order or the old one
//    leader   |        | cut off |           | joined |
#[test]
fn an_entry_that_is_cut_off_may_be_taken_again() {
    for moment in MOMENTS {
        let (mut world, leader) = with_version_5(moment);
        let order = Wish::valid(5, 7, "a");
        world.call(leader, &order);
        world.run_for(moment);
        world.cut_off(leader, true);
        let moved = |world: &World| world.leader().is_some_and(|other| other != leader);
        assert!(world.run_until(ELECTION_MS, moved), "cut off after {moment} ms");
        let new = world.leader().expect("a leader");
        let call = world.call(new, &order);
        assert_eq!(outcome(&mut world, call), Some(Response::Acknowledged), "cut off after {moment} ms");
        world.network.join_all();
        assert_eq!(insist(&mut world, &order), Response::Acknowledged, "cut off after {moment} ms");
        assert_eq!(world.checker.changes(), 2, "cut off after {moment} ms");
    }
}

//    operators | 7 on 5, the same bytes from both, to the leader and to a backup | again: done to both
#[test]
fn the_same_bytes_of_two_operators_are_acknowledged_to_both() {
    for moment in MOMENTS {
        let (mut world, leader) = with_version_5(moment);
        let order = Wish::valid(5, 7, "a");
        world.call(leader, &order);
        world.call((leader + 1) % 3, &order);
        world.run_for(moment);
        world.kill(leader);
        assert_eq!(insist(&mut world, &order), Response::Acknowledged);
        world.start(leader);
        assert_eq!(insist(&mut world, &order), Response::Acknowledged);
        assert_eq!(insist(&mut world, &Wish::valid(5, 7, "b")), Response::Conflict { current: 7 });
    }
}

/// Snapshots are made after 8 entries, so most of these orders are known from one.
#[test]
fn commands_are_known_after_all_have_restarted_from_their_disks() {
    let (mut world, _) = with_version_5(1);
    let orders: Vec<Wish> = (5..35).map(|base| Wish::valid(base, base + 1, "a")).collect();
    for order in &orders {
        assert_eq!(insist(&mut world, order), Response::Acknowledged);
    }
    for round in 0..3 {
        (0..3).for_each(|machine| world.kill(machine));
        (0..3).for_each(|machine| world.start(machine));
        for order in &orders {
            assert_eq!(insist(&mut world, order), Response::Acknowledged, "round {round}");
        }
        let loser = Wish::valid(20, 21, "b");
        assert_eq!(insist(&mut world, &loser), Response::Conflict { current: 35 }, "round {round}");
    }
}

//    operator | +z | -z | +z (late) |        | again: done, and in force
//    leader   |    |    |           | killed |
#[test]
fn an_evacuation_again_is_acknowledged_and_active_across_a_failover() {
    let evacuate = |active| Wish::Evacuate { zone: "z".to_string(), active };
    for moment in MOMENTS {
        let (mut world, mut leader) = with_version_5(moment);
        for active in [true, false, true] {
            let call = world.call(leader, &evacuate(active));
            world.run_for(moment);
            world.kill(leader);
            for _ in 0..2 {
                assert_eq!(
                    insist(&mut world, &evacuate(active)),
                    Response::Acknowledged,
                    "killed after {moment} ms"
                );
                assert_eq!(world.checker.state.is_evacuated("z"), active, "killed after {moment} ms");
            }
            assert!(!world.checker.calls[call].open);
            world.checker.promise("z", active);
            world.start(leader);
            world.run_for(ELECTION_MS);
            leader = world.leader().expect("a leader");
        }
    }
}

//    backup | killed, started at once |
//    others |                         | nothing is ordered
#[test]
fn a_member_that_restarts_has_the_newest_state_without_a_new_order() {
    for pause in [0, 20, 50, 100, 200, 350] {
        let (mut world, leader) = with_version_5(pause);
        let backup = (leader + 1) % 3;
        world.run_for(500);
        world.kill(backup);
        world.run_for(pause);
        world.start(backup);
        let has_all = |world: &World| {
            let node = world.machines[backup].node.as_ref();
            node.is_some_and(|node| *node.replica.state() == world.checker.state)
        };
        assert!(world.run_until(2000, has_all), "started after {pause} ms");
    }
}
