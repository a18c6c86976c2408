//! Tests of `Lifecycle`: which state a proxy publishes and when it is ready.

use quillpulley::proxy::shutdown::lifecycle::{startup_retry_after, Event, Lifecycle};
use quillpulley_protocol::EndpointState;
use std::time::Duration;

/// The columns are events, each after its time, the time at which the state is read, and the expected state.
/// Times are in milliseconds since the start of the process.
const TIMELINES: &str = "
                                 |    0 | starting
    100 configuration            |  100 | starting
    100 configuration 200 fresh  |  200 | ready
    100 fresh 200 configuration  |  200 | ready
    100 configuration            | 2599 | starting
    100 configuration            | 2600 | ready
    100 fresh                    | 9000 | starting
    100 fresh 200 configuration 300 drain | 300 | draining
    100 drain 200 configuration 300 fresh | 9000 | draining
    100 fresh 200 configuration 300 configuration | 9000 | ready
";

#[test]
fn timelines_have_the_expected_state() {
    for line in TIMELINES.lines().filter(|line| !line.trim().is_empty()) {
        let columns: Vec<&str> = line.split('|').map(str::trim).collect();
        let mut lifecycle = Lifecycle::default();
        let words: Vec<&str> = columns[0].split_whitespace().collect();
        for pair in words.chunks(2) {
            lifecycle.handle(milliseconds(pair[0]), event(pair[1]));
        }
        let state = lifecycle.endpoint_state(milliseconds(columns[1]));
        assert_eq!(state_name(state), columns[2], "{line}");
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
        "drain" => Event::Drain,
        _ => panic!("unknown event: {word}"),
    }
}

fn state_name(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Starting => "starting",
        EndpointState::Ready => "ready",
        EndpointState::Draining => "draining",
    }
}

#[test]
fn the_startup_retry_after_ends_with_the_startup_and_has_a_minimum() {
    let after_ms = |age_ms| startup_retry_after(Duration::from_millis(age_ms)).as_millis();
    assert_eq!([0, 300, 600, 1_600, 10_000].map(after_ms), [1_600, 1_300, 1_000, 1_000, 1_000]);
}

/// All events. Every action of the control plane or of an operator, including restarts of the agent, of its
/// parents and of all control nodes, reaches the lifecycle as one of them.
const EVENTS: [Event; 3] = [Event::ConfigurationKnown, Event::Fresh, Event::Drain];

quickcheck::quickcheck! {
    fn a_ready_proxy_stays_ready_until_it_drains(steps: Vec<(u8, u16)>) -> bool {
        let mut lifecycle = Lifecycle::default();
        let (mut now, mut was_ready) = (Duration::ZERO, false);
        for (event, pause_ms) in steps {
            now += Duration::from_millis(pause_ms.into());
            was_ready |= lifecycle.is_ready(now);
            let event = EVENTS[usize::from(event) % EVENTS.len()];
            lifecycle.handle(now, event);
            if lifecycle.is_draining() {
                return !lifecycle.is_ready(now) && event == Event::Drain;
            }
            if was_ready && !lifecycle.is_ready(now) {
                return false;
            }
        }
        true
    }

    fn a_proxy_with_a_configuration_is_ready_after_two_and_a_half_seconds(steps: Vec<(bool, u16)>) -> bool {
        let mut lifecycle = Lifecycle::default();
        let (mut now, mut known_since) = (Duration::ZERO, None);
        for (is_fresh, pause_ms) in steps {
            now += Duration::from_millis(pause_ms.into());
            let event = if is_fresh { Event::Fresh } else { Event::ConfigurationKnown };
            lifecycle.handle(now, event);
            if !is_fresh {
                known_since.get_or_insert(now);
            }
            let has_waited = known_since.is_some_and(|since| now >= since + Duration::from_millis(2_500));
            if has_waited && !lifecycle.is_ready(now) {
                return false;
            }
        }
        true
    }
}
