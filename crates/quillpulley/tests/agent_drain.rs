//! The drain of an agent, tested with timelines. The columns of a timeline are: the time in milliseconds, the event,
//! whether a proxy is connected, and the expected actions. The agent would be killed 8 s after SIGTERM.

use quillpulley::agent::drain::{Action, AgentDrain};
use std::time::Duration;

fn shown(action: &Action) -> &'static str {
    match action {
        Action::StopListening => "stop listening",
        Action::CloseChildAgents => "close agents",
        Action::Exit => "exit",
    }
}

fn play(timeline: &str) {
    let mut drain = AgentDrain::new(Duration::from_secs(8));
    for line in timeline.lines().map(str::trim).filter(|line| !line.is_empty()) {
        let [time, happens, proxy, expected] = line.split('|').map(str::trim).collect::<Vec<_>>()[..] else {
            panic!("a line must have four columns: {line}");
        };
        let now = Duration::from_millis(time.parse().expect("milliseconds"));
        let mut actions = Vec::new();
        if happens == "stop" {
            drain.begin(now, &mut actions);
        }
        drain.update(now, proxy == "proxy", &mut actions);
        assert_eq!(actions.iter().map(shown).collect::<Vec<_>>().join(", "), expected, "{line}");
    }
}

#[test]
fn an_agent_that_is_not_signalled_to_shut_down_serves_on() {
    play(
        "
               0 |  |       |
             500 |  | proxy |
           10000 |  |       |
           99000 |  |       |
        ",
    );
}

#[test]
fn without_a_proxy_it_ends_soon() {
    play(
        "
               0 |      |  |
            5000 | stop |  | stop listening
            5199 |      |  |
            5200 |      |  | close agents
            5299 |      |  |
            5300 |      |  | exit
            5400 |      |  |
        ",
    );
}

#[test]
fn it_relays_until_its_proxy_has_ended() {
    play(
        "
               0 |      | proxy |
            5000 | stop | proxy | stop listening
            5200 |      | proxy | close agents
            9000 |      | proxy |
            9100 |      |       |
            9399 |      |       |
            9400 |      |       | exit
        ",
    );
}

#[test]
fn an_agent_exits_a_second_before_the_end_while_its_proxy_stays() {
    play(
        "
               0 |      | proxy |
            5000 | stop | proxy | stop listening
            5200 | stop | proxy | close agents
           11999 |      | proxy |
           12000 |      | proxy | exit
        ",
    );
}

#[test]
fn its_next_tick_is_when_something_is_due() {
    let mut drain = AgentDrain::new(Duration::from_secs(8));
    assert_eq!(drain.next_tick(), Duration::MAX);
    let mut actions = Vec::new();
    drain.update(Duration::ZERO, true, &mut actions);
    drain.begin(Duration::from_secs(1), &mut actions);
    assert!(drain.rejects_children());
    assert_eq!(drain.next_tick(), Duration::from_millis(1_200));
    drain.update(drain.next_tick(), true, &mut actions);
    assert_eq!(drain.next_tick(), Duration::from_secs(8));
    drain.update(drain.next_tick(), true, &mut actions);
    assert!(drain.is_finished());
    assert_eq!(drain.next_tick(), Duration::MAX);
}
