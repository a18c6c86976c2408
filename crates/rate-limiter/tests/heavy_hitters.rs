//! Hundreds of limiters that share a tenant: most of its requests arrive at one that does not know it.
mod common;
use common::*;
use rate_limiter::*;
use std::collections::BTreeMap;

const LIMITERS: usize = 300;
const STEP: f64 = 0.05;

/// Limiters around one counter that answers a step later, so that their calls cross.
struct Fleet {
    hosts: Vec<Host>,
    numbers: BTreeMap<String, f64>,
    rng: fastrand::Rng,
    now: f64,
    /// Calls of all limiters, and the step in which most of them came.
    calls: usize,
    busiest: usize,
}

impl Fleet {
    fn new() -> Self {
        let hosts = (0..LIMITERS).map(|n| {
            let mut set = Settings { limiter_index: n as u32, limiter_count: LIMITERS as u32, ..settings() };
            set.plans.iter_mut().for_each(|plan| plan.excess_cost = 0.5);
            let mut host = Host::seeded(set, n as u64);
            host.tenant_limiters = LIMITERS as u32;
            host
        });
        let hosts: Vec<Host> = hosts.collect();
        let now = hosts[0].now;
        Fleet { hosts, numbers: BTreeMap::new(), rng: fastrand::Rng::with_seed(3), now, calls: 0, busiest: 0 }
    }

    fn step(&mut self) {
        self.now += STEP;
        let before = self.calls;
        for host in &mut self.hosts {
            host.now = self.now;
            for (name, add) in std::mem::take(&mut host.calls) {
                let total = self.numbers.entry(name.clone()).or_default();
                *total += add;
                let total = *total;
                host.event(Event::CounterResponse(CounterResponse {
                    name,
                    outcome: Outcome::Completed,
                    total,
                    elapsed: 0.001,
                }));
                self.calls += 1;
            }
            host.event(Event::Timer { token: 0 });
        }
        self.busiest = self.busiest.max(self.calls - before);
    }

    /// Units of so many requests of one unit that some limiters, chosen by chance, send on.
    fn asked(&mut self, customer: &str, requests: u32) -> u32 {
        (0..requests)
            .filter(|_| self.hosts[self.rng.usize(..LIMITERS)].served(customer, "plain", 1.0))
            .count() as u32
    }
}

#[test]
fn a_tenant_far_beyond_its_quota_is_limited_by_limiters_that_meet_it_for_the_first_time() {
    let mut fleet = Fleet::new();
    let (mut hot, mut modest, mut asked) = (0, 0, 0);
    let steps = |seconds: f64| (seconds / STEP) as u32;
    for n in 0..steps(8.0) {
        fleet.step();
        // 60 units a second of a quota of 10, and 5 of another.
        let sent = fleet.asked("hot", 3);
        hot += if n >= steps(4.0) { sent } else { 0 };
        if n % 4 == 0 {
            modest += fleet.asked("modest", 1);
            asked += 1;
        }
    }
    // 40 units in these 4 s, and as much again for what the limiters that know it let in.
    assert!(hot <= 80, "{hot} units in 4 s");
    assert!(hot >= 12, "{hot} units in 4 s: it keeps its quota");
    assert!(modest + 2 >= asked, "{modest} of {asked}: who keeps within its quota is held to nothing");
}

#[test]
fn a_list_is_read_once_by_each_limiter_and_then_looked_at_now_and_then() {
    let mut fleet = Fleet::new();
    for n in 0..200 {
        fleet.step();
        fleet.asked("hot", if n < 40 { 3 } else { 0 });
    }
    let (reads, before) = (fleet.calls, fleet.busiest);
    fleet.busiest = 0;
    for _ in 0..100 {
        fleet.step();
    }
    // Nobody asks any more: each looks at the end once in half a second at most, one after the other.
    let looks = fleet.calls - reads;
    assert!(looks <= LIMITERS * 10, "{looks} looks in 5 s");
    assert!(fleet.busiest < LIMITERS / 2 && before < LIMITERS, "{} and {before} at once", fleet.busiest);
    let listed = fleet.numbers.iter().filter(|(name, total)| name.starts_with("heavy.") && **total != 0.0);
    assert!((1..=12).contains(&listed.count()), "{:?}", fleet.numbers.keys());
}

#[test]
fn an_unreadable_entry_hides_no_other_and_blocks_nobody() {
    let mut fleet = Fleet::new();
    // What is left where two wrote at once and the call that took one back was lost.
    let (first, second) = ("heavy.5.0".to_string(), "heavy.5.1".to_string());
    fleet.numbers.insert(first.clone(), 5_000_007.5);
    fleet.numbers.insert(second, 9_999_999.0);
    let (mut hot, mut modest, mut asked) = (0, 0, 0);
    for n in 0..200 {
        fleet.step();
        let sent = fleet.asked("hot", 3);
        hot += if n >= 120 { sent } else { 0 };
        if n % 4 == 0 {
            modest += fleet.asked("modest", 1);
            asked += 1;
        }
    }
    assert!((12..=80).contains(&hot), "{hot} units in 4 s");
    assert!(modest + 2 >= asked, "{modest} of {asked}");
    assert_eq!(fleet.numbers[&first], 5_000_007.5, "nobody writes over it");
}

#[test]
fn while_the_counter_is_down_its_old_totals_limit_nobody() {
    let mut fleet = Fleet::new();
    for _ in 0..100 {
        fleet.step();
        fleet.asked("hot", 3);
    }
    // No call is answered any more, and the customer asks for little.
    let (mut served, mut asked) = (0, 0);
    for n in 0..800 {
        fleet.now += STEP;
        for host in &mut fleet.hosts {
            host.now = fleet.now;
            for (name, _) in std::mem::take(&mut host.calls) {
                host.event(Event::CounterResponse(CounterResponse {
                    name,
                    outcome: Outcome::Timeout,
                    total: 0.0,
                    elapsed: 0.05,
                }));
            }
            host.event(Event::Timer { token: 0 });
        }
        if n >= 600 && n % 10 == 0 {
            served += fleet.asked("hot", 1);
            asked += 1;
        }
    }
    assert!(served * 10 >= asked * 9, "{served} of {asked}");
}
