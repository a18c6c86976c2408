//! Simulations of a fleet of engines, which measure how often shared segments are prefilled again, and how
//! many requests are late or rejected. The limits leave some margin around the results with the present
//! constants of server selection, and reveal a mistake in these constants.

mod common;

use common::fleet::{Figures, Fleet, Kind, Options};
use quillpulley_load_balancer::Ablation;
use std::time::Duration;

const ZONES: [&str; 9] = ["a1", "a1", "a1", "a1", "b1", "b1", "b1", "c1", "c1"];
const LENGTH: Duration = Duration::from_secs(30);

/// Returns two kinds of requests: few with long prompts, and many with long responses, which may be served in
/// two of the three regions only. `load` is a factor on the rate of both kinds, and `answers` on the rate of
/// the second kind.
fn kinds(load: f64, answers: f64) -> Vec<Kind> {
    let prompts = Kind {
        per_s: 10.0 * load,
        chain: [(4, 2_500), (90, 3_800)],
        own_tokens: 2_900,
        output_tokens: 50,
        body_bytes: 18_000,
        priority: 0,
        objective: Duration::from_millis(800),
        homes: vec![],
    };
    let answers = Kind {
        per_s: 30.0 * load * answers,
        chain: [(40, 120), (180, 80)],
        own_tokens: 600,
        output_tokens: 290,
        body_bytes: 1_700,
        priority: 1,
        objective: Duration::from_millis(1_000),
        homes: vec!["a".to_owned(), "b".to_owned()],
    };
    vec![prompts, answers]
}

fn play(server_zones: &[&'static str], kinds: Vec<Kind>) -> Figures {
    play_without(Ablation::default(), server_zones, kinds)
}

fn play_without(ablation: Ablation, server_zones: &[&'static str], kinds: Vec<Kind>) -> Figures {
    let options = Options {
        server_zones: server_zones.to_vec(),
        proxy_zones: vec!["a1", "a1", "a1", "b1", "b1", "b1", "c1", "c1"],
        kinds,
        seed: 3,
        length: LENGTH,
        ablation,
    };
    let figures = Fleet::new(options).run();
    println!("{figures:?}");
    figures
}

#[test]
fn in_ordinary_traffic_segments_are_prefilled_about_once() {
    let figures = play(&ZONES, kinds(1.0, 1.0));
    assert_eq!(figures.rejected, 0);
    assert!(figures.late * 100 <= figures.requests);
    assert!(figures.paused * 100 <= figures.requests);
    assert!(figures.prefilled_again < figures.shared / 8);
}

#[test]
fn a_burst_is_served_in_time() {
    let figures = play(&ZONES, kinds(1.0, 2.5));
    assert_eq!(figures.rejected, 0);
    assert!(figures.late * 100 <= figures.requests);
    assert!(figures.paused * 100 <= figures.requests);
    assert!(figures.prefilled_again < figures.shared / 5);
}

#[test]
fn without_a_region_the_rest_serves() {
    let figures = play(&ZONES[4..], kinds(1.0, 1.0));
    assert_eq!(figures.rejected, 0);
    assert!(figures.late * 50 <= figures.requests);
}

#[test]
fn in_an_overload_servers_do_not_spend_their_time_on_repeated_prefill() {
    let figures = play(&ZONES, kinds(5.0, 1.0));
    assert!(figures.rejected * 2 < figures.requests);
    assert!(figures.prefilled_again < figures.shared / 2);
}

#[test]
fn without_prefix_affinity_segments_are_prefilled_again() {
    let with = play(&ZONES, kinds(1.0, 1.0));
    let ablation = Ablation { prefix_affinity: true, ..Ablation::default() };
    let without = play_without(ablation, &ZONES, kinds(1.0, 1.0));
    assert!(without.prefilled_again > 2 * with.prefilled_again);
}
