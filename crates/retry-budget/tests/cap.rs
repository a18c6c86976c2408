//! Tests of the hard cap under random requests, retries, restarts and totals.

use quickcheck::{quickcheck, Arbitrary, Gen};
use quillpulley_retry_budget::{Options, RetryBudgets, ServiceUsage};
use std::time::Duration;

const SERVICE: &str = "writers";
const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 30.0;
const OPTIONS: Options = Options { ratio: RATIO, window: WINDOW, slack: SLACK };
const PROXIES: usize = 4;

/// An event at one proxy.
#[derive(Clone, Copy, Debug)]
enum Event {
    Requests(u8),
    Retries(u8),
    Restart,
    /// Complete totals arrive, with this number of requests.
    Totals(u16),
    /// Totals of the whole system are unavailable.
    TotalsUnavailable,
}

/// An event at one proxy, or at all of them.
#[derive(Clone, Debug)]
struct Step {
    /// Time since the previous step.
    gap: Duration,
    /// The number of the proxy; `None` stands for all proxies.
    proxy: Option<usize>,
    event: Event,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let gaps_ms = [0, 0, 0, 0, 1, 20, 499, 900, 4_900, 9_900];
        let gap = Duration::from_millis(*g.choose(&gaps_ms).unwrap_or(&0));
        let proxy = Some(usize::arbitrary(g) % PROXIES).filter(|_| bool::arbitrary(g));
        let event = match u8::arbitrary(g) % 16 {
            0..=2 => Event::Requests(u8::arbitrary(g) % 60),
            3..=10 => Event::Retries(u8::arbitrary(g) % 20),
            11..=12 => Event::Restart,
            13..=14 => Event::Totals(u16::arbitrary(g)),
            _ => Event::TotalsUnavailable,
        };
        Step { gap, proxy, event }
    }
}

/// A proxy, and the time when its process started.
struct Proxy {
    budgets: RetryBudgets,
    started: Duration,
}

/// The requests and the retries of all proxies, as times with counts, in chronological order.
#[derive(Default)]
struct Traffic {
    requests: Vec<(Duration, usize)>,
    retries: Vec<(Duration, usize)>,
}

fn run(steps: &[Step]) -> Traffic {
    let mut now = WINDOW * 10;
    let mut proxies: Vec<Proxy> = (0..PROXIES)
        .map(|_| Proxy { budgets: RetryBudgets::new(OPTIONS), started: Duration::ZERO })
        .collect();
    let mut traffic = Traffic::default();
    for proxy in &mut proxies {
        // Registers the service and fills the bucket.
        run_step(proxy, Event::Totals(u16::MAX), now, &mut traffic);
        run_step(proxy, Event::Retries(1), now, &mut traffic);
        run_step(proxy, Event::Totals(u16::MAX), now, &mut traffic);
    }
    now += WINDOW * 2;
    for step in steps {
        now += step.gap;
        for (number, proxy) in proxies.iter_mut().enumerate() {
            if step.proxy.is_none_or(|only| only == number) {
                run_step(proxy, step.event, now, &mut traffic);
            }
        }
    }
    traffic
}

fn run_step(proxy: &mut Proxy, event: Event, now: Duration, traffic: &mut Traffic) {
    let age = now - proxy.started;
    match event {
        Event::Requests(count) => {
            for _ in 0..count {
                proxy.budgets.record_request(age, SERVICE);
            }
            traffic.requests.push((now, usize::from(count)));
        }
        Event::Retries(count) => {
            let retries = (0..count).filter(|_| proxy.budgets.try_retry(age, SERVICE)).count();
            traffic.retries.push((now, retries));
        }
        Event::Restart => *proxy = Proxy { budgets: RetryBudgets::new(OPTIONS), started: now },
        Event::Totals(requests) => {
            let requests = u32::from(requests);
            let totals =
                ServiceUsage { service: SERVICE.to_owned(), requests, retries: 0, rejected_retries: 0 };
            proxy.budgets.set_totals(age, &[totals], PROXIES, true);
        }
        Event::TotalsUnavailable => proxy.budgets.set_totals(age, &[], 0, false),
    }
}

/// Returns the number of requests or retries in the window that ends at `end`, in nanoseconds.
fn count_in_window(counts: &[(Duration, usize)], end: i128) -> usize {
    let start = end - WINDOW.as_nanos() as i128;
    let inside = |time: &Duration| (start + 1..=end).contains(&(time.as_nanos() as i128));
    counts.iter().filter(|(time, _)| inside(time)).map(|(_, count)| count).sum()
}

/// Returns whether the retries of all proxies are within the system-wide bound, for the window that ends at `end`, in
/// nanoseconds.
fn is_within_bound(traffic: &Traffic, end: i128) -> bool {
    let window = WINDOW.as_nanos() as i128;
    let requests = [0, window / 2, window].map(|before| count_in_window(&traffic.requests, end - before));
    let max_requests = requests.into_iter().max().unwrap_or(0);
    count_in_window(&traffic.retries, end) as f64 <= RATIO * max_requests as f64 + SLACK
}

/// Returns the window ends to be checked, in nanoseconds. Between two consecutive ones, no count of [`is_within_bound`]
/// changes.
fn window_ends(traffic: &Traffic) -> impl Iterator<Item = i128> + '_ {
    let half = WINDOW.as_nanos() as i128 / 2;
    let times = traffic.requests.iter().chain(&traffic.retries).map(|(time, _)| time.as_nanos() as i128);
    times.flat_map(move |time| {
        (0..=4).flat_map(move |halves| [time + halves * half - 1, time + halves * half])
    })
}

quickcheck! {
    fn retries_of_all_proxies_stay_within_the_bound_in_every_window(steps: Vec<Step>) -> bool {
        let traffic = run(&steps);
        let mut ends: Vec<i128> = window_ends(&traffic).collect();
        ends.sort_unstable();
        ends.dedup();
        ends.into_iter().all(|end| is_within_bound(&traffic, end))
    }
}

#[test]
fn steady_requests_allow_a_burst_of_more_than_half_of_the_ratio() {
    let mut budgets = RetryBudgets::new(OPTIONS);
    let totals =
        ServiceUsage { service: SERVICE.to_owned(), requests: 100_000, retries: 0, rejected_retries: 0 };
    let mut now = WINDOW;
    for _ in 0..300 {
        now += Duration::from_millis(100);
        budgets.record_request(now, SERVICE);
        budgets.set_totals(now, std::slice::from_ref(&totals), PROXIES, true);
    }
    let burst = (0..100).filter(|_| budgets.try_retry(now, SERVICE)).count();
    assert!((11..=20).contains(&burst), "{burst} retries for 100 requests in the window");
}

const SLOTS_PER_WINDOW: i64 = 20;
const WITHOUT_SLACK: Options = Options { slack: 0.0, ..OPTIONS };

/// Returns the number of retries that the cap allows in the last of these slots, each of half a second. For
/// each window of 21 slots that contains the last slot, the limit is the ratio times the sum of a quarter of
/// the requests in the window, a quarter of those half a window earlier, and half of those a full window
/// earlier.
fn expected_retries(requests: &[u32]) -> u32 {
    let newest = requests.len() as i64 - 1;
    let sum = |from: i64, to: i64| -> u32 {
        (from..=to).filter_map(|slot| usize::try_from(slot).ok()).filter_map(|slot| requests.get(slot)).sum()
    };
    let allowance = |end: i64| {
        let this = sum(end - SLOTS_PER_WINDOW + 1, end);
        let half_before = sum(end - SLOTS_PER_WINDOW * 3 / 2 + 1, end - SLOTS_PER_WINDOW / 2 - 1);
        let before = sum(end - SLOTS_PER_WINDOW * 2 + 1, end - SLOTS_PER_WINDOW - 1);
        RATIO * (0.25 * f64::from(this) + 0.25 * f64::from(half_before) + 0.5 * f64::from(before))
    };
    let limit = (newest..=newest + SLOTS_PER_WINDOW).map(allowance).fold(f64::INFINITY, f64::min);
    (0..).find(|retries| f64::from(retries + 1) > limit).unwrap_or_default()
}

/// Returns the number of retries that a proxy sends in the last slot if its bucket holds more than the cap
/// allows.
fn sent_retries(requests: &[u32]) -> u32 {
    let mut budgets = RetryBudgets::new(WITHOUT_SLACK);
    let slot = WINDOW / SLOTS_PER_WINDOW as u32;
    let totals =
        [ServiceUsage { service: SERVICE.to_string(), requests: 1_000_000, retries: 0, rejected_retries: 0 }];
    let mut now = Duration::ZERO;
    // Registers the service, so that its bucket fills from the first totals on.
    assert!(!budgets.try_retry(now, SERVICE), "without requests there are no retries");
    for count in requests {
        budgets.set_totals(now, &totals, 1, true);
        (0..*count).for_each(|_| budgets.record_request(now, SERVICE));
        now += slot;
    }
    let now = now - slot / 2;
    (0..).take_while(|_| budgets.try_retry(now, SERVICE)).count() as u32
}

quickcheck! {
    fn a_full_bucket_is_used_up_to_the_cap_and_not_beyond(counts: Vec<u8>, last: u8) -> bool {
        // At most 55 slots, because a service that is idle for three windows is removed together with its
        // bucket.
        let mut requests: Vec<u32> = counts.iter().take(55).map(|count| u32::from(*count)).collect();
        requests.push(u32::from(last) + 1);
        sent_retries(&requests) == expected_retries(&requests)
    }
}

#[test]
fn requests_count_for_the_cap_of_exactly_the_windows_they_belong_to() {
    // A burst of requests comes `since` slots before the newest slot, which has one request.
    for since in 1..45 {
        let mut requests = vec![0; 60];
        requests[59 - since] = 4_000;
        requests[59] = 1;
        assert_eq!(sent_retries(&requests), expected_retries(&requests), "{since} slots ago");
    }
}
