//! Tests of the items that the primary publishes for the servers of the platform's list. A server is
//! published again only if subscribers cannot derive its new state, such as a countdown, from what was
//! published before.
//!
//! Each line of a timeline has three columns: the time of a reading in ms, the servers on the list, and the
//! expected changes. A server is written as its id and its attributes, separated by slashes: `*` for
//! draining, `wN` for a warm-up of N ms, `tN` for a remaining time of N ms, and `@b` for the address `b`.
//! `x?` is an entry with the id `x` that cannot be read. Among the changes, `-x` is the removal of `x`.

use quillpulley::control::discovery::page::Reading;
use quillpulley::control::discovery::published_servers::PublishedServers;
use quillpulley_protocol::{decode_value, encode_value, Server, ServerRef, ServerState};
use quillpulley_serving_config::published::server_key;
use quillpulley_state_sync::Change;
use std::time::Duration;

fn server(text: &str) -> Server {
    let mut parts = text.split('/');
    let id = parts.next().expect("the id is missing").to_string();
    let mut server = Server {
        address: "a".to_string(),
        id,
        service: "chat".to_string(),
        zone: "z".to_string(),
        slots: 4,
        state: ServerState::Ready,
        warmup_remaining_ms: 0,
        time_remaining_ms: 0,
        has_time_remaining: false,
    };
    for part in parts {
        match part.split_at(1) {
            ("*", _) => server.state = ServerState::Draining,
            ("@", address) => server.address = address.to_string(),
            ("w", count) => server.warmup_remaining_ms = count.parse().expect("the count is not a number"),
            ("t", count) => {
                server.has_time_remaining = true;
                server.time_remaining_ms = count.parse().expect("the count is not a number");
            }
            other => panic!("unknown mark {other:?}"),
        }
    }
    server
}

fn format_change(change: &Change) -> String {
    let Some(value) = &change.value else {
        return format!("-{}", change.key.strip_prefix("server/").expect("not the key of a server"));
    };
    let server: Server = decode_value::<ServerRef, Server>(value).expect("not an encoded server");
    let mut shown = server.id;
    if server.state == ServerState::Draining {
        shown += "/*";
    }
    if server.address != "a" {
        shown += &format!("/@{}", server.address);
    }
    if server.warmup_remaining_ms > 0 {
        shown += &format!("/w{}", server.warmup_remaining_ms);
    }
    if server.has_time_remaining {
        shown += &format!("/t{}", server.time_remaining_ms);
    }
    shown
}

fn reading(text: &str) -> Reading {
    let (unreadable, servers): (Vec<&str>, Vec<&str>) =
        text.split_whitespace().partition(|entry| entry.ends_with('?'));
    Reading {
        servers: servers.into_iter().map(server).collect(),
        unreadable: unreadable.into_iter().map(|entry| entry.trim_end_matches('?').to_string()).collect(),
    }
}

fn run_timeline(mut published: PublishedServers, timeline: &str) {
    for line in timeline.lines().map(str::trim).filter(|line| !line.is_empty()) {
        let mut columns = line.split('|').map(str::trim);
        let mut column = || columns.next().expect("fewer than three columns");
        let (time, list, expected) = (column(), column(), column());
        let now = Duration::from_millis(time.parse().expect("the time is not a number"));
        let changes = published.update(now, reading(list));
        let shown: Vec<String> = changes.iter().map(format_change).collect();
        assert_eq!(shown.join(" "), expected, "{line}");
    }
}

#[test]
fn only_changes_are_published() {
    run_timeline(
        PublishedServers::default(),
        "
           0 | x y     | x y
         400 | x y     |
         800 | x y/*   | y/*
        1200 | x y/*   |
        1600 | x       | -y
        2000 | x y/@b  | y/@b
        2400 | x y     | y
        ",
    );
}

#[test]
fn a_warm_up_is_published_when_it_begins_when_it_grows_and_when_it_ends() {
    run_timeline(
        PublishedServers::default(),
        "
           0 | x/w3000 | x/w3000
         400 | x/w2600 |
         800 | x/w2450 |
        1200 | x/w2101 | x/w2101
        1600 | x/w1000 |
        2000 | x       | x
        2400 | x/w3000 | x/w3000
        ",
    );
}

#[test]
fn the_remaining_time_is_published_when_it_appears_and_when_it_drops() {
    run_timeline(
        PublishedServers::default(),
        "
           0 | x         | x
         400 | x/*/t3000 | x/*/t3000
         800 | x/*/t2600 |
        1200 | x/*/t1000 | x/*/t1000
        1600 | x/*/t600  |
        2000 |           | -x
        ",
    );
}

#[test]
fn an_unreadable_entry_keeps_the_published_server() {
    run_timeline(
        PublishedServers::default(),
        "
           0 | x y   | x y
         400 | x y?  |
         800 | x     | -y
        1200 | x z?  |
        ",
    );
}

#[test]
fn a_new_primary_publishes_differences_and_restarts_countdowns() {
    let inherited = ["x", "y/w3000", "z", "u/*/t900"]
        .map(|text| (server_key(&server(text).id), encode_value(server(text))));
    let items = inherited.iter().map(|(key, value)| (key.as_str(), value.as_slice()));
    let other = [("front/f".to_string(), Vec::new())];
    let others = other.iter().map(|(key, value): &(String, Vec<u8>)| (key.as_str(), value.as_slice()));
    run_timeline(
        PublishedServers::inherit(items.chain(others)),
        "
           0 | x y/w2500 u/*/t400 v | -z y/w2500 u/*/t400 v
         400 | x y/w2100 u/*/t1 v   |
        ",
    );
}
