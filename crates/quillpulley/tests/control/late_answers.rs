//! Answers whose process stood still between the decision and the writing.

use crate::api::{call, send, Told};
use quillpulley::control::api::{self, Faults};
use quillpulley::control::clock::Clock;
use quillpulley::control::orders::Answer;
use quillpulley::control::timed_answer::TimedAnswer;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(10);
/// The end of the lease under which all answers here are decided, in milliseconds.
const LEASE_END_MS: u64 = 810;

/// What a caller gets whose answer was decided at 0 and is written at `written_at_ms`.
fn written_at(written_at_ms: u64, faults: Faults, answer: Answer) -> Told {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let address = listener.local_addr().expect("an address");
    let milliseconds = Arc::new(AtomicU64::new(0));
    let shown = milliseconds.clone();
    let clock = Clock::reading(move || Duration::from_millis(shown.load(Ordering::SeqCst)));
    let (deliver, calls) = mpsc::channel();
    let deliver = move |call| deliver.send(call).map_err(|refused| refused.0);
    api::serve_with_faults(listener, clock, faults, deliver).expect("a server");
    let caller = std::thread::spawn(move || send(address, &call("GET", "/v1/Config.Get")));
    let taken = calls.recv_timeout(PATIENCE).expect("a call");
    let decided = TimedAnswer::until(Duration::from_millis(LEASE_END_MS), answer);
    // Here the process stands still.
    milliseconds.store(written_at_ms, Ordering::SeqCst);
    taken.reply.send(decided);
    caller.join().expect("an answer")
}

/// Every answer that states what is in force, or where that is known.
fn statements() -> Vec<(u16, Answer)> {
    let primary = "10.0.0.4:8080".parse().expect("an address");
    vec![
        (200, Answer::Done),
        (200, Answer::Configuration(b"{\"Version\":5}".as_slice().into())),
        (404, Answer::NoConfiguration),
        (412, Answer::Conflict { current: 5 }),
        (400, Answer::Invalid("its version is not above the current one".to_string())),
        (307, Answer::Redirect(primary)),
    ]
}

/// The statuses of the statements that are written as they were decided, although the lease has ended.
fn statements_after_the_lease(faults: Faults) -> Vec<u16> {
    let times = [LEASE_END_MS, 20_000];
    let cases = times.into_iter().flat_map(|time| statements().into_iter().map(move |case| (time, case)));
    let told = cases.map(|(time, (_, answer))| written_at(time, faults, answer));
    told.filter(|told| told.status != 503).map(|told| told.status).collect()
}

#[test]
fn what_is_in_force_is_stated_while_the_lease_runs() {
    for (status, answer) in statements() {
        assert_eq!(written_at(LEASE_END_MS - 1, Faults::default(), answer).status, status);
    }
}

#[test]
fn nothing_is_stated_once_the_lease_has_ended() {
    assert_eq!(statements_after_the_lease(Faults::default()), Vec::<u16>::new());
    let told =
        written_at(20_000, Faults::default(), Answer::Configuration(b"{\"Version\":5}".as_slice().into()));
    assert!(told.headers.contains("retry-after: 0.2"), "{}", told.headers);
    assert!(!told.body.contains("Version"), "{}", told.body);
}

#[test]
fn a_writer_that_does_not_look_at_the_clock_is_caught() {
    let faults = Faults { write_without_look: true };
    assert!(!statements_after_the_lease(faults).is_empty());
}

#[test]
fn what_rests_on_no_lease_is_written_at_any_time() {
    let lasting = TimedAnswer::lasting(Answer::Invalid("no number".to_string()));
    assert_eq!(lasting.at(Duration::from_secs(86_400)), Answer::Invalid("no number".to_string()));
}
