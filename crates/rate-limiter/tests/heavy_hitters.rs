//! Hundreds of limiters that receive requests of the same tenant: most requests arrive at a limiter that has
//! no totals for the tenant.
mod common;
use common::*;
use rate_limiter::*;
use std::collections::BTreeMap;

const LIMITERS: usize = 300;
/// The virtual time between two steps, in seconds.
const STEP: f64 = 0.05;

/// Limiters that share one counter. The counter responds one step later, so that calls of different limiters
/// overlap.
struct Fleet {
    hosts: Vec<Host>,
    numbers: BTreeMap<String, f64>,
    rng: fastrand::Rng,
    now: f64,
    /// The number of counter calls of all limiters.
    calls: usize,
    /// The maximum number of counter calls in one step.
    busiest: usize,
}

impl Fleet {
    fn new() -> Self {
        let hosts = (0..LIMITERS).map(|n| {
            let mut set = Settings { limiter_index: n as u32, limiter_count: LIMITERS as u32, ..settings() };
            set.plans.iter_mut().for_each(|plan| plan.excess_cost = 0.5);
            let mut host = Host::with_seed(set, n as u64);
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
            for (name, add) in std::mem::take(&mut host.pending_calls) {
                let total = self.numbers.entry(name.clone()).or_default();
                *total += add;
                let total = *total;
                host.handle(Event::CounterResponse(CounterResponse {
                    name,
                    outcome: Outcome::Completed,
                    total,
                    elapsed: 0.001,
                }));
                self.calls += 1;
            }
            host.handle(Event::Timer { token: 0 });
        }
        self.busiest = self.busiest.max(self.calls - before);
    }

    /// Submits requests of one unit, each at a random limiter. Returns the number of units that were sent to
    /// servers.
    fn asked(&mut self, customer: &str, requests: u32) -> u32 {
        (0..requests).filter(|_| self.hosts[self.rng.usize(..LIMITERS)].serve(customer, "plain", 1.0)).count()
            as u32
    }
}

#[test]
fn a_tenant_far_over_its_quota_is_limited_by_limiters_without_its_totals() {
    let mut fleet = Fleet::new();
    let (mut hot, mut modest, mut asked) = (0, 0, 0);
    let steps = |seconds: f64| (seconds / STEP) as u32;
    for n in 0..steps(8.0) {
        fleet.step();
        // One tenant demands 60 units/s and another one 5 units/s, each with a quota of 10 units/s.
        let sent = fleet.asked("hot", 3);
        hot += if n >= steps(4.0) { sent } else { 0 };
        if n % 4 == 0 {
            modest += fleet.asked("modest", 1);
            asked += 1;
        }
    }
    // The quota is 40 units in these 4 s. As much again is allowed for what limiters with totals of the
    // tenant admit.
    assert!(hot <= 80, "{hot} units in 4 s");
    assert!(hot >= 12, "{hot} units in 4 s: the listed tenant is still served");
    assert!(modest + 2 >= asked, "{modest} of {asked}: a tenant within its quota is not limited");
}

#[test]
fn each_limiter_reads_the_list_once_and_then_polls_its_end() {
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
    // No more requests arrive. Each limiter polls the end of the list at most once per half second, and their
    // polls are spread over time.
    let looks = fleet.calls - reads;
    assert!(looks <= LIMITERS * 10, "{looks} polls in 5 s");
    assert!(
        fleet.busiest < LIMITERS / 2 && before < LIMITERS,
        "{} and {before} calls in one step",
        fleet.busiest
    );
    let listed = fleet.numbers.iter().filter(|(name, total)| name.starts_with("heavy.") && **total != 0.0);
    assert!((1..=12).contains(&listed.count()), "{:?}", fleet.numbers.keys());
}

#[test]
fn an_invalid_list_entry_hides_no_other_entry_and_blocks_no_tenant() {
    let mut fleet = Fleet::new();
    // The values that remain if two limiters add an entry at the same time, and the call that should undo one
    // of the additions is lost.
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
    assert_eq!(fleet.numbers[&first], 5_000_007.5, "no limiter overwrites the invalid entry");
}

#[test]
fn while_the_counter_is_down_old_totals_limit_no_tenant() {
    let mut fleet = Fleet::new();
    for _ in 0..100 {
        fleet.step();
        fleet.asked("hot", 3);
    }
    // The counter no longer responds to calls, and the tenant sends few requests.
    let (mut served, mut asked) = (0, 0);
    for n in 0..800 {
        fleet.now += STEP;
        for host in &mut fleet.hosts {
            host.now = fleet.now;
            for (name, _) in std::mem::take(&mut host.pending_calls) {
                host.handle(Event::CounterResponse(CounterResponse {
                    name,
                    outcome: Outcome::Timeout,
                    total: 0.0,
                    elapsed: 0.05,
                }));
            }
            host.handle(Event::Timer { token: 0 });
        }
        if n >= 600 && n % 10 == 0 {
            served += fleet.asked("hot", 1);
            asked += 1;
        }
    }
    assert!(served * 10 >= asked * 9, "{served} of {asked}");
}
