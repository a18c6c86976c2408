//! Tests of `RetryState`: whether a request is sent again, and which final response its client gets.

use quickcheck::{quickcheck, Arbitrary, Gen};
use quillpulley::proxy::retry::retry_state::{Event, FinalResponse, RetryPolicy, RetryState, Step};

/// The columns are the retry policy, the events, and the final response. In a policy, `once` is a request
/// that is not idempotent and `again` one that is, each with its maximum number of attempts. `-` means that
/// the request has no final response yet.
const TIMELINES: &str = "
    once  1 | send completed                                                  | completed
    once  1 | no-capacity                                                     | rejected
    once  1 | chosen not-sent chosen not-sent chosen not-sent chosen not-sent | rejected
    once  1 | chosen not-sent send completed                                  | completed
    once  1 | send misdirected send completed                                 | completed
    once  1 | send not-executed                                               | rejected
    once  2 | send not-executed send completed                                | completed
    once  2 | send not-executed send not-executed                             | rejected
    once  2 | send not-executed send broken                                   | bad-gateway
    once  3 | send broken                                                     | bad-gateway
    once  3 | send upstream-failed                                            | upstream-failure
    once  3 | send not-sent send completed                                    | completed
    once  3 | send not-executed no-capacity                                   | rejected
    once  1 | deadline                                                        | rejected
    once  1 | chosen deadline                                                 | rejected
    once  1 | send deadline                                                   | timed-out
    once  2 | send not-executed deadline                                      | rejected
    once  1 | send head broken                                                | truncated
    once  1 | send head deadline                                              | truncated
    once  1 | send head completed                                             | completed
    again 1 | send broken                                                     | bad-gateway
    again 2 | send broken                                                     | -
    again 2 | send broken send completed                                      | completed
    again 2 | send broken send not-executed                                   | bad-gateway
    again 2 | send broken no-capacity                                         | bad-gateway
    again 2 | send broken deadline                                            | timed-out
    again 2 | send upstream-failed send upstream-failed                       | upstream-failure
    again 2 | send head broken send head completed                            | completed
    again 2 | send head broken send not-executed                              | truncated
    again 2 | send head broken send head broken                               | truncated
    again 9 | send broken send broken send broken send broken                 | bad-gateway
";

fn events(word: &str) -> Vec<Event> {
    match word {
        "chosen" => vec![Event::UpstreamChosen],
        "send" => vec![Event::UpstreamChosen, Event::Connected],
        "completed" => vec![Event::Completed],
        "head" => vec![Event::ResponseBegun],
        "no-capacity" => vec![Event::NoCapacity],
        "not-sent" => vec![Event::NotSent],
        "not-executed" => vec![Event::NotExecuted],
        "misdirected" => vec![Event::Misdirected],
        "broken" => vec![Event::ConnectionBroken],
        "upstream-failed" => vec![Event::UpstreamFailed],
        "deadline" => vec![Event::DeadlineReached],
        _ => panic!("unknown event: {word}"),
    }
}

fn response_name(final_response: Option<FinalResponse>) -> &'static str {
    match final_response {
        None => "-",
        Some(FinalResponse::Completed) => "completed",
        Some(FinalResponse::UpstreamFailure) => "upstream-failure",
        Some(FinalResponse::Rejected) => "rejected",
        Some(FinalResponse::BadGateway) => "bad-gateway",
        Some(FinalResponse::TimedOut) => "timed-out",
        Some(FinalResponse::Truncated) => "truncated",
    }
}

fn policy(words: &str) -> RetryPolicy {
    let (kind, attempts) = words.trim().split_once(' ').expect("`once` or `again`, and a number of attempts");
    RetryPolicy {
        is_idempotent: kind == "again",
        max_attempts: attempts.trim().parse().expect("a number"),
        retries_after_reset: false,
    }
}

#[test]
fn timelines_have_the_expected_final_response() {
    for line in TIMELINES.lines().filter(|line| !line.trim().is_empty()) {
        let columns: Vec<&str> = line.split('|').map(str::trim).collect();
        let mut state = RetryState::new(policy(columns[0]));
        let mut final_response = None;
        for event in columns[1].split_whitespace().flat_map(events) {
            assert_eq!(final_response, None, "events follow the final response: {line}");
            if let Step::Finish(response) = state.handle(event) {
                final_response = Some(response);
            }
        }
        assert_eq!(response_name(final_response), columns[2], "{line}");
    }
}

/// An event that ends an attempt without a successful response.
#[derive(Clone, Copy, Debug)]
struct AttemptResult(Event);

impl Arbitrary for AttemptResult {
    fn arbitrary(g: &mut Gen) -> Self {
        let results = [
            Event::NotSent,
            Event::NotExecuted,
            Event::Misdirected,
            Event::ConnectionBroken,
            Event::UpstreamFailed,
            Event::DeadlineReached,
        ];
        AttemptResult(*g.choose(&results).expect("some"))
    }
}

/// Returns whether a request is not sent again after it may have executed, and its client gets no response
/// which promises that it has not.
fn executes_at_most_once(policy: RetryPolicy, results: &[AttemptResult]) -> bool {
    let mut state = RetryState::new(policy);
    let mut may_have_executed = false;
    for AttemptResult(event) in results {
        state.handle(Event::UpstreamChosen);
        state.handle(Event::Connected);
        may_have_executed |=
            matches!(event, Event::ConnectionBroken | Event::UpstreamFailed | Event::DeadlineReached);
        match state.handle(*event) {
            Step::Retry if may_have_executed => return false,
            Step::Finish(FinalResponse::Rejected) if may_have_executed => return false,
            Step::Finish(_) => return true,
            Step::Retry | Step::Continue => {}
        }
    }
    true
}

#[test]
fn a_policy_that_retries_after_a_reset_is_detected() {
    let policy = RetryPolicy { is_idempotent: false, max_attempts: 3, retries_after_reset: true };
    assert!(!executes_at_most_once(
        policy,
        &[AttemptResult(Event::ConnectionBroken), AttemptResult(Event::NotExecuted)]
    ));
}

quickcheck! {
    /// A request that is not idempotent is not sent again after it may have executed, and then no response
    /// promises that it has not.
    fn a_request_that_is_not_idempotent_executes_at_most_once(
        results: Vec<AttemptResult>,
        max_attempts: u8
    ) -> bool {
        let policy = RetryPolicy {
            is_idempotent: false,
            max_attempts: u32::from(max_attempts),
            retries_after_reset: false
        };
        executes_at_most_once(policy, &results)
    }

    /// A request is sent at most four times. Sends that reach the intended server are at most the attempts
    /// that the route allows.
    fn sends_and_attempts_are_limited(
        results: Vec<AttemptResult>,
        max_attempts: u8,
        is_idempotent: bool
    ) -> bool {
        let max_attempts = u32::from(max_attempts).max(1);
        let mut state =
            RetryState::new(RetryPolicy { is_idempotent, max_attempts, retries_after_reset: false });
        let (mut sends, mut attempts) = (0, 0);
        for AttemptResult(event) in results {
            state.handle(Event::UpstreamChosen);
            state.handle(Event::Connected);
            sends += 1;
            attempts += u32::from(!matches!(event, Event::NotSent | Event::Misdirected));
            if let Step::Finish(_) = state.handle(event) {
                break;
            }
        }
        sends <= 4 && attempts <= max_attempts
    }
}
