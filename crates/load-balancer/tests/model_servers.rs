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

/// Returns the segments of a prompt: a shared template, a shared document, and a part of the request's own.
fn segments(template: u64, template_tokens: u32, document: u64, document_tokens: u32) -> [PromptSegment; 3] {
    [
        PromptSegment { id: template, tokens: template_tokens },
        PromptSegment { id: 1_000 + document, tokens: document_tokens },
        PromptSegment { id: 1_000_000 + document, tokens: 500 },
    ]
}

fn with_long_prefix(document: u64) -> [PromptSegment; 3] {
    segments(document % 4, 2_500, document, 3_800)
}

fn with_short_prefix(document: u64) -> [PromptSegment; 3] {
    segments(document % 4, 120, document, 80)
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
    balancer.server(key).expect("the server is listed").locality.region.clone()
}

#[test]
fn long_prefixes_have_one_server_in_the_whole_system() {
    let mut balancers = ["a1", "b1", "c1"].map(fleet);
    let mut used = BTreeSet::new();
    for document in 0..200 {
        let servers: BTreeSet<ServerKey> = balancers
            .iter_mut()
            .map(|balancer| chosen(balancer, &request(&with_long_prefix(document))))
            .collect();
        assert_eq!(servers.len(), 1, "for document {document}");
        used.extend(servers);
    }
    assert_eq!(used.len(), ZONES.len());
}

#[test]
fn short_prefixes_have_a_server_in_each_region() {
    for zone in ["a1", "b1", "c1"] {
        let (mut one, mut other) = (fleet(zone), fleet(zone));
        for document in 0..50 {
            let server = chosen(&mut one, &request(&with_short_prefix(document)));
            assert_eq!(server, chosen(&mut other, &request(&with_short_prefix(document))));
            assert_eq!(region(&one, server), zone[..1]);
        }
    }
}

#[test]
fn removing_a_server_moves_only_its_own_prefixes() {
    let (mut complete, mut remaining) = (fleet("a1"), fleet("a1"));
    let removed = remaining.remove_server(NOW, "s2").expect("the server was listed");
    for document in 0..200 {
        let before = chosen(&mut complete, &request(&with_long_prefix(document)));
        let after = chosen(&mut remaining, &request(&with_long_prefix(document)));
        assert!(before == after || before == removed, "document {document} moved");
    }
}

#[test]
fn proxies_of_a_region_agree_on_the_next_server_if_the_first_is_excluded() {
    let mut balancers = ["a1", "b1", "c1"].map(fleet);
    for document in 0..50 {
        let prompt_segments = with_long_prefix(document);
        // With a small body, it costs little to send the request to another region.
        let demand = Demand { body_bytes: 100, ..request(&prompt_segments) };
        let first = chosen(&mut balancers[0], &demand);
        let next = |balancer: &mut Balancer| balancer.choose(NOW, &demand, &[first]);
        let next_choices: Vec<Choice> = balancers.iter_mut().map(next).collect();
        let regions: BTreeSet<String> = next_choices
            .iter()
            .zip(&balancers)
            .filter_map(|(choice, balancer)| match choice {
                Choice::Send(key) => Some(region(balancer, *key)),
                _ => None,
            })
            .collect();
        let servers: BTreeSet<String> = next_choices.iter().map(|choice| format!("{choice:?}")).collect();
        assert!(servers.len() <= regions.len(), "at most one server in each region");
    }
}

#[test]
fn a_session_returns_to_its_server() {
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
fn the_nearest_home_region_is_used() {
    let home_regions = ["b".to_owned(), "c".to_owned()];
    let mut balancer = fleet("c1");
    for document in 0..50 {
        let prompt_segments = with_short_prefix(document);
        let key = chosen(&mut balancer, &Demand { home_regions: &home_regions, ..request(&prompt_segments) });
        assert_eq!(region(&balancer, key), "c");
    }
    let mut balancer = fleet("a1");
    let prompt_segments = with_short_prefix(1);
    let key = chosen(&mut balancer, &Demand { home_regions: &home_regions, ..request(&prompt_segments) });
    assert_ne!(region(&balancer, key), "a");
}

#[test]
fn a_server_with_long_prompts_queued_is_avoided() {
    let mut balancer = fleet("a1");
    let usual_server = chosen(&mut balancer, &request(&with_short_prefix(1)));
    let id = balancer.server(usual_server).expect("the server is listed").id.clone();
    let load =
        ServerLoad { server: server_hash(&id), running: 0, waiting: 4, prompt_tokens: 60_000, failures: 0 };
    balancer.set_totals(NOW, &[load]);
    let other = chosen(&mut balancer, &request(&with_short_prefix(1)));
    assert_ne!(other, usual_server);
    assert_eq!(region(&balancer, other), "a");
}

#[test]
fn requests_without_a_prefix_go_to_the_least_loaded_servers() {
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
fn slots_are_respected_and_urgent_requests_may_be_queued() {
    let mut balancer = fleet("a1");
    let urgent = Demand { target_latency: Duration::from_secs(60), ..demand(ENGINE) };
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
fn no_request_is_rejected_while_half_of_the_slots_are_free() {
    let mut balancer = fleet("a1");
    let prompt_segments = with_long_prefix(1);
    let demand = Demand { target_latency: ms(1), ..request(&prompt_segments) };
    for _ in 0..(9 * 32) {
        let Choice::Send(key) = balancer.choose(NOW, &demand, &[]) else { panic!("rejected") };
        let _ticket = balancer.begin(NOW, key, &demand);
    }
}
