//! Tests of responses whose lease expires because the process is suspended after a response was decided and
//! before it is written.

use crate::api::{request_text, send, HttpResponse};
use quillpulley::control::api::{self, Faults};
use quillpulley::control::clock::Clock;
use quillpulley::control::response::Response;
use quillpulley::control::response::TimedResponse;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(10);
/// The end of the lease under which all responses of these tests are decided, in milliseconds.
const LEASE_END_MS: u64 = 810;

/// Returns the response that a caller gets if `response` is decided at 0 ms and written at `written_at_ms`.
fn response_written_at(written_at_ms: u64, faults: Faults, response: Response) -> HttpResponse {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind the socket");
    let address = listener.local_addr().expect("no valid address");
    let now_ms = Arc::new(AtomicU64::new(0));
    let clock_ms = now_ms.clone();
    let clock = Clock::from_fn(move || Duration::from_millis(clock_ms.load(Ordering::SeqCst)));
    let (deliver, requests) = mpsc::channel();
    let deliver = move |request| deliver.send(request).map_err(|rejected| rejected.0);
    api::serve_with_faults(listener, clock, faults, deliver).expect("cannot start the server");
    let caller = std::thread::spawn(move || send(address, &request_text("GET", "/v1/Config.Get")));
    let request = requests.recv_timeout(TIMEOUT).expect("no request");
    let decided = TimedResponse::expiring_at(Duration::from_millis(LEASE_END_MS), response);
    // The process is suspended at this point.
    now_ms.store(written_at_ms, Ordering::SeqCst);
    request.responder.send(decided);
    caller.join().expect("the client thread panicked")
}

/// Returns every kind of response that depends on the newest state or names the primary, with its status.
fn lease_dependent_responses() -> Vec<(u16, Response)> {
    let primary = "10.0.0.4:8080".parse().expect("no valid address");
    vec![
        (200, Response::Acknowledged),
        (200, Response::Configuration(b"{\"Version\":5}".as_slice().into())),
        (404, Response::NoConfiguration),
        (412, Response::Conflict { current: 5 }),
        (400, Response::Invalid("its version is not above the current one".to_string())),
        (307, Response::Redirect(primary)),
    ]
}

/// Returns the statuses of the lease-dependent responses that are written as decided although the lease has
/// ended.
fn statuses_written_after_the_lease(faults: Faults) -> Vec<u16> {
    let times = [LEASE_END_MS, 20_000];
    let cases = times
        .into_iter()
        .flat_map(|time| lease_dependent_responses().into_iter().map(move |case| (time, case)));
    let responses = cases.map(|(time, (_, response))| response_written_at(time, faults, response));
    responses.filter(|response| response.status != 503).map(|response| response.status).collect()
}

#[test]
fn lease_dependent_responses_are_written_while_the_lease_runs() {
    for (status, response) in lease_dependent_responses() {
        assert_eq!(response_written_at(LEASE_END_MS - 1, Faults::default(), response).status, status);
    }
}

#[test]
fn lease_dependent_responses_are_not_written_after_the_lease_has_ended() {
    assert_eq!(statuses_written_after_the_lease(Faults::default()), Vec::<u16>::new());
    let response = response_written_at(
        20_000,
        Faults::default(),
        Response::Configuration(b"{\"Version\":5}".as_slice().into()),
    );
    assert!(response.headers.contains("retry-after: 0.2"), "{}", response.headers);
    assert!(!response.body.contains("Version"), "{}", response.body);
}

#[test]
fn a_writer_that_does_not_check_the_clock_is_detected() {
    let faults = Faults { skip_lease_check: true };
    assert!(!statuses_written_after_the_lease(faults).is_empty());
}

#[test]
fn responses_without_expiry_are_written_at_any_time() {
    let without_expiry = TimedResponse::without_expiry(Response::Invalid("not a number".to_string()));
    assert_eq!(
        without_expiry.checked_at(Duration::from_secs(86_400)),
        Response::Invalid("not a number".to_string())
    );
}
