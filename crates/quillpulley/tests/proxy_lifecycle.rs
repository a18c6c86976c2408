//! When a proxy accepts clients, as timelines.

use quillpulley::proxy::shutdown::lifecycle::{retry_after_start, Event, Lifecycle};
use quillpulley_protocol::EndpointState;
use std::time::Duration;

/// Each line: what happens at which millisecond, the millisecond at which it is looked at, and the state.
const TIMELINES: &str = "
                                 |    0 | starting
    100 configuration            |  100 | starting
    100 configuration 200 fresh  |  200 | ready
    100 fresh 200 configuration  |  200 | ready
    100 configuration            | 2599 | starting
    100 configuration            | 2600 | ready
    100 fresh                    | 9000 | starting
    100 fresh 200 configuration 300 stop | 300 | leaving
    100 stop 200 configuration 300 fresh | 9000 | leaving
    100 fresh 200 configuration 300 configuration | 9000 | ready
";

#[test]
fn timelines_end_as_they_should() {
    for line in TIMELINES.lines().filter(|line| !line.trim().is_empty()) {
        let columns: Vec<&str> = line.split('|').map(str::trim).collect();
        let mut lifecycle = Lifecycle::default();
        let words: Vec<&str> = columns[0].split_whitespace().collect();
        for pair in words.chunks(2) {
            lifecycle.handle(milliseconds(pair[0]), event(pair[1]));
        }
        let state = lifecycle.endpoint_state(milliseconds(columns[1]));
        assert_eq!(name(state), columns[2], "{line}");
        assert_eq!(lifecycle.is_ready(milliseconds(columns[1])), state == EndpointState::Ready, "{line}");
        assert_eq!(lifecycle.is_draining(), state == EndpointState::Draining, "{line}");
    }
}

fn milliseconds(text: &str) -> Duration {
    Duration::from_millis(text.parse().expect("a number"))
}

fn event(word: &str) -> Event {
    match word {
        "configuration" => Event::ConfigurationKnown,
        "fresh" => Event::Fresh,
        "stop" => Event::Drain,
        _ => panic!("no event: {word}"),
    }
}

fn name(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Starting => "starting",
        EndpointState::Ready => "ready",
        EndpointState::Draining => "leaving",
    }
}

#[test]
fn who_is_rejected_at_the_start_comes_back_when_the_start_is_over_and_never_too_soon() {
    let after_ms = |age_ms| retry_after_start(Duration::from_millis(age_ms)).as_millis();
    assert_eq!([0, 300, 600, 1_600, 10_000].map(after_ms), [1_600, 1_300, 1_000, 1_000, 1_000]);
}
