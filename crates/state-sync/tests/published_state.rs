//! Timelines that test the distribution of the published state down the tree.

mod network;

use network::timeline::{run_timeline, run_timeline_with};
use network::Network;
use quillpulley_state_sync::parent_selection::FAN_OUT;
use quillpulley_state_sync::Options;
use std::time::Duration;

#[test]
fn nodes_start_in_any_order() {
    run_timeline(
        "
          | root               | relay              | leaf
        0 |                    |                    | on relay
        0 | = 0:0              | = 0:0              | = 0:0
       50 | root 1             | on root            |
       60 | = 1:1              | = 0:0              | = 0:0
      100 | put a=1 b=2        |                    |
      100 | = 1:2 a=1 b=2      | = 1:2 a=1 b=2      | = 1:2 a=1 b=2
      200 | put b=3 c=4        | = 1:3 a=1 b=3 c=4  | = 1:3 a=1 b=3 c=4
      300 | del a              | = 1:4 b=3 c=4      | = 1:4 b=3 c=4
      400 | heartbeat          | = 1:5 b=3 c=4      | = 1:5 b=3 c=4; = fresh
     1400 | = fresh            | = fresh            | = fresh
     1401 | = stale            | = stale            | = stale
     1500 | heartbeat          | = fresh            | = fresh
    ",
    );
}

#[test]
fn a_heartbeat_has_no_items_and_is_sent_to_all_children() {
    let timeline = run_timeline(
        "
          | root      | x         | y
        0 | root 1    | on root   | on root
      100 | put a=1   | = 1:2 a=1 | = 1:2 a=1
    ",
    );
    let mut network = timeline.network;
    let before = (network.stats[0].frames_sent, network.stats[0].items_sent);
    network.handle(0, quillpulley_state_sync::Event::Heartbeat);
    assert_eq!((network.stats[0].frames_sent, network.stats[0].items_sent), (before.0 + 2, before.1));
}

#[test]
fn a_child_that_changes_its_parent_receives_missed_updates() {
    run_timeline(
        "
          | root          | x             | y             | leaf
        0 | root 1        | on root       | on root       | on x
      100 | put a=1 b=2   |               |               | = 1:2 a=1 b=2
      200 |               |               |               | off
      300 | put b=3       | = 1:3 a=1 b=3 | = 1:3 a=1 b=3 | = 1:2 a=1 b=2
      400 | del a         |               |               | = 1:2 a=1 b=2
      500 |               |               |               | on y; = 1:4 b=3
      600 | put c=1       |               |               | = 1:5 b=3 c=1
    ",
    );
}

#[test]
fn an_unresponsive_parent_is_replaced_and_accepts_the_child_again() {
    run_timeline(
        "
          | root      | x         | y         | leaf
        0 | root 1    | on root   | on root   | on x
      100 | put a=1   |           |           | = 1:2 a=1
      200 | heartbeat | freeze    |           | = 1:2 a=1
      400 | put a=2   |           | = 1:4 a=2 | = 1:2 a=1
      900 | heartbeat |           |           | = fresh
     1101 | heartbeat |           |           | = stale
     1110 |           |           |           | on y; = 1:6 a=2; = fresh
     1200 | heartbeat | thaw      |           | = 1:7 a=2
     1300 | put a=3   | = 1:8 a=3 |           | on x; = 1:8 a=3
     1400 | put a=4   |           |           | = 1:9 a=4
    ",
    );
}

#[test]
fn a_parent_that_is_behind_does_not_revert_its_child() {
    run_timeline(
        "
          | root      | x         | y             | leaf
        0 | root 1    | on root   | on root       | on x
      100 | put a=1   |           | = 1:2 a=1     | = 1:2 a=1
      150 |           |           | freeze        |
      200 | put a=2   | = 1:3 a=2 | = 1:2 a=1     | = 1:3 a=2
      300 | put b=1   |           |               | = 1:4 a=2 b=1
      350 |           |           | thaw; off     | = 1:4 a=2 b=1
      400 |           |           |               | on y; = 1:4 a=2 b=1
      500 | heartbeat |           | = 1:2 a=1     | = 1:4 a=2 b=1
      600 |           |           | on root; = 1:5 a=2 b=1 | = 1:5 a=2 b=1
      700 | del a     |           | = 1:6 b=1     | = 1:6 b=1
    ",
    );
}

#[test]
fn a_deposed_root_does_not_update_nodes_that_know_the_new_epoch() {
    run_timeline(
        "
          | old                       | new         | x                         | y
        0 | root 1                    | on old      | on old                    | on old
      100 | put a=1                   |             |                           | = 1:2 a=1
      200 |                           | off; root 2 | on new                    |
      300 | put a=old                 | put a=new   | = 2:2 a=new               | = 1:3 a=old
      400 | heartbeat                 | heartbeat   | = 2:3 a=new               | = 1:4 a=old
      500 |                           |             | on old; = 2:3 a=new       |
      600 | put b=old                 | put b=new   | = 2:3 a=new               | = 1:5 a=old b=old
      700 |                           |             | on new; = 2:4 a=new b=new | on new; = 2:4 a=new b=new
      800 | leave                     |             |                           | on old; = 2:4 a=new b=new
      900 | on new; = 2:5 a=new b=new | heartbeat   |                           | = 2:5 a=new b=new
    ",
    );
}

#[test]
fn a_new_epoch_with_the_same_state_needs_no_new_subscription() {
    let timeline = run_timeline(
        "
          | old            | new            | x              | leaf
        0 | root 1         | on old         | on new         | on x
      100 | put a=1 b=1    |                |                | = 1:2 a=1 b=1
      200 | leave          | off; root 2    |                | = 1:2 a=1 b=1
      300 | on new         | put b=2        | = 2:2 a=1 b=2  | = 2:2 a=1 b=2
      400 |                | heartbeat      |                | = 2:3 a=1 b=2
    ",
    );
    // `new` has responded to one subscription of `x` and one of `old`, and `x` to one of `leaf`.
    assert_eq!(timeline.network.stats[2].items_sent, 1 + 2, "two items in a response, then the changed one");
}

#[test]
fn a_new_root_overrides_an_update_that_it_missed() {
    run_timeline(
        "
          | old        | new            | x              | leaf
        0 | root 1     | on old         | on old         | on x
      100 | put a=1    |                |                | = 1:2 a=1
      200 | put a=2    | lose           |                | = 1:3 a=2
      300 | freeze     | off; root 2    | on new         | = 1:3 a=2
      400 |            | put b=1        | = 2:2 a=1 b=1  | = 2:2 a=1 b=1
    ",
    );
}

#[test]
fn a_new_root_sends_no_state_before_it_publishes() {
    run_timeline(
        "
          | old      | new                  | x
        0 | root 1   |                      | on old
      100 | put a=1  |                      | = 1:2 a=1
      200 | freeze   | root 2               | on new; = 1:2 a=1
      300 |          | put a=1 b=2; = 2:2 a=1 b=2 | = 2:2 a=1 b=2
    ",
    );
}

#[test]
fn a_root_that_returns_in_its_epoch_continues_its_revisions() {
    run_timeline(
        "
          | root          | x
        0 | root 4        | on root
      100 | put a=1       | = 4:2 a=1
      200 | leave; root 4 | = 4:2 a=1
      300 | heartbeat     | = 4:4 a=1
      400 | root 3        |
      500 | put a=2       | = 4:5 a=2
    ",
    );
}

#[test]
fn lost_updates_are_recovered() {
    run_timeline(
        "
          | root      | x               | leaf
        0 | root 1    | on root         | on x
      100 | put a=1   |                 | = 1:2 a=1
      200 | put b=2   | lose; = 1:2 a=1 | = 1:2 a=1
      300 | del a     | = 1:4 b=2       | = 1:4 b=2
      400 | put c=3   |                 | lose; = 1:5 b=2 c=3
      500 | put d=4   |                 | lose
      600 | heartbeat |                 | = 1:7 b=2 c=3 d=4
    ",
    );
}

#[test]
fn a_lost_response_is_requested_again() {
    run_timeline(
        "
          | root     | x
        0 | root 1   |
      100 | put a=1  |
      200 |          | on root
      200 |          | = 1:2 a=1
      300 | freeze   | off
      400 |          | on root; = 1:2 a=1
     1300 |          | = 1:2 a=1
     1500 | thaw     | = 1:2 a=1
     1600 | put a=2  | = 1:3 a=2
    ",
    );
}

#[test]
fn a_removal_reaches_all_nodes_when_some_receive_it_late() {
    run_timeline(
        "
          | root           | x             | y            | leaf
        0 | root 1         | on root       | on root      | on x
      100 | put a=1 b=1 c=1 |              |              | = 1:2 a=1 b=1 c=1
      200 |                | freeze        |              |
      300 | del a b        |               | = 1:3 c=1    | = 1:2 a=1 b=1 c=1
      400 |                |               |              | on y; = 1:3 c=1
      500 |                | thaw; = 1:3 c=1 |            | on x; = 1:3 c=1
      600 | put a=2        | = 1:4 a=2 c=1 |              | = 1:4 a=2 c=1
    ",
    );
}

/// The delta that `x` sends from 1:2 to 1:5 does not list `a`, which has changed and changed back. The leaf,
/// which is at 1:3, must not apply it as if it listed all changes since then.
#[test]
fn a_child_ahead_of_its_parent_drops_a_change_that_was_reverted() {
    run_timeline(
        "
          | root     | x                   | y         | leaf
        0 | root 1   | on root             | on root   | on y
      100 | put a=1  | = 1:2 a=1           |           | = 1:2 a=1
      200 |          | off                 |           |
      300 | put a=2  | = 1:2 a=1           | = 1:3 a=2 | = 1:3 a=2
      400 |          |                     |           | on x; = 1:3 a=2
      500 | put a=1  |                     |           | = 1:3 a=2
      600 | put b=1  | on root; = 1:5 a=1 b=1 |        | = 1:5 a=1 b=1
    ",
    );
}

/// Returns options with a limit on the bytes of responses. The item `a=1` has two bytes.
fn options_with_repair_bytes(name: &str, repair_bytes: usize) -> Options {
    Options { repair_bytes, repair_interval: Duration::from_millis(50), ..Options::new(name) }
}

#[test]
fn many_subscriptions_are_answered_a_few_at_a_time() {
    run_timeline_with(
        "
          | root    | x         | y         | z
        0 | root 1  |           |           |
        0 | put a=1 | on root   | on root   | on root
        0 |         | = 1:2 a=1 | = 0:0     | = 0:0
       51 |         | = 1:2 a=1 | = 1:2 a=1 | = 0:0
      101 |         | = 1:2 a=1 | = 1:2 a=1 | = 1:2 a=1
    ",
        |name| options_with_repair_bytes(name, 2),
    );
}

#[test]
fn a_response_beyond_the_budget_delays_the_next_ones() {
    run_timeline_with(
        "
          | root    | x         | y         | z
        0 | root 1  |           |           |
        0 | put a=1 | on root   | on root   | on root
        0 |         | = 1:2 a=1 | = 0:0     | = 0:0
       51 |         | = 1:2 a=1 | = 0:0     | = 0:0
      101 |         | = 1:2 a=1 | = 1:2 a=1 | = 0:0
      151 |         | = 1:2 a=1 | = 1:2 a=1 | = 0:0
      201 |         | = 1:2 a=1 | = 1:2 a=1 | = 1:2 a=1
    ",
        |name| options_with_repair_bytes(name, 1),
    );
}

#[test]
fn the_default_budget_answers_all_children_of_a_small_state_at_once() {
    run_timeline(
        "
          | root    | x         | y         | z         | u         | v
        0 | root 1  |           |           |           |           |
        0 | put a=1 | on root   | on root   | on root   | on root   | on root
        0 |         | = 1:2 a=1 | = 1:2 a=1 | = 1:2 a=1 | = 1:2 a=1 | = 1:2 a=1
    ",
    );
}

#[test]
fn children_beyond_the_maximum_are_rejected() {
    fn two_children(name: &str) -> Options {
        Options { max_children: 2, ..Options::new(name) }
    }
    let timeline = run_timeline_with(
        "
          | root    | x         | y         | z
        0 | root 1  | on root   | on root   | on root
      100 | put a=1 | = 1:2 a=1 | = 1:2 a=1 | = 0:0
      200 |         | off       |           | on root; = 1:2 a=1
    ",
        two_children,
    );
    assert_eq!(timeline.network.parent_links.iter().flatten().count(), 2);
}

/// Guards against agents whose link is too slow for the updates to all children that have lost their parents: the states
/// of all of them lag behind, although their revisions advance.
#[test]
fn an_agent_rejects_children_beyond_one_and_a_half_times_the_fan_out() {
    let names = (0..=FAN_OUT * 2).map(|number| format!("agent-{number}"));
    let mut network = Network::new(names.map(|name| Options::new(&name)));
    (1..=FAN_OUT * 2).for_each(|child| network.connect(child, 0));
    assert_eq!(network.parent_links.iter().flatten().count(), FAN_OUT * 3 / 2);
}

#[test]
fn nodes_in_a_loop_become_stale() {
    run_timeline(
        "
          | root     | x         | y         | z
        0 | root 1   | on root   | on x      | on y
      100 | put a=1  |           |           | = 1:2 a=1
      200 | put a=2  | on z      | = 1:2 a=1 | = 1:2 a=1
     1101 |          | = stale   | = stale   | = stale
     1200 |          | on root; = 1:3 a=2 |  | = 1:3 a=2
    ",
    );
}
