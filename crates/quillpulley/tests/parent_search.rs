//! The search of an agent for its parent, tested with timelines. The columns of a timeline are: the time in
//! milliseconds, the event, and the expected actions. A line without an event is a tick. `C1` is a control node and
//! `A1` is an agent. Candidates are listed in the order of preference.

use quickcheck::quickcheck;
use quillpulley::agent::parent_search::{Action, Event, ParentSearch};
use quillpulley_state_sync::parent_selection::ParentCandidate;
use std::net::Ipv4Addr;
use std::time::Duration;

fn candidate(name: &str) -> ParentCandidate {
    let (kind, number) = name.split_at(1);
    let number = number.parse().expect("a name consists of a letter and a number, such as C1");
    match kind {
        "C" => ParentCandidate::ControlNode(Ipv4Addr::new(10, 0, 0, number)),
        _ => ParentCandidate::Agent(Ipv4Addr::new(10, 0, 0, number)),
    }
}

fn name(candidate: ParentCandidate) -> String {
    match candidate {
        ParentCandidate::ControlNode(ip) => format!("C{}", ip.octets()[3]),
        ParentCandidate::Agent(ip) => format!("A{}", ip.octets()[3]),
    }
}

fn event(text: &str) -> Event {
    let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
    match verb {
        "" => Event::Tick,
        "candidates" => Event::Candidates(rest.split_whitespace().map(candidate).collect()),
        "opened" => Event::Opened(candidate(rest)),
        "lost" => Event::Lost(candidate(rest)),
        "advanced" => Event::RevisionAdvanced,
        "nothing-newer" => Event::NothingNewer,
        _ => panic!("unknown event {verb}"),
    }
}

fn action_text(action: &Action) -> String {
    match action {
        Action::Connect(candidate) => format!("connect {}", name(*candidate)),
        Action::Use(candidate) => format!("use {}", name(*candidate)),
        Action::Close(candidate) => format!("close {}", name(*candidate)),
    }
}

/// Runs a timeline with several random seeds, and compares the actions with the expected ones.
fn run_timeline(timeline: &str) {
    for seed in 0..20 {
        let mut parent_search = ParentSearch::new(seed);
        for line in timeline.lines().map(str::trim).filter(|line| !line.is_empty()) {
            let [time, event_text, expected] = line.split('|').map(str::trim).collect::<Vec<_>>()[..] else {
                panic!("a line must have three columns: {line}");
            };
            let now = Duration::from_millis(time.parse().expect("milliseconds"));
            let mut actions = Vec::new();
            parent_search.handle(now, event(event_text), &mut actions);
            let actual: Vec<String> = actions.iter().map(action_text).collect();
            assert_eq!(actual.join(", "), expected, "seed {seed}: {line}");
        }
    }
}

/// Runs the events of a timeline, whose columns are the time in milliseconds, the event, and the expected reason for the
/// latest change of the parent.
fn run_reason_timeline(timeline: &str) {
    let mut parent_search = ParentSearch::new(1);
    for line in timeline.lines().map(str::trim).filter(|line| !line.is_empty()) {
        let [time, event_text, expected] = line.split('|').map(str::trim).collect::<Vec<_>>()[..] else {
            panic!("a line must have three columns: {line}");
        };
        let now = Duration::from_millis(time.parse().expect("milliseconds"));
        parent_search.handle(now, event(event_text), &mut Vec::new());
        assert_eq!(parent_search.change_reason().to_string(), expected, "{line}");
    }
}

#[test]
fn the_best_candidate_becomes_the_parent_when_its_link_opens() {
    run_timeline(
        "
            0 | candidates C1 C2 C3 | connect C1
           30 | opened C1           | use C1
           40 | advanced            |
        ",
    );
}

#[test]
fn the_next_candidate_is_tried_concurrently_if_a_connection_hangs() {
    run_timeline(
        "
            0 | candidates C1 C2 C3 C4 | connect C1
          249 |                        |
          250 |                        | connect C2
          500 |                        | connect C3
          750 |                        |
          800 | opened C2              | use C2, close C3
          810 | advanced               |
          900 | opened C1              | use C1
          910 | advanced               | close C2
        ",
    );
}

#[test]
fn after_failures_all_candidates_are_tried_in_turn_with_backoff() {
    run_timeline(
        "
            0 | candidates C1 C2 C3 | connect C1
            1 | lost C1             |
           76 |                     | connect C2
           80 | lost C2             |
          230 |                     | connect C3
          240 | lost C3             |
          540 |                     | connect C1
          550 | lost C1             |
         1150 |                     | connect C2
        ",
    );
}

#[test]
fn a_parent_that_is_lost_is_replaced_at_once() {
    run_timeline(
        "
            0 | candidates A1 A2 C1 | connect A1
           10 | opened A1           | use A1
         1000 | advanced            |
         1200 | lost A1             |
         1250 |                     | connect A2
         1260 | opened A2           | use A2
        ",
    );
}

#[test]
fn a_parent_with_a_stalled_revision_is_kept_until_another_is_connected() {
    run_timeline(
        "
            0 | candidates C1 C2 | connect C1
           10 | opened C1        | use C1
          800 | advanced         |
         1790 |                  |
         2000 |                  | connect C2
         2050 | opened C2        | use C2, close C1
         2060 | advanced         |
        ",
    );
}

#[test]
fn a_parent_whose_revision_advances_again_is_kept() {
    run_timeline(
        "
            0 | candidates C1 C2 C3 | connect C1
           10 | opened C1           | use C1
         1210 |                     | connect C2
         1300 | advanced            | close C2
         2200 |                     |
        ",
    );
}

#[test]
fn the_stall_timeout_is_longer_if_the_parent_is_an_agent() {
    run_timeline(
        "
            0 | candidates A1 C1 | connect A1
           10 | opened A1        | use A1
         1300 |                  |
         1510 |                  | connect C1
        ",
    );
}

#[test]
fn all_candidates_are_tried_in_turn_while_no_revision_advances() {
    run_timeline(
        "
            0 | candidates C1 C2 | connect C1
           10 | opened C1        | use C1
         1210 |                  | connect C2
         1220 | opened C2        | use C2, close C1
         2420 |                  | connect C1
         2430 | opened C1        | use C1, close C2
         3630 |                  | connect C2
        ",
    );
}

#[test]
fn a_better_candidate_becomes_the_parent_once_its_link_opens() {
    run_timeline(
        "
            0 | candidates C1 C2       | connect C1
           10 | opened C1              | use C1
          500 | advanced               |
          510 | candidates A1 A2 C1 C2 |
         1300 | advanced               |
         2200 | advanced               |
         3770 | advanced               | connect A1
         3800 | opened A1              | use A1
         3810 | advanced               | close C1
        ",
    );
}

/// Guards against configurations that are late because an agent has left a good parent for one that has just started.
#[test]
fn the_former_parent_is_used_again_if_the_revision_does_not_advance_with_a_better_candidate() {
    run_timeline(
        "
            0 | candidates C1    | connect C1
           10 | opened C1        | use C1
          510 | candidates A1 C1 |
         1300 | advanced         |
         2200 | advanced         |
         3770 | advanced         | connect A1
         3800 | opened A1        | use A1
         4390 |                  |
         4400 |                  | use C1, close A1
         4410 | advanced         |
         5300 | advanced         |
        ",
    );
}

/// Guards against configurations that are late because the stall timeout of a former parent begins anew after each trial.
#[test]
fn a_former_parent_whose_revision_has_stalled_is_replaced_soon_after_a_trial() {
    run_timeline(
        "
            0 | candidates C1       | connect C1
           10 | opened C1           | use C1
          510 | candidates A1 C1 C2 |
         1300 | advanced            |
         2200 | advanced            |
         3770 | advanced            | connect A1
         4700 | opened A1           | use A1
         5300 |                     | use C1, close A1
         5590 |                     |
         5600 |                     | connect C2
        ",
    );
}

#[test]
fn the_former_parent_is_used_again_if_the_link_to_a_better_candidate_closes() {
    run_timeline(
        "
            0 | candidates C1    | connect C1
           10 | opened C1        | use C1
          510 | candidates A1 C1 |
         1300 | advanced         |
         2200 | advanced         |
         3770 | advanced         | connect A1
         3800 | opened A1        | use A1
         3900 | lost A1          | use C1
         4000 | advanced         |
        ",
    );
}

#[test]
fn a_former_parent_whose_link_closes_is_not_used_again() {
    run_timeline(
        "
            0 | candidates C1 C2    | connect C1
           10 | opened C1           | use C1
          510 | candidates A1 C1 C2 |
         1300 | advanced            |
         2200 | advanced            |
         3770 | advanced            | connect A1
         3800 | opened A1           | use A1
         3900 | lost C1             |
         4410 |                     |
         5310 |                     | connect C2
        ",
    );
}

/// Guards against configurations that are late because an agent tries one agent after another, each of which is
/// connected but waits for a parent itself.
#[test]
fn control_nodes_are_tried_once_the_revision_is_too_old_with_agents() {
    run_timeline(
        "
            0 | candidates A1 A2 A3 C1 C2 | connect A1
           10 | opened A1                 | use A1
          100 | advanced                  |
         1610 |                           | connect A2
         1620 | opened A2                 | use A2, close A1
         2090 |                           |
         2100 |                           | connect C1
         2350 |                           | connect C2
         2360 | opened C2                 | use C2, close A2
         2370 | advanced                  |
        ",
    );
}

/// Guards against searches that wait for three agents without power while control nodes could be reached.
#[test]
fn an_attempt_to_an_agent_gives_way_to_a_control_node_once_the_revision_is_too_old() {
    run_timeline(
        "
            0 | candidates A1 A2 A3 A4 C1 | connect A1
           10 | opened A1                 | use A1
          100 | advanced                  |
         1500 | lost A1                   |
         1560 |                           | connect A2
         1810 |                           | connect A3
         2060 |                           | connect A4
         2310 |                           | close A2, connect C1
         2320 | opened C1                 | use C1, close A3, close A4
         2330 | advanced                  |
        ",
    );
}

/// Guards against configurations that are late because all control nodes failed some seconds ago, so that agents which wait
/// themselves are tried again and again until the penalties of the control nodes expire.
#[test]
fn a_control_node_with_a_penalty_is_tried_before_agents_without_once_the_revision_is_too_old() {
    run_timeline(
        "
            0 | candidates C1          | connect C1
           10 | lost C1                |
          100 |                        | connect C1
          110 | lost C1                |
          120 | candidates A1 A2 A3 C1 |
          300 |                        | connect A1
          310 | opened A1              | use A1
          400 | advanced               |
         1910 |                        | connect A2
         1920 | opened A2              | use A2, close A1
         2390 |                        |
         2400 |                        | connect C1
         2410 | opened C1              | use C1, close A2
        ",
    );
}

/// Guards against candidates without power that are tried first in each search, because their attempts were cancelled
/// when another candidate had connected.
#[test]
fn an_attempt_that_hung_until_it_was_cancelled_gives_its_candidate_a_penalty() {
    let mut parent_search = ParentSearch::new(1);
    let mut failed_after = |milliseconds: u64, text: &str| {
        let now = Duration::from_millis(milliseconds);
        parent_search.handle(now, event(text), &mut Vec::new());
        parent_search.failed_candidates(now).into_iter().map(name).collect::<Vec<_>>().join(" ")
    };
    assert_eq!(failed_after(0, "candidates C1 C2 C3"), "");
    assert_eq!(failed_after(250, ""), "");
    assert_eq!(failed_after(500, ""), "");
    assert_eq!(failed_after(510, "candidates C2 C1 C3"), "");
    assert_eq!(failed_after(520, "opened C2"), "C1", "C3 had no time to answer");
}

/// Guards against configurations that are late because control nodes with penalties are tried one after another.
#[test]
fn two_control_nodes_with_penalties_are_tried_at_a_time_once_the_revision_is_too_old() {
    run_timeline(
        "
            0 | candidates C1 C2          | connect C1
           10 | lost C1                   |
          100 |                           | connect C2
          110 | lost C2                   |
          300 |                           | connect C1
          310 | lost C1                   |
          700 |                           | connect C2
          710 | lost C2                   |
          720 | candidates A1 A2 A3 C1 C2 |
         1400 |                           | connect A1
         1410 | opened A1                 | use A1
         1500 | advanced                  |
         3010 |                           | connect A2
         3020 | opened A2                 | use A2, close A1
         3490 |                           |
         3500 |                           | connect C1
         3750 |                           | connect C2
         4000 |                           | connect A3
         4010 | opened C2                 | use C2, close A2, close A3
        ",
    );
}

/// Guards against configurations that are late because an agent that waits itself connects faster than a control node, and
/// ends the attempt to connect to that.
#[test]
fn an_agent_does_not_replace_a_control_node_while_the_revision_is_too_old() {
    run_timeline(
        "
            0 | candidates A1 A2 C1 | connect A1
           10 | opened A1           | use A1
          300 | advanced            |
         1910 |                     | connect A2
         2160 |                     | connect C1
         2350 | opened A2           | use A2, close A1
         2410 | opened C1           | use C1, close A2
         3000 |                     |
         3100 | advanced            |
        ",
    );
    run_timeline(
        "
            0 | candidates A1 A2 C1 | connect A1
           10 | opened A1           | use A1
          300 | advanced            |
         1910 |                     | connect A2
         2160 |                     | connect C1
         2410 | opened C1           | use C1, close A1, close A2
         2420 | advanced            |
        ",
    );
}

/// Guards against configurations that are late because control nodes which get no updates themselves each have a whole
/// stall timeout.
#[test]
fn a_control_node_with_nothing_newer_is_given_up_at_once_if_the_revision_has_stalled() {
    run_timeline(
        "
            0 | candidates C1 C2 C3 | connect C1
           10 | opened C1           | use C1
          100 | advanced            |
         1310 |                     | connect C2
         1320 | opened C2           | use C2, close C1
         1330 | nothing-newer       |
         1380 |                     | connect C3
         1390 | opened C3           | use C3, close C2
         1400 | advanced            |
        ",
    );
}

/// Guards against a tree that never comes to rest: a parent that is up to date has nothing newer until the next revision.
#[test]
fn a_control_node_with_nothing_newer_is_kept_while_the_revision_has_not_stalled() {
    run_timeline(
        "
            0 | candidates C1 C2    | connect C1
           10 | opened C1           | use C1
          900 | advanced            |
          950 | lost C1             |
         1000 |                     | connect C2
         1010 | opened C2           | use C2
         1020 | candidates C2 C3    |
         1030 | nothing-newer       |
         1100 |                     |
         1200 | advanced            |
        ",
    );
}

/// Guards against searches that open many connections a second to parents that send the agent away.
#[test]
fn parents_that_close_their_links_before_the_revision_advances_are_tried_with_backoff() {
    run_timeline(
        "
            0 | candidates C1 C2 C3 | connect C1
           10 | opened C1           | use C1
          900 | advanced            |
          950 | lost C1             |
         1000 |                     | connect C2
         1010 | opened C2           | use C2
         1020 | lost C2             |
         1095 |                     | connect C3
         1100 | opened C3           | use C3
         1110 | lost C3             |
         1260 |                     | connect C1
         1270 | opened C1           | use C1
         1280 | lost C1             |
         1379 |                     |
         1580 |                     | connect C2
        ",
    );
}

/// Guards against searches that open many connections a second while there is no primary.
#[test]
fn control_nodes_with_nothing_newer_have_their_whole_time_once_all_have_failed() {
    run_timeline(
        "
            0 | candidates C1 C2 | connect C1
           10 | opened C1        | use C1
          100 | advanced         |
         1310 |                  | connect C2
         1320 | opened C2        | use C2, close C1
         1330 | nothing-newer    |
         1600 |                  |
         2300 |                  |
         2530 |                  | connect C1
         2540 | opened C1        | use C1, close C2
         2550 | nothing-newer    |
         3500 |                  |
         3750 |                  | connect C2
        ",
    );
}

#[test]
fn an_agent_that_becomes_the_parent_late_has_some_time() {
    run_timeline(
        "
            0 | candidates A1 | connect A1
           10 | opened A1     | use A1
          100 | advanced      |
         1610 |               |
         1700 | lost A1       |
         1760 | candidates A2 | connect A2
         2000 | opened A2     | use A2
         2290 | candidates A2 C1 |
         2310 |               | connect C1
         2320 | advanced      | close C1
        ",
    );
}

#[test]
fn a_better_candidate_that_fails_changes_nothing_and_gets_a_penalty() {
    run_timeline(
        "
            0 | candidates C1       | connect C1
           10 | opened C1           | use C1
          500 | candidates A1 C1    |
          900 | advanced            |
         1800 | advanced            |
         3770 | advanced            | connect A1
         3780 | lost A1             |
         4500 | advanced            |
         5200 | advanced            |
         5700 | advanced            |
        ",
    );
}

#[test]
fn events_of_unknown_candidates_change_nothing() {
    run_timeline(
        "
            0 | candidates C1 | connect C1
           10 | opened C2     |
           20 | lost C3       |
           30 | opened C1     | use C1
           40 | opened C1     |
        ",
    );
}

#[test]
fn a_failed_candidate_is_reported_until_its_penalty_expires_or_its_revision_advances() {
    let mut parent_search = ParentSearch::new(1);
    let mut failed_after = |milliseconds: u64, text: &str| {
        let now = Duration::from_millis(milliseconds);
        parent_search.handle(now, event(text), &mut Vec::new());
        parent_search.failed_candidates(now).into_iter().map(name).collect::<Vec<_>>().join(" ")
    };
    assert_eq!(failed_after(0, "candidates A1 C1"), "");
    assert_eq!(failed_after(10, "lost A1"), "A1");
    assert_eq!(failed_after(500, ""), "A1");
    assert_eq!(failed_after(600, "opened C1"), "A1");
    assert_eq!(failed_after(2_000, ""), "C1 A1");
    assert_eq!(failed_after(2_010, ""), "C1");
    assert_eq!(failed_after(2_020, "advanced"), "");
}

quickcheck! {
    /// For any sequence of events: there are at most three concurrent attempts and at most one parent, whose link is
    /// open. Only links that are open or connecting are closed. Besides the link to the parent, at most one is open: that
    /// to the former parent, until the revision advances or the trial of the parent ends.
    fn the_parent_and_the_attempts_match_the_actions(seed: u64, steps: Vec<(u8, u8, u8)>) -> bool {
        let names = ["A1", "A2", "C1", "C2", "C3"];
        let mut parent_search = ParentSearch::new(seed);
        let (mut connecting, mut open, mut parent) = (Vec::new(), Vec::new(), None);
        let mut trial_ends_at = Duration::ZERO;
        let mut now = Duration::ZERO;
        let mut actions = Vec::new();
        for (wait, event_number, target) in steps {
            now += Duration::from_millis(u64::from(wait) * 10);
            let target = candidate(names[usize::from(target) % names.len()]);
            let event = match event_number % 7 {
                0 => Event::Candidates(names.iter().map(|name| candidate(name)).collect()),
                1 => Event::Candidates(vec![candidate("C3"), candidate("A1")]),
                2 if connecting.contains(&target) => Event::Opened(target),
                3 if connecting.contains(&target) || open.contains(&target) => Event::Lost(target),
                4 => Event::RevisionAdvanced,
                5 => Event::NothingNewer,
                _ => Event::Tick,
            };
            if matches!(event, Event::Opened(_)) {
                connecting.retain(|other| *other != target);
                open.push(target);
            }
            if matches!(event, Event::Lost(_)) {
                connecting.retain(|other| *other != target);
                open.retain(|other| *other != target);
                parent = parent.filter(|other| *other != target);
            }
            let has_advanced = event == Event::RevisionAdvanced;
            parent_search.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Connect(candidate) => {
                        assert!(!connecting.contains(&candidate) && !open.contains(&candidate));
                        connecting.push(candidate);
                    }
                    Action::Use(candidate) => {
                        assert!(open.contains(&candidate), "the link to {candidate:?} is not open");
                        assert_ne!(parent, Some(candidate), "it is the parent already");
                        trial_ends_at = now + Duration::from_millis(600);
                        parent = Some(candidate);
                    }
                    Action::Close(candidate) => {
                        let known = open.contains(&candidate) || connecting.contains(&candidate);
                        assert!(known, "{candidate:?} is neither open nor connecting");
                        assert_ne!(parent, Some(candidate), "the link to the parent was closed");
                        open.retain(|other| *other != candidate);
                        connecting.retain(|other| *other != candidate);
                    }
                }
            }
            let is_trial_over = parent.is_none() || has_advanced || now >= trial_ends_at;
            let max_open = if is_trial_over { usize::from(parent.is_some()) } else { 2 };
            assert!(open.len() <= max_open, "the link to the former parent was not closed");
            assert!(connecting.len() <= 3);
            assert_eq!(parent_search.parent(), parent);
        }
        true
    }
}

#[test]
fn the_reason_for_each_change_of_the_parent_is_known() {
    run_reason_timeline(
        "
            0 | candidates A1 A2 C1 | first parent
           10 | opened A1           | first parent
          200 | lost A1             | the link to the previous parent closed
          250 |                     | the link to the previous parent closed
          260 | opened A2           | the link to the previous parent closed
          300 | advanced            | the link to the previous parent closed
         1900 |                     | the link to the previous parent closed
         1910 | opened C1           | the revision stalled
         1920 | advanced            | the revision stalled
         2800 | advanced            | the revision stalled
         3700 | advanced            | the revision stalled
         4600 | advanced            | the revision stalled
         5500 | advanced            | the revision stalled
         5700 |                     | the revision stalled
         5710 | opened A1           | better candidate
        ",
    );
}
