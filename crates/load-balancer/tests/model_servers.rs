//! The choice among servers that run a model.

mod common;

use common::*;
use quillpulley_load_balancer::{
    server_hash, Balancer, Choice, Demand, Outcome, PromptSegment, ProxyPeer, ServerKey,
};
use quillpulley_protocol::ServerLoad;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(60);
const ZONES: [&str; 9] = ["a1", "a1", "a1", "a1", "b1", "b1", "b1", "c1", "c1"];

/// Creates a balancer with the servers `s0` to `s8`, and one proxy in each region.
fn fleet(zone: &str) -> Balancer {
    let proxies = ["a1", "b1", "c1"].map(|zone| proxy_peer(zone, zone));
    fleet_of(zone, &proxies)
}

fn fleet_of(zone: &str, proxies: &[ProxyPeer]) -> Balancer {
    let mut balancer = balancer(zone, zone, proxies);
    for (number, zone) in ZONES.iter().enumerate() {
        balancer.put_server(NOW, &engine(&format!("s{number}"), zone));
    }
    balancer
}

/// Returns the segments of a prompt: two shared ones, and one that belongs to the request alone.
fn segments(guide: u64, guide_tokens: u32, thing: u64, thing_tokens: u32) -> [PromptSegment; 3] {
    [
        PromptSegment { id: guide, tokens: guide_tokens },
        PromptSegment { id: 1_000 + thing, tokens: thing_tokens },
        PromptSegment { id: 1_000_000 + thing, tokens: 500 },
    ]
}

fn long(thing: u64) -> [PromptSegment; 3] {
    segments(thing % 4, 2_500, thing, 3_800)
}

fn short(thing: u64) -> [PromptSegment; 3] {
    segments(thing % 4, 120, thing, 80)
}

/// Returns a request whose body has about half as many bytes as its prompt has characters.
fn request<'a>(segments: &'a [PromptSegment]) -> Demand<'a> {
    Demand { body_bytes: 9_000, ..prompt(ENGINE, segments) }
}

fn chosen(balancer: &mut Balancer, demand: &Demand<'_>) -> ServerKey {
    match balancer.choose(NOW, demand, &[]) {
        Choice::Send(key) => key,
        other => panic!("{other:?}"),
    }
}

fn region(balancer: &Balancer, key: ServerKey) -> String {
    balancer.server(key).expect("it is listed").locality.region.clone()
}

#[test]
fn long_prefixes_have_one_server_in_the_whole_system() {
    let mut balancers = ["a1", "b1", "c1"].map(fleet);
    let mut used = BTreeSet::new();
    for thing in 0..200 {
        let servers: BTreeSet<ServerKey> =
            balancers.iter_mut().map(|balancer| chosen(balancer, &request(&long(thing)))).collect();
        assert_eq!(servers.len(), 1, "for thing {thing}");
        used.extend(servers);
    }
    assert_eq!(used.len(), ZONES.len());
}

#[test]
fn short_prefixes_have_a_server_in_each_region() {
    for zone in ["a1", "b1", "c1"] {
        let (mut one, mut other) = (fleet(zone), fleet(zone));
        for thing in 0..50 {
            let server = chosen(&mut one, &request(&short(thing)));
            assert_eq!(server, chosen(&mut other, &request(&short(thing))));
            assert_eq!(region(&one, server), zone[..1]);
        }
    }
}

#[test]
fn a_server_that_is_lost_moves_only_its_own_prefixes() {
    let (mut whole, mut rest) = (fleet("a1"), fleet("a1"));
    let lost = rest.remove_server(NOW, "s2").expect("it was listed");
    for thing in 0..200 {
        let before = chosen(&mut whole, &request(&long(thing)));
        let after = chosen(&mut rest, &request(&long(thing)));
        assert!(before == after || before == lost, "thing {thing} moved");
    }
}

#[test]
fn proxies_agree_on_the_next_server_where_the_first_is_tried() {
    let mut balancers = ["a1", "b1", "c1"].map(fleet);
    for thing in 0..50 {
        let request_parts = long(thing);
        // With a small body, it costs little to send the request to another region.
        let demand = Demand { body_bytes: 100, ..request(&request_parts) };
        let first = chosen(&mut balancers[0], &demand);
        let next = |balancer: &mut Balancer| balancer.choose(NOW, &demand, &[first]);
        let nexts: Vec<Choice> = balancers.iter_mut().map(next).collect();
        let regions: BTreeSet<String> = nexts
            .iter()
            .zip(&balancers)
            .filter_map(|(choice, balancer)| match choice {
                Choice::Send(key) => Some(region(balancer, *key)),
                _ => None,
            })
            .collect();
        let servers: BTreeSet<String> = nexts.iter().map(|choice| format!("{choice:?}")).collect();
        assert!(servers.len() <= regions.len(), "at most one server in each region");
    }
}

#[test]
fn a_session_returns_to_where_it_was() {
    let mut balancer = fleet("a1");
    let session = [PromptSegment { id: 7, tokens: 3_000 }];
    let first = chosen(&mut balancer, &request(&session));
    let ticket = balancer.begin(NOW, first, &request(&session));
    balancer.record_started(NOW, &ticket);
    balancer.end(NOW, ticket, Outcome::Completed);
    for other in 100..120 {
        let own = [PromptSegment { id: other, tokens: 100 }];
        let key = chosen(&mut balancer, &request(&own));
        let _ticket = balancer.begin(NOW, key, &request(&own));
    }
    let longer = [session[0], PromptSegment { id: 8, tokens: 50 }];
    let demand = Demand { segments: &longer, ..request(&session) };
    assert_eq!(chosen(&mut balancer, &demand), first);
}

#[test]
fn homes_bind_and_the_nearest_of_them_is_used() {
    let homes = ["b".to_owned(), "c".to_owned()];
    let mut balancer = fleet("c1");
    for thing in 0..50 {
        let request_parts = short(thing);
        let key = chosen(&mut balancer, &Demand { homes: &homes, ..request(&request_parts) });
        assert_eq!(region(&balancer, key), "c");
    }
    let mut balancer = fleet("a1");
    let request_parts = short(1);
    let key = chosen(&mut balancer, &Demand { homes: &homes, ..request(&request_parts) });
    assert_ne!(region(&balancer, key), "a");
}

#[test]
fn a_server_with_long_prompts_queued_is_avoided() {
    let mut balancer = fleet("a1");
    let home = chosen(&mut balancer, &request(&short(1)));
    let id = balancer.server(home).expect("it is listed").id.clone();
    let load =
        ServerLoad { server: server_hash(&id), running: 0, waiting: 4, prompt_tokens: 60_000, failures: 0 };
    balancer.set_totals(NOW, &[load]);
    let other = chosen(&mut balancer, &request(&short(1)));
    assert_ne!(other, home);
    assert_eq!(region(&balancer, other), "a");
}

#[test]
fn requests_without_a_prefix_go_where_the_least_is_in_flight() {
    // There is no other proxy, so the balancer assumes no unseen load.
    let mut balancer = fleet_of("a1", &[proxy_peer("a1", "a1")]);
    let mut counts: BTreeMap<ServerKey, usize> = BTreeMap::new();
    for _ in 0..40 {
        let demand = Demand { prompt_tokens: 500, output_tokens: 100, ..demand(ENGINE) };
        let key = chosen(&mut balancer, &demand);
        *counts.entry(key).or_default() += 1;
        let ticket = balancer.begin(NOW, key, &demand);
        balancer.record_started(NOW, &ticket);
    }
    assert_eq!(counts.len(), 4, "only the servers of the region");
    assert!(counts.values().all(|count| (9..=11).contains(count)), "{counts:?}");
}

#[test]
fn slots_are_respected_and_urgent_requests_use_a_part_of_the_queues() {
    let mut balancer = fleet("a1");
    let urgent = Demand { objective: Duration::from_secs(60), ..demand(ENGINE) };
    let less_urgent = Demand { priority: 1, ..urgent };
    balancer.choose(NOW, &urgent, &[]);
    let mut fill = |demand: &Demand<'_>| {
        let mut sent = 0;
        while let Choice::Send(key) = balancer.choose(NOW, demand, &[]) {
            let ticket = balancer.begin(NOW, key, demand);
            balancer.record_started(NOW, &ticket);
            sent += 1;
        }
        sent
    };
    assert_eq!(fill(&less_urgent), 9 * 64);
    assert_eq!(fill(&urgent), 9 * 16);
}

#[test]
fn nothing_is_rejected_while_half_of_the_slots_are_free() {
    let mut balancer = fleet("a1");
    let request_parts = long(1);
    let demand = Demand { objective: ms(1), ..request(&request_parts) };
    for _ in 0..(9 * 32) {
        let Choice::Send(key) = balancer.choose(NOW, &demand, &[]) else { panic!("rejected") };
        let _ticket = balancer.begin(NOW, key, &demand);
    }
}
