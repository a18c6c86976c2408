//! How the balancer treats failing servers.
//!
//! A timeline has one column for each 100 ms. The first line gives the outcome that the request of this step
//! has if it is sent, and the second line whether the balancer sends it.
//!
//! | first line | request |
//! | --- | --- |
//! | `S` | succeeds |
//! | `F` | fails to connect |
//! | `e` | fails with a server error |
//! | `b` | fails with a truncated response |
//! | `L` | is cancelled by its client |
//! | `.` | there is no request |
//!
//! | second line | balancer |
//! | --- | --- |
//! | `s` | sends the request |
//! | `x` | does not send the request |
//! | `.` | there is no request |

mod common;

use common::*;
use quillpulley_load_balancer::{
    Balancer, Choice, Demand, FailureKind, HealthCheckResult, Outcome, ServerKey,
};
use quillpulley_protocol::ServerLoad;
use std::time::Duration;

const START: Duration = Duration::from_secs(60);

/// Runs a timeline against the first of three servers. The others are excluded, so that no request can be
/// sent to them.
struct TimelineRunner {
    balancer: Balancer,
    server: ServerKey,
    others: Vec<ServerKey>,
    now: Duration,
}

impl TimelineRunner {
    fn new() -> Self {
        let mut balancer = lone_balancer();
        let mut put = |id| balancer.put_server(START, &plain(id, "a1")).expect("the address is valid");
        let (server, others) = (put("one"), vec![put("two"), put("three")]);
        TimelineRunner { balancer, server, others, now: START }
    }

    fn run(&mut self, outcomes: &str, expected: &str) {
        let actual: String = outcomes.chars().map(|event| self.step(event)).collect();
        assert_eq!(actual, expected, "for {outcomes}");
    }

    fn step(&mut self, event: char) -> char {
        self.now += ms(100);
        let outcome = match event {
            'F' => Outcome::Failed(FailureKind::Connect),
            'e' => Outcome::Failed(FailureKind::ServerError),
            'b' => Outcome::Failed(FailureKind::Truncated),
            'S' => Outcome::Completed,
            'L' => Outcome::ClientClosed,
            _ => return event,
        };
        let demand = Demand { priority: 1, ..demand(PLAIN) };
        match self.balancer.choose(self.now, &demand, &self.others) {
            Choice::Send(key) => {
                let ticket = self.balancer.begin(self.now, key, &demand);
                self.balancer.end(self.now, ticket, outcome);
                's'
            }
            Choice::Full { .. } | Choice::NoServer => 'x',
        }
    }
}

/// Creates a runner after a request with the highest priority, so that the requests of the timelines are not
/// urgent.
fn runner() -> TimelineRunner {
    let mut runner = TimelineRunner::new();
    runner.balancer.choose(START, &demand(PLAIN), &[]);
    runner
}

#[test]
fn a_failed_connection_ejects_the_server_for_half_a_second() {
    runner().run(
        "SFSSSSSS", //
        "ssxxxxss",
    );
}

#[test]
fn other_failures_eject_the_server_at_the_second_in_a_row() {
    runner().run(
        "eSeSeeSSSSSS", //
        "ssssssxxxxss",
    );
}

#[test]
fn ejections_get_longer_while_probes_fail() {
    runner().run(
        "FSSSSFSSSSSSSSSFSSSSSSSSSSSSSSSSSSSFSS", //
        "sxxxxsxxxxxxxxxsxxxxxxxxxxxxxxxxxxxsxx",
    );
}

#[test]
fn after_a_successful_probe_the_server_is_healthy() {
    runner().run(
        "FSSSSSFSSSSS", //
        "sxxxxssxxxxs",
    );
}

#[test]
fn a_probe_whose_client_disconnects_is_followed_by_another() {
    runner().run(
        "F....LLS", //
        "s....sss",
    );
}

#[test]
fn there_is_one_probe_at_a_time() {
    let mut runner = runner();
    runner.run("F....", "s....");
    let demand = Demand { priority: 1, ..demand(PLAIN) };
    let now = runner.now + ms(100);
    let Choice::Send(key) = runner.balancer.choose(now, &demand, &runner.others) else {
        panic!("no probe was sent")
    };
    let probe = runner.balancer.begin(now, key, &demand);
    assert!(matches!(runner.balancer.choose(now, &demand, &runner.others), Choice::Full { .. }));
    runner.balancer.end(now, probe, Outcome::Completed);
    assert_eq!(runner.balancer.choose(now, &demand, &runner.others), Choice::Send(runner.server));
}

#[test]
fn an_urgent_request_becomes_a_probe_only_after_a_delay() {
    let mut runner = runner();
    runner.run("F....", "s....");
    let urgent = demand(PLAIN);
    assert!(matches!(runner.balancer.choose(runner.now, &urgent, &runner.others), Choice::Full { .. }));
    let later = runner.now + ms(400);
    assert_eq!(runner.balancer.choose(later, &urgent, &runner.others), Choice::Send(runner.server));
}

#[test]
fn a_health_check_is_made_before_a_probe() {
    let mut runner = runner();
    runner.run("F..", "s..");
    assert_eq!(runner.balancer.due_health_checks(runner.now), []);
    runner.run("..", "..");
    assert_eq!(runner.balancer.due_health_checks(runner.now), [runner.server]);
    assert_eq!(runner.balancer.due_health_checks(runner.now), [], "one check at a time");
    runner.run("SSS", "xxx");
    runner.balancer.record_health_check(runner.now, runner.server, runner.now, HealthCheckResult::Failed);
    runner.run("SSSSSSSSSS", "xxxxxxxxxs");
    runner.run("F.....", "s.....");
    assert_eq!(runner.balancer.due_health_checks(runner.now), [runner.server]);
    runner.balancer.record_health_check(
        runner.now,
        runner.server,
        runner.now,
        HealthCheckResult::Passed { warmup_remaining: None },
    );
    runner.run("SS", "ss");
}

#[test]
fn failing_servers_are_used_if_most_servers_fail() {
    let mut runner = runner();
    for key in [runner.others[0], runner.server] {
        let ticket = runner.balancer.begin(START, key, &demand(PLAIN));
        runner.balancer.end(START, ticket, Outcome::Failed(FailureKind::Connect));
    }
    let healthy = runner.others[1];
    assert_eq!(runner.balancer.choose(START, &demand(PLAIN), &[]), Choice::Send(healthy));
    assert!(matches!(runner.balancer.choose(START, &demand(PLAIN), &[healthy]), Choice::Send(_)));
}

#[test]
fn an_unresponsive_server_gets_no_requests_while_others_are_available() {
    let mut runner = runner();
    let unanswered = runner.balancer.begin(START, runner.server, &demand(PLAIN));
    let choices = |balancer: &mut Balancer, now| {
        let all = (0..30).map(|_| balancer.choose(now, &demand(PLAIN), &[]));
        all.collect::<Vec<Choice>>()
    };
    let later = START + ms(2_000);
    assert!(!runner.balancer.is_unresponsive(START + ms(100), runner.server));
    assert!(runner.balancer.is_unresponsive(later, runner.server));
    assert!(!choices(&mut runner.balancer, later).contains(&Choice::Send(runner.server)));
    assert_eq!(runner.balancer.choose(later, &demand(PLAIN), &runner.others), Choice::Send(runner.server));
    runner.balancer.record_started(later, &unanswered);
    runner.balancer.end(later, unanswered, Outcome::Completed);
    assert!(choices(&mut runner.balancer, later).contains(&Choice::Send(runner.server)));
}

#[test]
fn an_unresponsive_server_is_reported_to_other_proxies() {
    let mut runner = runner();
    let _unanswered = runner.balancer.begin(START, runner.server, &demand(PLAIN));
    let failures = |balancer: &mut Balancer, now| -> Vec<u32> {
        balancer.own_loads(now).iter().map(|load| load.failures).collect()
    };
    assert_eq!(failures(&mut runner.balancer, START + ms(100)), [0]);
    assert_eq!(failures(&mut runner.balancer, START + ms(2_000)), [1]);
}

#[test]
fn a_server_that_fails_some_of_its_requests_is_avoided() {
    let mut runner = runner();
    for step in 0..40 {
        let now = START + ms(50 * step);
        for key in [runner.server, runner.others[0], runner.others[1]] {
            let fails = key == runner.server && step % 3 == 0;
            let outcome = if fails { Outcome::Failed(FailureKind::Truncated) } else { Outcome::Completed };
            let ticket = runner.balancer.begin(now, key, &demand(PLAIN));
            runner.balancer.end(now, ticket, outcome);
        }
    }
    let now = START + ms(2_000);
    let chosen =
        (0..50).filter(|_| runner.balancer.choose(now, &demand(PLAIN), &[]) == Choice::Send(runner.server));
    assert_eq!(chosen.count(), 0);
}

#[test]
fn failures_reported_by_other_proxies_count() {
    let mut runner = runner();
    let hash = quillpulley_load_balancer::server_hash("one");
    let load = ServerLoad { server: hash, running: 0, waiting: 0, prompt_tokens: 0, failures: 6 };
    runner.balancer.set_totals(START, &[load]);
    let chosen =
        (0..50).filter(|_| runner.balancer.choose(START, &demand(PLAIN), &[]) == Choice::Send(runner.server));
    assert_eq!(chosen.count(), 0);
}

#[test]
fn a_slow_server_is_avoided_until_its_slowness_has_decayed() {
    let mut runner = runner();
    for step in 0..20 {
        let now = START + ms(500 * step);
        for key in [runner.server, runner.others[0], runner.others[1]] {
            let time = if key == runner.server { ms(240) } else { ms(30) };
            let ticket = runner.balancer.begin(now, key, &demand(PLAIN));
            runner.balancer.record_started(now + time, &ticket);
            runner.balancer.end(now + time, ticket, Outcome::Completed);
        }
    }
    let count = |runner: &mut TimelineRunner, now| {
        let chosen =
            |_: &i32| runner.balancer.choose(now, &demand(PLAIN), &[]) == Choice::Send(runner.server);
        (0..50).filter(chosen).count()
    };
    assert_eq!(count(&mut runner, START + ms(11_000)), 0);
    assert!(count(&mut runner, START + ms(60_000)) > 0);
}
