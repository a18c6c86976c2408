//! Tests how long directories still list a proxy that has failed, in virtual time.
//!
//! The system has three control nodes in three regions, each with two agents. The relay tree, the endpoint
//! registry and the directory builder are the real ones. There are no monitors, which would only remove a
//! proxy sooner: here a proxy is removed only because it is no longer reported.

#[path = "directory_staleness/system.rs"]
mod system;

use quillpulley_protocol::EndpointState;
use std::time::Duration;
use system::{agent, ms, State, System, AGENT_COUNT, CONTROL_NODE_COUNT, TICK};

/// Time in which a report of an agent reaches the primary by way of the agent's control node.
const REPORT_DELAY: Duration = Duration::from_millis(650);

const ALL_CONTROL_NODES: [usize; CONTROL_NODE_COUNT] = [0, 1, 2];

#[track_caller]
fn assert_within(time: u128, from: u128, to: u128) {
    assert!((from..=to).contains(&time), "{time} ms is not between {from} and {to} ms");
}

#[test]
fn a_killed_proxy_is_listed_for_a_second() {
    let mut system = System::stable();
    system.fail(agent(3), State::Ended);
    assert_within(system.time_until_delisted(&[3], &ALL_CONTROL_NODES), 900, 1_100);
}

#[test]
fn a_frozen_proxy_without_monitors_is_listed_for_two_and_a_half_seconds() {
    let mut system = System::stable();
    system.fail(agent(3), State::Unresponsive);
    assert_within(system.time_until_delisted(&[3], &ALL_CONTROL_NODES), 1_800, 2_700);
}

#[test]
fn the_proxies_of_a_lost_region_are_listed_for_two_and_a_half_seconds() {
    let mut system = System::stable();
    [1, agent(2), agent(3)].into_iter().for_each(|node| system.fail(node, State::Unresponsive));
    assert_within(system.time_until_delisted(&[2, 3], &[0, 2]), 1_800, 2_700);
    assert_eq!(system.listed(0).len(), AGENT_COUNT - 2);
}

#[test]
fn proxies_lost_with_the_primary_are_listed_until_three_seconds_after_the_election() {
    let mut system = System::stable();
    [0, agent(0), agent(1)].into_iter().for_each(|node| system.fail(node, State::Unresponsive));
    system.advance(ms(2_000));
    system.elect(1);
    assert_within(system.time_until_delisted(&[0, 1], &[1, 2]), 2_800, 3_100);
    assert_eq!(system.listed(2).len(), AGENT_COUNT - 2);
}

#[test]
fn without_a_primary_proxies_elsewhere_are_listed_for_three_seconds() {
    let mut system = System::stable();
    system.partitioned_region = Some(2);
    assert_within(system.time_until_delisted(&[0, 1, 2, 3], &[2]), 2_800, 3_100);
    assert_eq!(system.listed(2), ["front-4", "front-5"], "only the proxies that report to it may be listed");
    assert_eq!(
        system.listed(0).len(),
        AGENT_COUNT - 2,
        "the proxies of the partitioned region must not be listed elsewhere"
    );
    system.heal();
    system.advance(ms(4_000));
    assert!(ALL_CONTROL_NODES.iter().all(|control_node| system.listed(*control_node).len() == AGENT_COUNT));
}

#[test]
fn a_proxy_that_fails_in_a_partitioned_region_is_listed_there_for_three_and_a_half_seconds() {
    for (state, from, to) in [(State::Ended, 1_800, 2_200), (State::Unresponsive, 2_800, 3_700)] {
        let mut system = System::stable();
        system.partitioned_region = Some(2);
        system.advance(ms(10_000));
        system.fail(agent(4), state);
        assert_within(system.time_until_delisted(&[4], &[2]), from, to);
        system.fail(agent(5), state);
        system.time_until_delisted(&[5], &[2]);
        assert!(system.listed(2).is_empty(), "a proxy is listed although none reports");
    }
}

#[test]
fn control_nodes_that_were_all_killed_list_no_proxy_that_ended_with_them() {
    let mut system = System::stable();
    ALL_CONTROL_NODES.into_iter().for_each(|control_node| system.fail(control_node, State::Ended));
    system.nodes[0].registry = None;
    system.fail(agent(3), State::Ended);
    system.advance(ms(1_000));
    ALL_CONTROL_NODES.into_iter().for_each(|control_node| system.restart(control_node));
    system.advance(ms(2_000));
    system.elect(1);
    assert_eq!(system.time_until_delisted(&[3], &ALL_CONTROL_NODES), 0);
    assert!(ALL_CONTROL_NODES
        .iter()
        .all(|control_node| system.listed(*control_node).len() == AGENT_COUNT - 1));
}

#[test]
fn a_proxy_is_listed_again_once_its_agent_is_restarted() {
    let mut system = System::stable();
    system.fail(agent(3), State::Ended);
    system.advance(ms(2_000));
    assert!(!system.is_listed_by(3, &ALL_CONTROL_NODES));
    system.restart(agent(3));
    system.advance(REPORT_DELAY);
    assert!(ALL_CONTROL_NODES.iter().all(|control_node| system.is_listed_by(3, &[*control_node])));
}

#[test]
fn a_proxy_that_is_signalled_to_shut_down_is_known_to_drain_within_two_reports() {
    for partitioned_region in [None, Some(1)] {
        let mut system = System::stable();
        system.partitioned_region = partitioned_region;
        system.advance(ms(5_000));
        system.report(3, EndpointState::Draining, 1);
        system.advance(REPORT_DELAY);
        assert!(system.listed(1).contains(&"(front-3)".to_string()));
        assert!(!system.is_listed_by(3, &ALL_CONTROL_NODES));
    }
}

/// Maximum time for which a failed proxy may be listed.
const MAX_LISTED_TIME: Duration = Duration::from_millis(3_700);
/// Time after an election or the start of a partition during which a failed proxy may be listed in any case.
const DISTURBANCE_TIME: Duration = Duration::from_millis(3_200);

/// Maximum number of steps of a random run.
const MAX_STEPS: usize = 30;

/// Plays a random run. Each step consists of a number that selects the event, one that selects the node or
/// region, and the number of ticks (modulo 60) until the next step. Returns whether no failed proxy was
/// listed too long.
fn delists_in_time(steps: Vec<(u8, u8, u8)>) -> bool {
    let mut system = System::stable();
    let mut lost_since: [Option<Duration>; AGENT_COUNT] = [None; AGENT_COUNT];
    let mut disturbed_at = Duration::ZERO;
    for (event, target, ticks) in steps.into_iter().take(MAX_STEPS) {
        let number = target as usize % AGENT_COUNT;
        match event % 6 {
            0 => system.fail(agent(number), State::Ended),
            1 => system.fail(agent(number), State::Unresponsive),
            2 | 3 => system.restart(agent(number)),
            4 if system.partitioned_region.is_some() => system.heal(),
            4 => {
                system.partitioned_region = Some(target as usize % CONTROL_NODE_COUNT);
                disturbed_at = system.now;
            }
            _ => {
                let control_node = (0..CONTROL_NODE_COUNT).find(|control_node| {
                    Some(*control_node) != system.partitioned_region
                        && Some(*control_node) != system.primary()
                });
                system.elect(control_node.unwrap_or(0));
                disturbed_at = system.now;
            }
        }
        for (number, since) in lost_since.iter_mut().enumerate() {
            let is_lost = system.nodes[agent(number)].state != State::Running;
            *since = is_lost.then(|| since.unwrap_or(system.now));
        }
        for _ in 0..ticks as usize % 60 {
            system.advance(TICK);
            let is_stable = system.now > disturbed_at + DISTURBANCE_TIME;
            let is_overdue = |since: &Duration| is_stable && system.now > *since + MAX_LISTED_TIME;
            let listed_too_long = lost_since.iter().enumerate().any(|(number, since)| {
                since.as_ref().is_some_and(is_overdue) && system.is_listed_by(number, &ALL_CONTROL_NODES)
            });
            if listed_too_long {
                return false;
            }
        }
    }
    true
}

#[test]
fn a_failed_proxy_is_delisted_in_time_in_random_runs() {
    quickcheck::QuickCheck::new().quickcheck(delists_in_time as fn(Vec<(u8, u8, u8)>) -> bool);
}
