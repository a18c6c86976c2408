//! The binary and servers whose responses are malformed, or are followed by further bytes.
mod common;

use common::sockets::*;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

#[test]
fn an_invalid_response_fails_at_once_and_closes_its_connection() {
    let invalid_responses = [
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part",
        "HTTP/1.1 200 OK\r\nX-Endless: ",
        "HTTP/1.1 200 OK\r\n\r\nwith no length",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on",
        "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 2000 OK\r\n\r\n",
        "\u{1}\u{2}\u{3} noise",
    ];
    for invalid in invalid_responses {
        let count = AtomicU32::new(0);
        let server = FakePeer::new(move |_| match count.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::Raw(invalid.into()),
            _ => ok("good"),
        });
        let limiter = LimiterProcess::start_with_servers(&[&server]);
        // The request may have executed. It is retried only because of its idempotency key, and within the
        // time that its client has left.
        let started = Instant::now();
        let response = limiter.client().request(&post("bind", "x"));
        assert_eq!((response.status(), response.text().as_str()), (200, "good"), "{invalid:?}");
        assert!(started.elapsed() < Duration::from_millis(1500), "{invalid:?}: {:?}", started.elapsed());
        assert_eq!(server.request_count(), 2);
        wait_until("the connection is closed", || server.closed_count() >= 1);
    }
}

#[test]
fn bytes_after_a_response_are_not_read_as_the_next_response() {
    let request_id = |m: &Message| m.header("x-correlation-id").unwrap_or_default().to_string();
    for pause in [None, Some(0), Some(1), Some(3)] {
        let server = FakePeer::new(move |m| {
            let (valid, copy) = (raw("200 OK", "", &request_id(m)), raw("200 OK", "", "a copy"));
            match pause {
                None => Reply::Raw(valid + &copy),
                Some(ms) => Reply::Pieces(vec![(Duration::ZERO, valid), (Duration::from_millis(ms), copy)]),
            }
        });
        let limiter = LimiterProcess::start_with_servers(&[&server]);
        let mut client = limiter.client();
        for _ in 0..20 {
            let request = post("once", "x");
            let response = client.request(&request);
            assert!(request.contains(&response.text()), "{pause:?}: {}", response.text());
        }
    }
}

#[test]
fn a_connection_is_reused_only_after_a_delay() {
    // The reuse delay is longer than the latest arrival of a second response ever observed. On a slow
    // machine, the test only checks it less often.
    for _ in 0..5 {
        let server = FakePeer::new(|_| ok("served"));
        let limiter = LimiterProcess::start_with_servers(&[&server]);
        let mut client = limiter.client();
        let started = Instant::now();
        assert_eq!(client.request(&post("once", "x")).status(), 200);
        std::thread::sleep(Duration::from_millis(6));
        assert_eq!(client.request(&post("once", "x")).status(), 200);
        if started.elapsed() < Duration::from_millis(9) {
            assert_eq!(server.accepted_count(), 2, "the reuse delay of the first connection is not over");
        }
        std::thread::sleep(Duration::from_millis(50));
        let before = server.accepted_count();
        assert_eq!(client.request(&post("once", "x")).status(), 200);
        assert_eq!(server.accepted_count(), before, "a connection is reused after the reuse delay");
    }
}

#[test]
fn an_informational_response_is_skipped_however_long_the_final_one_takes() {
    let server = FakePeer::new(|_| {
        Reply::Pieces(vec![
            (Duration::ZERO, "HTTP/1.1 102 Processing\r\n\r\n".into()),
            (Duration::from_millis(600), raw("200 OK", "", "served")),
        ])
    });
    let limiter = LimiterProcess::start_with_servers(&[&server]);
    for _ in 0..2 {
        let response = limiter.client().request(&post("once", "x"));
        assert_eq!((response.status(), response.text().as_str()), (200, "served"));
    }
}

#[test]
fn an_invalid_number_in_a_response_blocks_no_tenant() {
    for number in ["-5", "99999", "1e9", "NaN", "inf", "much"] {
        let headers = format!("X-Settled: {number}\r\nX-Backend-Load: util={number},queue=-1\r\n");
        let server = FakePeer::new(move |_| Reply::Raw(raw("200 OK", &headers, "served")));
        let limiter = LimiterProcess::start_with_servers(&[&server]);
        let mut client = limiter.client();
        // The plan has a burst of four units.
        for n in 0..4 {
            assert_eq!(client.request(&quote("small", 9000)).status(), 200, "{number}: request {n}");
        }
    }
}

#[test]
fn endless_informational_responses_delay_a_request_no_longer_than_its_client_waits() {
    let server = FakePeer::new(|_| {
        let line = || (Duration::from_millis(10), "HTTP/1.1 103 Early Hints\r\n\r\n".to_string());
        Reply::Pieces((0..400).map(|_| line()).collect())
    });
    let limiter = LimiterProcess::start_with_servers(&[&server]);
    let started = Instant::now();
    let response = limiter.client().request(&post("once", "x").replace("9000m", "1000m"));
    assert_eq!(response.status(), 502, "the request may have executed");
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
    assert_eq!(limiter.client().request("GET /up HTTP/1.1\r\n\r\n").status(), 200);
}
