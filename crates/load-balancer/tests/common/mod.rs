//! Helpers that several tests share.
#![allow(dead_code)]

pub mod fleet;

use quillpulley_load_balancer::{Ablation, Balancer, Demand, Locality, Options, PromptSegment, ProxyPeer};
use quillpulley_protocol as protocol;
use quillpulley_serving_config::Configuration;
use std::collections::BTreeMap;
use std::time::Duration;

/// The name of the service whose servers run an inference engine.
pub const ENGINE: &str = "writers";
/// The name of the service whose servers run no model.
pub const PLAIN: &str = "cards";

/// The limit on requests per second to a cold server: `WarmupPerS` 11 × `WarmupOvershoot` 1.5 + `WarmupSlack`
/// 5, rounded down.
pub const WARMUP_LIMIT: usize = 21;

/// The warm-up time of the service [`ENGINE`].
pub const WARMUP: Duration = Duration::from_secs(3);

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns the locality of a zone. The region is the first letter of the zone: `a1` is in region `a`.
pub fn locality(zone: &str) -> Locality {
    Locality { zone: zone.to_owned(), region: zone[..1].to_owned() }
}

pub fn zones() -> BTreeMap<String, String> {
    ["a1", "a2", "b1", "b2", "c1", "c2"].map(|zone| (zone.to_owned(), locality(zone).region)).into()
}

pub fn configuration() -> Configuration {
    let body = r#"{"Version":1,"Routes":[],"Services":[
        {"Name":"writers","MaxConnections":360,"WarmupS":3.0,"WarmupPerS":11.0,
         "Engine":{"Slots":64,"KvCapacityTokens":225711}},
        {"Name":"cards","MaxConnections":100}]}"#;
    Configuration::parse(body.as_bytes()).expect("the configuration is valid")
}

pub fn options(name: &str) -> Options {
    Options {
        name: name.to_owned(),
        warmup_overshoot: 1.5,
        warmup_slack: 5.0,
        seed: 7,
        ablation: Ablation::default(),
    }
}

pub fn proxy_peer(name: &str, zone: &str) -> ProxyPeer {
    ProxyPeer { name: name.to_owned(), locality: locality(zone) }
}

/// Creates a balancer that has the services of [`configuration`] and no servers.
pub fn balancer(name: &str, zone: &str, proxies: &[ProxyPeer]) -> Balancer {
    balancer_with(options(name), zone, proxies)
}

/// Does the same as [`balancer`], with the given options.
pub fn balancer_with(options: Options, zone: &str, proxies: &[ProxyPeer]) -> Balancer {
    let mut balancer = Balancer::new(locality(zone), zones(), options);
    balancer.set_services(configuration().services.values());
    if !proxies.is_empty() {
        balancer.set_proxies(proxies.to_vec());
    }
    balancer
}

/// Creates a balancer in zone `a1` that is the only proxy.
pub fn lone_balancer() -> Balancer {
    balancer("l1", "a1", &[proxy_peer("l1", "a1")])
}

pub fn server(id: &str, service: &str, zone: &str, slots: u32) -> protocol::Server {
    protocol::Server {
        id: id.to_owned(),
        service: service.to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: zone.to_owned(),
        slots,
        state: protocol::ServerState::Ready,
        warmup_remaining_ms: 0,
        time_remaining_ms: 0,
        has_time_remaining: false,
    }
}

pub fn engine(id: &str, zone: &str) -> protocol::Server {
    server(id, ENGINE, zone, 64)
}

pub fn plain(id: &str, zone: &str) -> protocol::Server {
    server(id, PLAIN, zone, 6)
}

/// Returns a demand without a prompt, with the highest priority.
pub fn demand(service: &str) -> Demand<'_> {
    Demand {
        service,
        home_regions: &[],
        segments: &[],
        prompt_tokens: 0,
        output_tokens: 0,
        body_bytes: 600,
        priority: 0,
        target_latency: ms(800),
        time_remaining: ms(5_000),
        sticky: false,
    }
}

/// Returns a demand with a prompt of these segments, on a sticky route.
pub fn prompt<'a>(service: &'a str, segments: &'a [PromptSegment]) -> Demand<'a> {
    let prompt_tokens = segments.iter().map(|segment| segment.tokens).sum();
    Demand { segments, prompt_tokens, output_tokens: 50, sticky: true, ..demand(service) }
}
