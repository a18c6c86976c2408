//! Timelines that test the aggregation of counters, endpoints and suspicions up the tree, and the
//! distribution of totals down the tree.

mod network;

use network::timeline::{run_timeline, run_timeline_with};
use quillpulley_protocol::ServerLoad;
use quillpulley_state_sync::{server_key, Event, LocalReport, Options};
use std::time::Duration;

#[test]
fn counts_go_up_and_totals_come_down() {
    run_timeline(
        "
          | root      | x         | y         | p         | q
        0 | root 1    | on root   | on root   | on x      | on y
      100 | heartbeat |           |           | count 3   | count 4
     1500 | = total 7 | = total 7 | = total 7 | = total 7 | = total 7
     1500 |           |           |           | count 5   |
     2500 | = total 9 |           |           | = total 9 | = total 9; = proxies 2
    ",
    );
}

#[test]
fn without_a_root_totals_cover_the_reachable_part() {
    run_timeline(
        "
          | root      | x           | y           | p           | q
        0 | root 1    | on root     | on root     | on x; count 3 | on y; count 4
     1500 |           | = total 7   | = total 7   | = total 7   | = total 7
     1600 |           | off         |             |             |
     2900 |           | = total 7   |             | = total 7   |
     3500 | = total 4 | = partial 3 | = total 4   | = partial 3 | = total 4
     4000 | leave     |             |             |             |
     6000 |           | on root     | = partial 4 | = partial 3 | = partial 4
     8000 | = partial 7 | = partial 7 | = partial 7 | = partial 7 | = partial 7
     8100 | root 2    |             |             |             |
     9100 | = total 7 | = total 7   |             | = total 7   | = total 7
    ",
    );
}

#[test]
fn an_unresponsive_child_is_excluded_and_counted_again() {
    run_timeline(
        "
          | root      | x         | p         | q
        0 | root 1    | on root   | on x; count 3 | on x; count 4
     1500 | = total 7 |           | freeze    |
     2800 |           |           |           | = total 7
     4000 | = total 4 |           | thaw      | = total 4
     5200 | = total 7 |           | = total 7 | = total 7
    ",
    );
}

#[test]
fn a_relay_that_was_frozen_does_not_exclude_its_children() {
    run_timeline(
        "
          | root      | x         | p             | q
        0 | root 1    | on root   | on x; count 3 | on x; count 4
     1500 | = total 7 | freeze    |               |
     4000 | = total 0 |           |               |
     5000 |           | thaw      |               |
     5600 | = total 7 | = total 7 | = total 7     | = total 7
    ",
    );
}

#[test]
fn a_child_that_moves_is_counted_once() {
    run_timeline(
        "
          | root      | x         | y         | p
        0 | root 1    | on root   | on root   | on x; count 3
     1500 | = total 3 |           |           | = total 3
     1600 |           |           |           | on y
     2500 | = total 3 |           |           | = total 3; = proxies 1
     2600 |           |           |           | broken
     2700 |           |           |           | on x
     5000 | = total 3 |           |           | = total 3; = proxies 1
    ",
    );
}

#[test]
fn proxies_and_suspicions_reach_the_root() {
    run_timeline(
        "
          | root                            | x                | y                   | z
        0 | root 1                          | on root          | on root             | on y
      100 |                                 | endpoint 1 Ready | endpoint 1 Starting | endpoint 1 Ready
      900 | = endpoints x,y,z               | = endpoints x    | = endpoints y,z     | = endpoints z
     1000 |                                 | suspect z y      | suspect z           |
     1600 | = suspects y*1,z*2              |                  | = suspects z*1      | = suspects
     1700 |                                 | suspect z        |                     | off
     2300 | = suspects z*2; = endpoints x,y |                  | = endpoints y       |
     2400 |                                 | suspect          | suspect             | on x
     3000 | = suspects; = endpoints x,y,z   | = endpoints x,z  | = endpoints y       |
    ",
    );
}

#[test]
fn the_later_incarnation_of_a_proxy_takes_precedence() {
    let timeline = run_timeline(
        "
          | root          | x       | y       | z
        0 | root 1        | on root | on root | on x
        0 |               |         |         | endpoint 1 Ready
     1000 | = endpoints z |         |         | broken
     1000 |               |         |         | endpoint 2 Starting
     1010 |               |         |         | on y
     1600 | = endpoints z |         |         |
    ",
    );
    assert_eq!(timeline.network.nodes[0].subtree().endpoints["z"].incarnation, 2);
}

#[test]
fn a_loop_of_reports_is_broken() {
    let timeline = run_timeline(
        "
          | x         | y         | z
        0 | on z; count 1 | on x; count 1 | on y; count 1
     6000 |           |           |
    ",
    );
    assert!(timeline.network.parent_links.iter().flatten().count() < 3, "no node left the loop");
}

#[test]
fn a_loop_is_broken_when_an_agent_receives_its_own_endpoint() {
    let timeline = run_timeline(
        "
          | x                      | y                      | z
        0 | on z; endpoint 1 Ready | on x; endpoint 1 Ready | on y; endpoint 1 Ready
     1000 |                        |                        |
    ",
    );
    assert!(timeline.network.parent_links.iter().flatten().count() < 3, "no node left the loop");
}

fn loads(count: u32, running: u32) -> LocalReport {
    let load = |server: u32| ServerLoad {
        server: server_key(&format!("i-{server}")),
        running,
        waiting: 0,
        prompt_tokens: 0,
        failures: 0,
    };
    LocalReport { proxies: 1, servers: (0..count).map(load).collect(), ..LocalReport::default() }
}

#[test]
fn changed_servers_are_sent_in_rotation_if_they_exceed_a_frame() {
    fn ten_servers(name: &str) -> Options {
        Options { max_servers_per_frame: 10, ..Options::new(name) }
    }
    let timeline = run_timeline_with(
        "
          | root    | x       | p
        0 | root 1  | on root | on x
      100 |         |         |
    ",
        ten_servers,
    );
    let mut network = timeline.network;
    network.report(2, loads(35, 1));
    let known = |network: &network::Network, running: u32| {
        let servers = network.nodes[2].totals().counters.servers.values();
        servers.filter(|counters| counters.running == running).count()
    };
    for (round, until) in (0u32..).zip([5000, 10_000, 15_000]) {
        network.report(2, loads(35, round + 1));
        network.run_until(Duration::from_millis(until));
        assert_eq!(known(&network, round + 1), 35);
    }
    network.report(2, loads(35, 9));
    network.run_until(Duration::from_millis(15_300));
    assert!(known(&network, 9) <= 10);
    network.report(2, LocalReport::default());
    network.run_until(Duration::from_millis(20_000));
    assert!(network.nodes[2].totals().counters.servers.is_empty());
}

#[test]
fn unchanged_state_is_sent_at_the_keep_alive_interval() {
    let timeline = run_timeline(
        "
          | root    | x       | p
        0 | root 1  | on root | on x; count 3
     2000 |         |         | = total 3
    ",
    );
    let mut network = timeline.network;
    let (frames_before, changes_before) = (network.stats[0].frames_sent, network.stats[2].totals_changed);
    network.run_until(Duration::from_millis(12_000));
    assert_eq!(network.stats[0].frames_sent - frames_before, 20, "one frame every half second");
    assert_eq!(network.stats[2].totals_changed, changes_before);
}

#[test]
fn a_tick_is_not_due_before_it_has_an_effect() {
    let timeline = run_timeline(
        "
          | root    | x       | p
        0 | root 1  | on root | on x; count 3
     2000 |         |         | = total 3
    ",
    );
    let mut network = timeline.network;
    for node in 0..3 {
        let mut actions = Vec::new();
        let due = network.nodes[node].next_tick();
        network.nodes[node].handle(due - Duration::from_millis(1), Event::Tick, &mut actions);
        assert_eq!(actions, [], "node {node}");
        network.nodes[node].handle(due, Event::Tick, &mut actions);
        assert!(network.nodes[node].next_tick() > due, "node {node}");
    }
}
