//! The drain of an agent, tested with timelines. The columns of a timeline are: the time in milliseconds, the event,
//! whether a proxy is connected, and the expected actions. The agent would be killed 8 s after SIGTERM.

use quillpulley::agent::drain::{Action, AgentDrain};
use std::time::Duration;

fn action_text(action: &Action) -> &'static str {
    match action {
        Action::StopListening => "stop listening",
        Action::CloseChildAgents => "close agents",
        Action::Exit => "exit",
    }
}

fn run_timeline(timeline: &str) {
    let mut drain = AgentDrain::new(Duration::from_secs(8));
    for line in timeline.lines().map(str::trim).filter(|line| !line.is_empty()) {
        let [time, event_name, proxy, expected] = line.split('|').map(str::trim).collect::<Vec<_>>()[..]
        else {
            panic!("a line must have four columns: {line}");
        };
        let now = Duration::from_millis(time.parse().expect("milliseconds"));
        let mut actions = Vec::new();
        if event_name == "stop" {
            drain.begin(now, &mut actions);
        }
        drain.update(now, proxy == "proxy", &mut actions);
        assert_eq!(actions.iter().map(action_text).collect::<Vec<_>>().join(", "), expected, "{line}");
    }
}

#[test]
fn an_agent_keeps_serving_until_it_is_signalled_to_shut_down() {
    run_timeline(
        "
               0 |  |       |
             500 |  | proxy |
           10000 |  |       |
           99000 |  |       |
        ",
    );
}

#[test]
fn a_draining_agent_without_a_proxy_exits_soon() {
    run_timeline(
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
fn a_draining_agent_exits_soon_after_its_proxy_has_disconnected() {
    run_timeline(
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
fn a_draining_agent_exits_one_second_before_the_kill_if_its_proxy_stays_connected() {
    run_timeline(
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
fn next_tick_is_when_the_next_state_transition_is_due() {
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
