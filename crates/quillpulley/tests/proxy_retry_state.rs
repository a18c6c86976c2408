//! Tests of `RetryState`: whether a request is sent again, and which final response its client gets.

use quickcheck::{quickcheck, Arbitrary, Gen};
use quillpulley::proxy::retry::retry_state::{Event, FinalResponse, RetryPolicy, RetryState, Step};

/// The columns are the retry policy, the events, and the final response. In a policy, `once` is a request
/// that is not idempotent and `again` one that is, each with its maximum number of attempts. `-` means that
/// the request has no final response yet.
const TIMELINES: &str = "
    once  1 | send answer                                       | served
    once  1 | unplaced                                          | refused
    once  1 | choose unsent choose unsent choose unsent choose unsent | refused
    once  1 | choose unsent send answer                         | served
    once  1 | send misdirected send answer                      | served
    once  1 | send declined                                     | refused
    once  2 | send declined send answer                         | served
    once  2 | send declined send declined                       | refused
    once  2 | send declined send broken                         | failed
    once  3 | send broken                                       | failed
    once  3 | send failed                                       | servers-failure
    once  3 | send unsent send answer                           | served
    once  3 | send declined unplaced                            | refused
    once  1 | time-up                                           | refused
    once  1 | choose time-up                                    | refused
    once  1 | send time-up                                      | timed-out
    once  2 | send declined time-up                             | refused
    once  1 | send head broken                                  | cut
    once  1 | send head time-up                                 | cut
    once  1 | send head answer                                  | served
    again 1 | send broken                                       | failed
    again 2 | send broken                                       | -
    again 2 | send broken send answer                           | served
    again 2 | send broken send declined                         | failed
    again 2 | send broken unplaced                              | failed
    again 2 | send broken time-up                               | timed-out
    again 2 | send failed send failed                           | servers-failure
    again 2 | send head broken send head answer                 | served
    again 2 | send head broken send declined                    | cut
    again 2 | send head broken send head broken                 | cut
    again 9 | send broken send broken send broken send broken   | failed
";

fn events(word: &str) -> Vec<Event> {
    match word {
        "choose" => vec![Event::UpstreamChosen],
        "send" => vec![Event::UpstreamChosen, Event::Connected],
        "answer" => vec![Event::Completed],
        "head" => vec![Event::ResponseBegun],
        "unplaced" => vec![Event::NoCapacity],
        "unsent" => vec![Event::NotSent],
        "declined" => vec![Event::NotExecuted],
        "misdirected" => vec![Event::Misdirected],
        "broken" => vec![Event::ConnectionBroken],
        "failed" => vec![Event::UpstreamFailed],
        "time-up" => vec![Event::DeadlineReached],
        _ => panic!("unknown event: {word}"),
    }
}

fn name(ending: Option<FinalResponse>) -> &'static str {
    match ending {
        None => "-",
        Some(FinalResponse::Completed) => "served",
        Some(FinalResponse::UpstreamFailure) => "servers-failure",
        Some(FinalResponse::Rejected) => "refused",
        Some(FinalResponse::BadGateway) => "failed",
        Some(FinalResponse::TimedOut) => "timed-out",
        Some(FinalResponse::Truncated) => "cut",
    }
}

fn rules(words: &str) -> RetryPolicy {
    let (kind, attempts) = words.trim().split_once(' ').expect("`once` or `again`, and a number of attempts");
    RetryPolicy {
        is_idempotent: kind == "again",
        max_attempts: attempts.trim().parse().expect("a number"),
        retries_after_reset: false,
    }
}

#[test]
fn timelines_end_as_they_should() {
    for line in TIMELINES.lines().filter(|line| !line.trim().is_empty()) {
        let columns: Vec<&str> = line.split('|').map(str::trim).collect();
        let mut attempts = RetryState::new(rules(columns[0]));
        let mut ending = None;
        for event in columns[1].split_whitespace().flat_map(events) {
            assert_eq!(ending, None, "events follow the final response: {line}");
            if let Step::Finish(end) = attempts.handle(event) {
                ending = Some(end);
            }
        }
        assert_eq!(name(ending), columns[2], "{line}");
    }
}

/// An event that ends an attempt without a successful response.
#[derive(Clone, Copy, Debug)]
struct Result(Event);

impl Arbitrary for Result {
    fn arbitrary(g: &mut Gen) -> Self {
        let results = [
            Event::NotSent,
            Event::NotExecuted,
            Event::Misdirected,
            Event::ConnectionBroken,
            Event::UpstreamFailed,
            Event::DeadlineReached,
        ];
        Result(*g.choose(&results).expect("some"))
    }
}

/// Returns whether a request is not sent again after it may have executed, and its client gets no response
/// which promises that it has not.
fn runs_once(rules: RetryPolicy, results: &[Result]) -> bool {
    let mut attempts = RetryState::new(rules);
    let mut may_have_run = false;
    for Result(event) in results {
        attempts.handle(Event::UpstreamChosen);
        attempts.handle(Event::Connected);
        may_have_run |=
            matches!(event, Event::ConnectionBroken | Event::UpstreamFailed | Event::DeadlineReached);
        match attempts.handle(*event) {
            Step::Retry if may_have_run => return false,
            Step::Finish(FinalResponse::Rejected) if may_have_run => return false,
            Step::Finish(_) => return true,
            Step::Retry | Step::Continue => {}
        }
    }
    true
}

#[test]
fn a_policy_that_retries_after_a_reset_is_caught() {
    let rules = RetryPolicy { is_idempotent: false, max_attempts: 3, retries_after_reset: true };
    assert!(!runs_once(rules, &[Result(Event::ConnectionBroken), Result(Event::NotExecuted)]));
}

quickcheck! {
    /// A request that is not idempotent is not sent again after it may have executed, and then no response
    /// promises that it has not.
    fn nothing_runs_twice(results: Vec<Result>, max_attempts: u8) -> bool {
        let rules = RetryPolicy { is_idempotent: false, max_attempts: u32::from(max_attempts), retries_after_reset: false };
        runs_once(rules, &results)
    }

    /// A request is sent at most four times. Sends that reach the intended server are at most the attempts
    /// that the route allows.
    fn sends_are_bounded(results: Vec<Result>, max_attempts: u8, is_idempotent: bool) -> bool {
        let max_attempts = u32::from(max_attempts).max(1);
        let mut attempts = RetryState::new(RetryPolicy { is_idempotent, max_attempts, retries_after_reset: false });
        let (mut sends, mut counted) = (0, 0);
        for Result(event) in results {
            attempts.handle(Event::UpstreamChosen);
            attempts.handle(Event::Connected);
            sends += 1;
            counted += u32::from(!matches!(event, Event::NotSent | Event::Misdirected));
            if let Step::Finish(_) = attempts.handle(event) {
                break;
            }
        }
        sends <= 4 && counted <= max_attempts
    }
}
