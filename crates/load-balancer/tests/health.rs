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
struct Player {
    balancer: Balancer,
    server: ServerKey,
    others: Vec<ServerKey>,
    now: Duration,
}

impl Player {
    fn new() -> Self {
        let mut balancer = lone_balancer();
        let mut put = |id| balancer.put_server(START, &plain(id, "a1")).expect("the address is valid");
        let (server, others) = (put("one"), vec![put("two"), put("three")]);
        Player { balancer, server, others, now: START }
    }

    fn check(&mut self, tried: &str, expected: &str) {
        let done: String = tried.chars().map(|event| self.step(event)).collect();
        assert_eq!(done, expected, "for {tried}");
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

/// Creates a player after a request with the highest priority, so that the requests of the timelines are not
/// urgent.
fn player() -> Player {
    let mut player = Player::new();
    player.balancer.choose(START, &demand(PLAIN), &[]);
    player
}

#[test]
fn a_connection_that_fails_ejects_for_half_a_second() {
    player().check(
        "SFSSSSSS", //
        "ssxxxxss",
    );
}

#[test]
fn other_failures_eject_from_the_second_in_a_row() {
    player().check(
        "eSeSeeSSSSSS", //
        "ssssssxxxxss",
    );
}

#[test]
fn ejections_get_longer_until_a_trial_succeeds() {
    player().check(
        "FSSSSFSSSSSSSSSFSSSSSSSSSSSSSSSSSSSFSS", //
        "sxxxxsxxxxxxxxxsxxxxxxxxxxxxxxxxxxxsxx",
    );
}

#[test]
fn after_a_successful_probe_the_server_is_healthy() {
    player().check(
        "FSSSSSFSSSSS", //
        "sxxxxssxxxxs",
    );
}

#[test]
fn a_probe_whose_client_disconnects_is_followed_by_another() {
    player().check(
        "F....LLS", //
        "s....sss",
    );
}

#[test]
fn there_is_one_trial_at_a_time() {
    let mut player = player();
    player.check("F....", "s....");
    let demand = Demand { priority: 1, ..demand(PLAIN) };
    let now = player.now + ms(100);
    let Choice::Send(key) = player.balancer.choose(now, &demand, &player.others) else {
        panic!("no probe was sent")
    };
    let trial = player.balancer.begin(now, key, &demand);
    assert!(matches!(player.balancer.choose(now, &demand, &player.others), Choice::Full { .. }));
    player.balancer.end(now, trial, Outcome::Completed);
    assert_eq!(player.balancer.choose(now, &demand, &player.others), Choice::Send(player.server));
}

#[test]
fn an_urgent_request_is_a_trial_only_a_while_later() {
    let mut player = player();
    player.check("F....", "s....");
    let urgent = demand(PLAIN);
    assert!(matches!(player.balancer.choose(player.now, &urgent, &player.others), Choice::Full { .. }));
    let later = player.now + ms(400);
    assert_eq!(player.balancer.choose(later, &urgent, &player.others), Choice::Send(player.server));
}

#[test]
fn a_check_comes_before_a_trial() {
    let mut player = player();
    player.check("F..", "s..");
    assert_eq!(player.balancer.due_health_checks(player.now), []);
    player.check("..", "..");
    assert_eq!(player.balancer.due_health_checks(player.now), [player.server]);
    assert_eq!(player.balancer.due_health_checks(player.now), [], "one check at a time");
    player.check("SSS", "xxx");
    player.balancer.record_health_check(player.now, player.server, HealthCheckResult::Failed);
    player.check("SSSSSSSSSS", "xxxxxxxxxs");
    player.check("F.....", "s.....");
    assert_eq!(player.balancer.due_health_checks(player.now), [player.server]);
    player.balancer.record_health_check(
        player.now,
        player.server,
        HealthCheckResult::Passed { warmup_remaining: None },
    );
    player.check("SS", "ss");
}

#[test]
fn where_most_servers_fail_they_are_used_all_the_same() {
    let mut player = player();
    for key in [player.others[0], player.server] {
        let ticket = player.balancer.begin(START, key, &demand(PLAIN));
        player.balancer.end(START, ticket, Outcome::Failed(FailureKind::Connect));
    }
    let well = player.others[1];
    assert_eq!(player.balancer.choose(START, &demand(PLAIN), &[]), Choice::Send(well));
    assert!(matches!(player.balancer.choose(START, &demand(PLAIN), &[well]), Choice::Send(_)));
}

#[test]
fn an_unresponsive_server_gets_nothing_while_others_are_available() {
    let mut player = player();
    let silent = player.balancer.begin(START, player.server, &demand(PLAIN));
    let choices = |balancer: &mut Balancer, now| {
        let all = (0..30).map(|_| balancer.choose(now, &demand(PLAIN), &[]));
        all.collect::<Vec<Choice>>()
    };
    let later = START + ms(2_000);
    assert!(!player.balancer.is_unresponsive(START + ms(100), player.server));
    assert!(player.balancer.is_unresponsive(later, player.server));
    assert!(!choices(&mut player.balancer, later).contains(&Choice::Send(player.server)));
    assert_eq!(player.balancer.choose(later, &demand(PLAIN), &player.others), Choice::Send(player.server));
    player.balancer.record_started(later, &silent);
    player.balancer.end(later, silent, Outcome::Completed);
    assert!(choices(&mut player.balancer, later).contains(&Choice::Send(player.server)));
}

#[test]
fn an_unresponsive_server_is_reported_to_others() {
    let mut player = player();
    let _silent = player.balancer.begin(START, player.server, &demand(PLAIN));
    let failures = |balancer: &mut Balancer, now| -> Vec<u32> {
        balancer.own_loads(now).iter().map(|load| load.failures).collect()
    };
    assert_eq!(failures(&mut player.balancer, START + ms(100)), [0]);
    assert_eq!(failures(&mut player.balancer, START + ms(2_000)), [1]);
}

#[test]
fn a_server_that_fails_part_of_its_requests_is_avoided() {
    let mut player = player();
    for step in 0..40 {
        let now = START + ms(50 * step);
        for key in [player.server, player.others[0], player.others[1]] {
            let fails = key == player.server && step % 3 == 0;
            let outcome = if fails { Outcome::Failed(FailureKind::Truncated) } else { Outcome::Completed };
            let ticket = player.balancer.begin(now, key, &demand(PLAIN));
            player.balancer.end(now, ticket, outcome);
        }
    }
    let now = START + ms(2_000);
    let chosen =
        (0..50).filter(|_| player.balancer.choose(now, &demand(PLAIN), &[]) == Choice::Send(player.server));
    assert_eq!(chosen.count(), 0);
}

#[test]
fn failures_that_others_saw_count_too() {
    let mut player = player();
    let hash = quillpulley_load_balancer::server_hash("one");
    let load = ServerLoad { server: hash, running: 0, waiting: 0, prompt_tokens: 0, failures: 6 };
    player.balancer.set_totals(START, &[load]);
    let chosen =
        (0..50).filter(|_| player.balancer.choose(START, &demand(PLAIN), &[]) == Choice::Send(player.server));
    assert_eq!(chosen.count(), 0);
}

#[test]
fn a_server_that_is_slow_is_avoided_until_it_is_forgotten() {
    let mut player = player();
    for step in 0..20 {
        let now = START + ms(500 * step);
        for key in [player.server, player.others[0], player.others[1]] {
            let time = if key == player.server { ms(240) } else { ms(30) };
            let ticket = player.balancer.begin(now, key, &demand(PLAIN));
            player.balancer.record_started(now + time, &ticket);
            player.balancer.end(now + time, ticket, Outcome::Completed);
        }
    }
    let count = |player: &mut Player, now| {
        let chosen =
            |_: &i32| player.balancer.choose(now, &demand(PLAIN), &[]) == Choice::Send(player.server);
        (0..50).filter(chosen).count()
    };
    assert_eq!(count(&mut player, START + ms(11_000)), 0);
    assert!(count(&mut player, START + ms(60_000)) > 0);
}
