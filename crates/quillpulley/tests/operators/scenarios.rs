//! Scenarios, most of which are repeated with a fault at each millisecond after a command was sent.

use super::checker::is_definite;
use super::network::NetworkOptions;
use super::node::{Fault, RequestId};
use super::requests::Request;
use super::world::{Connection, World};
use quillpulley::control::response::Response;

/// The times at which a fault is injected, in milliseconds after a command was sent. The range covers the
/// time until the response.
const FAULT_DELAYS_MS: std::ops::Range<u64> = 0..80;
/// The maximum time until a leader is elected.
const ELECTION_TIMEOUT_MS: u64 = 4000;
/// The maximum time that a sender waits for a response.
const RESPONSE_TIMEOUT_MS: u64 = 1000;
/// The maximum number of sends until a command gets a definite response.
const MAX_SENDS: usize = 40;

/// Starts three machines and activates configuration version 5. Returns the leader as well.
fn start_with_version_5(seed: u64) -> (World, usize) {
    let mut world = World::new(seed, 3, NetworkOptions::default(), Fault::None);
    assert!(world.run_until(ELECTION_TIMEOUT_MS, |world| world.has_full_membership()));
    assert_eq!(send_until_definite(&mut world, &Request::valid(0, 5, "first")), Response::Acknowledged);
    let leader = world.leader().expect("there is a leader");
    (world, leader)
}

/// Sends a command to the machines in turn until it gets a definite response.
fn send_until_definite(world: &mut World, request: &Request) -> Response {
    let mut response = None;
    for send in 0..MAX_SENDS {
        let id = world.send_request(send % world.machines.len(), request);
        response = await_response(world, id);
        if let Some(Response::ConfirmationRequired(_)) = response {
            let confirmed = world.send_request(world.target_machine(id), request);
            response = await_response(world, confirmed);
        }
        match &response {
            Some(definite) if is_definite(definite) => return definite.clone(),
            _ => world.run_for(100),
        }
    }
    panic!("a command gets no definite response; the last response is {response:?}");
}

/// Waits for the response to a request; `None` if the connection ends or the time runs out.
fn await_response(world: &mut World, id: RequestId) -> Option<Response> {
    world.run_until(RESPONSE_TIMEOUT_MS, |world| world.response_to(id).is_some());
    world.response_to(id).cloned().flatten()
}

/// Returns whether the log on a machine's disk contains an entry with the configuration of the command.
fn is_on_disk(world: &World, machine: usize, request: &Request) -> bool {
    let Request::Replace { body, .. } = request else { return false };
    let entries = &world.machines[machine].disk.entries;
    entries.iter().any(|entry| entry.payload.windows(body.len()).any(|bytes| bytes == body))
}

fn exactly_one_is_acknowledged(one: &Response, other: &Response) -> bool {
    let rejected = |response: &Response| matches!(response, Response::Conflict { .. });
    *one == Response::Acknowledged && rejected(other) || *other == Response::Acknowledged && rejected(one)
}

//    operator | sends 7 on base 5 |        |                | sends it again to any machine: acknowledged
//    leader   |                   | killed |                |
//    others   |                   |        | elect a leader |
#[test]
fn a_command_sent_again_is_acknowledged_when_the_leader_is_killed_at_any_time() {
    for delay_ms in FAULT_DELAYS_MS {
        let (mut world, leader) = start_with_version_5(delay_ms);
        let command = Request::valid(5, 7, "a");
        world.send_request(leader, &command);
        world.run_for(delay_ms);
        world.kill(leader);
        assert_eq!(
            send_until_definite(&mut world, &command),
            Response::Acknowledged,
            "killed after {delay_ms} ms"
        );
        assert_eq!(
            send_until_definite(&mut world, &command),
            Response::Acknowledged,
            "killed after {delay_ms} ms"
        );
        assert_eq!(world.checker.activation_count(), 2, "killed after {delay_ms} ms");
    }
}

// Exactly one of the two commands is acknowledged, and the other one is rejected:
//    operator 1 | sends 7a on base 5 to the leader              |        | sends it again
//    operator 2 | sends 7b on base 5 to a backup and the leader |        | sends it again
//    leader     |                                               | killed |
#[test]
fn exactly_one_of_two_conflicting_commands_is_acknowledged_when_the_leader_is_killed() {
    for delay_ms in FAULT_DELAYS_MS {
        let (mut world, leader) = start_with_version_5(delay_ms);
        let (command_a, command_b) = (Request::valid(5, 7, "a"), Request::valid(5, 7, "b"));
        world.send_request(leader, &command_a);
        world.send_request((leader + 1) % 3, &command_b);
        world.send_request(leader, &command_b);
        world.run_for(delay_ms);
        world.kill(leader);
        let responses =
            (send_until_definite(&mut world, &command_a), send_until_definite(&mut world, &command_b));
        assert!(
            exactly_one_is_acknowledged(&responses.0, &responses.1),
            "killed after {delay_ms} ms: {responses:?}"
        );
    }
}

// Both commands have base version 5. The old leader truncates 7a if it was not committed. Exactly one of the
// two commands is acknowledged:
//    operator 1 | sends 7a |             |                |           |             | sends 7a again
//    operator 2 |          |             |                | sends 7b  |             |
//    leader     |          | partitioned |                |           | reconnected |
//    others     |          |             | elect a leader | answer 7b |             |
#[test]
fn a_command_is_not_acknowledged_for_a_truncated_entry() {
    let mut truncated_entries = 0;
    for delay_ms in FAULT_DELAYS_MS {
        let (mut world, leader) = start_with_version_5(delay_ms);
        let (command_a, command_b) = (Request::valid(5, 7, "a"), Request::valid(5, 7, "b"));
        world.send_request(leader, &command_a);
        world.run_for(delay_ms);
        world.isolate(leader, true);
        let has_new_leader = |world: &World| world.leader().is_some_and(|other| other != leader);
        assert!(world.run_until(ELECTION_TIMEOUT_MS, has_new_leader), "partitioned after {delay_ms} ms");
        let new_leader = world.leader().expect("there is a leader");
        let id = world.send_request(new_leader, &command_b);
        let second_response = await_response(&mut world, id).expect("the command is answered");
        let was_appended = is_on_disk(&world, leader, &command_a);
        world.network.heal_all();
        let first_response = send_until_definite(&mut world, &command_a);
        assert!(
            exactly_one_is_acknowledged(&first_response, &second_response),
            "partitioned after {delay_ms} ms: {first_response:?}, {second_response:?}"
        );
        world.run_until(ELECTION_TIMEOUT_MS, |world| !is_on_disk(world, leader, &command_a));
        let is_still_on_disk = is_on_disk(&world, leader, &command_a);
        assert!(
            !is_still_on_disk || first_response == Response::Acknowledged,
            "partitioned after {delay_ms} ms: an unacknowledged entry is still on disk"
        );
        truncated_entries +=
            usize::from(was_appended && !is_still_on_disk && second_response == Response::Acknowledged);
    }
    assert!(truncated_entries > 0, "no entry of the old leader was truncated");
}

// Each repetition is acknowledged, whether its entry is new or the one from the old leader:
//    operator | sends 7 on base 5 |             | sends it again to the new leader |             | again
//    leader   |                   | partitioned |                                  | reconnected |
#[test]
fn a_command_is_acknowledged_again_even_if_its_first_entry_is_truncated() {
    for delay_ms in FAULT_DELAYS_MS {
        let (mut world, leader) = start_with_version_5(delay_ms);
        let command = Request::valid(5, 7, "a");
        world.send_request(leader, &command);
        world.run_for(delay_ms);
        world.isolate(leader, true);
        let has_new_leader = |world: &World| world.leader().is_some_and(|other| other != leader);
        assert!(world.run_until(ELECTION_TIMEOUT_MS, has_new_leader), "partitioned after {delay_ms} ms");
        let new_leader = world.leader().expect("there is a leader");
        let id = world.send_request(new_leader, &command);
        assert_eq!(
            await_response(&mut world, id),
            Some(Response::Acknowledged),
            "partitioned after {delay_ms} ms"
        );
        world.network.heal_all();
        assert_eq!(
            send_until_definite(&mut world, &command),
            Response::Acknowledged,
            "partitioned after {delay_ms} ms"
        );
        assert_eq!(world.checker.activation_count(), 2, "partitioned after {delay_ms} ms");
    }
}

// Both operators send the same bytes for version 7, and both are acknowledged when they send them again:
//    operator 1 | sends 7 on base 5 to the leader |        | sends it again |           |
//    operator 2 | sends 7 on base 5 to a backup   |        |                |           | sends it again
//    leader     |                                 | killed |                | restarted |
#[test]
fn the_same_configuration_from_two_operators_is_acknowledged_to_both() {
    for delay_ms in FAULT_DELAYS_MS {
        let (mut world, leader) = start_with_version_5(delay_ms);
        let command = Request::valid(5, 7, "a");
        world.send_request(leader, &command);
        world.send_request((leader + 1) % 3, &command);
        world.run_for(delay_ms);
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

/// The log is compacted after 8 entries, so the outcome of most of these commands is known only from a
/// snapshot.
#[test]
fn commands_sent_again_get_the_same_response_after_all_machines_restart() {
    let (mut world, _) = start_with_version_5(1);
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
        let conflicting = Request::valid(20, 21, "b");
        assert_eq!(
            send_until_definite(&mut world, &conflicting),
            Response::Conflict { current: 35 },
            "round {round}"
        );
    }
}

// Repeated for the start, the end and another start of the evacuation:
//    operator | sends the command |        | sends it again, twice: acknowledged and in effect each time
//    leader   |                   | killed |
#[test]
fn an_evacuation_command_sent_again_is_in_effect_after_a_failover() {
    let evacuate = |active| Request::Evacuate { zone: "z".to_string(), active };
    for delay_ms in FAULT_DELAYS_MS {
        let (mut world, mut leader) = start_with_version_5(delay_ms);
        for active in [true, false, true] {
            let id = world.send_request(leader, &evacuate(active));
            world.run_for(delay_ms);
            world.kill(leader);
            for _ in 0..2 {
                assert_eq!(
                    send_until_definite(&mut world, &evacuate(active)),
                    Response::Acknowledged,
                    "killed after {delay_ms} ms"
                );
                assert_eq!(world.checker.state.is_evacuated("z"), active, "killed after {delay_ms} ms");
            }
            assert!(!world.checker.sent_requests[id].is_open);
            world.checker.confirm_evacuation("z", active);
            world.start(leader);
            world.run_for(ELECTION_TIMEOUT_MS);
            leader = world.leader().expect("there is a leader");
        }
    }
}

//    backup   | killed | started after a pause | catches up
//    operator |        |                       | sends nothing
#[test]
fn a_restarted_member_catches_up_without_a_new_command() {
    for pause_ms in [0, 20, 50, 100, 200, 350] {
        let (mut world, leader) = start_with_version_5(pause_ms);
        let backup = (leader + 1) % 3;
        world.run_for(500);
        world.kill(backup);
        world.run_for(pause_ms);
        world.start(backup);
        let has_all = |world: &World| {
            let node = world.machines[backup].node.as_ref();
            node.is_some_and(|node| *node.replica.state() == world.checker.state)
        };
        assert!(world.run_until(2000, has_all), "started after {pause_ms} ms");
    }
}

/// When the connection of a late copy is opened.
#[derive(Clone, Copy, Debug)]
enum Opened {
    BeforeTheLaterCommands,
    WhenTheCopyArrives,
}

/// Where a late copy arrives.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    Primary,
    Backup,
    NewPrimary,
}

/// Gives `active`, its opposite and `active` again for a zone; each is acknowledged. A copy of the opposite command
/// that was sent before arrives after all of them. Its operator has gone, and follows no response.
fn deliver_late_copy(seed: u64, active: bool, opened: Opened, arrival: Arrival) {
    let (mut world, leader) = start_with_version_5(seed);
    let evacuate = |active| Request::Evacuate { zone: "z".to_string(), active };
    let case = format!("{active} {opened:?} {arrival:?}");
    assert_eq!(send_until_definite(&mut world, &evacuate(active)), Response::Acknowledged, "{case}");
    let early: Vec<Connection> = (0..3).map(|machine| world.connect(machine)).collect();
    assert_eq!(send_until_definite(&mut world, &evacuate(!active)), Response::Acknowledged, "{case}");
    assert_eq!(send_until_definite(&mut world, &evacuate(active)), Response::Acknowledged, "{case}");
    let target = match arrival {
        Arrival::Primary => leader,
        Arrival::Backup => (leader + 1) % 3,
        Arrival::NewPrimary => {
            world.kill(leader);
            assert!(world.run_until(ELECTION_TIMEOUT_MS, |world| world.leader().is_some()), "{case}");
            world.leader().expect("there is a leader")
        }
    };
    let connection = match opened {
        Opened::BeforeTheLaterCommands => early[target],
        Opened::WhenTheCopyArrives => world.connect(target),
    };
    let copy = world.send_held_up(target, &evacuate(!active), connection, 1);
    world.checker.record_given_up(copy);
    world.checker.confirm_evacuation("z", active);
    world.run_for(2000);
    assert_eq!(world.checker.state.is_evacuated("z"), active, "{case}: {:?}", world.response_to(copy));
}

//    operator | +z | -z, a copy is held up | -z again | +z |                  | nothing
//    copy     |    |                       |          |    | arrives after +z |
/// Guards against late copies of orders that undo later ones, whenever the end of their connection arrives: here it
/// never does.
#[test]
fn a_late_copy_of_an_evacuation_command_does_not_undo_a_later_one() {
    let mut seed = 0;
    for active in [true, false] {
        for opened in [Opened::BeforeTheLaterCommands, Opened::WhenTheCopyArrives] {
            for arrival in [Arrival::Primary, Arrival::Backup, Arrival::NewPrimary] {
                for _ in 0..5 {
                    seed += 1;
                    deliver_late_copy(seed, active, opened, arrival);
                }
            }
        }
    }
}

//    operator | +z | -z      |                  | -z again | +z |                    | nothing
//    copy     |    |         | sent, as it asks |          |    | arrives after +z   |
/// Guards against late copies that were sent when their caller was asked to confirm them.
#[test]
fn a_late_confirmation_of_an_evacuation_command_does_not_undo_a_later_one() {
    for active in [true, false] {
        let (mut world, leader) = start_with_version_5(1);
        let evacuate = |active| Request::Evacuate { zone: "z".to_string(), active };
        assert_eq!(send_until_definite(&mut world, &evacuate(active)), Response::Acknowledged);
        let first = world.send_request(leader, &evacuate(!active));
        assert!(matches!(await_response(&mut world, first), Some(Response::ConfirmationRequired(_))));
        let confirmation = world.send_held_up(leader, &evacuate(!active), world.connect(leader), 1500);
        world.checker.record_given_up(confirmation);
        assert_eq!(send_until_definite(&mut world, &evacuate(!active)), Response::Acknowledged);
        assert_eq!(send_until_definite(&mut world, &evacuate(active)), Response::Acknowledged);
        world.checker.confirm_evacuation("z", active);
        world.run_for(3000);
        assert!(!world.checker.sent_requests[confirmation].is_open);
        assert_eq!(world.checker.state.is_evacuated("z"), active);
    }
}
