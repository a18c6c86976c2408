//! The binary and its signals, with fake peers on loopback sockets.
mod common;

use common::sockets::*;
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

// ----- SIGHUP -----

#[test]
fn sighup_switches_discovery_and_the_counter_to_the_addresses_in_the_file() {
    let (old, new) = (FakePeer::new(|_| ok("old")), FakePeer::new(|_| ok("new")));
    let (counter_1, counter_2) = (counter(), counter());
    let discovery_1 = discovery(vec![instance("s-0", old.address, "in_service")]);
    let discovery_2 = discovery(vec![instance("s-1", new.address, "in_service")]);
    let limiter = LimiterProcess::start(settings(), &discovery_1, counter_1.address);
    let mut client = limiter.client();
    wait_until("the first counter is called", || {
        assert_eq!(client.request(&quote("roomy", 9000)).text(), "old");
        counter_1.request_count() > 0
    });

    limiter.reload_with_addresses(discovery_2.address, counter_2.address);
    wait_until("the list of the second watch applies", || {
        client.request(&quote("roomy", 9000)).text() == "new"
    });
    assert_eq!(discovery_2.requests()[0].start_line, "GET /discovery/hosts?watch=1&after=10 HTTP/1.1");
    // The limiter closes its connections to the old addresses, and the old peers then close theirs.
    wait_until("the first watch is closed", || discovery_1.closed_count() == discovery_1.accepted_count());
    wait_until("the connections to the first counter are closed", || {
        counter_1.closed_count() == counter_1.accepted_count()
    });
    let calls = counter_1.request_count();
    wait_until("the second counter is called", || {
        assert_eq!(client.request(&quote("roomy", 9000)).text(), "new");
        counter_2.request_count() > 0
    });
    assert_eq!(counter_1.request_count(), calls, "the first counter gets no more calls");

    // Two changes back follow each other closely. The last one applies.
    limiter.reload_with_addresses(discovery_1.address, counter_2.address);
    limiter.reload_with_addresses(discovery_1.address, counter_1.address);
    wait_until("the first counter is called again", || {
        assert_eq!(client.request(&quote("roomy", 9000)).status(), 200);
        counter_1.request_count() > calls
    });
    assert_eq!(client.request(&quote("roomy", 9000)).text(), "old");
}

#[test]
fn sighup_with_a_missing_or_invalid_file_changes_nothing() {
    let server = FakePeer::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let mut limiter = LimiterProcess::start(settings(), &discovery, counter().address);
    for (n, text) in [Some("{\"discovery\":"), Some("{\"counter\":\"nowhere\"}"), None].iter().enumerate() {
        match text {
            Some(text) => std::fs::write(&limiter.config_file, text).expect("write"),
            None => std::fs::remove_file(&limiter.config_file).expect("remove"),
        }
        limiter.signal("-HUP");
        wait_until("the error is logged", || limiter.log().matches("SIGHUP").count() == n + 1);
        assert_eq!(limiter.client().request(&quote("roomy", 9000)).status(), 200);
    }
    assert_eq!((discovery.request_count(), discovery.closed_count()), (1, 0), "the watch stays open");
    limiter.terminate();
    limiter.signal("-HUP");
    assert_eq!(limiter.wait().code(), Some(0), "SIGHUP after SIGTERM does not kill the process");
}

// ----- SIGTERM -----

#[test]
fn sigterm_finishes_open_requests_and_still_accepts_new_ones() {
    let gate = Arc::new(AtomicBool::new(false));
    let server_gate = gate.clone();
    let server = FakePeer::new(move |m| {
        if m.start_line.contains("/bind/") {
            wait_for_gate(&server_gate);
        }
        ok("served")
    });
    let mut limiter = LimiterProcess::start_with_servers(&[&server]);
    let (mut busy, mut idle) = (limiter.client(), limiter.client());
    assert_eq!(idle.request(&quote("roomy", 9000)).status(), 200);
    busy.send(&post("bind", "x"));
    wait_until("the request is forwarded", || server.request_count() == 2);

    limiter.terminate();
    assert!(idle.response().is_none(), "an idle connection is closed");
    // New connections are still accepted for a while.
    let response = limiter.client().request(&quote("roomy", 9000));
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert_eq!(limiter.client().request("GET /up HTTP/1.1\r\n\r\n").status(), 503);
    gate.store(true, Ordering::SeqCst);
    let response = busy.response().expect("a response");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(busy.response().is_none(), "the connection is closed after the response");
    assert_eq!(limiter.wait().code(), Some(0));
}

#[test]
fn sigterm_closes_no_connection_with_a_partly_received_request() {
    let server = FakePeer::new(|_| ok("served"));
    let mut limiter = LimiterProcess::start_with_servers(&[&server]);
    let (mut partial, mut partial_first, mut idle) = (limiter.client(), limiter.client(), limiter.client());
    for client in [&mut partial, &mut idle] {
        assert_eq!(client.request(&quote("roomy", 9000)).status(), 200);
    }
    let (next, first) = (quote("roomy", 9000), post("bind", "12345678"));
    partial.send(&next[..40]);
    partial_first.send(&first[..40]);
    // Once a later request has its response, the limiter has read what was sent before.
    assert_eq!(limiter.client().request(&quote("roomy", 9000)).status(), 200);
    limiter.terminate();
    assert!(idle.response().is_none(), "an idle connection is closed");
    // This is longer than the time for which new connections are always accepted. After it, all idle
    // connections are closed.
    std::thread::sleep(Duration::from_millis(1_000));
    partial.send(&next[40..]);
    partial_first.send(&first[40..first.len() - 1]);
    let response = partial.response().expect("a response");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    // These bytes exceed the rest of the request, and are unread when the response is written. The response
    // must not be lost by a reset.
    partial_first.send(&format!("8{}", "x".repeat(100_000)));
    assert_eq!(partial_first.response().expect("a response").status(), 200);
    assert_eq!(limiter.wait().code(), Some(0));
}

#[test]
fn requests_that_arrive_after_sigterm_get_responses_before_sigkill() {
    let server = FakePeer::new(|_| Reply::Silence);
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let mut settings = settings();
    settings["classes"][0]["deadline-s"] = json!(60.0);
    let mut limiter = LimiterProcess::start(settings, &discovery, counter().address);
    let mut client = limiter.client();
    limiter.terminate();
    wait_until("the shutdown has begun", || limiter.log().contains("SIGTERM"));
    let started = Instant::now();
    client.send(&quote("roomy", 60_000));
    // The deadline counts as at most 3 s, and 0.7 s are added. The rest is for a slow machine.
    assert!(client.response().is_some_and(|response| response.status() >= 429));
    assert!(started.elapsed() < Duration::from_secs(8), "{:?}", started.elapsed());
    assert_eq!(limiter.wait().code(), Some(0));
}

/// Checks requests that are sent around the moment at which their idle connections are closed: each gets a
/// response, or is never forwarded. Each of 32 clients sends one, `idle` after its last response or later,
/// and 0.2 ms after the client before it. `close` runs at the same time.
fn check_requests_around_close(
    server: &FakePeer,
    limiter: &LimiterProcess,
    idle: Duration,
    close: impl FnOnce(),
) {
    let clients = (0..32).map(|_| {
        let mut client = limiter.client();
        assert_eq!(client.request(&quote("roomy", 9000)).status(), 200);
        (client, Instant::now() + idle)
    });
    let clients: Vec<(Client, Instant)> = clients.collect();
    let earliest = Instant::now() + Duration::from_millis(2);
    let exchanges = clients.into_iter().enumerate().map(|(n, (mut client, idle_until))| {
        std::thread::spawn(move || {
            let at = idle_until.max(earliest) + Duration::from_micros(200 * n as u64);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let request = quote("roomy", 9000);
            client.send_ignoring_errors(request.as_bytes());
            (request, client.response())
        })
    });
    let exchanges: Vec<_> = exchanges.collect();
    close();
    let exchanges: Vec<_> = exchanges.into_iter().map(|t| t.join().expect("joined")).collect();
    for (request, _) in exchanges.iter().filter(|(_, response)| response.is_none()) {
        let is_this_request =
            |m: &Message| m.header("x-correlation-id").is_some_and(|id| request.contains(id));
        assert!(
            !server.requests().iter().any(is_this_request),
            "a request was forwarded and got no response: {request}"
        );
    }
}

#[test]
fn a_request_sent_while_its_idle_connection_is_closed_gets_a_response_or_is_not_forwarded() {
    let server = FakePeer::new(|_| ok("served"));
    for _ in 0..4 {
        let mut limiter = LimiterProcess::start_with_servers(&[&server]);
        check_requests_around_close(&server, &limiter, Duration::ZERO, || limiter.terminate());
        assert_eq!(limiter.wait().code(), Some(0));
    }
    // A limiter that keeps running closes connections that have been idle for too long (2.5 s).
    let limiter = LimiterProcess::start_with_servers(&[&server]);
    check_requests_around_close(&server, &limiter, Duration::from_millis(2_498), || ());
    assert_eq!(limiter.client().request(&quote("roomy", 9000)).status(), 200);
}
