//! Hundreds of limiters that receive requests of the same tenant: most requests arrive at a limiter that has
//! no totals for the tenant.
mod common;
use common::*;
use rate_limiter::*;
use std::collections::BTreeMap;

const LIMITERS: usize = 300;
/// The virtual time between two steps, in seconds.
const STEP_S: f64 = 0.05;

/// Limiters that share one counter. The counter responds one step later, so that calls of different limiters
/// overlap.
struct Fleet {
    hosts: Vec<Host>,
    totals: BTreeMap<String, f64>,
    rng: fastrand::Rng,
    now: f64,
    /// The number of counter calls of all limiters.
    calls: usize,
    /// The maximum number of counter calls in one step.
    max_calls_per_step: usize,
}

impl Fleet {
    fn new() -> Self {
        let hosts = (0..LIMITERS).map(|n| {
            let mut settings =
                Settings { limiter_index: n as u32, limiter_count: LIMITERS as u32, ..settings() };
            settings.plans.iter_mut().for_each(|plan| plan.excess_cost = 0.5);
            let mut host = Host::with_seed(settings, n as u64);
            host.tenant_limiters = LIMITERS as u32;
            host
        });
        let hosts: Vec<Host> = hosts.collect();
        let now = hosts[0].now;
        Fleet {
            hosts,
            totals: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(3),
            now,
            calls: 0,
            max_calls_per_step: 0,
        }
    }

    fn step(&mut self) {
        self.now += STEP_S;
        let calls_before = self.calls;
        for host in &mut self.hosts {
            host.now = self.now;
            for (name, amount) in std::mem::take(&mut host.pending_calls) {
                let total = self.totals.entry(name.clone()).or_default();
                *total += amount;
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
        self.max_calls_per_step = self.max_calls_per_step.max(self.calls - calls_before);
    }

    /// Submits requests of one unit, each at a random limiter. Returns the number of units that were sent to
    /// servers.
    fn submit(&mut self, tenant: &str, requests: u32) -> u32 {
        (0..requests).filter(|_| self.hosts[self.rng.usize(..LIMITERS)].serve(tenant, "plain", 1.0)).count()
            as u32
    }
}

#[test]
fn a_tenant_far_over_its_quota_is_limited_by_limiters_without_its_totals() {
    let mut fleet = Fleet::new();
    let (mut hot, mut modest, mut submitted) = (0, 0, 0);
    let steps = |seconds: f64| (seconds / STEP_S) as u32;
    for n in 0..steps(8.0) {
        fleet.step();
        // One tenant demands 60 units/s and another one 5 units/s, each with a quota of 10 units/s.
        let sent = fleet.submit("hot", 3);
        hot += if n >= steps(4.0) { sent } else { 0 };
        if n % 4 == 0 {
            modest += fleet.submit("modest", 1);
            submitted += 1;
        }
    }
    // The quota is 40 units in these 4 s. As much again is allowed for what limiters with totals of the
    // tenant admit.
    assert!(hot <= 80, "{hot} units in 4 s");
    assert!(hot >= 12, "{hot} units in 4 s: the listed tenant is still served");
    assert!(modest + 2 >= submitted, "{modest} of {submitted}: a tenant within its quota is not limited");
}

#[test]
fn each_limiter_reads_the_list_once_and_then_polls_its_end() {
    let mut fleet = Fleet::new();
    for n in 0..200 {
        fleet.step();
        fleet.submit("hot", if n < 40 { 3 } else { 0 });
    }
    let (calls_before, max_calls_before) = (fleet.calls, fleet.max_calls_per_step);
    fleet.max_calls_per_step = 0;
    for _ in 0..100 {
        fleet.step();
    }
    // No more requests arrive. Each limiter polls the end of the list at most once per half second, and their
    // polls are spread over time.
    let polls = fleet.calls - calls_before;
    assert!(polls <= LIMITERS * 10, "{polls} polls in 5 s");
    assert!(
        fleet.max_calls_per_step < LIMITERS / 2 && max_calls_before < LIMITERS,
        "{} and {max_calls_before} calls in one step",
        fleet.max_calls_per_step
    );
    let listed = fleet.totals.iter().filter(|(name, total)| name.starts_with("heavy.") && **total != 0.0);
    assert!((1..=12).contains(&listed.count()), "{:?}", fleet.totals.keys());
}

#[test]
fn an_invalid_list_entry_hides_no_other_entry_and_blocks_no_tenant() {
    let mut fleet = Fleet::new();
    // The values that remain if two limiters add an entry at the same time, and the call that should undo one
    // of the additions is lost.
    let (first, second) = ("heavy.5.0".to_string(), "heavy.5.1".to_string());
    fleet.totals.insert(first.clone(), 5_000_007.5);
    fleet.totals.insert(second, 9_999_999.0);
    let (mut hot, mut modest, mut submitted) = (0, 0, 0);
    for n in 0..200 {
        fleet.step();
        let sent = fleet.submit("hot", 3);
        hot += if n >= 120 { sent } else { 0 };
        if n % 4 == 0 {
            modest += fleet.submit("modest", 1);
            submitted += 1;
        }
    }
    assert!((12..=80).contains(&hot), "{hot} units in 4 s");
    assert!(modest + 2 >= submitted, "{modest} of {submitted}");
    assert_eq!(fleet.totals[&first], 5_000_007.5, "no limiter overwrites the invalid entry");
}

#[test]
fn while_the_counter_is_down_old_totals_limit_no_tenant() {
    let mut fleet = Fleet::new();
    for _ in 0..100 {
        fleet.step();
        fleet.submit("hot", 3);
    }
    // The counter no longer responds to calls, and the tenant sends few requests.
    let (mut served, mut submitted) = (0, 0);
    for n in 0..800 {
        fleet.now += STEP_S;
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
            served += fleet.submit("hot", 1);
            submitted += 1;
        }
    }
    assert!(served * 10 >= submitted * 9, "{served} of {submitted}");
}
