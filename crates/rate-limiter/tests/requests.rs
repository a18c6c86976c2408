//! Requests, with scripted events: each gets exactly one final response, and is retried only if its class
//! permits.
mod common;
use common::*;
use rate_limiter::*;

/// Returns the time and the token of a timer of a request. `kind` is 1 for the timer before the deadline, and
/// 2 for the timer of a slow attempt.
fn find_timer(actions: &[Action], id: u64, kind: u64) -> Option<(f64, u64)> {
    actions.iter().find_map(|a| match a {
        Action::SetTimer { at, token } if *token == id * 4 + kind => Some((*at, *token)),
        _ => None,
    })
}

#[test]
fn requests_without_any_server_are_rejected_once() {
    let mut host = Host::new(settings());
    host.handle(Event::ServerList(Vec::new()));
    let (_, actions) = host.submit("c", "plain", "unsafe", 1.0);
    assert_eq!((rejected_count(&actions), failed_count(&actions), sent_to(&actions)), (1, 0, None));
}

#[test]
fn unknown_class_or_plan_is_rejected_once() {
    let mut host = Host::new(settings());
    assert_eq!(rejected_count(&host.submit("c", "no such plan", "read", 1.0).1), 1);
    assert_eq!(rejected_count(&host.submit("c", "plain", "no such class", 1.0).1), 1);
}

#[test]
fn a_request_without_a_response_fails_once_just_before_its_deadline() {
    let mut host = Host::new(settings());
    let (id, actions) = host.submit("c", "plain", "read", 1.0);
    let (at, token) = find_timer(&actions, id, 1).expect("a timer before the deadline");
    assert!(at < host.now + 4.0 && at > host.now + 3.9, "{at}");
    host.now = at;
    let actions = host.handle(Event::Timer { token });
    assert_eq!(failed_count(&actions), 1);
    host.now += 0.01;
    let late = host.end_attempt(id, 0, Outcome::Timeout, None);
    assert_eq!((failed_count(&late), rejected_count(&late), sent_to(&late)), (0, 0, None));
    assert!(host.handle(Event::Timer { token }).is_empty());
}

#[test]
fn a_client_that_disconnects_cancels_all_attempts() {
    let mut host = Host::new(settings());
    let (id, _) = host.submit("c", "plain", "read", 1.0);
    let actions = host.handle(Event::ClientClosed { id });
    assert_eq!((failed_count(&actions), rejected_count(&actions)), (0, 0));
    let actions = host.end_attempt(id, 0, Outcome::ConnectFailed, None);
    assert_eq!((failed_count(&actions), rejected_count(&actions), sent_to(&actions)), (0, 0, None));
}

#[test]
fn non_idempotent_requests_are_retried_only_if_they_were_not_executed() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let mut host = Host::new(settings());
        let (id, _) = host.submit("c", "plain", "unsafe", 1.0);
        assert!(sent_to(&host.end_attempt(id, 0, outcome, None)).is_some(), "{outcome:?}");
    }
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut host = Host::new(settings());
        let (id, _) = host.submit("c", "plain", "unsafe", 1.0);
        let actions = host.end_attempt(id, 0, outcome, None);
        assert_eq!(
            (sent_to(&actions), rejected_count(&actions), failed_count(&actions)),
            (None, 0, 1),
            "{outcome:?}"
        );
    }
}

#[test]
fn idempotent_requests_are_retried_after_any_failure_up_to_max_attempts() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Rejected] {
        let mut host = Host::new(settings());
        let (id, actions) = host.submit("c", "plain", "read", 1.0);
        let first = sent_to(&actions);
        let actions = host.end_attempt(id, 0, outcome, None);
        assert!(sent_to(&actions).is_some() && sent_to(&actions) != first, "{outcome:?}");
        host.end_attempt(id, 1, outcome, None);
        host.end_attempt(id, 2, outcome, None);
        let actions = host.end_attempt(id, 3, outcome, None);
        assert_eq!(
            (sent_to(&actions), rejected_count(&actions) + failed_count(&actions)),
            (None, 1),
            "{outcome:?}"
        );
    }
}

#[test]
fn keyed_requests_are_retried_only_within_their_scope_and_deduplication_window() {
    let mut host = Host::new(settings());
    let (id, actions) = host.submit("c", "plain", "keyed-zone", 1.0);
    let first = sent_to(&actions).expect("sent");
    let other = if &*first == EAST_1 { EAST_2 } else { EAST_1 };
    // Both servers of the zone drain. The request may have executed, so it is neither sent to another zone
    // nor rejected, since a rejection tells the client that it can safely retry.
    host.handle(Event::ServerChanges(vec![
        server_entry(other, "east", ServerState::Draining, None),
        server_entry(&first, "east", ServerState::Draining, None),
    ]));
    let actions = host.end_attempt(id, 0, Outcome::Reset, None);
    assert_eq!((sent_to(&actions), rejected_count(&actions), failed_count(&actions)), (None, 0, 1));

    let mut host = Host::new(settings());
    let (id, _) = host.submit("c", "plain", "keyed-all", 1.0);
    host.now += 1.9;
    let actions = host.end_attempt(id, 0, Outcome::Reset, None);
    assert_eq!(
        (sent_to(&actions), rejected_count(&actions)),
        (None, 1),
        "too close to the end of the deduplication window"
    );
    let (id, _) = host.submit("c", "plain", "keyed-all", 1.0);
    host.now += 0.5;
    assert!(sent_to(&host.end_attempt(id, 0, Outcome::Reset, None)).is_some());
}

#[test]
fn the_in_flight_limit_of_a_plan_rejects_at_once_until_an_attempt_completes() {
    let mut host = Host::new(settings());
    let (first, actions) = host.submit("c", "capped", "read", 1.0);
    assert!(sent_to(&actions).is_some());
    let (_, actions) = host.submit("c", "capped", "read", 1.0);
    assert!(
        sent_to(&actions).is_none() && rejected_count(&actions) == 1,
        "two in flight over two limiters are one each"
    );
    host.end_attempt(first, 0, Outcome::Completed, None);
    assert!(sent_to(&host.submit("c", "capped", "read", 1.0).1).is_some());
}

#[test]
fn a_streamed_response_has_no_deadline() {
    let mut host = Host::new(settings());
    let (id, actions) = host.submit("c", "plain", "read", 1.0);
    let (at, token) = find_timer(&actions, id, 1).expect("a timer before the deadline");
    host.handle(Event::StreamStarted { id });
    host.now = at;
    assert!(host.handle(Event::Timer { token }).is_empty());
}

#[test]
fn an_attempt_is_cancelled_only_after_two_consecutive_late_attempts() {
    // Guards against cascading ejections, and against taking a seldom used server for unresponsive: a single
    // late response shows only that a server is slow.
    let is_cancelled = |host: &mut Host, id: u64, actions: &[Action]| {
        let (at, token) = find_timer(actions, id, 2).expect("a timer for the slow attempt");
        host.now = host.now.max(at);
        host.handle(Event::Timer { token }).iter().any(|a| matches!(a, Action::Cancel { .. }))
    };
    for first_completes in [true, false] {
        let mut host = Host::new(settings());
        host.handle(Event::ServerList(vec![server_entry(EAST_1, "east", ServerState::InService, None)]));
        let (id, actions) = host.submit("c", "plain", "read", 1.0);
        assert!(!is_cancelled(&mut host, id, &actions), "a single late attempt");
        if first_completes {
            host.end_attempt(id, 0, Outcome::Completed, None);
        }
        let (id, actions) = host.submit("d", "plain", "read", 1.0);
        assert_eq!(is_cancelled(&mut host, id, &actions), !first_completes);
    }
}

#[test]
fn delays_after_a_stall_of_the_limiter_are_not_attributed_to_servers() {
    // Guards against a stall of the limiter itself. Responses that look late after it are not the servers'
    // fault, so no attempt is cancelled and no server is penalized.
    let run = |stalled: bool| {
        let mut host = Host::new(settings());
        host.handle(Event::Timer { token: 0 });
        host.handle(Event::ServerList(vec![server_entry(EAST_1, "east", ServerState::InService, None)]));
        let mut cancels = 0;
        for n in 0..2 {
            let (id, actions) = host.submit(&format!("c{n}"), "plain", "read", 1.0);
            let (at, token) = find_timer(&actions, id, 2).expect("a timer for the slow attempt");
            for step in 1..=10 {
                if !stalled {
                    host.now = host.now.max(at - 0.5 + f64::from(step) * 0.05);
                    host.handle(Event::Timer { token: 0 });
                }
            }
            host.now = host.now.max(at);
            host.handle(Event::Timer { token: 0 });
            cancels += host
                .handle(Event::Timer { token })
                .iter()
                .filter(|a| matches!(a, Action::Cancel { .. }))
                .count();
        }
        cancels
    };
    assert_eq!((run(true), run(false)), (0, 1));
}

#[test]
fn unmarked_retries_take_nothing_from_other_tenants() {
    // The clients of one tenant immediately retry each rejected request many times, without marking it as a
    // retry.
    let served = |abuse: bool| {
        let mut host = Host::new(settings());
        let mut served_others = 0;
        for n in 0..600u32 {
            host.now += 0.05;
            for _ in 0..if abuse { 20 } else { 0 } {
                host.serve("abuser", "plain", 1.0);
            }
            served_others += u32::from(host.serve(&format!("c{}", n % 10), "plain", 1.0));
            host.respond_to_counter_calls(|amount| (Outcome::Completed, amount));
        }
        served_others
    };
    assert_eq!(served(true), served(false));
}

#[test]
fn identical_events_give_identical_actions() {
    let run = || {
        let mut host = Host::new(settings());
        let mut all = Vec::new();
        for n in 0..200u64 {
            host.now += 0.01;
            let (id, actions) = host.submit(&format!("c{}", n % 7), "plain", "read", 1.0);
            all.extend(actions);
            if n % 3 == 0 {
                all.extend(host.end_attempt(id, 0, Outcome::Completed, None));
            }
            all.extend(host.handle(Event::Timer { token: 0 }));
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn every_rejection_has_a_retry_after_if_the_settings_allow_it() {
    let retry_after = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        })
    };
    for may_send_retry_after in [true, false] {
        let is_as_allowed =
            |retry_after: Option<f64>| retry_after.is_some_and(|a| (a > 0.0) == may_send_retry_after);
        let settings = Settings { may_send_retry_after, max_retry_after: 2.0, ..settings() };
        // All attempts of the request were rejected.
        let mut host = Host::new(settings.clone());
        let (id, mut actions) = host.submit("a", "plain", "read", 1.0);
        for n in 0.. {
            if sent_to(&actions).is_none() {
                break;
            }
            actions = host.end_attempt(id, n, Outcome::Rejected, None);
        }
        assert!(is_as_allowed(retry_after(&actions)), "all attempts rejected: {actions:?}");
        // There is no server.
        host.handle(Event::ServerList(Vec::new()));
        let (_, actions) = host.submit("b", "plain", "read", 1.0);
        assert!(is_as_allowed(retry_after(&actions)), "no server: {actions:?}");
        // The bucket is empty, and no totals are known.
        let mut host = Host::new(settings);
        let actions = (0..200)
            .map(|_| host.submit("c", "plain", "read", 4.0).1)
            .find(|actions| rejected_count(actions) > 0);
        assert!(is_as_allowed(actions.and_then(|actions| retry_after(&actions))), "empty bucket");
    }
}
