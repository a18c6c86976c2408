//! The hard cap under any schedule, any restarts and any knowledge of the others.

use quickcheck::{quickcheck, Arbitrary, Gen};
use quillpulley_retry_budget::{Options, RetryBudgets, ServiceUsage};
use std::time::Duration;

const SERVICE: &str = "writers";
const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 30.0;
const OPTIONS: Options = Options { ratio: RATIO, window: WINDOW, slack: SLACK };
const LIMITERS: usize = 4;

/// What happens at one limiter.
#[derive(Clone, Copy, Debug)]
enum Event {
    Requests(u8),
    Repeats(u8),
    Restart,
    /// Totals of so many requests.
    Totals(u16),
    /// No totals of the whole system.
    Cut,
}

/// An event at one limiter, or at all of them.
#[derive(Clone, Debug)]
struct Step {
    gap: Duration,
    limiter: Option<usize>,
    event: Event,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let gaps = [0, 0, 0, 0, 1, 20, 499, 900, 4_900, 9_900];
        let gap = Duration::from_millis(*g.choose(&gaps).unwrap_or(&0));
        let limiter = Some(usize::arbitrary(g) % LIMITERS).filter(|_| bool::arbitrary(g));
        let event = match u8::arbitrary(g) % 16 {
            0..=2 => Event::Requests(u8::arbitrary(g) % 60),
            3..=10 => Event::Repeats(u8::arbitrary(g) % 20),
            11..=12 => Event::Restart,
            13..=14 => Event::Totals(u16::arbitrary(g)),
            _ => Event::Cut,
        };
        Step { gap, limiter, event }
    }
}

/// A limiter, and the time when its process started.
struct Limiter {
    budgets: RetryBudgets,
    started: Duration,
}

/// Times and numbers of all requests and of all repeats, in order.
#[derive(Default)]
struct Sent {
    requests: Vec<(Duration, usize)>,
    repeats: Vec<(Duration, usize)>,
}

fn play(steps: &[Step]) -> Sent {
    let mut now = WINDOW * 10;
    let mut proxies: Vec<Limiter> = (0..LIMITERS)
        .map(|_| Limiter { budgets: RetryBudgets::new(OPTIONS), started: Duration::ZERO })
        .collect();
    let mut sent = Sent::default();
    for limiter in &mut proxies {
        // So that all have a full bucket.
        play_step(limiter, Event::Totals(u16::MAX), now, &mut sent);
        play_step(limiter, Event::Repeats(1), now, &mut sent);
        play_step(limiter, Event::Totals(u16::MAX), now, &mut sent);
    }
    now += WINDOW * 2;
    for step in steps {
        now += step.gap;
        for (number, limiter) in proxies.iter_mut().enumerate() {
            if step.limiter.is_none_or(|only| only == number) {
                play_step(limiter, step.event, now, &mut sent);
            }
        }
    }
    sent
}

fn play_step(limiter: &mut Limiter, event: Event, now: Duration, sent: &mut Sent) {
    let age = now - limiter.started;
    match event {
        Event::Requests(count) => {
            for _ in 0..count {
                limiter.budgets.record_request(age, SERVICE);
            }
            sent.requests.push((now, usize::from(count)));
        }
        Event::Repeats(count) => {
            let retries = (0..count).filter(|_| limiter.budgets.try_retry(age, SERVICE)).count();
            sent.repeats.push((now, retries));
        }
        Event::Restart => *limiter = Limiter { budgets: RetryBudgets::new(OPTIONS), started: now },
        Event::Totals(requests) => {
            let requests = u32::from(requests);
            let totals =
                ServiceUsage { service: SERVICE.to_owned(), requests, retries: 0, rejected_retries: 0 };
            limiter.budgets.set_totals(age, &[totals], LIMITERS, true);
        }
        Event::Cut => limiter.budgets.set_totals(age, &[], 0, false),
    }
}

/// How many were sent in the window that ends at `end`, given in nanoseconds.
fn in_window(sent: &[(Duration, usize)], end: i128) -> usize {
    let start = end - WINDOW.as_nanos() as i128;
    let inside = |time: &Duration| (start + 1..=end).contains(&(time.as_nanos() as i128));
    sent.iter().filter(|(time, _)| inside(time)).map(|(_, count)| count).sum()
}

/// The rule of the users, for one window.
fn holds(sent: &Sent, end: i128) -> bool {
    let window = WINDOW.as_nanos() as i128;
    let requests = [0, window / 2, window].map(|before| in_window(&sent.requests, end - before));
    let most = requests.into_iter().max().unwrap_or(0);
    in_window(&sent.repeats, end) as f64 <= RATIO * most as f64 + SLACK
}

/// The ends of windows between which no count changes.
fn ends(sent: &Sent) -> impl Iterator<Item = i128> + '_ {
    let half = WINDOW.as_nanos() as i128 / 2;
    let times = sent.requests.iter().chain(&sent.repeats).map(|(time, _)| time.as_nanos() as i128);
    times.flat_map(move |time| {
        (0..=4).flat_map(move |halves| [time + halves * half - 1, time + halves * half])
    })
}

quickcheck! {
    fn the_sum_of_all_limiters_holds_in_every_window(steps: Vec<Step>) -> bool {
        let sent = play(&steps);
        let mut ends: Vec<i128> = ends(&sent).collect();
        ends.sort_unstable();
        ends.dedup();
        ends.into_iter().all(|end| holds(&sent, end))
    }
}

#[test]
fn in_steady_traffic_the_cap_leaves_more_than_half_of_the_ratio_for_one_burst() {
    let mut budgets = RetryBudgets::new(OPTIONS);
    let totals =
        ServiceUsage { service: SERVICE.to_owned(), requests: 100_000, retries: 0, rejected_retries: 0 };
    let mut now = WINDOW;
    for _ in 0..300 {
        now += Duration::from_millis(100);
        budgets.record_request(now, SERVICE);
        budgets.set_totals(now, std::slice::from_ref(&totals), LIMITERS, true);
    }
    let burst = (0..100).filter(|_| budgets.try_retry(now, SERVICE)).count();
    assert!((11..=20).contains(&burst), "{burst} repeats for 100 requests in the window");
}
