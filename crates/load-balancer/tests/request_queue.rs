//! The queue of requests that wait until a server has capacity.

use quickcheck::{quickcheck, Arbitrary, Gen};
use quillpulley_load_balancer::{QueueKey, QueueLimits, QueueTerms, RequestQueue};
use std::time::Duration;

const LIMITS: QueueLimits = QueueLimits { requests: 3, bytes: 1_000 };

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn terms(priority: u32, target_latency_ms: u64) -> QueueTerms {
    QueueTerms { priority, target_latency: ms(target_latency_ms), deadline: ms(60_000), bytes: 100 }
}

fn queue() -> RequestQueue<&'static str> {
    RequestQueue::new(LIMITS)
}

fn push(
    queue: &mut RequestQueue<&'static str>,
    now_ms: u64,
    terms: QueueTerms,
    name: &'static str,
) -> QueueKey {
    queue.push(ms(now_ms), terms, name).expect("the request fits the limits").key
}

#[test]
fn requests_are_served_by_priority_and_then_by_deadline() {
    let mut queue = queue();
    push(&mut queue, 0, terms(1, 800), "less urgent");
    push(&mut queue, 0, terms(0, 800), "patient");
    push(&mut queue, 0, terms(0, 400), "impatient");
    let served: Vec<&str> = std::iter::from_fn(|| queue.next(ms(1), |_| true)).collect();
    assert_eq!(served, ["impatient", "patient", "less urgent"]);
}

#[test]
fn requests_with_equal_terms_are_served_first_in_first_out() {
    let mut queue = queue();
    push(&mut queue, 0, terms(0, 800), "first");
    push(&mut queue, 0, terms(0, 800), "second");
    assert_eq!(queue.next(ms(1), |_| true), Some("first"));
}

#[test]
fn a_request_that_does_not_fit_is_skipped() {
    let mut queue = queue();
    push(&mut queue, 0, terms(0, 800), "elsewhere");
    push(&mut queue, 0, terms(1, 800), "here");
    assert_eq!(queue.next(ms(1), |name| *name == "here"), Some("here"));
    assert_eq!(queue.next(ms(1), |name| *name == "here"), None);
    assert_eq!(queue.len(), 1);
}

#[test]
fn only_the_first_eight_requests_are_examined() {
    let mut queue = RequestQueue::new(QueueLimits { requests: 1_000, bytes: 1_000_000 });
    for number in 0..1_000 {
        assert!(queue.push(ms(0), terms(0, 800), number).is_ok());
    }
    let mut examined = 0;
    let fits = |_: &i32| {
        examined += 1;
        false
    };
    assert_eq!(queue.next(ms(1), fits), None);
    assert_eq!(examined, 8);
}

#[test]
fn a_request_waits_for_a_quarter_of_its_target_latency() {
    let mut queue = queue();
    push(&mut queue, 100, terms(0, 800), "one");
    assert_eq!(queue.next(ms(300), |_| true), None);
    assert_eq!(queue.next(ms(299), |_| true), Some("one"));
    assert!(queue.is_empty());
}

#[test]
fn no_request_waits_beyond_the_timeout_of_its_client() {
    let mut queue = queue();
    push(&mut queue, 0, QueueTerms { deadline: ms(50), ..terms(0, 800) }, "one");
    assert_eq!(queue.next(ms(50), |_| true), None);
    assert_eq!(queue.next(ms(49), |_| true), Some("one"));
}

#[test]
fn a_full_queue_accepts_only_more_urgent_requests() {
    let mut queue = queue();
    push(&mut queue, 0, terms(1, 800), "one");
    push(&mut queue, 0, terms(2, 800), "two");
    push(&mut queue, 0, terms(2, 400), "three");
    assert_eq!(queue.push(ms(0), terms(2, 100), "rejected"), Err("rejected"));
    let queued = queue.push(ms(0), terms(0, 800), "urgent").expect("the request is more urgent");
    assert_eq!(queued.displaced, ["two"]);
    assert_eq!(queue.len(), 3);
}

#[test]
fn the_total_size_is_limited() {
    let mut queue = queue();
    push(&mut queue, 0, QueueTerms { bytes: 600, ..terms(1, 800) }, "one");
    let large = QueueTerms { bytes: 500, ..terms(1, 800) };
    assert_eq!(queue.push(ms(0), large, "rejected"), Err("rejected"));
    let queued =
        queue.push(ms(0), QueueTerms { priority: 0, ..large }, "urgent").expect("the request is more urgent");
    assert_eq!(queued.displaced, ["one"]);
    let too_large = QueueTerms { bytes: 1_001, ..terms(0, 800) };
    assert_eq!(queue.push(ms(0), too_large, "rejected"), Err("rejected"));
}

#[test]
fn removing_a_request_frees_capacity() {
    let mut queue = queue();
    let key = push(&mut queue, 0, QueueTerms { bytes: 1_000, ..terms(0, 800) }, "one");
    assert_eq!(queue.remove(key), Some("one"));
    assert_eq!(queue.remove(key), None);
    push(&mut queue, 0, QueueTerms { bytes: 1_000, ..terms(0, 800) }, "two");
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Push {
        priority: u32,
        target_latency_ms: u64,
        bytes: usize,
    },
    Next,
    /// The client of a request disconnects, or the request has waited too long. The number selects one of the
    /// requests that were queued.
    Remove(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 6 {
            0 => Step::Next,
            1 => Step::Remove(usize::arbitrary(g)),
            _ => Step::Push {
                priority: u32::arbitrary(g) % 3,
                target_latency_ms: u64::arbitrary(g) % 2_000,
                bytes: usize::arbitrary(g) % 700,
            },
        }
    }
}

quickcheck! {
    fn limits_hold_and_no_request_is_lost(steps: Vec<Step>) -> bool {
        let mut queue: RequestQueue<(usize, usize)> = RequestQueue::new(LIMITS);
        let mut expected: Vec<(usize, usize)> = Vec::new();
        let mut keys: Vec<QueueKey> = Vec::new();
        for (number, step) in steps.iter().enumerate() {
            let now = ms(number as u64 * 20);
            let removed = match *step {
                Step::Push { priority, target_latency_ms, bytes } => {
                    let terms = QueueTerms { bytes, ..terms(priority, target_latency_ms) };
                    expected.push((number, bytes));
                    match queue.push(now, terms, (number, bytes)) {
                        Ok(queued) => {
                            keys.push(queued.key);
                            queued.displaced
                        }
                        Err(rejected) => vec![rejected],
                    }
                }
                Step::Next => queue.next(now, |_| true).into_iter().collect(),
                Step::Remove(_) if keys.is_empty() => Vec::new(),
                Step::Remove(position) => queue.remove(keys[position % keys.len()]).into_iter().collect(),
            };
            expected.retain(|request| !removed.contains(request));
            let bytes: usize = expected.iter().map(|(_, bytes)| bytes).sum();
            if queue.len() != expected.len() || expected.len() > LIMITS.requests || bytes > LIMITS.bytes {
                return false;
            }
        }
        true
    }
}
