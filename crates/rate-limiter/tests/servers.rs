//! Servers, with scripted events: draining, slow start, ejection, in-flight limits, and calls to discovery.
mod common;
use common::*;
use rate_limiter::*;

#[test]
fn draining_and_removed_servers_get_no_new_requests() {
    let mut h = Host::new(settings());
    h.handle(Event::ServerChanges(vec![server_entry(EAST_1, "east", ServerState::Draining, None)]));
    // The requests stay open, so that the next one would go to an idle server.
    let sent: Vec<_> =
        (0..4).filter_map(|n| sent_to(&h.submit(&format!("c{n}"), "plain", "read", 1.0).1)).collect();
    assert!(sent.len() > 1 && sent.iter().all(|s| &**s != EAST_1), "{sent:?}");
    h.handle(Event::ServerList(vec![server_entry(WEST_1, "west", ServerState::InService, None)]));
    let sent: Vec<_> =
        (0..4).filter_map(|n| sent_to(&h.submit(&format!("d{n}"), "plain", "read", 1.0).1)).collect();
    assert!(sent.iter().all(|s| &**s == WEST_1), "{sent:?}");
}

#[test]
fn sends_to_a_cold_server_are_limited_in_each_overload_window() {
    let mut h = Host::new(settings());
    let up = ServerState::InService;
    h.handle(Event::ServerList(vec![
        server_entry(EAST_1, "east", up, None),
        server_entry(EAST_2, "east", up, Some(100.0)),
    ]));
    let mut sends = Vec::new();
    let mut out_now = std::collections::VecDeque::new();
    for n in 0..2000 {
        h.now += 0.005;
        let (id, out) = h.submit(&format!("c{n}"), "plain", "read", 1.0);
        if sent_to(&out).as_deref() == Some(EAST_2) {
            sends.push(h.now);
        }
        out_now.push_back(id);
        if out_now.len() > 12 {
            let id = out_now.pop_front().expect("one");
            h.end_attempt(id, 0, Outcome::Completed, None);
        }
    }
    assert!(!sends.is_empty(), "the cold server gets some requests");
    for start in &sends {
        let within = sends.iter().filter(|t| **t >= *start && **t < *start + 2.0).count() as f64;
        let warm = 200.0 * 2.0;
        let warmth = 0.2 + 0.8 * ((start + 2.0 - 100.0) / 20.0);
        assert!(within <= 3.0 * warmth * warm, "{within} sends in the window from {start}");
    }
    let first = sends.iter().filter(|t| **t < 102.0).count();
    assert!(first as f64 <= 3.0 * 0.28 * 400.0 * 0.7, "{first} sends in the first window");
}

#[test]
fn a_server_is_ejected_after_consecutive_failures_but_never_all_servers() {
    let mut h = Host::new(settings());
    let mut to_a = 0;
    for n in 0..10 {
        h.now += 0.01;
        let (id, out) = h.submit(&format!("c{n}"), "plain", "unsafe", 1.0);
        let at_a = sent_to(&out).as_deref() == Some(EAST_1);
        to_a += usize::from(at_a);
        if at_a {
            h.end_attempt(id, 0, Outcome::Reset, None);
        }
    }
    assert!((1..=4).contains(&to_a), "{to_a} sent to a failing server");

    let mut h = Host::new(settings());
    let mut sent = 0;
    for n in 0..60 {
        h.now += 0.01;
        let (id, out) = h.submit(&format!("c{n}"), "plain", "unsafe", 1.0);
        sent += usize::from(sent_to(&out).is_some());
        h.end_attempt(id, 0, Outcome::Reset, None);
    }
    assert!(sent > 20, "some servers are never ejected: {sent} sent");
}

#[test]
fn attempts_in_flight_at_a_server_are_limited() {
    let mut h = Host::new(settings());
    let sent =
        (0..100).filter(|n| sent_to(&h.submit(&format!("c{n}"), "plain", "read", 1.0).1).is_some()).count();
    assert!((3..=30).contains(&sent), "{sent} in flight at three servers that have not responded yet");
}

#[test]
fn a_hung_attempt_counts_as_in_flight_for_the_target_latency_at_most() {
    // Guards against hung attempts (incident ief87c6): each would fill a small in-flight limit until its
    // client disconnected.
    let mut h = Host::new(Settings { limiter_count: 4, ..settings() });
    h.handle(Event::ServerList(vec![server_entry(EAST_1, "east", ServerState::InService, None)]));
    let (id, out) = h.submit("c", "plain", "unsafe", 1.0);
    assert!(sent_to(&out).is_some());
    assert!(sent_to(&h.submit("c", "plain", "unsafe", 1.0).1).is_some());
    assert!(!h.serve("d", "plain", 1.0), "the in-flight limit of two is reached");
    h.now += 0.6;
    let out = h.handle(Event::Timer { token: id * 4 + 2 });
    let at = out.iter().find_map(|a| match a {
        Action::SetTimer { at, .. } => Some(*at),
        _ => None,
    });
    assert!(!h.serve("d", "plain", 1.0));
    h.now = at.expect("a second timer for the slow attempt");
    h.handle(Event::Timer { token: id * 4 + 2 });
    assert!(h.serve("d", "plain", 1.0));
}

#[test]
fn hundreds_of_limiters_together_respect_a_slow_start_limit() {
    // Guards against an overload of the cold server by as little as one send from each limiter. There is no
    // warm server whose load shows how much the cold one can take.
    for limiter_count in [2u32, 300] {
        let mut sent = 0;
        for limiter_index in 0..limiter_count {
            let mut h = Host::new(Settings { limiter_count, limiter_index, ..settings() });
            h.handle(Event::ServerList(vec![server_entry(
                EAST_2,
                "east",
                ServerState::InService,
                Some(100.0),
            )]));
            for n in 0..200 {
                h.now += 0.02;
                sent += usize::from(h.serve(&format!("c{n}"), "plain", 1.0));
            }
        }
        // Four sends per overload window (2 s) from all limiters together, plus random variation.
        assert!((1..=20).contains(&sent), "{sent} sends in two windows from {limiter_count} limiters");
    }
}

#[test]
fn a_class_without_responses_moves_to_another_server_alone() {
    // Guards against a server that does not respond to one class. It is not ejected, since it responds to the
    // others.
    let mut h = Host::new(settings());
    let up = ServerState::InService;
    h.handle(Event::ServerList(vec![
        server_entry(EAST_1, "east", up, None),
        server_entry(EAST_2, "east", up, None),
    ]));
    let mut unsafe_at_a = 0;
    for n in 0..60 {
        for class in ["unsafe", "read"] {
            h.now += 0.05;
            let (id, out) = h.submit(&format!("{class}{n}"), "plain", class, 1.0);
            let Some(to) = sent_to(&out) else { continue };
            if class == "unsafe" && &*to == EAST_1 {
                unsafe_at_a += u32::from(n >= 20);
                h.now += 0.7;
                h.handle(Event::Timer { token: id * 4 + 2 });
                h.handle(Event::ClientClosed { id });
                h.end_attempt(id, 0, Outcome::Timeout, None);
            } else {
                h.end_attempt(id, 0, Outcome::Completed, None);
            }
        }
    }
    assert!(unsafe_at_a <= 4, "{unsafe_at_a} of 40 requests of the class without responses");
    h.handle(Event::ServerChanges(vec![server_entry(EAST_2, "east", ServerState::Draining, None)]));
    assert_eq!(
        sent_to(&h.submit("z", "plain", "read", 1.0).1).as_deref(),
        Some(EAST_1),
        "it still serves the other classes"
    );
}

#[test]
fn invalid_settings_cause_rejections_and_no_panic() {
    let odd = [
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
    for set in odd {
        for empty in [true, false] {
            let mut h = Host::new(set.clone());
            if empty {
                h.handle(Event::ServerList(Vec::new()));
            } else {
                let cold = server_entry(EAST_2, "east", ServerState::InService, Some(100.0));
                h.handle(Event::ServerList(vec![cold]));
            }
            for n in 0..50 {
                h.now += if n == 25 { 90.0 } else { 0.3 };
                h.handle(Event::Timer { token: 0 });
                let (id, out) = h.submit("c", "plain", "read", f64::from(n % 5) - 1.0);
                assert!(rejected_count(&out) + usize::from(sent_to(&out).is_some()) == 1);
                if sent_to(&out).is_some() {
                    h.end_attempt(id, 0, Outcome::Error, Some(-1.0));
                }
                h.respond_to_counter_calls(|_| (Outcome::Completed, -3.0));
            }
        }
    }
}

#[test]
fn ticks_start_with_the_first_event_however_late_it_arrives() {
    let mut limiter = Limiter::new(settings(), 7, 100.0);
    let mut out = Vec::new();
    limiter.handle(100.2, Event::ServerList(Vec::new()), &mut out);
    let ticks = out.iter().filter(|a| matches!(a, Action::SetTimer { at, .. } if *at > 100.2)).count();
    assert_eq!(ticks, 1, "{out:?}");
}

#[test]
fn a_hundred_limiters_whose_discovery_calls_failed_at_once_back_off_with_jitter() {
    // Guards against simultaneous calls to an overloaded discovery service, none of which would ever get a
    // response.
    let set =
        Settings { discovery_on_request: true, discovery_deadline: 10.0, limiter_count: 100, ..settings() };
    let mut asked: Vec<f64> = Vec::new();
    for seed in 0..100 {
        let mut limiter = Limiter::new(set.clone(), seed, 100.0);
        let mut out = Vec::new();
        limiter.handle(100.0, Event::ServerList(Vec::new()), &mut out);
        assert!(out.contains(&Action::WatchServers), "a polled list is requested immediately");
        limiter.handle(100.0, Event::DiscoveryFailed, &mut out);
        let mut mine = Vec::new();
        for step in 1..=6000 {
            let now = 100.0 + f64::from(step) * 0.01;
            out.clear();
            limiter.handle(now, Event::Timer { token: 0 }, &mut out);
            if out.contains(&Action::WatchServers) {
                mine.push(now);
                limiter.handle(now, Event::DiscoveryFailed, &mut out);
            }
        }
        let (first, last) = (mine.first(), mine.last());
        assert!(first < Some(&100.3) && last > Some(&140.0), "{mine:?}");
        asked.extend(mine);
    }
    let within = |from: f64, to: f64| asked.iter().filter(|at| (from..to).contains(*at)).count();
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
        let mut out = Vec::new();
        limiter.handle(now, Event::DiscoveryFailed, &mut out);
        let broken = now;
        while !out.contains(&Action::WatchServers) {
            now += 0.01;
            out.clear();
            limiter.handle(now, Event::Timer { token: 0 }, &mut out);
            assert!(now - broken < 0.6, "call {call}");
        }
    }
}

#[test]
fn updates_of_the_list_reset_the_backoff() {
    let mut limiter = Limiter::new(settings(), 7, 100.0);
    let mut ask = |now: f64, event: Event| {
        let mut out = Vec::new();
        limiter.handle(now, event, &mut out);
        out.contains(&Action::WatchServers)
    };
    for n in 0..8 {
        assert!(!ask(100.0 + f64::from(n) * 10.0, Event::DiscoveryFailed));
        assert!(ask(105.0 + f64::from(n) * 10.0, Event::Timer { token: 0 }));
    }
    ask(190.0, Event::ServerList(Vec::new()));
    assert!(!ask(191.0, Event::Timer { token: 0 }), "the watch is open");
    ask(192.0, Event::DiscoveryFailed);
    assert!(ask(192.3, Event::Timer { token: 0 }), "the first backoff is short again");
}
