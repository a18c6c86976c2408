//! Tests of token buckets, counters and the removal of idle services. Each character of a timeline stands for
//! a step of 100 ms: `f` is a request, `R` a retry that is sent, `r` a retry that is rejected, `t` the
//! arrival of totals, and `.` no event.

use quillpulley_retry_budget::{Options, RetryBudgets, ServiceUsage};
use std::time::Duration;

const SERVICE: &str = "writers";
const STEP: Duration = Duration::from_millis(100);
const WINDOW: Duration = Duration::from_secs(10);
const OPTIONS: Options = Options { ratio: 0.2, window: WINDOW, slack: 50.0 };

/// A proxy whose process has run long enough to have its full share of the slack.
struct Proxy {
    budgets: RetryBudgets,
    now: Duration,
    totals: ServiceUsage,
    proxies: usize,
}

impl Proxy {
    fn new(totals: ServiceUsage, proxies: usize) -> Self {
        Proxy { budgets: RetryBudgets::new(OPTIONS), now: WINDOW * 2, totals, proxies }
    }

    fn receive_totals(&mut self) {
        let totals = std::slice::from_ref(&self.totals);
        self.budgets.set_totals(self.now, totals, self.proxies, true);
    }

    /// Runs a timeline, and returns it with the actual outcome of each retry.
    fn run(&mut self, timeline: &str) -> String {
        timeline.chars().map(|event| self.step(event)).collect()
    }

    fn step(&mut self, event: char) -> char {
        self.now += STEP;
        match event {
            'f' => self.budgets.record_request(self.now, SERVICE),
            't' => self.receive_totals(),
            'R' | 'r' => return if self.budgets.try_retry(self.now, SERVICE) { 'R' } else { 'r' },
            _ => {}
        }
        event
    }

    fn check(&mut self, timeline: &str) {
        assert_eq!(self.run(timeline), timeline);
    }
}

fn totals(requests: u32, retries: u32, rejected_retries: u32) -> ServiceUsage {
    ServiceUsage { service: SERVICE.to_owned(), requests, retries, rejected_retries }
}

#[test]
fn a_new_bucket_starts_with_one_token() {
    let mut proxy = Proxy::new(totals(0, 0, 0), 4);
    proxy.check("tRrr");
}

#[test]
fn a_bucket_fills_at_the_limit() {
    // A target of 22 retries in 10 s is divided among four proxies: the fallback is 0.55 retries per second.
    let mut proxy = Proxy::new(totals(110, 0, 0), 4);
    proxy.check("tRtrrrrrrrrrrrrrrrrrrRrrr");
}

#[test]
fn a_bucket_holds_five_seconds_of_its_limit() {
    let mut proxy = Proxy::new(totals(200, 0, 0), 4);
    proxy.check("ft");
    proxy.run(&"f".repeat(90));
    proxy.check("RRRRRr");
}

#[test]
fn without_totals_the_limit_is_a_fraction_of_own_requests() {
    let mut proxy = Proxy::new(totals(1000, 0, 0), 4);
    proxy.receive_totals();
    proxy.run(&"f".repeat(90));
    proxy.budgets.set_totals(proxy.now, &[], 0, false);
    // 90 requests in the window allow 18 retries in 10 s.
    proxy.check("RrrrrRrrrrrRrrrrR");
}

#[test]
fn a_changed_ratio_applies_from_the_next_totals_on() {
    let mut proxy = Proxy::new(totals(1000, 0, 0), 4);
    proxy.receive_totals();
    proxy.run(&"f".repeat(90));
    proxy.budgets.set_limit(0.4, OPTIONS.slack);
    proxy.budgets.set_totals(proxy.now, &[], 0, false);
    // 90 requests in the window allow 36 retries in 10 s.
    proxy.check("RrRrrRrrRrrRrR");
}

#[test]
fn retries_are_counted_before_they_are_sent() {
    let mut proxy = Proxy::new(totals(0, 0, 0), 4);
    proxy.check("tffRr");
    assert_eq!(proxy.budgets.counts(proxy.now), vec![totals(2, 1, 1)]);
}

#[test]
fn counts_cover_the_latest_window() {
    let mut proxy = Proxy::new(totals(0, 0, 0), 4);
    proxy.run("fff");
    proxy.now += WINDOW / 2;
    proxy.run("f");
    proxy.now += WINDOW / 2;
    assert_eq!(proxy.budgets.counts(proxy.now), vec![totals(1, 0, 0)]);
}

#[test]
fn an_idle_service_is_removed() {
    let mut proxy = Proxy::new(totals(0, 0, 0), 4);
    proxy.check("tRr");
    proxy.now += WINDOW * 3;
    proxy.check("tRr");
}

#[test]
fn the_hard_cap_applies_when_totals_allow_more() {
    // The totals would allow all of these retries. The hard cap allows only the proxy's share of the slack,
    // 50 × 0.8 / 6 = 6.7 retries, and the ratio of its own requests.
    let mut proxy = Proxy::new(totals(100_000, 0, 0), 4);
    proxy.check("fttRRRRRRrrrr");
}

#[test]
fn without_totals_there_is_no_slack_share() {
    let mut proxy = Proxy::new(totals(0, 0, 0), 0);
    proxy.check("ffrrr");
    proxy.run(&"f".repeat(40));
    proxy.check("Rr");
}

#[test]
fn a_new_process_gains_its_slack_share_gradually() {
    let mut proxy = Proxy::new(totals(100_000, 0, 0), 4);
    proxy.now = Duration::ZERO;
    proxy.check("rtt");
    // At the end of the first window, half the share is available, which is 3.3 retries: one every 3 s.
    let sent_at: Vec<usize> = proxy.run(&"r".repeat(96)).match_indices('R').map(|(step, _)| step).collect();
    assert_eq!(sent_at.len(), 3);
    assert!(sent_at.iter().zip([30, 60, 90]).all(|(step, due)| (step + 4).abs_diff(due) <= 1), "{sent_at:?}");
}
