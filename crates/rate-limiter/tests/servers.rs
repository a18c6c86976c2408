//! Servers, with scripted events: draining, slow start, ejection, in-flight limits, and calls to discovery.
mod common;
use common::*;
use rate_limiter::*;

#[test]
fn draining_and_removed_servers_get_no_new_requests() {
    let mut host = Host::new(settings());
    host.handle(Event::ServerChanges(vec![server_entry(EAST_1, "east", ServerState::Draining, None)]));
    // The requests stay open, so that the next one would go to an idle server.
    let sent: Vec<_> =
        (0..4).filter_map(|n| sent_to(&host.submit(&format!("c{n}"), "plain", "read", 1.0).1)).collect();
    assert!(sent.len() > 1 && sent.iter().all(|s| &**s != EAST_1), "{sent:?}");
    host.handle(Event::ServerList(vec![server_entry(WEST_1, "west", ServerState::InService, None)]));
    let sent: Vec<_> =
        (0..4).filter_map(|n| sent_to(&host.submit(&format!("d{n}"), "plain", "read", 1.0).1)).collect();
    assert!(sent.iter().all(|s| &**s == WEST_1), "{sent:?}");
}

#[test]
fn sends_to_a_cold_server_are_limited_in_each_overload_window() {
    let mut host = Host::new(settings());
    let in_service = ServerState::InService;
    host.handle(Event::ServerList(vec![
        server_entry(EAST_1, "east", in_service, None),
        server_entry(EAST_2, "east", in_service, Some(100.0)),
    ]));
    let mut send_times = Vec::new();
    let mut open_requests = std::collections::VecDeque::new();
    for n in 0..2000 {
        host.now += 0.005;
        let (id, actions) = host.submit(&format!("c{n}"), "plain", "read", 1.0);
        if sent_to(&actions).as_deref() == Some(EAST_2) {
            send_times.push(host.now);
        }
        open_requests.push_back(id);
        if open_requests.len() > 12 {
            let id = open_requests.pop_front().expect("an open request");
            host.end_attempt(id, 0, Outcome::Completed, None);
        }
    }
    assert!(!send_times.is_empty(), "the cold server gets some requests");
    for start in &send_times {
        let sends_in_window =
            send_times.iter().filter(|t| **t >= *start && **t < *start + 2.0).count() as f64;
        let warm_sends = 200.0 * 2.0;
        let warm_fraction = 0.2 + 0.8 * ((start + 2.0 - 100.0) / 20.0);
        assert!(
            sends_in_window <= 3.0 * warm_fraction * warm_sends,
            "{sends_in_window} sends in the window from {start}"
        );
    }
    let first = send_times.iter().filter(|t| **t < 102.0).count();
    assert!(first as f64 <= 3.0 * 0.28 * 400.0 * 0.7, "{first} sends in the first window");
}

#[test]
fn a_server_is_ejected_after_consecutive_failures_but_never_all_servers() {
    let mut host = Host::new(settings());
    let mut to_east_1 = 0;
    for n in 0..10 {
        host.now += 0.01;
        let (id, actions) = host.submit(&format!("c{n}"), "plain", "unsafe", 1.0);
        let at_east_1 = sent_to(&actions).as_deref() == Some(EAST_1);
        to_east_1 += usize::from(at_east_1);
        if at_east_1 {
            host.end_attempt(id, 0, Outcome::Reset, None);
        }
    }
    assert!((1..=4).contains(&to_east_1), "{to_east_1} sent to a failing server");

    let mut host = Host::new(settings());
    let mut sent = 0;
    for n in 0..60 {
        host.now += 0.01;
        let (id, actions) = host.submit(&format!("c{n}"), "plain", "unsafe", 1.0);
        sent += usize::from(sent_to(&actions).is_some());
        host.end_attempt(id, 0, Outcome::Reset, None);
    }
    assert!(sent > 20, "some servers are never ejected: {sent} sent");
}

#[test]
fn attempts_in_flight_at_a_server_are_limited() {
    let mut host = Host::new(settings());
    let sent = (0..100)
        .filter(|n| sent_to(&host.submit(&format!("c{n}"), "plain", "read", 1.0).1).is_some())
        .count();
    assert!((3..=30).contains(&sent), "{sent} in flight at three servers that have not responded yet");
}

#[test]
fn a_hung_attempt_counts_as_in_flight_for_the_target_latency_at_most() {
    // Guards against hung attempts (incident ief87c6): each would fill a small in-flight limit until its
    // client disconnected.
    let mut host = Host::new(Settings { limiter_count: 4, ..settings() });
    host.handle(Event::ServerList(vec![server_entry(EAST_1, "east", ServerState::InService, None)]));
    let (id, actions) = host.submit("c", "plain", "unsafe", 1.0);
    assert!(sent_to(&actions).is_some());
    assert!(sent_to(&host.submit("c", "plain", "unsafe", 1.0).1).is_some());
    assert!(!host.serve("d", "plain", 1.0), "the in-flight limit of two is reached");
    host.now += 0.6;
    // This is the token of the timer of a slow attempt.
    let actions = host.handle(Event::Timer { token: id * 4 + 2 });
    let at = actions.iter().find_map(|a| match a {
        Action::SetTimer { at, .. } => Some(*at),
        _ => None,
    });
    assert!(!host.serve("d", "plain", 1.0));
    host.now = at.expect("a second timer for the slow attempt");
    host.handle(Event::Timer { token: id * 4 + 2 });
    assert!(host.serve("d", "plain", 1.0));
}

#[test]
fn hundreds_of_limiters_together_respect_a_slow_start_limit() {
    // Guards against an overload of the cold server by as little as one send from each limiter. There is no
    // warm server whose load shows how much the cold one can take.
    for limiter_count in [2u32, 300] {
        let mut sent = 0;
        for limiter_index in 0..limiter_count {
            let mut host = Host::new(Settings { limiter_count, limiter_index, ..settings() });
            host.handle(Event::ServerList(vec![server_entry(
                EAST_2,
                "east",
                ServerState::InService,
                Some(100.0),
            )]));
            for n in 0..200 {
                host.now += 0.02;
                sent += usize::from(host.serve(&format!("c{n}"), "plain", 1.0));
            }
        }
        // Four sends per overload window (2 s) from all limiters together, plus random variation.
        assert!((1..=20).contains(&sent), "{sent} sends in two windows from {limiter_count} limiters");
    }
}

#[test]
fn only_the_class_without_responses_moves_to_another_server() {
    // Guards against a server that does not respond to one class. It is not ejected, since it responds to the
    // others.
    let mut host = Host::new(settings());
    let in_service = ServerState::InService;
    host.handle(Event::ServerList(vec![
        server_entry(EAST_1, "east", in_service, None),
        server_entry(EAST_2, "east", in_service, None),
    ]));
    let mut unsafe_at_east_1 = 0;
    for n in 0..60 {
        for class in ["unsafe", "read"] {
            host.now += 0.05;
            let (id, actions) = host.submit(&format!("{class}{n}"), "plain", class, 1.0);
            let Some(to) = sent_to(&actions) else { continue };
            if class == "unsafe" && &*to == EAST_1 {
                unsafe_at_east_1 += u32::from(n >= 20);
                host.now += 0.7;
                // This is the token of the timer of a slow attempt.
                host.handle(Event::Timer { token: id * 4 + 2 });
                host.handle(Event::ClientClosed { id });
                host.end_attempt(id, 0, Outcome::Timeout, None);
            } else {
                host.end_attempt(id, 0, Outcome::Completed, None);
            }
        }
    }
    assert!(unsafe_at_east_1 <= 4, "{unsafe_at_east_1} of 40 requests of the class without responses");
    host.handle(Event::ServerChanges(vec![server_entry(EAST_2, "east", ServerState::Draining, None)]));
    assert_eq!(
        sent_to(&host.submit("z", "plain", "read", 1.0).1).as_deref(),
        Some(EAST_1),
        "it still serves the other classes"
    );
}

#[test]
fn invalid_settings_cause_rejections_and_no_panic() {
    let invalid_settings = [
        Settings::default(),
        Settings { classes: vec![Class { name: "read".into(), ..Class::default() }], ..settings() },
        Settings {
            warmup_time: 0.0,
            overload_window: 0.0,
            overload_factor: -1.0,
            limiter_count: 0,
            ..settings()
        },
        Settings {
            plans: vec![Plan {
                name: "plain".into(),
                rate: -1.0,
                burst: -2.0,
                hard_rate: -1.0,
                ..Plan::default()
            }],
            ..settings()
        },
    ];
    for settings in invalid_settings {
        for without_servers in [true, false] {
            let mut host = Host::new(settings.clone());
            if without_servers {
                host.handle(Event::ServerList(Vec::new()));
            } else {
                let cold = server_entry(EAST_2, "east", ServerState::InService, Some(100.0));
                host.handle(Event::ServerList(vec![cold]));
            }
            for n in 0..50 {
                host.now += if n == 25 { 90.0 } else { 0.3 };
                host.handle(Event::Timer { token: 0 });
                let (id, actions) = host.submit("c", "plain", "read", f64::from(n % 5) - 1.0);
                assert!(rejected_count(&actions) + usize::from(sent_to(&actions).is_some()) == 1);
                if sent_to(&actions).is_some() {
                    host.end_attempt(id, 0, Outcome::Error, Some(-1.0));
                }
                host.respond_to_counter_calls(|_| (Outcome::Completed, -3.0));
            }
        }
    }
}

#[test]
fn ticks_start_with_the_first_event_however_late_it_arrives() {
    let mut limiter = Limiter::new(settings(), 7, 100.0);
    let mut actions = Vec::new();
    limiter.handle(100.2, Event::ServerList(Vec::new()), &mut actions);
    let ticks = actions.iter().filter(|a| matches!(a, Action::SetTimer { at, .. } if *at > 100.2)).count();
    assert_eq!(ticks, 1, "{actions:?}");
}

#[test]
fn a_hundred_limiters_whose_discovery_calls_failed_at_once_back_off_with_jitter() {
    // Guards against simultaneous calls to an overloaded discovery service, none of which would ever get a
    // response.
    let settings =
        Settings { discovery_on_request: true, discovery_deadline: 10.0, limiter_count: 100, ..settings() };
    let mut all_call_times: Vec<f64> = Vec::new();
    for seed in 0..100 {
        let mut limiter = Limiter::new(settings.clone(), seed, 100.0);
        let mut actions = Vec::new();
        limiter.handle(100.0, Event::ServerList(Vec::new()), &mut actions);
        assert!(actions.contains(&Action::WatchServers), "a polled list is requested immediately");
        limiter.handle(100.0, Event::DiscoveryFailed, &mut actions);
        let mut call_times = Vec::new();
        for step in 1..=6000 {
            let now = 100.0 + f64::from(step) * 0.01;
            actions.clear();
            limiter.handle(now, Event::Timer { token: 0 }, &mut actions);
            if actions.contains(&Action::WatchServers) {
                call_times.push(now);
                limiter.handle(now, Event::DiscoveryFailed, &mut actions);
            }
        }
        let (first, last) = (call_times.first(), call_times.last());
        assert!(first < Some(&100.3) && last > Some(&140.0), "{call_times:?}");
        all_call_times.extend(call_times);
    }
    let within = |from: f64, to: f64| all_call_times.iter().filter(|at| (from..to).contains(*at)).count();
    assert!(within(130.0, 160.0) < 400, "{} calls from 30 s to 60 s", within(130.0, 160.0));
    let busiest = (0..600).map(|n| 100.0 + f64::from(n) * 0.1).map(|at| within(at, at + 0.1)).max();
    assert!(busiest < Some(90), "{busiest:?} of 100 in one tenth of a second");
}

#[test]
fn a_pushed_list_is_requested_again_without_a_long_backoff() {
    // When discovery responds again, its changes must take effect without delay, so the backoff after a
    // failed call is short.
    let mut limiter = Limiter::new(settings(), 7, 100.0);
    let mut now = 100.0;
    for call in 0..40 {
        let mut actions = Vec::new();
        limiter.handle(now, Event::DiscoveryFailed, &mut actions);
        let failed_at = now;
        while !actions.contains(&Action::WatchServers) {
            now += 0.01;
            actions.clear();
            limiter.handle(now, Event::Timer { token: 0 }, &mut actions);
            assert!(now - failed_at < 0.6, "call {call}");
        }
    }
}

#[test]
fn updates_of_the_list_reset_the_backoff() {
    let mut limiter = Limiter::new(settings(), 7, 100.0);
    let mut requests_watch = |now: f64, event: Event| {
        let mut actions = Vec::new();
        limiter.handle(now, event, &mut actions);
        actions.contains(&Action::WatchServers)
    };
    for n in 0..8 {
        assert!(!requests_watch(100.0 + f64::from(n) * 10.0, Event::DiscoveryFailed));
        assert!(requests_watch(105.0 + f64::from(n) * 10.0, Event::Timer { token: 0 }));
    }
    requests_watch(190.0, Event::ServerList(Vec::new()));
    assert!(!requests_watch(191.0, Event::Timer { token: 0 }), "the watch is open");
    requests_watch(192.0, Event::DiscoveryFailed);
    assert!(requests_watch(192.3, Event::Timer { token: 0 }), "the first backoff is short again");
}
