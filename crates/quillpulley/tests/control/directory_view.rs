//! Tests of the directory builder, which combines the published proxies with those that report to its control
//! node.

use quillpulley::control::directory::builder::{DirectoryBuilder, DirectoryInputs};
use quillpulley::control::directory::{Coverage, Directory};
use quillpulley_protocol::{encode_value, EndpointState, ProxyEndpoint};
use quillpulley_serving_config::published::endpoint_key;
use quillpulley_state_sync::{Change, Event, Options, SubtreeState, SyncNode};
use std::time::Duration;

/// Parses a proxy, written as its name, its state (`s`tarting, `r`eady or `l`eaving, that is, draining) and
/// its incarnation: `f:r1`.
fn endpoint(text: &str) -> ProxyEndpoint {
    let (name, rest) = text.split_once(':').expect("the state is missing");
    let (state, incarnation) = rest.split_at(1);
    ProxyEndpoint {
        name: name.to_string(),
        ip: 0,
        zone: "a".to_string(),
        region: "west".to_string(),
        address: name.to_string(),
        state: match state {
            "s" => EndpointState::Starting,
            "r" => EndpointState::Ready,
            _ => EndpointState::Draining,
        },
        incarnation: incarnation.parse().expect("the incarnation is not a number"),
        preferred_regions: Vec::new(),
    }
}

fn format_endpoint(endpoint: &ProxyEndpoint) -> String {
    let state = match endpoint.state {
        EndpointState::Starting => "s",
        EndpointState::Ready => "r",
        EndpointState::Draining => "l",
    };
    format!("{}:{state}{}", endpoint.name, endpoint.incarnation)
}

/// The inputs of a directory builder. The published state last advanced at `advanced_at`; this time and `now`
/// are in milliseconds. Proxies are written as for [`endpoint`]; `!f:m,n` among the reports means that the
/// monitors `m` and `n` suspect the proxy `f`.
struct BuilderInputs<'a> {
    now: u64,
    advanced_at: u64,
    fresh: bool,
    epoch: u64,
    published: &'a str,
    reported: &'a str,
}

fn subtree(text: &str) -> SubtreeState {
    let (suspicions, endpoints): (Vec<&str>, Vec<&str>) =
        text.split_whitespace().partition(|entry| entry.starts_with('!'));
    let suspicion = |text: &str| {
        let (suspect, monitors) = text[1..].split_once(':').expect("the monitors are missing");
        (suspect.to_string(), monitors.split(',').map(str::to_string).collect())
    };
    SubtreeState {
        endpoints: endpoints.into_iter().map(|text| (endpoint(text).name, endpoint(text))).collect(),
        suspicions: suspicions.into_iter().map(suspicion).collect(),
        ..SubtreeState::default()
    }
}

fn directory(builder: &mut DirectoryBuilder, inputs: &BuilderInputs) -> Directory {
    let mut root = SyncNode::<u32>::new(Options::control_node("core"));
    let publish =
        |text| Change { key: endpoint_key(&endpoint(text).name), value: Some(encode_value(endpoint(text))) };
    let changes = inputs.published.split_whitespace().map(publish).collect();
    root.handle(Duration::ZERO, Event::BecomeRoot { epoch: inputs.epoch }, &mut Vec::new());
    root.handle(Duration::ZERO, Event::Publish(changes), &mut Vec::new());
    let directory_inputs = DirectoryInputs {
        fresh: inputs.fresh,
        last_advanced: Some(Duration::from_millis(inputs.advanced_at)),
        epoch: inputs.epoch,
        store: root.store(),
        subtree: &subtree(inputs.reported),
    };
    builder.build(Duration::from_millis(inputs.now), &directory_inputs)
}

fn format_directory(directory: &Directory) -> String {
    let shown: Vec<String> = directory.endpoints.iter().map(format_endpoint).collect();
    shown.join(" ")
}

/// Returns the proxies that the directory contains at `now`, in parentheses if they are too few to answer
/// clients.
fn listed(builder: &mut DirectoryBuilder, now: u64, fresh: bool, published: &str, reported: &str) -> String {
    let advanced_at = if fresh { now } else { 0 };
    let directory =
        directory(builder, &BuilderInputs { now, advanced_at, fresh, epoch: 1, published, reported });
    if directory.coverage == Coverage::TooFew {
        format!("({})", format_directory(&directory))
    } else {
        format_directory(&directory)
    }
}

#[test]
fn only_published_proxies_are_listed_while_they_are_fresh() {
    let mut builder = DirectoryBuilder::default();
    assert_eq!(listed(&mut builder, 0, true, "f:r1 g:r1", "f:l1 h:r1"), "f:r1 g:r1");
}

#[test]
fn outdated_state_is_merged_with_the_reports_to_this_process() {
    let mut builder = DirectoryBuilder::default();
    listed(&mut builder, 0, true, "f:r1", "");
    assert_eq!(listed(&mut builder, 10, false, "f:r1 g:r2", "f:l1 g:s1 h:r1"), "f:l1 g:r2 h:r1");
}

#[test]
fn a_new_process_waits_for_fresh_state_or_for_a_time_after_the_first_proxy() {
    let mut builder = DirectoryBuilder::default();
    assert_eq!(listed(&mut builder, 0, true, "", ""), "()");
    assert_eq!(listed(&mut builder, 1000, false, "", "f:r1"), "(f:r1)");
    assert_eq!(listed(&mut builder, 2499, false, "", "f:r1"), "(f:r1)");
    assert_eq!(listed(&mut builder, 2500, false, "", "f:r1"), "f:r1");
    // A proxy that is no longer reported is kept for 2 s, because its agent may be changing its parent.
    assert_eq!(listed(&mut builder, 4499, false, "", ""), "f:r1");
    // A directory that once knew enough proxies stays usable, even if it is empty.
    assert_eq!(listed(&mut builder, 4500, false, "", ""), "");

    let mut builder = DirectoryBuilder::default();
    assert_eq!(listed(&mut builder, 10, false, "f:r1", ""), "(f:r1)");
    assert_eq!(listed(&mut builder, 20, true, "f:r1", ""), "f:r1");
}

/// Plays a timeline. Each line has six columns: the time in ms, the time at which the published state last
/// advanced, `fresh` or `stale`, the published proxies, the reports to the control node, and the expected
/// directory, preceded by `own` if its coverage is [`Coverage::OwnReports`].
fn run_timeline(timeline: &str) {
    let mut builder = DirectoryBuilder::default();
    for line in timeline.lines().map(str::trim).filter(|line| !line.is_empty()) {
        let columns: Vec<&str> = line.split('|').map(str::trim).collect();
        let [now, advanced_at, freshness, published, reported, expected] = columns[..] else {
            panic!("not six columns: {line}")
        };
        let (now, advanced_at) = (
            now.parse().expect("the time is not a number"),
            advanced_at.parse().expect("the time is not a number"),
        );
        let inputs =
            BuilderInputs { now, advanced_at, fresh: freshness == "fresh", epoch: 1, published, reported };
        let directory = directory(&mut builder, &inputs);
        let own = if directory.coverage == Coverage::OwnReports { "own " } else { "" };
        assert_eq!(format!("{own}{}", format_directory(&directory)).trim(), expected, "{line}");
    }
}

#[test]
fn three_seconds_after_the_last_advance_only_reports_to_this_process_are_used() {
    run_timeline(
        "
           0 |   0 | fresh | f:r1 g:r1 | f:r1      | f:r1 g:r1
         900 | 900 | fresh | f:r1 g:r1 | f:r1      | f:r1 g:r1
        2000 | 900 | stale | f:r1 g:r1 | f:r1 h:r1 | f:r1 g:r1 h:r1
        3899 | 900 | stale | f:r1 g:r1 | f:r1 h:r1 | f:r1 g:r1 h:r1
        3900 | 900 | stale | f:r1 g:r1 | f:r1 h:r1 | own f:r1 h:r1
        9000 | 900 | stale | f:r1 g:r1 | f:r1      | own f:r1
        9100 |9100 | fresh | f:r1 g:r1 | f:r1      | f:r1 g:r1
        ",
    );
}

#[test]
fn a_proxy_that_fails_while_its_directory_is_disconnected_is_listed_for_two_more_seconds() {
    run_timeline(
        "
           0 | 0 | fresh | f:r1 g:r1 | f:r1 g:r1 | f:r1 g:r1
        8000 | 0 | stale | f:r1 g:r1 | f:r1 g:r1 | own f:r1 g:r1
        8050 | 0 | stale | f:r1 g:r1 | f:r1      | own f:r1 g:r1
        9999 | 0 | stale | f:r1 g:r1 | f:r1      | own f:r1 g:r1
       10000 | 0 | stale | f:r1 g:r1 | f:r1      | own f:r1
       10050 | 0 | stale | f:r1 g:r1 |           | own f:r1
       12000 | 0 | stale | f:r1 g:r1 |           | own
       12100 | 0 | stale | f:r1 g:r1 | g:s2      | own g:s2
        ",
    );
}

#[test]
fn an_agent_that_changes_its_parent_stays_listed_while_the_directory_is_disconnected() {
    run_timeline(
        "
           0 | 0 | fresh | f:r1 | f:r1 | f:r1
        5000 | 0 | stale | f:r1 | f:r1 | own f:r1
        6900 | 0 | stale | f:r1 |      | own f:r1
        6950 | 0 | stale | f:r1 | f:r1 | own f:r1
        8900 | 0 | stale | f:r1 |      | own f:r1
        ",
    );
}

#[test]
fn a_proxy_that_two_monitors_suspect_is_not_listed_by_a_disconnected_directory() {
    run_timeline(
        "
           0 | 0 | fresh | f:r1 g:r1 | f:r1 g:r1          | f:r1 g:r1
        1500 | 0 | stale | f:r1 g:r1 | f:r1 g:r1 !f:h     | f:r1 g:r1
        1600 | 0 | stale | f:r1 g:r1 | f:r1 g:r1 !f:h,i   | g:r1
        5000 | 0 | stale | f:r1 g:r1 | f:r1 g:r1 !f:h,i   | own g:r1
        5100 | 0 | stale | f:r1 g:r1 | f:r1 g:r1 !f:h     | own f:r1 g:r1
        ",
    );
}

#[test]
fn a_proxy_that_drains_is_listed_as_draining_at_once_connected_or_not() {
    run_timeline(
        "
           0 | 0 | fresh | f:r1 g:r1 | f:r1 g:r1 | f:r1 g:r1
         100 |100| fresh | f:l1 g:r1 | f:l1 g:r1 | f:l1 g:r1
        1500 |100| stale | f:l1 g:r1 | f:l1 g:l1 | f:l1 g:l1
        5000 |100| stale | f:l1 g:r1 | f:l1 g:l1 | own f:l1 g:l1
        ",
    );
}

#[test]
fn a_directory_settles_three_seconds_after_its_start_and_after_each_election() {
    let mut builder = DirectoryBuilder::default();
    let mut coverage = |now, epoch| {
        let inputs =
            BuilderInputs { now, advanced_at: now, fresh: true, epoch, published: "f:r1", reported: "" };
        directory(&mut builder, &inputs).coverage
    };
    assert_eq!(coverage(0, 1), Coverage::Settling);
    assert_eq!(coverage(2999, 1), Coverage::Settling);
    assert_eq!(coverage(3000, 1), Coverage::All);
    assert_eq!(coverage(9000, 2), Coverage::Settling);
    assert_eq!(coverage(11_999, 2), Coverage::Settling);
    assert_eq!(coverage(12_000, 2), Coverage::All);
}

#[test]
fn time_alone_changes_the_directory_only_while_it_is_settling_or_not_fresh() {
    let mut builder = DirectoryBuilder::default();
    let mut depends_on_time_after = |now, advanced_at, fresh| {
        directory(
            &mut builder,
            &BuilderInputs { now, advanced_at, fresh, epoch: 1, published: "f:r1", reported: "" },
        );
        [true, false].map(|fresh| builder.depends_on_time(fresh))
    };
    assert_eq!(depends_on_time_after(0, 0, true), [true, true], "an election has just taken place");
    assert_eq!(depends_on_time_after(3000, 3000, true), [false, true]);
    assert_eq!(depends_on_time_after(4100, 3000, false), [true, true], "the published state is not fresh");
}
