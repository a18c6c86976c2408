//! Single scenarios, each with a fault at every moment of a command.

use super::network::NetworkOptions;
use super::node::{Fault, RequestId};
use super::requests::Request;
use super::world::World;
use quillpulley::control::response::Response;

/// The moments after the sending of a command at which a fault is injected, in milliseconds: up to its response.
const MOMENTS: std::ops::Range<u64> = 0..80;
const ELECTION_MS: u64 = 4000;
const RESPONSE_MS: u64 = 1000;
/// Commands are sent so often until there is a definite response.
const SENDS: usize = 40;

/// Three machines with a leader and version 5 active.
fn with_version_5(seed: u64) -> (World, usize) {
    let mut world = World::new(seed, 3, NetworkOptions::default(), Fault::None);
    assert!(world.run_until(ELECTION_MS, |world| world.is_complete()));
    assert_eq!(send_until_definite(&mut world, &Request::valid(0, 5, "first")), Response::Acknowledged);
    let leader = world.leader().expect("a leader");
    (world, leader)
}

/// Sends a command to one machine after the other until its response is definite.
fn send_until_definite(world: &mut World, request: &Request) -> Response {
    let mut response = None;
    for send in 0..SENDS {
        let id = world.send_request(send % world.machines.len(), request);
        response = outcome(world, id);
        match &response {
            None | Some(Response::Unavailable | Response::Redirect(_)) => world.run_for(100),
            Some(definite) => return definite.clone(),
        }
    }
    panic!("no definite response to a command, the last is {response:?}");
}

fn outcome(world: &mut World, id: RequestId) -> Option<Response> {
    world.run_until(RESPONSE_MS, |world| world.response_to(id).is_some());
    world.response_to(id).cloned().flatten()
}

/// Returns whether the log on a machine's disk has an entry with the command.
fn is_on_disk(world: &World, machine: usize, request: &Request) -> bool {
    let Request::Replace { body, .. } = request else { return false };
    let entries = &world.machines[machine].disk.entries;
    entries.iter().any(|entry| entry.payload.windows(body.len()).any(|bytes| bytes == body))
}

fn exactly_one_is_acknowledged(one: &Response, other: &Response) -> bool {
    let rejected = |response: &Response| matches!(response, Response::Conflict { .. });
    *one == Response::Acknowledged && rejected(other) || *other == Response::Acknowledged && rejected(one)
}

//    operator | 7 on 5 |       |           | again, to any machine: done
//    leader   |        | killed|           |
//    others   |        |       | elect one |
#[test]
fn a_command_is_known_after_the_leader_was_killed_at_any_moment() {
    for moment in MOMENTS {
        let (mut world, leader) = with_version_5(moment);
        let command = Request::valid(5, 7, "a");
        world.send_request(leader, &command);
        world.run_for(moment);
        world.kill(leader);
        assert_eq!(
            send_until_definite(&mut world, &command),
            Response::Acknowledged,
            "killed after {moment} ms"
        );
        assert_eq!(
            send_until_definite(&mut world, &command),
            Response::Acknowledged,
            "killed after {moment} ms"
        );
        assert_eq!(world.checker.changes(), 2, "killed after {moment} ms");
    }
}

//    one      | 7a on 5, to the leader  |        |           | again: one of them is done,
//    other    | 7b on 5, to a backup    |        |           | again: the other is rejected
//    leader   |                         | killed |           |
#[test]
fn of_two_commands_at_two_machines_one_wins_when_the_leader_is_killed() {
    for moment in MOMENTS {
        let (mut world, leader) = with_version_5(moment);
        let (one, other) = (Request::valid(5, 7, "a"), Request::valid(5, 7, "b"));
        world.send_request(leader, &one);
        world.send_request((leader + 1) % 3, &other);
        world.send_request(leader, &other);
        world.run_for(moment);
        world.kill(leader);
        let responses = (send_until_definite(&mut world, &one), send_until_definite(&mut world, &other));
        assert!(
            exactly_one_is_acknowledged(&responses.0, &responses.1),
            "killed after {moment} ms: {responses:?}"
        );
    }
}

//    one      | 7a on 5 |         |           |             |        | again: rejected, unless 7b was
//    other    |         |         |           | 7b on 5     |        |
//    leader   |         | cut off |           |             | joined | its own entry is cut off, if it is new
//    others   |         |         | elect one | take 7b     |        |
#[test]
fn a_truncated_entry_is_not_acknowledged() {
    let mut truncated_entries = 0;
    for moment in MOMENTS {
        let (mut world, leader) = with_version_5(moment);
        let (one, other) = (Request::valid(5, 7, "a"), Request::valid(5, 7, "b"));
        world.send_request(leader, &one);
        world.run_for(moment);
        world.isolate(leader, true);
        let moved = |world: &World| world.leader().is_some_and(|other| other != leader);
        assert!(world.run_until(ELECTION_MS, moved), "cut off after {moment} ms");
        let new = world.leader().expect("a leader");
        let id = world.send_request(new, &other);
        let second = outcome(&mut world, id).expect("a response");
        let was_appended = is_on_disk(&world, leader, &one);
        world.network.heal_all();
        let first = send_until_definite(&mut world, &one);
        assert!(
            exactly_one_is_acknowledged(&first, &second),
            "cut off after {moment} ms: {first:?}, {second:?}"
        );
        world.run_until(ELECTION_MS, |world| !is_on_disk(world, leader, &one));
        let is_there = is_on_disk(&world, leader, &one);
        assert!(!is_there || first == Response::Acknowledged, "cut off after {moment} ms: the entry stays");
        truncated_entries += usize::from(was_appended && !is_there && second == Response::Acknowledged);
    }
    assert!(truncated_entries > 0, "no entry of the old leader was cut off");
}

//    operator | 7 on 5 |         |           |        | again: acknowledged, as a new command or the old one
//    leader   |        | cut off |           | joined |
#[test]
fn a_truncated_entry_may_be_accepted_again() {
    for moment in MOMENTS {
        let (mut world, leader) = with_version_5(moment);
        let command = Request::valid(5, 7, "a");
        world.send_request(leader, &command);
        world.run_for(moment);
        world.isolate(leader, true);
        let moved = |world: &World| world.leader().is_some_and(|other| other != leader);
        assert!(world.run_until(ELECTION_MS, moved), "cut off after {moment} ms");
        let new = world.leader().expect("a leader");
        let id = world.send_request(new, &command);
        assert_eq!(outcome(&mut world, id), Some(Response::Acknowledged), "cut off after {moment} ms");
        world.network.heal_all();
        assert_eq!(
            send_until_definite(&mut world, &command),
            Response::Acknowledged,
            "cut off after {moment} ms"
        );
        assert_eq!(world.checker.changes(), 2, "cut off after {moment} ms");
    }
}

//    operators | 7 on 5, the same bytes from both, to the leader and to a backup | again: acknowledged to both
#[test]
fn the_same_bytes_of_two_operators_are_acknowledged_to_both() {
    for moment in MOMENTS {
        let (mut world, leader) = with_version_5(moment);
        let command = Request::valid(5, 7, "a");
        world.send_request(leader, &command);
        world.send_request((leader + 1) % 3, &command);
        world.run_for(moment);
        world.kill(leader);
        assert_eq!(send_until_definite(&mut world, &command), Response::Acknowledged);
        world.start(leader);
        assert_eq!(send_until_definite(&mut world, &command), Response::Acknowledged);
        assert_eq!(
            send_until_definite(&mut world, &Request::valid(5, 7, "b")),
            Response::Conflict { current: 7 }
        );
    }
}

/// Snapshots are made after 8 entries, so most of these commands are known from one.
#[test]
fn commands_are_known_after_all_have_restarted_from_their_disks() {
    let (mut world, _) = with_version_5(1);
    let commands: Vec<Request> = (5..35).map(|base| Request::valid(base, base + 1, "a")).collect();
    for command in &commands {
        assert_eq!(send_until_definite(&mut world, command), Response::Acknowledged);
    }
    for round in 0..3 {
        (0..3).for_each(|machine| world.kill(machine));
        (0..3).for_each(|machine| world.start(machine));
        for command in &commands {
            assert_eq!(send_until_definite(&mut world, command), Response::Acknowledged, "round {round}");
        }
        let loser = Request::valid(20, 21, "b");
        assert_eq!(
            send_until_definite(&mut world, &loser),
            Response::Conflict { current: 35 },
            "round {round}"
        );
    }
}

//    operator | +z | -z | +z (late) |        | again: acknowledged, and active
//    leader   |    |    |           | killed |
#[test]
fn an_evacuation_again_is_acknowledged_and_active_across_a_failover() {
    let evacuate = |active| Request::Evacuate { zone: "z".to_string(), active };
    for moment in MOMENTS {
        let (mut world, mut leader) = with_version_5(moment);
        for active in [true, false, true] {
            let id = world.send_request(leader, &evacuate(active));
            world.run_for(moment);
            world.kill(leader);
            for _ in 0..2 {
                assert_eq!(
                    send_until_definite(&mut world, &evacuate(active)),
                    Response::Acknowledged,
                    "killed after {moment} ms"
                );
                assert_eq!(world.checker.state.is_evacuated("z"), active, "killed after {moment} ms");
            }
            assert!(!world.checker.sent_requests[id].open);
            world.checker.confirm_evacuation("z", active);
            world.start(leader);
            world.run_for(ELECTION_MS);
            leader = world.leader().expect("a leader");
        }
    }
}

//    backup | killed, started at once |
//    others |                         | nothing is ordered
#[test]
fn a_member_that_restarts_has_the_newest_state_without_a_new_command() {
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
