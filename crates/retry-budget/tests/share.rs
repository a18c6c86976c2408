//! Tests of the limit that is derived from a proxy's share of the demand.

use quillpulley_retry_budget::share::{limit, Demand};

const TARGET: f64 = 100.0;

fn demand(own: f64, total: f64, used: f64) -> Demand {
    Demand { target: TARGET, own, total, used, proxies: 10 }
}

#[test]
fn a_proxy_gets_the_target_times_its_weight() {
    assert_eq!(limit(&demand(30.0, 100.0, 100.0)), 30.0);
}

#[test]
fn a_low_limit_is_raised_by_the_unused_target() {
    assert_eq!(limit(&demand(1.0, 100.0, 95.0)), 6.0);
}

#[test]
fn a_low_limit_is_not_raised_above_the_fallback() {
    assert_eq!(limit(&demand(1.0, 100.0, 10.0)), 10.0);
}

#[test]
fn a_low_limit_is_not_raised_if_the_target_is_used_up() {
    assert_eq!(limit(&demand(1.0, 100.0, 130.0)), 1.0);
}

#[test]
fn a_service_without_retries_gets_the_fallback() {
    assert_eq!(limit(&demand(0.0, 0.0, 0.0)), 10.0);
}

#[test]
fn totals_older_than_own_counts_give_at_most_the_target() {
    assert_eq!(limit(&demand(50.0, 20.0, 20.0)), TARGET);
}

#[test]
fn an_unknown_number_of_proxies_counts_as_one() {
    let lone = Demand { proxies: 0, ..demand(0.0, 0.0, 0.0) };
    assert_eq!(limit(&lone), TARGET);
}
