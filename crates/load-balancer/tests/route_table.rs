//! Lookup of routes, and the choice of one of their services.

use quillpulley_load_balancer::{pick_service, RouteTable};
use quillpulley_serving_config::Configuration;
use quillpulley_serving_config::Route;

fn configuration(routes: &[(&str, &str)]) -> Configuration {
    let route = |(host, prefix): &(&str, &str)| {
        format!(r#"{{"Name":"{host}{prefix}","Host":"{host}","PathPrefix":"{prefix}","Service":"s"}}"#)
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    let body = format!(r#"{{"Version":1,"Routes":[{}],"Services":[{{"Name":"s"}}]}}"#, routes.join(","));
    Configuration::parse(body.as_bytes()).expect("the configuration is valid")
}

fn table() -> RouteTable {
    let routes = [
        ("one.example", "/"),
        ("one.example", "/a/"),
        ("one.example", "/a/b/"),
        ("one.example", "/a/bc"),
        ("two.example", "/a/"),
        ("2001:db8::1", "/"),
    ];
    RouteTable::new(&configuration(&routes))
}

fn found(host: &str, path: &str) -> Option<String> {
    table().find(host, path).map(|route| route.path_prefix.clone())
}

#[test]
fn the_longest_prefix_wins() {
    assert_eq!(found("one.example", "/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(found("one.example", "/a/b").as_deref(), Some("/a/"));
    assert_eq!(found("one.example", "/a/b/").as_deref(), Some("/a/b/"));
    assert_eq!(found("one.example", "/b/a/b/").as_deref(), Some("/"));
}

#[test]
fn a_prefix_without_a_trailing_slash_matches() {
    assert_eq!(found("one.example", "/a/bcd").as_deref(), Some("/a/bc"));
    assert_eq!(found("one.example", "/a/bc/d").as_deref(), Some("/a/bc"));
}

#[test]
fn hosts_match_regardless_of_case_and_port() {
    assert_eq!(found("TWO.example:8080", "/a/x").as_deref(), Some("/a/"));
    assert_eq!(found("two.example.", "/a/x"), None);
    assert_eq!(found("three.example", "/a/x"), None);
    assert_eq!(found("", "/a/x"), None);
}

#[test]
fn a_path_that_no_prefix_matches_has_no_route() {
    assert_eq!(found("two.example", "/b/"), None);
    assert_eq!(found("two.example", "/a"), None);
    assert_eq!(found("two.example", ""), None);
}

#[test]
fn the_query_is_not_part_of_the_path() {
    assert_eq!(found("two.example", "/?/a/"), None);
    assert_eq!(found("one.example", "/a/b?c/").as_deref(), Some("/a/"));
}

#[test]
fn paths_with_non_ascii_characters_are_split_at_slashes() {
    assert_eq!(found("two.example", "/a/ü/").as_deref(), Some("/a/"));
    assert_eq!(found("one.example", "/ü/a").as_deref(), Some("/"));
}

#[test]
fn many_routes_are_all_found() {
    let prefixes: Vec<String> = (0..2_000).map(|number| format!("/r{number}/")).collect();
    let routes: Vec<(&str, &str)> = prefixes.iter().map(|prefix| ("one.example", prefix.as_str())).collect();
    let table = RouteTable::new(&configuration(&routes));
    for prefix in &prefixes {
        let found = table.find("one.example", &format!("{prefix}x/y/z")).map(|route| &route.path_prefix);
        assert_eq!(found, Some(prefix));
    }
}

fn split(weights: &str) -> Route {
    let body = format!(
        r#"{{"Version":1,"Services":[{{"Name":"s"}},{{"Name":"t"}},{{"Name":"u"}}],
            "Routes":[{{"Host":"h","PathPrefix":"/","TrafficSplit":{weights}}}]}}"#
    );
    Configuration::parse(body.as_bytes()).expect("the configuration is valid").routes[0].clone()
}

#[test]
fn services_are_picked_by_weight() {
    let route =
        split(r#"[{"Service":"s","Weight":10},{"Service":"t","Weight":0},{"Service":"u","Weight":30}]"#);
    let picked: Vec<Option<&str>> =
        [0.0, 0.2, 0.25, 0.6, 1.0].map(|random| pick_service(&route, random)).to_vec();
    assert_eq!(picked, [Some("s"), Some("s"), Some("u"), Some("u"), Some("u")]);
}

#[test]
fn a_service_without_weight_is_never_picked() {
    let route = split(r#"[{"Service":"s","Weight":1},{"Service":"t","Weight":0}]"#);
    assert_eq!(pick_service(&route, 1.0), Some("s"));
}
