//! The binary and its clients, well-behaved or not, on loopback sockets.
mod common;

use common::sockets::*;
use serde_json::json;
use std::io::Read;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[test]
fn a_client_that_disconnects_cancels_its_attempt() {
    let server = FakePeer::new(|_| Reply::Silence);
    let limiter = LimiterProcess::start_with_servers(&[&server]);
    let mut client = limiter.client();
    client.send(&quote("roomy", 60_000));
    wait_until("the request is forwarded", || server.request_count() == 1);
    client.close();
    wait_until("its attempt is closed", || server.closed_count() == 1);
    assert_eq!(server.request_count(), 1, "the request is not retried");
}

#[test]
fn bytes_after_a_request_do_not_hide_that_its_client_disconnected() {
    let server = FakePeer::new(|_| Reply::Silence);
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let mut settings = settings();
    // The deadline is so long that it does not end the attempt while the test waits.
    settings["classes"][0]["deadline-s"] = json!(120.0);
    let limiter = LimiterProcess::start(settings, &discovery, counter().address);
    for (n, only_shuts_down) in [false, true].into_iter().enumerate() {
        let mut client = limiter.client();
        client.send(&(quote("roomy", 120_000) + &quote("roomy", 120_000) + &"x".repeat(100_000)));
        wait_until("the request is forwarded", || server.request_count() == n + 1);
        if only_shuts_down {
            // A client that shuts down its sending side counts as disconnected, since it may not read a
            // response.
            client.shutdown_write();
        } else {
            client.close();
        }
        wait_until("its attempt is closed", || server.closed_count() == n as u32 + 1);
    }
    assert_eq!(server.request_count(), 2, "the bytes after the requests are not forwarded");
}

#[test]
fn a_client_that_disconnects_while_its_attempt_waits_for_a_connection_is_not_forwarded() {
    // The request has not been sent yet, so this holds whether or not the settings let the limiter cancel
    // attempts.
    for cancel in [true, false] {
        for extra_bytes in ["", "GET /more"] {
            check_disconnect_while_connecting(cancel, extra_bytes);
        }
    }
}

fn check_disconnect_while_connecting(cancel: bool, extra_bytes: &str) {
    let (listener, stalled_address, queue_fillers) = stalled_listener();
    let discovery = discovery(vec![instance("s-0", stalled_address, "in_service")]);
    let mut settings = settings();
    settings["limits"]["connect-timeout-s"] = json!(60.0);
    settings["limits"]["cancel"] = json!(cancel);
    settings["classes"][0]["deadline-s"] = json!(120.0);
    let limiter = LimiterProcess::start(settings, &discovery, counter().address);
    // Once a later request has its response, the limiter has read what was sent before.
    let wait_until_all_read =
        || assert_eq!(limiter.client().request("GET /up HTTP/1.1\r\n\r\n").status(), 200);
    let mut disconnecting = limiter.client();
    disconnecting.send(&(quote("roomy", 120_000) + extra_bytes));
    wait_until_all_read();
    disconnecting.close();
    wait_until_all_read();
    // Now the connections are established. Those that the limiter still needs get their requests at once. If
    // the limiter may not cancel attempts, one connection is established and closed without a request.
    let filler_addresses: Vec<_> = queue_fillers.iter().filter_map(|f| f.local_addr().ok()).collect();
    drop(queue_fillers);
    let mut client = limiter.client();
    let last_request = quote("roomy", 120_000);
    client.send(&last_request);
    let id = last_request.split("X-Correlation-Id: ").nth(1).and_then(|rest| rest.get(..16)).expect("an id");
    listener.set_nonblocking(true).expect("set");
    let mut open: Vec<TcpStream> = Vec::new();
    let (mut received, mut closed_count, mut buffer) = (String::new(), 0, [0; 4096]);
    wait_until("the last request arrives, and each other connection was closed or has received one", || {
        while let Ok((socket, peer)) = listener.accept() {
            if peer.as_socket().is_some_and(|peer| !filler_addresses.contains(&peer)) {
                let stream: TcpStream = socket.into();
                stream.set_nonblocking(true).expect("set");
                open.push(stream);
            }
        }
        open.retain_mut(|stream| match stream.read(&mut buffer) {
            Ok(0) => {
                closed_count += 1;
                false
            }
            Ok(n) => {
                received += &String::from_utf8_lossy(&buffer[..n]);
                true
            }
            Err(_) => true,
        });
        let requests_received = received.matches("GET /quote").count();
        received.contains(id) && (cancel || closed_count + requests_received == 2)
    });
    assert_eq!(received.matches("GET /quote").count(), 1, "cancel {cancel}: {received}");
}

#[test]
fn a_client_that_disconnected_before_it_was_accepted_is_not_forwarded() {
    let server = FakePeer::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    // There is room for about twenty clients, which is used up by clients whose bodies never arrive.
    let limiter = LimiterProcess::start_with_sockets(72, settings(), &discovery, counter().address);
    let body = post("bind", "12345678");
    let incomplete: Vec<Client> = (0..60)
        .map(|_| {
            let mut client = limiter.client();
            client.send(&body[..body.len() - 4]);
            client
        })
        .collect();
    let mut disconnected = limiter.client();
    let request = quote("roomy", 9000);
    disconnected.send(&(request.clone() + "GET /more"));
    disconnected.close();
    // Connections are accepted in order, so this one is accepted after that of the disconnected client.
    assert_eq!(limiter.client().request(&quote("roomy", 9000)).status(), 200);
    let id = request.split("X-Correlation-Id: ").nth(1).and_then(|rest| rest.get(..16)).expect("an id");
    let forwarded = server.requests().into_iter().filter(|m| m.header("x-correlation-id") == Some(id));
    assert_eq!(forwarded.count(), 0);
    drop(incomplete);
}

#[test]
fn a_request_past_its_deadline_is_rejected_and_not_forwarded() {
    let server = FakePeer::new(|_| ok("served"));
    let limiter = LimiterProcess::start_with_servers(&[&server]);
    for time_left_ms in [0, 1, 10] {
        assert_eq!(
            limiter.client().request(&quote("roomy", time_left_ms)).status(),
            429,
            "{time_left_ms} ms"
        );
    }
    assert_eq!(server.request_count(), 0);
    assert_eq!(limiter.client().request(&quote("roomy", 9000)).status(), 200);
}

#[test]
fn malformed_requests_reach_no_server() {
    let server = FakePeer::new(|_| ok("served"));
    let limiter = LimiterProcess::start_with_servers(&[&server]);
    let valid = post("bind", "x");
    let mut cases = vec![
        ("no HTTP\r\n\r\n".to_string(), 400),
        (valid.replace("/bind/", "/elsewhere/"), 404),
        (valid.replace("/bind/00000000b4d65521", "/"), 404),
        (valid.replace("b4d65521 ", "b4d65521/more "), 404),
        (valid.replace("00000000b4d65521", "b4d65521"), 400),
        (valid.replace("00000000b4d65521", "zzzzzzzzb4d65521"), 400),
        (valid.replace("POST ", "GET ").replace("Content-Length: 1\r\n", ""), 400),
        (valid.replace(": roomy", ": unheard-of"), 400),
        (valid.replace("9000m", "9000"), 400),
        (valid.replace("9000m", "NaNm"), 400),
        (valid.replace("9000m", "-5m"), 400),
        (valid.replace("9000m", "1e3m"), 400),
        (valid.replace("9000m", "infm"), 400),
        (valid.replace("00000000b4d65521", "00000002b4d65521"), 400),
        (valid.replace("00000000b4d65521", "+0000000b4d65521"), 400),
        (valid.replace("units=2", "units=-2"), 400),
        (valid.replace("units=2", "units=+2"), 400),
        (valid.replace("units=2", "units=inf"), 400),
        (valid.replace("units=2", "units=2,units=2"), 400),
        (valid.replace("units=2", "units=2,"), 400),
        (valid.replace("first=1", "first=0.5"), 400),
        (valid.replace("first=1", "first=99999999999999999999"), 400),
        (valid.replace("first=1", "first=-1"), 400),
        (quote("roomy", 9000).replace("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\nx"), 400),
        (valid.replace("Host:", &format!("X-Much: {}\r\nHost:", "x".repeat(20_000))), 431),
        (valid.replace("Content-Length: 1\r\n", "Content-Length: 99999999999999999999\r\n"), 400),
        (valid.replace("units=2", "units=NaN"), 400),
        (valid.replace("units=2", "units=1e9"), 400),
        (valid.replace("units=2", "units=0"), 400),
        (valid.replace("spread=2", "spread=0"), 400),
        (valid.replace("spread=2", "spread=3"), 400),
        (valid.replace("first=1", "first=2"), 400),
        (valid.replace("Content-Length: 1\r\n", "Content-Length: -1\r\n"), 400),
        (valid.replace("Content-Length: 1\r\n", "Content-Length: 65537\r\n"), 413),
        (
            valid
                .replace("Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n")
                .replace("\r\n\r\nx", &format!("\r\n\r\n10001\r\n{}\r\n0\r\n\r\n", "x".repeat(65537))),
            413,
        ),
    ];
    for name in ["X-Correlation-Id", "X-Contract", "X-Time-Left", "X-Metering", "Idempotency-Key"] {
        let without: Vec<&str> = valid.split("\r\n").filter(|line| !line.starts_with(name)).collect();
        cases.push((without.join("\r\n"), 400));
        let twice = valid.split("\r\n").find(|line| line.starts_with(name)).expect("a line with this header");
        cases.push((valid.replace(twice, &format!("{twice}\r\n{twice}")), 400));
    }
    for (text, status) in cases {
        assert_ne!(text, valid);
        let mut client = limiter.client();
        assert_eq!(client.request(&text).status(), status, "{}", &text[..text.len().min(400)]);
        assert!(client.response().is_none(), "the connection is closed after the error response");
    }
    // A client sends an incomplete request and disconnects.
    let mut client = limiter.client();
    client.send(&valid[..valid.len() - 1]);
    client.close();
    assert_eq!(server.request_count(), 0);
    assert_eq!(limiter.client().request(&valid).status(), 200, "the limiter still serves requests");
}

#[test]
fn a_new_client_replaces_the_one_that_has_been_idle_longest() {
    let server = FakePeer::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    // With so few sockets, there is room for about twenty clients.
    let limiter = LimiterProcess::start_with_sockets(72, settings(), &discovery, counter().address);
    let mut clients: Vec<Client> = Vec::new();
    for n in 0..60 {
        let mut client = limiter.client();
        assert_eq!(client.request(&quote("roomy", 9000)).status(), 200, "client {n}");
        clients.push(client);
    }
    assert!(clients[0].response().is_none(), "the first connection was closed");
    assert_eq!(clients[59].request(&quote("roomy", 9000)).status(), 200, "the last connection is still open");
}

#[test]
fn clients_beyond_the_connection_limit_wait_until_others_get_their_responses() {
    let gate = Arc::new(AtomicBool::new(false));
    let server_gate = gate.clone();
    let server = FakePeer::new(move |_| {
        wait_for_gate(&server_gate);
        ok("served")
    });
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let limiter = LimiterProcess::start_with_sockets(40, settings(), &discovery, counter().address);
    // At most four clients may be connected at a time. Each of them has an open request, and stays connected
    // after its response.
    let mut clients: Vec<Client> = (0..12).map(|_| limiter.client()).collect();
    for client in &mut clients {
        client.send(&quote("roomy", 9000));
    }
    wait_until("some requests are forwarded", || server.request_count() > 0);
    gate.store(true, Ordering::SeqCst);
    for client in &mut clients {
        assert!(matches!(client.response(), Some(a) if a.status() == 200 || a.status() == 429));
    }
}

#[test]
fn a_request_with_two_lengths_hides_no_other_request() {
    let server = FakePeer::new(|_| ok("served"));
    let limiter = LimiterProcess::start_with_servers(&[&server]);
    let (hidden, outer) = (quote("roomy", 9000), post("bind", ""));
    let length = format!("Content-Length: {}\r\n", hidden.len() + 5);
    let chunked = "Transfer-Encoding: chunked\r\n";
    for both in [format!("{length}{chunked}"), format!("{chunked}{length}")] {
        let mut client = limiter.client();
        let text = outer.replace("Content-Length: 0\r\n", &both) + "0\r\n\r\n" + &hidden;
        assert_eq!(client.request(&text).status(), 400, "{both}");
        assert!(client.response().is_none(), "the bytes after the request are not read");
    }
    assert_eq!(server.request_count(), 0, "neither request reaches a server");
    // A request that is only chunked is served. The bytes after it are not read as a request either.
    let mut client = limiter.client();
    let text = outer.replace("Content-Length: 0\r\n", chunked) + "1\r\nx\r\n0\r\n\r\n" + &hidden;
    let response = client.request(&text);
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(client.response().is_none());
    assert_eq!((server.request_count(), server.requests()[0].text().as_str()), (1, "x"));
}

#[test]
fn a_request_whose_id_is_already_open_is_rejected() {
    let gate = Arc::new(AtomicBool::new(false));
    let server_gate = gate.clone();
    let server = FakePeer::new(move |_| {
        wait_for_gate(&server_gate);
        ok("served")
    });
    let limiter = LimiterProcess::start_with_servers(&[&server]);
    let (mut first, copy) = (limiter.client(), quote("roomy", 9000));
    first.send(&copy);
    wait_until("the request is forwarded", || server.request_count() == 1);
    assert_eq!(limiter.client().request(&copy).status(), 409);
    gate.store(true, Ordering::SeqCst);
    assert_eq!(first.response().expect("a response").status(), 200);
    assert_eq!(server.request_count(), 1);
    // After the final response, the id may be used again.
    assert_eq!(limiter.client().request(&copy).status(), 200);
}

#[test]
fn an_error_reaches_a_client_that_is_still_sending() {
    let server = FakePeer::new(|_| ok("served"));
    let limiter = LimiterProcess::start_with_servers(&[&server]);
    let extra_bytes = "x".repeat(128 * 1024);
    for (text, status) in [
        (post("bind", "x").replace("Content-Length: 1\r\n", "Content-Length: 60000000\r\n"), 413),
        (post("bind", "x").replace("units=2", "units=0"), 400),
        ("no HTTP at all\r\n\r\n".to_string(), 400),
    ] {
        for _ in 0..5 {
            let mut client = limiter.client();
            client.send(&text);
            // The bytes are sent in pieces, so that some arrive after the response was written. A reset would
            // end this.
            for piece in extra_bytes.as_bytes().chunks(1024) {
                client.send(std::str::from_utf8(piece).expect("text"));
            }
            assert_eq!(
                client.response().expect("the error response instead of a reset").status(),
                status,
                "{text}"
            );
        }
    }
    assert_eq!(server.request_count(), 0);
}

/// Each case has the beginning of a request, and the bytes that the client sends repeatedly after it. No
/// request is ever complete.
#[test]
fn clients_without_a_complete_request_are_disconnected_in_time() {
    let server = FakePeer::new(|_| ok("served"));
    let limiter = LimiterProcess::start_with_servers(&[&server]);
    let complete = post("bind", "12345678");
    let cases: [(&str, &str); 5] = [
        ("", ""),
        ("POST /bind/0000", ""),
        (&complete[..complete.len() - 4], ""),
        ("POST /bind/00000000b4d65521 HTTP/1.1\r\n", "X-More: 1\r\n"),
        (&complete.replace("Content-Length: 8", "Content-Length: 6000"), "xxxxxxxx"),
    ];
    let ends: Vec<_> = cases
        .iter()
        .map(|(start, more)| {
            let (mut client, started, more) = (limiter.client(), Instant::now(), more.to_string());
            client.send(start);
            std::thread::spawn(move || {
                client.set_read_timeout(Duration::from_millis(100));
                while started.elapsed() < TIMEOUT && !client.has_received() {
                    client.send_ignoring_errors(more.as_bytes());
                }
                started.elapsed()
            })
        })
        .collect();
    for (n, end) in ends.into_iter().enumerate() {
        let elapsed = end.join().expect("joined");
        // The time counts from the connect, however many bytes arrive: 3 s, and more for a slow machine.
        assert!(elapsed < Duration::from_secs(5), "case {n}: {elapsed:?}");
    }
    assert_eq!(server.request_count(), 0);
}

#[test]
fn connections_without_a_request_displace_no_client() {
    let server = FakePeer::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    // There is room for about twenty clients.
    let limiter = LimiterProcess::start_with_sockets(72, settings(), &discovery, counter().address);
    let mut active_clients: Vec<Client> = (0..8).map(|_| limiter.client()).collect();
    for client in &mut active_clients {
        assert_eq!(client.request(&quote("roomy", 9000)).status(), 200);
    }
    let _silent_clients: Vec<Client> = (0..60).map(|_| limiter.client()).collect();
    // A client that connects after all of them is served before they are disconnected by the timeout.
    let started = Instant::now();
    assert_eq!(limiter.client().request(&quote("roomy", 9000)).status(), 200);
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    for client in &mut active_clients {
        assert_eq!(
            client.request(&quote("roomy", 9000)).status(),
            200,
            "clients that send requests stay connected"
        );
    }
}

#[test]
fn an_idle_client_is_disconnected() {
    let server = FakePeer::new(|_| ok("served"));
    let limiter = LimiterProcess::start_with_servers(&[&server]);
    let mut client = limiter.client();
    assert_eq!(client.request(&quote("roomy", 9000)).status(), 200);
    let started = Instant::now();
    assert!(client.response().is_none(), "the idle connection is closed");
    let idle = started.elapsed();
    assert!(idle > Duration::from_secs(2) && idle < Duration::from_secs(8), "{idle:?}");
}
