//! The regions that a proxy prefers over its own region for its clients.

use quillpulley_load_balancer::HomeDemand;
use std::time::Duration;

struct Proxy {
    demand: HomeDemand,
    now: Duration,
}

impl Proxy {
    fn new() -> Self {
        Proxy { demand: HomeDemand::new("east".to_string()), now: Duration::ZERO }
    }

    /// Counts `count` requests, one every 50 ms, whose home regions are the items of `homes` in turn. Returns
    /// the preferred regions.
    fn requests(&mut self, count: usize, homes: &[&[&str]]) -> String {
        for homes in homes.iter().cycle().take(count) {
            let homes: Vec<String> = homes.iter().map(|home| home.to_string()).collect();
            self.now += Duration::from_millis(50);
            self.demand.count(self.now, &homes);
        }
        self.demand.preferred_regions().join(" ")
    }
}

#[test]
fn the_homes_of_most_requests_are_preferred() {
    let mut proxy = Proxy::new();
    assert_eq!(proxy.requests(60, &[&["north", "west"], &["north", "west"], &[]]), "north west");
}

#[test]
fn too_few_requests_do_not_change_the_preference() {
    let mut proxy = Proxy::new();
    assert_eq!(proxy.requests(15, &[&["west"]]), "");
}

#[test]
fn the_own_region_stays_preferred_if_it_may_serve_half_of_the_requests() {
    let mut proxy = Proxy::new();
    assert_eq!(proxy.requests(60, &[&["west"], &["east"]]), "");
    assert_eq!(proxy.requests(60, &[&["west"], &[]]), "");
}

#[test]
fn a_home_of_few_requests_is_not_preferred() {
    let mut proxy = Proxy::new();
    assert_eq!(proxy.requests(80, &[&["west"], &["west"], &["west"], &["north", "west"]]), "west");
}

#[test]
fn the_preference_is_kept_without_requests_and_between_the_thresholds() {
    let mut proxy = Proxy::new();
    assert_eq!(proxy.requests(60, &[&["west"]]), "west");
    assert_eq!(proxy.requests(200, &[&["west"], &[], &["west"], &[], &[]]), "west");
    proxy.now += Duration::from_secs(60);
    assert_eq!(proxy.requests(5, &[&[]]), "west");
    assert_eq!(proxy.requests(200, &[&["west"], &[], &[], &[], &[]]), "");
}

#[test]
fn a_reset_clears_the_preference() {
    let mut proxy = Proxy::new();
    assert_eq!(proxy.requests(60, &[&["west"]]), "west");
    proxy.demand.reset();
    assert_eq!(proxy.requests(5, &[&[]]), "");
    assert_eq!(proxy.requests(60, &[&["west"]]), "west");
}
