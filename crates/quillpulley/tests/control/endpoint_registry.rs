//! Tests of the proxies that the primary publishes.
//!
//! Each line of a timeline has three columns: the time in ms, the reports of the whole tree, and the expected
//! changes. A proxy is written as its name, its state (`s`tarting, `r`eady or `l`eaving, that is, draining)
//! and, if it is not 1, its incarnation: `f:r`, `f:r2`. `!f:m,n` means that the monitors `m` and `n` suspect
//! the proxy `f`. Among the changes, `-f` is the removal of `f`. With `.` in place of the reports, only time
//! passes.

use quillpulley::control::distribution::endpoint_registry::EndpointRegistry;
use quillpulley_protocol::{decode_value, encode_value, EndpointState, ProxyEndpoint, ProxyEndpointRef};
use quillpulley_serving_config::published::endpoint_key;
use quillpulley_state_sync::{Change, SubtreeState};
use std::time::Duration;

fn endpoint(text: &str) -> ProxyEndpoint {
    let (name, rest) = text.split_once(':').expect("the state is missing");
    let (state, incarnation) = rest.split_at(1);
    ProxyEndpoint {
        name: name.to_string(),
        ip: 0x0a00_0001,
        zone: "a".to_string(),
        region: "west".to_string(),
        address: "10.0.0.1:80".to_string(),
        state: match state {
            "s" => EndpointState::Starting,
            "r" => EndpointState::Ready,
            "l" => EndpointState::Draining,
            other => panic!("unknown state {other}"),
        },
        incarnation: if incarnation.is_empty() {
            1
        } else {
            incarnation.parse().expect("the incarnation is not a number")
        },
        preferred_regions: Vec::new(),
    }
}

fn tree(text: &str) -> SubtreeState {
    let (suspicions, endpoints): (Vec<&str>, Vec<&str>) =
        text.split_whitespace().partition(|entry| entry.starts_with('!'));
    let suspicion = |text: &str| {
        let (suspect, monitors) = text[1..].split_once(':').expect("the monitors are missing");
        (suspect.to_string(), monitors.split(',').map(str::to_string).collect())
    };
    let endpoints = endpoints.into_iter().map(endpoint);
    SubtreeState {
        endpoints: endpoints.map(|endpoint| (endpoint.name.clone(), endpoint)).collect(),
        suspicions: suspicions.into_iter().map(suspicion).collect(),
        ..SubtreeState::default()
    }
}

fn format_change(change: &Change) -> String {
    let Some(value) = &change.value else {
        return format!("-{}", change.key.strip_prefix("front/").expect("not the key of a proxy"));
    };
    let endpoint: ProxyEndpoint =
        decode_value::<ProxyEndpointRef, ProxyEndpoint>(value).expect("not an encoded proxy");
    let state = match endpoint.state {
        EndpointState::Starting => "s",
        EndpointState::Ready => "r",
        EndpointState::Draining => "l",
    };
    let incarnation =
        if endpoint.incarnation == 1 { String::new() } else { endpoint.incarnation.to_string() };
    format!("{}:{state}{incarnation}", endpoint.name)
}

fn run_timeline(mut registry: EndpointRegistry, timeline: &str) {
    for line in timeline.lines().map(str::trim).filter(|line| !line.is_empty()) {
        let mut columns = line.split('|').map(str::trim);
        let mut column = || columns.next().expect("fewer than three columns");
        let (time, reported, expected) = (column(), column(), column());
        let now = Duration::from_millis(time.parse().expect("the time is not a number"));
        let changes = match reported {
            "." => registry.tick(now),
            reported => registry.update(now, &tree(reported)),
        };
        let shown: Vec<String> = changes.iter().map(format_change).collect();
        assert_eq!(shown.join(" "), expected, "{line}");
    }
}

#[test]
fn changes_of_state_are_published_at_once() {
    run_timeline(
        EndpointRegistry::default(),
        "
           0 | f:s     | f:s
         100 | f:r g:r | f:r g:r
         200 | f:r g:r |
         300 | f:l g:r | f:l
         400 | f:l g:r |
        ",
    );
}

#[test]
fn a_proxy_that_is_reported_again_within_a_second_stays_published() {
    run_timeline(
        EndpointRegistry::default(),
        "
           0 | f:r g:r | f:r g:r
         100 | g:r     |
        1099 | .       |
        1099 | f:r g:r |
        3000 | .       |
        3100 | g:r     |
        4100 | .       | -f
        5000 | f:r g:r | f:r
        ",
    );
}

#[test]
fn a_proxy_is_removed_if_two_monitors_suspect_it_but_not_if_one_does() {
    run_timeline(
        EndpointRegistry::default(),
        "
           0 | f:r g:r          | f:r g:r
         100 | f:r g:r !f:g     |
         200 | f:r g:r !f:g,h   | -f
         300 | f:r g:r !f:g,h   |
         400 | f:r g:r !f:h     | f:r
        ",
    );
}

#[test]
fn a_new_primary_gives_the_agents_time_to_report() {
    let items = ["f:r", "g:r"].map(|text| (endpoint_key(&text[..1]), encode_value(endpoint(text))));
    let items = items.iter().map(|(key, value)| (key.as_str(), value.as_slice()));
    run_timeline(
        EndpointRegistry::inherit(Duration::ZERO, items),
        "
           0 |         |
        1500 | f:r     |
        2999 | .       |
        3000 | .       | -g
        9000 | .       |
        ",
    );
}
