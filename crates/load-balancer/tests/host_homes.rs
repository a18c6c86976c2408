//! The regions in which the requests to a host may be served, according to its routes.

use quillpulley_load_balancer::{HomeTable, ServedIn};

/// Creates a table from routes written as `host:home+home`, or as `host:` if a route has no home regions.
fn table(routes: &str) -> HomeTable {
    let routes: Vec<(&str, Vec<String>)> = routes.split_whitespace().map(route).collect();
    HomeTable::new(routes.iter().map(|(host, homes)| (*host, homes.as_slice())))
}

fn route(text: &str) -> (&str, Vec<String>) {
    let (host, homes) = text.split_once(':').expect("a route has a colon");
    (host, homes.split('+').filter(|home| !home.is_empty()).map(str::to_string).collect())
}

/// Returns which requests to a host may be served in the regions east, west and north. A star marks a common
/// home.
fn served(table: &HomeTable, host: &str) -> String {
    let homes = table.of(host);
    let shown = ["east", "west", "north"].map(|region| {
        let served = match homes.served_in(region) {
            ServedIn::All => "all",
            ServedIn::Some => "some",
            ServedIn::None => "none",
        };
        format!("{served}{}", if homes.is_common_home(region) { "*" } else { "" })
    });
    shown.join(" ")
}

#[test]
fn routes_without_homes_may_be_served_everywhere() {
    assert_eq!(served(&table("h: h:"), "h"), "all* all* all*");
}

#[test]
fn all_routes_with_homes_restrict_the_regions() {
    assert_eq!(served(&table("h:east+west"), "h"), "all* all* none");
    assert_eq!(served(&table("h:east+west h:"), "h"), "all* all* some");
    assert_eq!(served(&table("h:east+west h:west+north"), "h"), "some all* some");
    assert_eq!(served(&table("h:east h:west"), "h"), "some some none");
    assert_eq!(served(&table("h:east h:west h:"), "h"), "some some some");
}

#[test]
fn hosts_have_their_own_routes() {
    let table = table("h:east g:west");
    assert_eq!(served(&table, "h"), "all* none none");
    assert_eq!(served(&table, "g"), "none all* none");
    assert_eq!(served(&table, "H:8080"), "all* none none", "the port and the case do not matter");
}

#[test]
fn a_host_without_routes_is_restricted_by_all_routes() {
    assert_eq!(served(&table("h:east+west g:west i:"), "new"), "some all* some");
}

#[test]
fn without_a_configuration_no_region_is_a_common_home() {
    assert_eq!(served(&HomeTable::default(), "h"), "some some some");
    assert_eq!(served(&table(""), "h"), "some some some");
}
