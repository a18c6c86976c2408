//! Tests of the detection of clock jumps, and of the responses that are written after a jump.

use crate::api::{request_text, send};
use quillpulley::control::api::{self, Faults};
use quillpulley::control::clock::{Clock, ClockReading};
use quillpulley::control::response::{Response, TimedResponse};
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(10);

/// The two clocks of a machine, set by the test, in milliseconds.
#[derive(Clone, Default)]
struct Clocks {
    monotonic: Arc<AtomicU64>,
    time_of_day: Arc<AtomicU64>,
}

impl Clocks {
    fn clock(&self) -> Clock {
        let clocks = self.clone();
        let read = |clock: &AtomicU64| Duration::from_millis(clock.load(Ordering::SeqCst));
        Clock::from_readings(move || ClockReading {
            monotonic: read(&clocks.monotonic),
            time_of_day: read(&clocks.time_of_day),
        })
    }

    fn set(&self, monotonic: u64, time_of_day: u64) {
        self.monotonic.store(monotonic, Ordering::SeqCst);
        self.time_of_day.store(time_of_day, Ordering::SeqCst);
    }
}

#[test]
fn only_a_time_of_day_that_gains_on_the_monotonic_clock_is_a_jump() {
    let clocks = Clocks::default();
    clocks.set(0, 1_000_000);
    let clock = clocks.clock();
    // The monotonic clock and the time of day in milliseconds, and the number of jumps counted so far.
    let readings = [
        (100, 1_000_100, 0),
        (200, 1_000_249, 0),
        (300, 1_000_398, 0),
        (400, 1_000_548, 1),
        (500, 1_060_000, 2),
        (20_500, 1_080_000, 2),
        (20_600, 1_000_000, 2),
        (20_700, 1_000_100, 2),
        (20_700, 1_000_100, 2),
    ];
    for (monotonic, time_of_day, jumps) in readings {
        clocks.set(monotonic, time_of_day);
        assert_eq!(clock.jumps(), jumps, "at {monotonic} ms");
        assert_eq!(clock.now(), Duration::from_millis(monotonic));
    }
}

#[test]
fn a_clock_with_a_single_source_never_jumps() {
    let clocks = Clocks::default();
    let monotonic = clocks.monotonic.clone();
    let clock = Clock::from_fn(move || Duration::from_millis(monotonic.load(Ordering::SeqCst)));
    for time in [10, 5_000, 100_000] {
        clocks.set(time, 0);
        assert_eq!(clock.jumps(), 0);
    }
}

/// Returns the status that a caller gets if the machine and its monotonic clock are paused for 20 s after the
/// response was decided and before it is written.
fn status_after_a_jump(response: TimedResponse, faults: Faults) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind the socket");
    let address = listener.local_addr().expect("no valid address");
    let clocks = Clocks::default();
    let (deliver, requests) = mpsc::channel();
    let deliver = move |request| deliver.send(request).map_err(|rejected| rejected.0);
    api::serve_with_faults(listener, clocks.clock(), faults, deliver).expect("cannot start the server");
    let caller = std::thread::spawn(move || send(address, &request_text("GET", "/v1/Config.Get")));
    let request = requests.recv_timeout(TIMEOUT).expect("no request");
    clocks.set(1, 20_000);
    request.responder.send(response);
    caller.join().expect("the client thread panicked").status
}

#[test]
fn lease_dependent_responses_are_not_written_after_a_jump() {
    let lease_end = Duration::from_millis(810);
    let conflict = || TimedResponse::expiring_at(lease_end, Response::Conflict { current: 5 });
    assert_eq!(status_after_a_jump(conflict(), Faults::default()), 503);
    assert_eq!(status_after_a_jump(conflict(), Faults { skip_lease_check: true }), 412);
    // The host decided this response after it had detected the jump and renewed the lease.
    assert_eq!(status_after_a_jump(conflict().with_known_jumps(1), Faults::default()), 412);
    let without_lease = TimedResponse::without_expiry(Response::Invalid("not a number".to_string()));
    assert_eq!(status_after_a_jump(without_lease, Faults::default()), 400);
}
