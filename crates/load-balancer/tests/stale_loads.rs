//! The servers that proxies choose between two load reports, when all proxies know the same reported loads.

mod common;

use common::*;
use quillpulley_load_balancer::{server_hash, Balancer, Choice, Demand, ProxyPeer, ServerKey};
use quillpulley_protocol::ServerLoad;
use std::collections::BTreeMap;
use std::time::Duration;

const PROXIES: usize = 24;
const SERVERS: usize = 12;
/// The interval between the requests of a proxy.
const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// The time for which a proxy does not know the requests of the other proxies.
const UNSEEN_TIME: Duration = Duration::from_millis(500);
const LEAST_LOADED: &str = "s0";

fn request() -> Demand<'static> {
    Demand { prompt_tokens: 300, output_tokens: 300, ..demand(ENGINE) }
}

fn send(balancer: &mut Balancer, now: Duration) -> ServerKey {
    let Choice::Send(key) = balancer.choose(now, &request(), &[]) else { panic!("rejected") };
    let ticket = balancer.begin(now, key, &request());
    balancer.record_started(now, &ticket);
    key
}

/// Creates the balancers of proxies in one zone, with servers in the same zone.
fn fleet() -> Vec<Balancer> {
    let peers: Vec<ProxyPeer> = (0..PROXIES).map(|n| proxy_peer(&format!("l{n}"), "a1")).collect();
    let mut balancers: Vec<Balancer> = peers
        .iter()
        .enumerate()
        .map(|(n, peer)| {
            let options = quillpulley_load_balancer::Options { seed: n as u64, ..options(&peer.name) };
            balancer_with(options, "a1", &peers)
        })
        .collect();
    for balancer in &mut balancers {
        for n in 0..SERVERS {
            balancer.put_server(Duration::ZERO, &engine(&format!("s{n}"), "a1"));
        }
    }
    balancers
}

/// Returns how many requests each server gets from all proxies until the next report, if `running` requests
/// run at every server but one, and `least_running` at that one. Before that, the proxies send requests for
/// some seconds, so that they know their request rate.
fn sent_until_next_report(running: u32, least_running: u32) -> BTreeMap<String, usize> {
    let mut balancers = fleet();
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(4) {
        for balancer in &mut balancers {
            let key = balancer.choose(now, &request(), &[]);
            let Choice::Send(key) = key else { panic!("rejected") };
            let ticket = balancer.begin(now, key, &request());
            balancer.end(now, ticket, quillpulley_load_balancer::Outcome::Completed);
        }
        now += SEND_INTERVAL;
    }
    let load = |n: usize| {
        let id = format!("s{n}");
        let running = if id == LEAST_LOADED { least_running } else { running };
        ServerLoad { server: server_hash(&id), running, waiting: 0, prompt_tokens: 0, failures: 0 }
    };
    let totals: Vec<ServerLoad> = (0..SERVERS).map(load).collect();
    balancers.iter_mut().for_each(|balancer| balancer.set_totals(now, &totals));
    let mut sent: BTreeMap<String, usize> = BTreeMap::new();
    let end = now + UNSEEN_TIME;
    while now < end {
        for balancer in &mut balancers {
            let key = send(balancer, now);
            let id = balancer.server(key).expect("the server is listed").id.clone();
            *sent.entry(id).or_default() += 1;
        }
        now += SEND_INTERVAL;
    }
    sent
}

#[test]
fn a_server_with_a_little_less_load_does_not_get_everything() {
    let sent = sent_until_next_report(20, 17);
    let all: usize = sent.values().sum();
    let least = sent[LEAST_LOADED];
    assert_eq!(sent.len(), SERVERS, "{sent:?}");
    assert!(least * SERVERS < all * 3, "{least} of {all}");
}

#[test]
fn a_server_with_much_less_load_gets_more_than_the_others() {
    let sent = sent_until_next_report(45, 5);
    let all: usize = sent.values().sum();
    let least = sent[LEAST_LOADED];
    assert!(least * SERVERS > all * 3, "{least} of {all}: {sent:?}");
}
