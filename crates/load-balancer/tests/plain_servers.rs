//! The choice among servers that run no model.

mod common;

use common::*;
use quillpulley_load_balancer::{server_hash, Balancer, Choice, Demand, Outcome, ServerKey, Ticket};
use quillpulley_protocol::ServerLoad;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(60);
const SLOTS: usize = 6;

/// A balancer with four servers: in its own zone, in another zone of its region, and in two other regions.
struct Fleet {
    balancer: Balancer,
    servers: Vec<ServerKey>,
    in_flight: Vec<Ticket>,
}

impl Fleet {
    fn new() -> Self {
        let mut balancer = lone_balancer();
        let zones = ["a1", "a2", "b1", "c1"];
        let put = |zone: &&str| balancer.put_server(NOW, &plain(zone, zone)).expect("the address is valid");
        let servers = zones.iter().map(put).collect();
        Fleet { balancer, servers, in_flight: Vec::new() }
    }

    /// Sends a request that stays in flight, and returns the index of its server; `None` if no server was
    /// chosen.
    fn send(&mut self, demand: &Demand<'_>) -> Option<usize> {
        let Choice::Send(key) = self.balancer.choose(NOW, demand, &[]) else { return None };
        self.in_flight.push(self.balancer.begin(NOW, key, demand));
        self.servers.iter().position(|server| *server == key)
    }

    fn send_all(&mut self, count: usize, demand: &Demand<'_>) -> Vec<usize> {
        (0..count).map_while(|_| self.send(demand)).collect()
    }

    /// Reports the load of a server.
    fn report_load(&mut self, id: &str, running: u32) {
        let load = ServerLoad { server: server_hash(id), running, waiting: 0, prompt_tokens: 0, failures: 0 };
        self.balancer.set_totals(NOW, &[load]);
    }
}

fn count(sent: &[usize], server: usize) -> usize {
    sent.iter().filter(|other| **other == server).count()
}

#[test]
fn the_nearest_server_is_used_below_70_percent_occupancy() {
    let mut fleet = Fleet::new();
    // 70% of 6 slots are 4.2. The fifth request finds 4 requests at the nearest server and is sent there too;
    // the sixth request finds 5.
    let sent = fleet.send_all(12, &demand(PLAIN));
    assert_eq!(sent[..5], [0; 5]);
    assert_eq!(sent[5..10], [1; 5]);
    assert!(sent[10..].iter().all(|server| [2, 3].contains(server)));
}

#[test]
fn above_70_percent_occupancy_the_least_occupied_server_is_used() {
    let mut fleet = Fleet::new();
    fleet.send_all(20, &demand(PLAIN));
    let sent = fleet.send_all(4, &demand(PLAIN));
    assert_eq!([0, 1, 2, 3].map(|server| count(&sent, server)), [1; 4]);
}

#[test]
fn requests_that_are_not_urgent_never_exceed_the_slots() {
    let mut fleet = Fleet::new();
    fleet.send(&demand(PLAIN));
    let less_urgent = Demand { priority: 3, ..demand(PLAIN) };
    fleet.send_all(100, &less_urgent);
    assert_eq!(fleet.in_flight.len(), 4 * SLOTS);
    let Choice::Full { retry_after } = fleet.balancer.choose(NOW, &less_urgent, &[]) else {
        panic!("the servers are not full")
    };
    assert!((ms(100)..=ms(2_000)).contains(&retry_after));
}

#[test]
fn urgent_requests_may_be_queued_beyond_the_slots() {
    let mut fleet = Fleet::new();
    assert_eq!(fleet.send_all(100, &demand(PLAIN)).len(), 4 * (SLOTS + 2));
}

#[test]
fn requests_of_other_proxies_count_as_load() {
    let mut fleet = Fleet::new();
    fleet.report_load("a1", 5);
    assert_eq!(fleet.send(&demand(PLAIN)), Some(1));
}

#[test]
fn own_requests_in_the_totals_are_not_counted_twice() {
    let mut fleet = Fleet::new();
    assert_eq!(fleet.send_all(4, &demand(PLAIN)), [0; 4]);
    let reported = fleet.balancer.own_loads(NOW);
    assert_eq!(reported.iter().map(|load| load.waiting).collect::<Vec<u32>>(), [4]);
    fleet.balancer.set_totals(NOW, &reported);
    assert_eq!(fleet.send_all(2, &demand(PLAIN)), [0, 1]);
}

#[test]
fn reported_load_decays_without_updates() {
    let mut fleet = Fleet::new();
    fleet.report_load("a1", 6);
    let later = NOW + Duration::from_secs(5);
    assert_eq!(fleet.balancer.choose(later, &demand(PLAIN), &[]), Choice::Send(fleet.servers[0]));
}

#[test]
fn a_server_that_reports_it_is_full_gets_no_requests_for_a_short_time() {
    let mut fleet = Fleet::new();
    fleet.send(&demand(PLAIN));
    let ticket = fleet.in_flight.pop().expect("a request is in flight");
    fleet.balancer.end(NOW, ticket, Outcome::NotExecuted { full: true });
    assert_eq!(fleet.send(&demand(PLAIN)), Some(1));
    let later = NOW + ms(200);
    assert_eq!(fleet.balancer.choose(later, &demand(PLAIN), &[]), Choice::Send(fleet.servers[0]));
}

#[test]
fn home_regions_take_precedence_over_distance() {
    let home_regions = ["c".to_owned()];
    let demand = Demand { home_regions: &home_regions, ..demand(PLAIN) };
    assert_eq!(Fleet::new().send(&demand), Some(3));
}

#[test]
fn a_proxy_uses_only_its_share_of_the_connections() {
    let proxies: Vec<_> = (0..50).map(|number| proxy_peer(&format!("l{number}"), "a1")).collect();
    let mut balancer = balancer("l0", "a1", &proxies);
    balancer.put_server(NOW, &server("s", PLAIN, "a1", 1_000));
    let mut sent = Vec::new();
    while let Choice::Send(key) = balancer.choose(NOW, &demand(PLAIN), &[]) {
        sent.push(balancer.begin(NOW, key, &demand(PLAIN)));
    }
    // 100 connections divided by 50 proxies, times 1.5.
    assert_eq!(sent.len(), 3);
}

#[test]
fn equal_servers_share_the_requests() {
    let mut balancer = lone_balancer();
    for id in ["one", "two", "three"] {
        balancer.put_server(NOW, &plain(id, "a1"));
    }
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..300 {
        let Choice::Send(key) = balancer.choose(NOW, &demand(PLAIN), &[]) else {
            panic!("no server was chosen")
        };
        *counts.entry(key).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| (60..=140).contains(count)), "{counts:?}");
}

#[test]
fn ended_requests_leave_no_load() {
    let mut fleet = Fleet::new();
    fleet.send_all(8, &demand(PLAIN));
    for (number, ticket) in fleet.in_flight.drain(..).enumerate() {
        if number % 2 == 0 {
            fleet.balancer.record_started(NOW, &ticket);
        }
        let outcome = if number % 3 == 0 { Outcome::ClientClosed } else { Outcome::Completed };
        fleet.balancer.end(NOW, ticket, outcome);
    }
    assert_eq!(fleet.balancer.own_loads(NOW), []);
}

#[test]
fn a_request_at_a_removed_server_leaves_no_load() {
    let mut fleet = Fleet::new();
    fleet.send(&demand(PLAIN));
    fleet.balancer.remove_server(NOW, "a1");
    let ticket = fleet.in_flight.pop().expect("a request is in flight");
    fleet.balancer.record_started(NOW, &ticket);
    fleet.balancer.end(NOW, ticket, Outcome::Completed);
    assert_eq!(fleet.balancer.own_loads(NOW), []);
}
