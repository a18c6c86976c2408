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
    under_way: Vec<Ticket>,
}

impl Fleet {
    fn new() -> Self {
        let mut balancer = lone_balancer();
        let zones = ["a1", "a2", "b1", "c1"];
        let put = |zone: &&str| balancer.put_server(NOW, &plain(zone, zone)).expect("the address is valid");
        let servers = zones.iter().map(put).collect();
        Fleet { balancer, servers, under_way: Vec::new() }
    }

    /// Sends a request that stays in flight, and returns the index of its server; `None` if no server was
    /// chosen.
    fn send(&mut self, demand: &Demand<'_>) -> Option<usize> {
        let Choice::Send(key) = self.balancer.choose(NOW, demand, &[]) else { return None };
        self.under_way.push(self.balancer.begin(NOW, key, demand));
        self.servers.iter().position(|server| *server == key)
    }

    fn send_all(&mut self, count: usize, demand: &Demand<'_>) -> Vec<usize> {
        (0..count).map_while(|_| self.send(demand)).collect()
    }

    /// Reports the load of a server.
    fn tell(&mut self, id: &str, running: u32) {
        let load = ServerLoad { server: server_hash(id), running, waiting: 0, prompt_tokens: 0, failures: 0 };
        self.balancer.set_totals(NOW, &[load]);
    }
}

fn count(sent: &[usize], server: usize) -> usize {
    sent.iter().filter(|other| **other == server).count()
}

#[test]
fn the_nearest_server_is_used_until_it_is_rather_full() {
    let mut fleet = Fleet::new();
    // 70% of 6 slots are 4.2. The fifth request finds 4 requests at the nearest server and is sent there too;
    // the sixth request finds 5.
    let sent = fleet.send_all(12, &demand(PLAIN));
    assert_eq!(sent[..5], [0; 5]);
    assert_eq!(sent[5..10], [1; 5]);
    assert!(sent[10..].iter().all(|server| [2, 3].contains(server)));
}

#[test]
fn when_all_are_rather_full_the_least_occupied_is_used() {
    let mut fleet = Fleet::new();
    fleet.send_all(20, &demand(PLAIN));
    let sent = fleet.send_all(4, &demand(PLAIN));
    assert_eq!([0, 1, 2, 3].map(|server| count(&sent, server)), [1; 4]);
}

#[test]
fn servers_get_no_more_than_their_slots_from_requests_that_are_not_urgent() {
    let mut fleet = Fleet::new();
    fleet.send(&demand(PLAIN));
    let less_urgent = Demand { priority: 3, ..demand(PLAIN) };
    fleet.send_all(100, &less_urgent);
    assert_eq!(fleet.under_way.len(), 4 * SLOTS);
    let Choice::Full { retry_after } = fleet.balancer.choose(NOW, &less_urgent, &[]) else {
        panic!("not full")
    };
    assert!((ms(100)..=ms(2_000)).contains(&retry_after));
}

#[test]
fn urgent_requests_use_a_part_of_the_queues() {
    let mut fleet = Fleet::new();
    assert_eq!(fleet.send_all(100, &demand(PLAIN)).len(), 4 * (SLOTS + 2));
}

#[test]
fn what_others_have_in_flight_counts() {
    let mut fleet = Fleet::new();
    fleet.tell("a1", 5);
    assert_eq!(fleet.send(&demand(PLAIN)), Some(1));
}

#[test]
fn the_own_part_of_the_totals_counts_once() {
    let mut fleet = Fleet::new();
    assert_eq!(fleet.send_all(4, &demand(PLAIN)), [0; 4]);
    let reported = fleet.balancer.own_loads(NOW);
    assert_eq!(reported.iter().map(|load| load.waiting).collect::<Vec<u32>>(), [4]);
    fleet.balancer.set_totals(NOW, &reported);
    assert_eq!(fleet.send_all(2, &demand(PLAIN)), [0, 1]);
}

#[test]
fn reported_load_fades_without_updates() {
    let mut fleet = Fleet::new();
    fleet.tell("a1", 6);
    let later = NOW + Duration::from_secs(5);
    assert_eq!(fleet.balancer.choose(later, &demand(PLAIN), &[]), Choice::Send(fleet.servers[0]));
}

#[test]
fn a_server_that_reports_overload_is_paused_briefly() {
    let mut fleet = Fleet::new();
    fleet.send(&demand(PLAIN));
    let ticket = fleet.under_way.pop().expect("a request is in flight");
    fleet.balancer.end(NOW, ticket, Outcome::NotExecuted { full: true });
    assert_eq!(fleet.send(&demand(PLAIN)), Some(1));
    let later = NOW + ms(200);
    assert_eq!(fleet.balancer.choose(later, &demand(PLAIN), &[]), Choice::Send(fleet.servers[0]));
}

#[test]
fn homes_go_before_nearness() {
    let homes = ["c".to_owned()];
    let demand = Demand { homes: &homes, ..demand(PLAIN) };
    assert_eq!(Fleet::new().send(&demand), Some(3));
}

#[test]
fn a_proxy_keeps_to_its_part_of_the_connections() {
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
fn nothing_stays_in_flight_that_has_ended() {
    let mut fleet = Fleet::new();
    fleet.send_all(8, &demand(PLAIN));
    for (number, ticket) in fleet.under_way.drain(..).enumerate() {
        if number % 2 == 0 {
            fleet.balancer.record_started(NOW, &ticket);
        }
        let outcome = if number % 3 == 0 { Outcome::ClientClosed } else { Outcome::Completed };
        fleet.balancer.end(NOW, ticket, outcome);
    }
    assert_eq!(fleet.balancer.own_loads(NOW), []);
}

#[test]
fn a_request_at_a_removed_server_ends_without_a_trace() {
    let mut fleet = Fleet::new();
    fleet.send(&demand(PLAIN));
    fleet.balancer.remove_server(NOW, "a1");
    let ticket = fleet.under_way.pop().expect("a request is in flight");
    fleet.balancer.record_started(NOW, &ticket);
    fleet.balancer.end(NOW, ticket, Outcome::Completed);
    assert_eq!(fleet.balancer.own_loads(NOW), []);
}
