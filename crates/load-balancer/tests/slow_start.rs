//! The requests that a server in slow start gets from one proxy and from all proxies.

mod common;

use common::*;
use quickcheck::{quickcheck, Arbitrary, Gen};
use quillpulley_load_balancer::{Balancer, Choice, HealthCheckResult, Outcome, ProxyPeer, ServerKey};
use quillpulley_protocol::Server;
use std::collections::BTreeSet;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(60);

fn cold(id: &str, zone: &str) -> Server {
    Server { warmup_remaining_ms: 3_000, ..engine(id, zone) }
}

fn put(balancer: &mut Balancer, server: &Server) -> ServerKey {
    balancer.put_server(NOW, server).expect("the address is valid")
}

/// Sends a request every millisecond for `time`, and returns when a request was sent to `server`.
fn sends_to(balancer: &mut Balancer, server: ServerKey, from: Duration, time: Duration) -> Vec<Duration> {
    let mut sent = Vec::new();
    let mut now = from;
    while now < from + time {
        if let Choice::Send(key) = balancer.choose(now, &demand(ENGINE), &[]) {
            let ticket = balancer.begin(now, key, &demand(ENGINE));
            balancer.end(now, ticket, Outcome::Completed);
            if key == server {
                sent.push(now);
            }
        }
        now += ms(1);
    }
    sent
}

fn proxies(zones: &[&str]) -> Vec<ProxyPeer> {
    zones.iter().enumerate().map(|(number, zone)| proxy_peer(&format!("l{number}"), zone)).collect()
}

fn max_in_a_second(sent: &[Duration]) -> usize {
    let in_window = |start: &Duration| {
        sent.iter().filter(|time| **time >= *start && **time < *start + Duration::from_secs(1)).count()
    };
    sent.iter().map(in_window).max().unwrap_or(0)
}

#[test]
fn a_changed_limit_applies_once_the_services_are_set() {
    let mut balancer = lone_balancer();
    let server = put(&mut balancer, &cold("s", "a1"));
    balancer.set_slow_start_limit(3.0, 10.0);
    balancer.set_services(configuration().services.values());
    let sent = sends_to(&mut balancer, server, NOW, ms(2_900));
    assert_eq!(max_in_a_second(&sent), (11 * 3 + 10) / 4);
}

#[test]
fn one_proxy_sends_a_quarter_of_the_limit_evenly_spread() {
    let mut balancer = lone_balancer();
    let server = put(&mut balancer, &cold("s", "a1"));
    let sent = sends_to(&mut balancer, server, NOW, ms(2_900));
    assert_eq!(max_in_a_second(&sent), WARMUP_LIMIT / 4);
    let gaps = sent.iter().zip(sent.iter().skip(1)).map(|(one, next)| *next - *one);
    assert!(gaps.min().is_some_and(|gap| gap >= ms(100)));
}

#[test]
fn a_warm_server_has_no_rate_limit() {
    let mut balancer = lone_balancer();
    let server = put(&mut balancer, &cold("s", "a1"));
    let sent = sends_to(&mut balancer, server, NOW + WARMUP, ms(1_000));
    assert_eq!(sent.len(), 1_000);
}

#[test]
fn requests_sent_before_the_slow_start_count() {
    let mut balancer = lone_balancer();
    let server = put(&mut balancer, &engine("s", "a1"));
    sends_to(&mut balancer, server, NOW, ms(500));
    balancer.set_warmup_remaining(NOW + ms(500), server, NOW + ms(500), WARMUP);
    assert_eq!(sends_to(&mut balancer, server, NOW + ms(500), ms(700)), []);
}

#[test]
fn two_proxies_send_requests_preferably_those_near_the_server() {
    let zones = ["a1", "a1", "a1", "a2", "b1", "b1", "c1", "c2"];
    let all = proxies(&zones);
    for (server_zone, expected) in [("a1", "a1"), ("b1", "b1")] {
        let senders =
            all.iter().filter(|own| sends_requests(&own.name, &own.locality.zone, &all, server_zone));
        let zones: Vec<&str> = senders.map(|sender| sender.locality.zone.as_str()).collect();
        assert_eq!(zones, [expected, expected]);
    }
}

#[test]
fn proxies_of_the_region_send_requests_if_the_zone_has_too_few() {
    let all = proxies(&["a1", "a2", "a2", "b1", "b1"]);
    let senders = all.iter().filter(|own| sends_requests(&own.name, &own.locality.zone, &all, "a1"));
    let zones: Vec<&str> = senders.map(|sender| sender.locality.zone.as_str()).collect();
    assert_eq!(zones, ["a1", "a2"]);
}

fn sends_requests(name: &str, zone: &str, all: &[ProxyPeer], server_zone: &str) -> bool {
    let mut balancer = balancer(name, zone, all);
    let server = put(&mut balancer, &cold("s", server_zone));
    !sends_to(&mut balancer, server, NOW, ms(300)).is_empty()
}

#[test]
fn a_proxy_that_knows_no_others_sends_one_request_per_second_if_no_server_is_warm() {
    let mut balancer = balancer("l0", "a1", &[]);
    let server = put(&mut balancer, &cold("s", "a1"));
    assert_eq!(max_in_a_second(&sends_to(&mut balancer, server, NOW, ms(2_500))), 1);
    put(&mut balancer, &engine("warm", "c1"));
    assert_eq!(sends_to(&mut balancer, server, NOW, ms(2_500)), []);
}

#[test]
fn servers_of_a_zone_whose_evacuation_ended_are_assumed_cold() {
    let mut balancer = lone_balancer();
    let server = put(&mut balancer, &engine("s", "a1"));
    balancer.set_evacuated(NOW, &BTreeSet::from(["a1".to_owned()]));
    balancer.set_evacuated(NOW, &BTreeSet::new());
    let sent = sends_to(&mut balancer, server, NOW, WARMUP);
    assert_eq!(max_in_a_second(&sent), WARMUP_LIMIT / 4);
}

/// Guards against entries of the list that trail the end of an evacuation, and end the slow start of cold servers.
#[test]
fn an_older_entry_of_the_list_does_not_end_an_assumed_slow_start() {
    let mut balancer = lone_balancer();
    let server = put(&mut balancer, &cold("s", "a1"));
    balancer.set_evacuated(NOW, &BTreeSet::from(["a1".to_owned()]));
    balancer.set_evacuated(NOW, &BTreeSet::new());
    let trailing = balancer.put_server(NOW + ms(200), &engine("s", "a1"));
    assert_eq!(trailing, Some(server));
    let sent = sends_to(&mut balancer, server, NOW + ms(200), WARMUP - ms(200));
    assert_eq!(max_in_a_second(&sent), WARMUP_LIMIT / 4);
    assert_eq!(sends_to(&mut balancer, server, NOW + WARMUP + ms(1_000), ms(100)).len(), 100);
}

/// Guards against proxies that start after an evacuation has ended, and take the zone's cold servers for warm.
#[test]
fn servers_of_a_zone_that_was_restored_recently_are_assumed_cold() {
    for is_listed_before in [true, false] {
        let mut balancer = lone_balancer();
        let zones = BTreeSet::from(["a1".to_owned()]);
        if !is_listed_before {
            balancer.set_restored(NOW, zones.clone());
        }
        let server = put(&mut balancer, &engine("s", "a1"));
        if is_listed_before {
            balancer.set_restored(NOW, zones);
        }
        balancer.set_restored(NOW + ms(500), BTreeSet::new());
        let sent = sends_to(&mut balancer, server, NOW, WARMUP);
        assert_eq!(max_in_a_second(&sent), WARMUP_LIMIT / 4, "listed before: {is_listed_before}");
    }
}

/// Guards against entries of the list that trail what a server has told of its warm-up.
#[test]
fn an_older_entry_of_the_list_does_not_end_a_reported_slow_start() {
    let mut balancer = lone_balancer();
    let server = put(&mut balancer, &cold("s", "a1"));
    balancer.set_warmup_remaining(NOW, server, NOW, WARMUP);
    balancer.put_server(NOW + ms(200), &engine("s", "a1"));
    let sent = sends_to(&mut balancer, server, NOW + ms(200), WARMUP - ms(200));
    assert_eq!(max_in_a_second(&sent), WARMUP_LIMIT / 4);
}

/// Guards against health checks that were sent before a zone was taken back, and end the slow start of its servers.
#[test]
fn a_report_that_was_asked_for_before_the_server_became_cold_does_not_end_its_slow_start() {
    let mut balancer = lone_balancer();
    let server = put(&mut balancer, &engine("s", "a1"));
    let ticket = balancer.begin(NOW, server, &demand(ENGINE));
    balancer.end(NOW, ticket, Outcome::Failed(quillpulley_load_balancer::FailureKind::Connect));
    let asked_at = NOW + ms(4_000);
    assert_eq!(balancer.due_health_checks(asked_at), [server]);
    balancer.set_evacuated(asked_at + ms(50), &BTreeSet::from(["a1".to_owned()]));
    balancer.set_evacuated(asked_at + ms(100), &BTreeSet::new());
    let answered_at = asked_at + ms(300);
    let passed = HealthCheckResult::Passed { warmup_remaining: Some(Duration::ZERO) };
    balancer.record_health_check(answered_at, server, asked_at, passed);
    let sent = sends_to(&mut balancer, server, answered_at, ms(1_000));
    assert_eq!(max_in_a_second(&sent), WARMUP_LIMIT / 4);
}

#[test]
fn a_server_that_reports_the_end_of_its_warm_up_is_warm() {
    let mut balancer = lone_balancer();
    let server = put(&mut balancer, &cold("s", "a1"));
    balancer.set_warmup_remaining(NOW + ms(500), server, NOW + ms(500), ms(0));
    assert_eq!(sends_to(&mut balancer, server, NOW + ms(500), ms(100)).len(), 100);
}

#[test]
fn a_service_without_warm_up_has_no_slow_start() {
    let mut balancer = lone_balancer();
    let server = balancer.put_server(NOW, &Server { warmup_remaining_ms: 3_000, ..plain("s", "a1") });
    for _ in 0..100 {
        assert_eq!(balancer.choose(NOW, &demand(PLAIN), &[]), server.map_or(Choice::NoServer, Choice::Send));
        let ticket = balancer.begin(NOW, server.expect("the server was added"), &demand(PLAIN));
        balancer.end(NOW, ticket, Outcome::Completed);
    }
}

#[test]
fn a_server_that_was_unhealthy_for_long_is_assumed_cold_unless_it_reports_otherwise() {
    for (reported, expected) in [(None, WARMUP_LIMIT / 4), (Some(Duration::ZERO), 1_000)] {
        let mut balancer = lone_balancer();
        let server = put(&mut balancer, &engine("s", "a1"));
        let ticket = balancer.begin(NOW, server, &demand(ENGINE));
        balancer.end(NOW, ticket, Outcome::Failed(quillpulley_load_balancer::FailureKind::Connect));
        let recovered_at = NOW + ms(4_000);
        assert_eq!(balancer.due_health_checks(recovered_at), [server]);
        balancer.record_health_check(
            recovered_at,
            server,
            recovered_at,
            HealthCheckResult::Passed { warmup_remaining: reported },
        );
        let sent = sends_to(&mut balancer, server, recovered_at, ms(1_000));
        assert_eq!(max_in_a_second(&sent), expected);
    }
}

/// A network partition that separates proxies into two sides, and the requests of the proxies.
#[derive(Clone, Debug)]
struct Partition {
    /// For each proxy, the index of its zone and its side of the partition.
    proxies: Vec<(usize, bool)>,
    server_zone: usize,
    /// When each proxy learns of the partition, in milliseconds. Before that, it knows all proxies.
    learns_after_ms: Vec<u16>,
    /// The interval between the requests of each proxy, in milliseconds.
    intervals_ms: Vec<u8>,
}

const ZONES: [&str; 6] = ["a1", "a2", "b1", "b2", "c1", "c2"];
const MAX_PROXIES: usize = 12;

impl Arbitrary for Partition {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = 1 + usize::arbitrary(g) % MAX_PROXIES;
        Partition {
            proxies: (0..count).map(|_| (usize::arbitrary(g) % ZONES.len(), bool::arbitrary(g))).collect(),
            server_zone: usize::arbitrary(g) % ZONES.len(),
            learns_after_ms: (0..count).map(|_| u16::arbitrary(g) % 4_000).collect(),
            intervals_ms: (0..count).map(|_| 1 + u8::arbitrary(g) % 40).collect(),
        }
    }
}

/// Returns when any of the proxies sends a request to the only server, which is cold.
fn send_times(partition: &Partition) -> Vec<Duration> {
    let zones: Vec<&str> = partition.proxies.iter().map(|(zone, _)| ZONES[*zone]).collect();
    let all = proxies(&zones);
    let mut sent = Vec::new();
    for (number, own) in all.iter().enumerate() {
        let mut balancer = balancer(&own.name, &own.locality.zone, &all);
        let entry = Server { warmup_remaining_ms: 10_000, ..cold("s", ZONES[partition.server_zone]) };
        put(&mut balancer, &entry);
        let side = partition.proxies[number].1;
        let reachable = all.iter().zip(&partition.proxies).filter(|(_, (_, other))| *other == side);
        let reachable: Vec<ProxyPeer> = reachable.map(|(proxy, _)| proxy.clone()).collect();
        let learned_at = NOW + ms(u64::from(partition.learns_after_ms[number]));
        let mut now = NOW;
        while now < NOW + ms(5_000) {
            if now >= learned_at {
                balancer.set_proxies(reachable.clone());
            }
            if let Choice::Send(key) = balancer.choose(now, &demand(ENGINE), &[]) {
                let ticket = balancer.begin(now, key, &demand(ENGINE));
                balancer.end(now, ticket, Outcome::Completed);
                sent.push(now);
            }
            now += ms(u64::from(partition.intervals_ms[number]));
        }
    }
    sent.sort_unstable();
    sent
}

quickcheck! {
    fn the_limit_holds_during_a_partition(partition: Partition) -> bool {
        max_in_a_second(&send_times(&partition)) <= WARMUP_LIMIT
    }
}
