//! The servers that may be chosen according to the published list, the evacuated zones and the home regions.

mod common;

use common::*;
use quickcheck::{quickcheck, Arbitrary, Gen};
use quillpulley_load_balancer::{Balancer, Choice, Demand, Outcome, ServerKey};
use quillpulley_protocol::{Server, ServerState};
use std::collections::BTreeSet;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(60);

fn put(balancer: &mut Balancer, server: &Server) -> ServerKey {
    balancer.put_server(NOW, server).expect("the address is valid")
}

fn chosen(balancer: &mut Balancer, demand: &Demand<'_>) -> Option<ServerKey> {
    match balancer.choose(NOW, demand, &[]) {
        Choice::Send(key) => Some(key),
        Choice::Full { .. } | Choice::NoServer => None,
    }
}

fn zones_of(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| name.to_string()).collect()
}

#[test]
fn a_server_is_chosen_from_its_listing_until_its_removal() {
    let mut balancer = lone_balancer();
    assert_eq!(balancer.choose(NOW, &demand(PLAIN), &[]), Choice::NoServer);
    let key = put(&mut balancer, &plain("s", "a1"));
    assert_eq!(chosen(&mut balancer, &demand(PLAIN)), Some(key));
    assert_eq!(balancer.remove_server(NOW, "s"), Some(key));
    assert_eq!(balancer.choose(NOW, &demand(PLAIN), &[]), Choice::NoServer);
    assert!(balancer.server(key).is_none());
    assert!(!balancer.is_usable(key));
}

#[test]
fn a_server_with_an_invalid_address_is_not_used() {
    let mut balancer = lone_balancer();
    let server = Server { address: "nowhere".to_owned(), ..plain("s", "a1") };
    assert_eq!(balancer.put_server(NOW, &server), None);
    assert_eq!(chosen(&mut balancer, &demand(PLAIN)), None);
}

#[test]
fn a_draining_server_gets_no_more_requests() {
    let mut balancer = lone_balancer();
    let key = put(&mut balancer, &plain("s", "a1"));
    put(&mut balancer, &Server { state: ServerState::Draining, ..plain("s", "a1") });
    assert_eq!(balancer.choose(NOW, &demand(PLAIN), &[]), Choice::NoServer);
    assert!(balancer.server(key).is_some(), "requests in flight at the server continue");
    assert!(!balancer.is_usable(key));
}

#[test]
fn a_server_removed_at_short_notice_gets_no_more_requests() {
    let mut balancer = lone_balancer();
    put(&mut balancer, &plain("s", "a1"));
    put(&mut balancer, &Server { has_time_remaining: true, time_remaining_ms: 2_000, ..plain("s", "a1") });
    assert_eq!(chosen(&mut balancer, &demand(PLAIN)), None);
}

/// Guards against servers of a zone that was added to the settings, and that are in no region until the next start.
#[test]
fn a_server_of_a_zone_whose_region_becomes_known_is_chosen_for_that_region() {
    let mut balancer = lone_balancer();
    let key = put(&mut balancer, &plain("s", "d1"));
    let home_regions = ["d".to_owned()];
    let bound = Demand { home_regions: &home_regions, ..demand(PLAIN) };
    assert_eq!(chosen(&mut balancer, &bound), None);
    let mut zones = zones();
    zones.insert("d1".to_owned(), "d".to_owned());
    balancer.set_zones(&zones);
    assert_eq!(chosen(&mut balancer, &bound), Some(key));
    zones.insert("d1".to_owned(), "c".to_owned());
    balancer.set_zones(&zones);
    assert_eq!(chosen(&mut balancer, &bound), None);
}

#[test]
fn a_misdirected_server_gets_no_requests_until_its_entry_changes() {
    let mut balancer = lone_balancer();
    let key = put(&mut balancer, &plain("s", "a1"));
    let ticket = balancer.begin(NOW, key, &demand(PLAIN));
    balancer.end(NOW, ticket, Outcome::Misdirected);
    assert_eq!(chosen(&mut balancer, &demand(PLAIN)), None);
    put(&mut balancer, &plain("s", "a1"));
    assert_eq!(chosen(&mut balancer, &demand(PLAIN)), None, "an unchanged entry has no effect");
    put(&mut balancer, &Server { address: "10.0.0.2:80".to_owned(), ..plain("s", "a1") });
    assert_eq!(chosen(&mut balancer, &demand(PLAIN)), Some(key));
}

#[test]
fn a_server_that_moves_to_another_service_is_removed_from_the_first() {
    let mut balancer = lone_balancer();
    put(&mut balancer, &server("s", PLAIN, "a1", 6));
    let key = put(&mut balancer, &server("s", ENGINE, "a1", 6));
    assert_eq!(balancer.choose(NOW, &demand(PLAIN), &[]), Choice::NoServer);
    assert_eq!(chosen(&mut balancer, &demand(ENGINE)), Some(key));
}

#[test]
fn an_evacuated_zone_gets_no_requests() {
    let mut balancer = lone_balancer();
    put(&mut balancer, &plain("near", "a1"));
    let far = put(&mut balancer, &plain("far", "b1"));
    balancer.set_evacuated(NOW, &zones_of(&["a1"]));
    assert_eq!(chosen(&mut balancer, &demand(PLAIN)), Some(far));
    balancer.set_evacuated(NOW, &zones_of(&["a1", "b1"]));
    assert_eq!(balancer.choose(NOW, &demand(PLAIN), &[]), Choice::NoServer);
}

#[test]
fn a_server_added_to_an_evacuated_zone_gets_no_requests() {
    let mut balancer = lone_balancer();
    balancer.set_evacuated(NOW, &zones_of(&["a1"]));
    put(&mut balancer, &plain("s", "a1"));
    assert_eq!(chosen(&mut balancer, &demand(PLAIN)), None);
}

#[test]
fn excluded_servers_are_not_chosen() {
    let mut balancer = lone_balancer();
    let near = put(&mut balancer, &plain("near", "a1"));
    let far = put(&mut balancer, &plain("far", "b1"));
    assert_eq!(balancer.choose(NOW, &demand(PLAIN), &[near]), Choice::Send(far));
    assert_eq!(balancer.choose(NOW, &demand(PLAIN), &[near, far]), Choice::NoServer);
}

/// A change of the listed servers or evacuated zones, or a request.
///
/// The `state` of a server is 0 if it is draining, 1 if it will be removed at short notice, and 2 if it is
/// cold; otherwise it is ready and warm. The `outcome` of a request modulo 3 is 0 if the request stays in
/// flight, 1 if it completes, and 2 if its client closes the connection.
#[derive(Clone, Debug)]
enum Event {
    Put { server: usize, zone: usize, state: u8 },
    Remove { server: usize },
    Evacuate { zones: Vec<bool> },
    Request { engine: bool, home_regions: Vec<usize>, exclude: Vec<usize>, outcome: u8 },
}

const SERVERS: usize = 8;
const ZONES: [&str; 6] = ["a1", "a2", "b1", "b2", "c1", "c2"];
const REGIONS: [&str; 3] = ["a", "b", "c"];

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let server = usize::arbitrary(g) % SERVERS;
        match u8::arbitrary(g) % 8 {
            0..=2 => {
                Event::Put { server, zone: usize::arbitrary(g) % ZONES.len(), state: u8::arbitrary(g) % 8 }
            }
            3 => Event::Remove { server },
            4 => Event::Evacuate { zones: ZONES.map(|_| u8::arbitrary(g) % 4 == 0).to_vec() },
            _ => Event::Request {
                engine: bool::arbitrary(g),
                home_regions: Vec::<usize>::arbitrary(g).into_iter().map(|home| home % 3).take(2).collect(),
                exclude: Vec::<usize>::arbitrary(g)
                    .into_iter()
                    .map(|server| server % SERVERS)
                    .take(2)
                    .collect(),
                outcome: u8::arbitrary(g),
            },
        }
    }
}

/// A balancer, and what the list and the evacuations contain, against which its choices are checked.
struct Harness {
    balancer: Balancer,
    listed: [Option<(ServerKey, Server)>; SERVERS],
    evacuated: BTreeSet<String>,
    now: Duration,
}

impl Harness {
    fn handle(&mut self, event: &Event) -> bool {
        self.now += ms(70);
        match event {
            Event::Put { server, zone, state } => self.put(*server, ZONES[*zone], *state),
            Event::Remove { server } => {
                self.balancer.remove_server(self.now, &format!("s{server}"));
                self.listed[*server] = None;
            }
            Event::Evacuate { zones } => {
                let evacuated = ZONES.iter().zip(zones).filter(|(_, evacuated)| **evacuated);
                self.evacuated = evacuated.map(|(zone, _)| zone.to_string()).collect();
                self.balancer.set_evacuated(self.now, &self.evacuated);
            }
            Event::Request { engine, home_regions, exclude, outcome } => {
                let service = if *engine { ENGINE } else { PLAIN };
                let home_regions: Vec<String> =
                    home_regions.iter().map(|home| REGIONS[*home].to_owned()).collect();
                return self.request(
                    &Demand { home_regions: &home_regions, ..demand(service) },
                    exclude,
                    *outcome,
                );
            }
        }
        true
    }

    fn put(&mut self, number: usize, zone: &str, state: u8) {
        let service = if number.is_multiple_of(2) { ENGINE } else { PLAIN };
        let entry = Server {
            state: if state == 0 { ServerState::Draining } else { ServerState::Ready },
            has_time_remaining: state == 1,
            warmup_remaining_ms: if state == 2 { 3_000 } else { 0 },
            ..server(&format!("s{number}"), service, zone, 4)
        };
        let key = self.balancer.put_server(self.now, &entry).expect("the address is valid");
        self.listed[number] = Some((key, entry));
    }

    fn request(&mut self, demand: &Demand<'_>, exclude: &[usize], outcome: u8) -> bool {
        let exclude: Vec<ServerKey> =
            exclude.iter().filter_map(|server| Some(self.listed[*server].as_ref()?.0)).collect();
        let Choice::Send(key) = self.balancer.choose(self.now, demand, &exclude) else { return true };
        let allowed = self.is_allowed(demand, key) && !exclude.contains(&key) && self.balancer.is_usable(key);
        let ticket = self.balancer.begin(self.now, key, demand);
        if !outcome.is_multiple_of(3) {
            let outcome = if outcome % 3 == 1 { Outcome::Completed } else { Outcome::ClientClosed };
            self.balancer.end(self.now, ticket, outcome);
        }
        allowed
    }

    fn is_allowed(&self, demand: &Demand<'_>, key: ServerKey) -> bool {
        let found = self.listed.iter().flatten().find(|(listed, _)| *listed == key);
        found.is_some_and(|(_, server)| {
            server.service == demand.service
                && server.state == ServerState::Ready
                && !server.has_time_remaining
                && !self.evacuated.contains(&server.zone)
                && (demand.home_regions.is_empty()
                    || demand.home_regions.contains(&server.zone[..1].to_owned()))
        })
    }
}

quickcheck! {
    fn only_allowed_servers_are_chosen(events: Vec<Event>) -> bool {
        let mut harness = Harness {
            balancer: lone_balancer(),
            listed: Default::default(),
            evacuated: BTreeSet::new(),
            now: NOW,
        };
        events.iter().all(|event| harness.handle(event))
    }
}
