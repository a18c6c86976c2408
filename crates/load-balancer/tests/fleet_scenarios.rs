//! Simulations of a fleet of engines, which measure how often shared segments are prefilled again, and how
//! many requests are late or rejected. The limits leave some margin around the results with the present
//! constants of server selection, and reveal a mistake in these constants.

mod common;

use common::fleet::{Fleet, Metrics, Options, RequestKind};
use quillpulley_load_balancer::Ablation;
use std::time::Duration;

const ZONES: [&str; 9] = ["a1", "a1", "a1", "a1", "b1", "b1", "b1", "c1", "c1"];
const DURATION: Duration = Duration::from_secs(30);

/// Returns two kinds of requests: few with long prompts, and many with long responses, which may be served in
/// two of the three regions only. `load_factor` is a factor on the rate of both kinds, and `response_factor`
/// on the rate of the second kind.
fn kinds(load_factor: f64, response_factor: f64) -> Vec<RequestKind> {
    let long_prompts = RequestKind {
        requests_per_s: 10.0 * load_factor,
        shared_segments: [(4, 2_500), (90, 3_800)],
        own_tokens: 2_900,
        output_tokens: 50,
        body_bytes: 18_000,
        priority: 0,
        target_latency: Duration::from_millis(800),
        home_regions: vec![],
    };
    let long_responses = RequestKind {
        requests_per_s: 30.0 * load_factor * response_factor,
        shared_segments: [(40, 120), (180, 80)],
        own_tokens: 600,
        output_tokens: 290,
        body_bytes: 1_700,
        priority: 1,
        target_latency: Duration::from_millis(1_000),
        home_regions: vec!["a".to_owned(), "b".to_owned()],
    };
    vec![long_prompts, long_responses]
}

fn simulate(server_zones: &[&'static str], kinds: Vec<RequestKind>) -> Metrics {
    simulate_with(Ablation::default(), server_zones, kinds)
}

fn simulate_with(ablation: Ablation, server_zones: &[&'static str], kinds: Vec<RequestKind>) -> Metrics {
    let options = Options {
        server_zones: server_zones.to_vec(),
        proxy_zones: vec!["a1", "a1", "a1", "b1", "b1", "b1", "c1", "c1"],
        kinds,
        seed: 3,
        duration: DURATION,
        ablation,
    };
    let metrics = Fleet::new(options).run();
    println!("{metrics:?}");
    metrics
}

#[test]
fn under_ordinary_load_segments_are_prefilled_about_once() {
    let metrics = simulate(&ZONES, kinds(1.0, 1.0));
    assert_eq!(metrics.rejected, 0);
    assert!(metrics.late * 100 <= metrics.requests);
    assert!(metrics.paused * 100 <= metrics.requests);
    assert!(metrics.prefilled_again < metrics.shared / 8);
}

#[test]
fn a_burst_is_served_in_time() {
    let metrics = simulate(&ZONES, kinds(1.0, 2.5));
    assert_eq!(metrics.rejected, 0);
    assert!(metrics.late * 100 <= metrics.requests);
    assert!(metrics.paused * 100 <= metrics.requests);
    assert!(metrics.prefilled_again < metrics.shared / 5);
}

#[test]
fn the_remaining_regions_serve_the_load_of_a_lost_region() {
    let metrics = simulate(&ZONES[4..], kinds(1.0, 1.0));
    assert_eq!(metrics.rejected, 0);
    assert!(metrics.late * 50 <= metrics.requests);
}

#[test]
fn an_overload_does_not_cause_excessive_repeated_prefill() {
    let metrics = simulate(&ZONES, kinds(5.0, 1.0));
    assert!(metrics.rejected * 2 < metrics.requests);
    assert!(metrics.prefilled_again < metrics.shared / 2);
}

#[test]
fn without_prefix_affinity_segments_are_prefilled_again() {
    let with = simulate(&ZONES, kinds(1.0, 1.0));
    let ablation = Ablation { prefix_affinity: true, ..Ablation::default() };
    let without = simulate_with(ablation, &ZONES, kinds(1.0, 1.0));
    assert!(without.prefilled_again > 2 * with.prefilled_again);
}
