//! The load that servers report, with scripted events: the choice of a server, and load shedding.
mod common;
use common::*;
use rate_limiter::*;
use std::collections::BTreeMap;

fn fleet(servers: u32, weight: impl Fn(u32) -> f64) -> Vec<ServerEntry> {
    let entry = |n: u32| {
        let in_service = server_entry(&format!("10.0.1.{n}:1"), "east", ServerState::InService, None);
        ServerEntry { weight: weight(n), ..in_service }
    };
    (0..servers).map(entry).collect()
}

/// Submits a request and completes it with a report of the server's queue length. Returns the server, or
/// `None` if the request was rejected.
fn serve(host: &mut Host, n: u32, queue: impl Fn(&str) -> Option<f64>) -> Option<String> {
    let (id, actions) = host.submit(&format!("c{n}"), "free", "read", 1.0);
    let to = sent_to(&actions)?.to_string();
    let report = LoadReport { queue: queue(&to), busy: Some(0.9), ..LoadReport::default() };
    let (outcome, units) = (Outcome::Completed, None);
    host.handle(Event::AttemptFinished(AttemptResult {
        id,
        attempt: 0,
        finished: true,
        outcome,
        elapsed: 0.1,
        units,
        report,
    }));
    Some(to)
}

#[test]
fn a_hundred_limiters_with_few_requests_do_not_all_choose_the_largest_servers() {
    // Each limiter has one request in flight at a time, so its own attempts show no difference between the
    // servers except their weight.
    let mut sent = BTreeMap::<String, f64>::new();
    for limiter_index in 0..100 {
        let mut host = Host::new(Settings { limiter_count: 100, limiter_index, ..settings() });
        host.handle(Event::ServerList(fleet(60, |n| if n % 2 == 0 { 3.0 } else { 2.0 })));
        for n in 0..12 {
            host.now += 0.2;
            let to = serve(&mut host, n, |_| None).expect("a server, since nothing is in flight");
            *sent.entry(to).or_default() += 1.0;
        }
    }
    let small: f64 = (0..60).filter(|n| n % 2 == 1).filter_map(|n| sent.get(&format!("10.0.1.{n}:1"))).sum();
    // In proportion to their weight, the smaller servers would get four tenths of 1,200 requests.
    assert!(small > 300.0, "{small} of 1200 requests at the smaller half of the servers");
    let most = sent.values().fold(0.0, |a: f64, b| a.max(*b));
    assert!(most <= 60.0, "{most} requests at one of 60 servers");
}

#[test]
fn each_of_a_hundred_limiters_uses_few_servers_and_together_they_use_all() {
    let (mut users, mut max_used) = (BTreeMap::<String, u32>::new(), 0);
    for limiter_index in 0..100 {
        let mut host = Host::new(Settings { limiter_count: 100, limiter_index, ..settings() });
        host.handle(Event::ServerList(fleet(60, |_| 2.0)));
        let mut used: Vec<String> = Vec::new();
        for n in 0..120 {
            host.now += 0.2;
            used.extend(serve(&mut host, n, |_| Some(0.0)));
        }
        used.sort();
        used.dedup();
        max_used = max_used.max(used.len());
        used.into_iter().for_each(|id| *users.entry(id).or_default() += 1);
    }
    assert!(max_used <= 10, "one limiter uses {max_used} of 60 servers");
    let (least, most) = (users.values().min(), users.values().max());
    assert!(users.len() == 60 && least >= Some(&4) && most <= Some(&24), "{users:?}");
}

#[test]
fn a_server_that_reports_a_queue_is_avoided_until_the_report_is_outdated() {
    let mut host = Host::new(settings());
    let in_service = ServerState::InService;
    let others =
        |state| vec![server_entry(EAST_2, "east", state, None), server_entry(WEST_1, "west", state, None)];
    for n in 0..20 {
        host.now += 0.2;
        serve(&mut host, n, |_| Some(0.0));
    }
    host.handle(Event::ServerChanges(others(ServerState::Draining)));
    assert_eq!(serve(&mut host, 0, |_| Some(20.0)).as_deref(), Some(EAST_1));
    host.handle(Event::ServerChanges(others(in_service)));
    let sent: Vec<_> = (0..100)
        .filter_map(|n| {
            host.now += 0.01;
            serve(&mut host, n, |_| Some(0.0))
        })
        .collect();
    assert!(sent.len() > 20 && sent.iter().all(|to| to != EAST_1), "{sent:?}");
    host.now += 20.0;
    let sent_again = (0..60).filter(|n| {
        host.now += 0.01;
        serve(&mut host, *n, |_| Some(0.0)).as_deref() == Some(EAST_1)
    });
    assert!(sent_again.count() >= 5, "an outdated report must not exclude the server");
}

#[test]
fn queues_at_all_servers_cause_some_rejections_and_idle_servers_none() {
    let rejected = |queue: f64| {
        let mut host = Host::new(settings());
        for n in 0..300 {
            host.now += 0.02;
            serve(&mut host, n, |_| Some(queue));
        }
        (0..200)
            .filter(|n| {
                host.now += 0.02;
                serve(&mut host, *n, |_| Some(queue)).is_none()
            })
            .count()
    };
    assert_eq!(rejected(0.0), 0);
    let (some, most) = (rejected(2.0), rejected(30.0));
    assert!(some > 20 && some < most && most < 200, "{some} and {most} of 200 rejected");
}

#[test]
fn load_shedding_first_rejects_requests_that_are_likely_over_quota() {
    let rejected = |is_retry: bool| {
        let mut host = Host::new(settings());
        let mut rejected = 0;
        for n in 0..600 {
            host.now += 0.02;
            serve(&mut host, n, |_| Some(0.6));
            let (id, deadline) = (10_000 + u64::from(n), host.now + 4.0);
            let actions = host.handle(Event::Request(Request {
                id,
                tenant: format!("other{n}").as_str().into(),
                plan: "plain".into(),
                class: "read".into(),
                units: 1.0,
                tenant_limiters: 2,
                is_retry,
                deadline,
            }));
            rejected += common::rejected_count(&actions);
            if sent_to(&actions).is_some() {
                host.end_attempt(id, 0, Outcome::Completed, None);
            }
        }
        rejected
    };
    let (new_requests, retries) = (rejected(false), rejected(true));
    assert!(
        new_requests > 30 && retries > 2 * new_requests && retries < 600,
        "{new_requests} new requests and {retries} retries of 600 rejected"
    );
}
