//! The binary with fake peers on loopback sockets.
mod common;

use common::sockets::*;
use serde_json::json;
use std::net::TcpStream;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const UNPROCESSED: &str = "X-Unprocessed: 1\r\n";

/// Returns the rule of a server that responds to its first `n` requests by `rule`, and successfully to all
/// others.
fn respond_to_first(n: u32, rule: impl Fn() -> Reply + Send + Sync + 'static) -> impl Fn(&Message) -> Reply {
    let count = AtomicU32::new(0);
    move |_| if count.fetch_add(1, Ordering::SeqCst) < n { rule() } else { ok("late but good") }
}

// ----- forwarding -----

#[test]
fn a_request_is_forwarded_unchanged_and_its_response_is_returned() {
    let server = FakePeer::new(|m| ok(&format!("echo {}", m.text())));
    let limiter = LimiterProcess::start_with_servers(&[&server]);
    let mut client = limiter.client();
    let sent = post("bind", "a policy");
    let response = client.request(&sent);
    assert_eq!((response.status(), response.text().as_str()), (200, "echo a policy"));
    // The connection is reused only after a delay of some milliseconds.
    std::thread::sleep(Duration::from_millis(50));
    let response = client.request(&quote("roomy", 1500));
    assert_eq!((response.status(), response.text().as_str()), (200, "echo "));

    let requests = server.requests();
    assert_eq!(requests[0].start_line, "POST /bind/00000000b4d65521 HTTP/1.1");
    for name in ["X-Correlation-Id", "Idempotency-Key"] {
        let value = requests[0].header(&name.to_ascii_lowercase()).expect(name);
        assert!(sent.contains(&format!("{name}: {value}\r\n")), "{name}: {value}");
    }
    assert_eq!(requests[0].text(), "a policy");
    assert_eq!(requests[1].start_line, "GET /quote/00000000b4d65521?from=tls&to=nce HTTP/1.1");
    let time_left = requests[1].header("x-time-left").and_then(|l| l.strip_suffix('u')?.parse::<u64>().ok());
    assert!((1..1_500_000).contains(&time_left.expect("microseconds")), "{time_left:?}");
    assert_eq!(server.accepted_count(), 1, "the connection is reused");
}

#[test]
fn a_tenant_beyond_its_quota_is_rejected_with_retry_after() {
    let server = FakePeer::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let mut settings = settings();
    // A Retry-After needs totals of the counter. With this timeout, the counter is not considered down on a
    // slow machine.
    settings["family-info"]["count-limit-s"] = json!(5.0);
    let limiter = LimiterProcess::start(settings, &discovery, counter().address);
    let (mut client, started) = (limiter.client(), Instant::now());
    let (mut served, mut rejected) = (0, Vec::new());
    wait_until("a rejection has a Retry-After", || {
        let response = client.request(&quote("small", 9000));
        match response.status() {
            200 => served += 1,
            429 => rejected.push(response.header("retry-after").map(|v| v.parse::<f64>())),
            _ => panic!("{}", response.start_line),
        }
        matches!(rejected.last(), Some(Some(_)))
    });
    let retry_after = rejected.pop().flatten();
    assert!(matches!(retry_after, Some(Ok(t)) if t > 0.0 && t <= 2.0), "{retry_after:?}");
    assert_eq!(served, server.request_count(), "rejected requests reach no server");
    // A burst of 4 and one more each second. Half as much again is allowed for borrowing.
    let max_served = 6.0 + 2.0 * started.elapsed().as_secs_f64();
    assert!(served >= 4 && served as f64 <= max_served, "{served} served, maximum {max_served}");
}

#[test]
fn an_empty_bucket_borrows_from_an_idle_quota() {
    let server = FakePeer::new(|_| ok("served"));
    let (discovery, counter) = (discovery(vec![instance("s-0", server.address, "in_service")]), counter());
    let mut settings = settings();
    settings["family-info"]["count-limit-s"] = json!(5.0);
    // This is one of two limiters: its bucket holds 80 units, and is refilled at 20 to 40 units/s.
    settings["tariffs"][1] = json!({"name": "small", "rate": 40.0, "depth": 160.0, "pays": 1.0});
    let limiter = LimiterProcess::start(settings, &discovery, counter.address);
    let request = || quote("small", 9000).replace("units=1,spread=1", "units=4,spread=2");
    let mut client = limiter.client();
    let (mut served, mut refilled, started) = (0.0, 0.0, Instant::now());
    wait_until("more units are served than the bucket held and was refilled with", || {
        served += if client.request(&request()).status() == 200 { 4.0 } else { 0.0 };
        refilled = 40.0 * started.elapsed().as_secs_f64();
        served > 80.0 + 8.0 + refilled
    });
    while client.request(&request()).status() == 200 {
        served += 4.0;
    }
    refilled = 40.0 * started.elapsed().as_secs_f64();
    assert!(served <= 80.0 + 48.0 + refilled, "{served} units: more than the limiter may borrow");
}

// ----- outcomes -----

/// Sends a request to a server whose first response is a fault. Returns the final response, and the requests
/// that the server received.
fn send_with_first_response(
    fault: impl Fn() -> Reply + Send + Sync + 'static,
    request: &str,
) -> (Message, Vec<Message>) {
    let server = FakePeer::new(respond_to_first(1, fault));
    let limiter = LimiterProcess::start_with_servers(&[&server]);
    (limiter.client().request(request), server.requests())
}

#[test]
fn a_request_of_any_class_is_retried_at_another_server_after_a_refused_connection() {
    for request in [quote("roomy", 9000), post("bind", "x"), post("once", "x")] {
        let working = FakePeer::new(|_| ok("served"));
        let (one, other) = (refusing_socket(), refusing_socket());
        let list = vec![
            instance("s-0", one.1, "in_service"),
            instance("s-1", other.1, "in_service"),
            instance("s-2", working.address, "in_service"),
        ];
        let limiter = LimiterProcess::start(settings(), &discovery(list), counter().address);
        let mut client = limiter.client();
        let response = client.request(&request);
        assert_eq!((response.status(), working.request_count()), (200, 1), "{}", response.start_line);
    }
}

#[test]
fn a_request_rejected_without_execution_is_retried_whatever_its_class() {
    for status in ["503 Service Unavailable", "504 Gateway Timeout"] {
        for request in [quote("roomy", 9000), post("bind", "x"), post("once", "x")] {
            let (response, requests) =
                send_with_first_response(move || Reply::Raw(raw(status, UNPROCESSED, "")), &request);
            assert_eq!((response.status(), requests.len()), (200, 2), "{request}");
        }
    }
}

#[test]
fn a_request_that_may_have_executed_is_retried_only_if_its_class_permits() {
    let faults: [fn() -> Reply; 6] = [
        || Reply::Raw(raw("500 Internal Server Error", "", "oops")),
        // Without the header `X-Unprocessed`, status 503 does not mean that the request was not executed.
        || Reply::Raw(raw("503 Service Unavailable", "", "")),
        || Reply::RawThenClose(String::new()),
        || Reply::RawThenClose("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part".into()),
        || Reply::RawThenClose("!!! this is no HTTP\r\n\r\n".into()),
        || Reply::Raw(raw("200 OK", "", &"x".repeat(64 * 1024 + 1))),
    ];
    for (n, fault) in faults.into_iter().enumerate() {
        let (response, requests) = send_with_first_response(fault, &post("bind", "x"));
        assert_eq!((response.status(), requests.len()), (200, 2), "fault {n}: {}", response.start_line);
        assert_eq!(response.text(), "late but good", "an invalid response is never forwarded to a client");
        let key = |m: &Message| (m.header("idempotency-key").map(String::from), m.body.clone());
        assert_eq!(key(&requests[0]), key(&requests[1]), "the retry has the same idempotency key");
        let (response, requests) = send_with_first_response(fault, &post("once", "x"));
        assert_eq!((response.status(), requests.len()), (502, 1), "fault {n}: {}", response.start_line);
    }
}

#[test]
fn a_retry_that_is_still_connecting_when_its_deduplication_window_ends_is_not_sent() {
    let hung = FakePeer::new(|_| Reply::Silence);
    let (listener, stalled_address, queue_fillers) = stalled_listener();
    let discovery = discovery(vec![instance("s-0", hung.address, "in_service")]);
    discovery.send_empty_lines();
    let mut settings = settings();
    settings["limits"]["connect-timeout-s"] = json!(60.0);
    settings["classes"][1]["deadline-s"] = json!(120.0);
    settings["classes"][1]["window-s"] = json!(4.0);
    let limiter = LimiterProcess::start(settings, &discovery, counter().address);
    let mut client = limiter.client();
    let request = post("bind", "x").replace("9000m", "120000m");
    client.send(&request);
    wait_until("the request is forwarded", || hung.request_count() == 1);
    // The request may have executed when its connection is lost, and the only server that is left does not
    // accept a connection yet. A third server, which drains too, shows when the limiter knows the list: it
    // then closes its idle connection to that server.
    let third = FakePeer::new(|_| ok("served"));
    discovery.push(&chunk(&update(11, false, &[instance("s-2", third.address, "in_service")])));
    wait_until("the third server is known", || {
        limiter.client().request(&quote("roomy", 200)).status() == 200
    });
    let draining = |n, peer: &FakePeer| instance(&format!("s-{n}"), peer.address, "terminating");
    let change = [draining(0, &hung), draining(2, &third), instance("s-1", stalled_address, "in_service")];
    discovery.push(&chunk(&update(12, false, &change)));
    wait_until("the change is known", || third.closed_count() == third.accepted_count());
    hung.close_all();
    // All servers together deduplicate this class, so that a retry by the client is safe even after the
    // window.
    let response = client.response().expect("a response before the connection is established");
    assert_eq!(response.status(), 429, "{}", response.start_line);
    drop((listener, queue_fillers));
}

#[test]
fn a_request_without_a_response_fails_before_its_deadline() {
    let server = FakePeer::new(|_| Reply::Silence);
    let limiter = LimiterProcess::start_with_servers(&[&server]);
    let started = Instant::now();
    let response = limiter.client().request(&quote("roomy", 1500));
    let elapsed = started.elapsed();
    assert!(response.status() >= 429, "{}", response.start_line);
    assert!(elapsed >= Duration::from_millis(200) && elapsed < Duration::from_secs(4), "{elapsed:?}");
    wait_until("the attempt's connection is closed", || server.closed_count() == server.accepted_count());
}

#[test]
fn an_attempt_starts_only_after_the_previous_one_is_closed() {
    // Requests hang, and the limiter cancels the attempts and retries at another server. That server responds
    // only after the first one has seen its connection close, or records that it did not.
    let overlap_count = Arc::new(AtomicU32::new(0));
    let hung = FakePeer::new(|_| Reply::Silence);
    let (first, recorded) = (hung.clone(), overlap_count.clone());
    let working = FakePeer::new(move |m| {
        let id = m.header("x-correlation-id").unwrap_or_default().to_string();
        let end = Instant::now() + Duration::from_secs(3);
        while !first.abandoned_ids().contains(&id) {
            if Instant::now() > end {
                recorded.fetch_add(1, Ordering::SeqCst);
                break;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        ok("served")
    });
    let list = vec![instance("s-0", hung.address, "in_service")];
    let discovery = discovery(list);
    let limiter = LimiterProcess::start(settings(), &discovery, counter().address);
    // Two requests hang at the only server, then a second server is listed.
    let clients: Vec<_> = (0..2)
        .map(|_| {
            let mut client = limiter.client();
            client.send(&quote("roomy", 9000));
            client
        })
        .collect();
    wait_until("both requests hang", || hung.request_count() == 2);
    discovery.push(&chunk(&update(11, false, &[instance("s-1", working.address, "in_service")])));
    let responses: Vec<_> =
        clients.into_iter().map(|mut c| c.response().expect("a response").status()).collect();
    assert!(responses.contains(&200), "{responses:?}");
    assert!(working.request_count() >= 1);
    assert_eq!(
        overlap_count.load(Ordering::SeqCst),
        0,
        "two attempts of a request were open at the same time"
    );
}

#[test]
fn a_reused_connection_that_its_server_closed_loses_no_request() {
    // The server closes the connection after every response, without a header that announces it.
    let server = FakePeer::new(|_| Reply::RawThenClose(raw("200 OK", "", "bye")));
    let limiter = LimiterProcess::start_with_servers(&[&server]);
    let mut client = limiter.client();
    for n in 1..=5 {
        assert_eq!(client.request(&post("once", "x")).status(), 200);
        assert_eq!(server.request_count(), n);
        wait_until("the server has closed the connection", || server.closed_count() == n as u32);
    }
}

#[test]
fn ejected_servers_are_used_again_later() {
    let (failing, gate) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicBool::new(true)));
    let servers: Vec<FakePeer> = (0..4)
        .map(|_| {
            let (failing, server_gate) = (failing.clone(), gate.clone());
            FakePeer::new(move |_| {
                wait_for_gate(&server_gate);
                match failing.load(Ordering::SeqCst) {
                    true => Reply::Raw(raw("500 Internal Server Error", "", "")),
                    false => ok("served"),
                }
            })
        })
        .collect();
    let list = servers.iter().enumerate();
    let list = list.map(|(n, s)| instance(&format!("s-{n}"), s.address, "in_service")).collect();
    // With this number of limiters, the in-flight limit of this limiter is two at each of the four servers.
    let mut settings = settings();
    settings["peers-total"] = json!(8);
    let limiter = LimiterProcess::start(settings, &discovery(list), counter().address);
    let mut clients: Vec<Client> = (0..4).map(|_| limiter.client()).collect();
    // These are three failures per server, so that the maximum number of servers is ejected.
    for _ in 0..12 {
        assert_eq!(clients[0].request(&post("once", "x")).status(), 502);
    }
    failing.store(false, Ordering::SeqCst);
    // Sends `n` requests at once, which the servers hold until each of them has arrived or was rejected.
    let mut served_at_once = |n: usize| {
        let request_count = || servers.iter().map(FakePeer::request_count).sum::<usize>();
        let count_before = request_count();
        gate.store(false, Ordering::SeqCst);
        clients[..n].iter_mut().for_each(|c| c.send(&post("once", "x")));
        let end = Instant::now() + Duration::from_millis(300);
        while request_count() < count_before + n && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(1));
        }
        gate.store(true, Ordering::SeqCst);
        clients[..n].iter_mut().all(|c| c.response().expect("a response").status() == 200)
    };
    // After the ejections end, each server responds successfully again.
    std::thread::sleep(Duration::from_millis(1500));
    served_at_once(4);
    // The number of requests is small, because an in-flight limit that rises a little with each response in
    // time would hide a permanent loss after a while.
    let served_both = (0..5).any(|_| {
        std::thread::sleep(Duration::from_millis(300));
        served_at_once(2)
    });
    assert!(served_both, "the capacity of the ejected servers was never used again");
}

// ----- discovery -----

#[test]
fn a_server_that_starts_draining_during_a_connect_gets_no_request() {
    let (listener, stalled_address, queue_fillers) = stalled_listener();
    let working = FakePeer::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", stalled_address, "in_service")]);
    let mut settings = settings();
    settings["limits"]["connect-timeout-s"] = json!(10.0);
    let limiter = LimiterProcess::start(settings, &discovery, counter().address);
    let mut client = limiter.client();
    client.send(&quote("roomy", 15_000));
    // The other server is listed while the limiter is connecting to the first one.
    std::thread::sleep(Duration::from_millis(100));
    let started = Instant::now();
    let change =
        [instance("s-0", stalled_address, "terminating"), instance("s-1", working.address, "in_service")];
    discovery.push(&chunk(&update(11, false, &change)));
    assert_eq!(client.response().expect("a response").status(), 200);
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
    drop(queue_fillers);
    // The connections that are still in the kernel's accept queue have received no request.
    listener.set_nonblocking(true).expect("set");
    while let Ok((accepted, _)) = listener.accept() {
        let mut stream: TcpStream = accepted.into();
        stream.set_read_timeout(Some(Duration::from_millis(100))).expect("set");
        assert!(
            !matches!(std::io::Read::read(&mut stream, &mut [0]), Ok(1..)),
            "a request was sent to the draining server"
        );
    }
}

#[test]
fn a_removed_server_loses_its_requests_in_flight() {
    let (hung, working) = (FakePeer::new(|_| Reply::Silence), FakePeer::new(|_| ok("served")));
    let discovery = discovery(vec![instance("s-0", hung.address, "in_service")]);
    // A single late response does not make the limiter cancel the attempt, so only the update of the list can
    // end it.
    let limiter = LimiterProcess::start(settings(), &discovery, counter().address);
    let mut client = limiter.client();
    client.send(&post("bind", "x"));
    wait_until("the request is forwarded", || hung.request_count() == 1);
    // A complete list without the server removes it. The line arrives in two parts.
    let line = chunk(&update(11, true, &[instance("s-1", working.address, "in_service")]));
    let (head, tail) = line.split_at(line.len() / 2);
    discovery.push(head);
    std::thread::sleep(Duration::from_millis(20));
    discovery.push(tail);
    assert_eq!(client.response().expect("a response").status(), 200);
    assert_eq!((hung.request_count(), working.request_count()), (1, 1));
    wait_until("the attempt at the removed server is closed", || {
        hung.closed_count() == hung.accepted_count()
    });
}

#[test]
fn a_server_that_moved_is_used_at_its_new_address() {
    let (old, new) = (FakePeer::new(|_| ok("old")), FakePeer::new(|_| ok("new")));
    let discovery = discovery(vec![instance("s-0", old.address, "in_service")]);
    let limiter = LimiterProcess::start(settings(), &discovery, counter().address);
    assert_eq!(limiter.client().request(&quote("roomy", 9000)).text(), "old");
    discovery.push(&chunk(&update(11, false, &[instance("s-0", new.address, "in_service")])));
    wait_until("the idle connection is closed", || old.closed_count() == 1);
    assert_eq!(limiter.client().request(&quote("roomy", 9000)).text(), "new");
    assert_eq!(old.request_count(), 1);
}

#[test]
fn a_broken_watch_resumes_after_the_last_received_version() {
    let server = FakePeer::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let limiter = LimiterProcess::start(settings(), &discovery, counter().address);
    assert!(discovery.requests()[0].start_line.starts_with("GET /discovery/hosts?watch=1"));
    wait_until("the first list is known", || limiter.client().request(&quote("roomy", 9000)).status() == 200);
    // The watch ends; a message is not JSON; a message never ends; an entry has no required fields.
    let invalid = [
        "",
        "{\"generation\": 12, ]",
        "{\"generation\": 12, ",
        "{\"generation\":12,\"instances\":[{\"cell\":1}]}",
    ];
    for (n, invalid) in invalid.iter().enumerate() {
        if invalid.is_empty() {
            discovery.close_all();
        } else {
            discovery.push(&chunk(invalid));
        }
        wait_until("the watch is open again", || discovery.request_count() == n + 2);
        assert_eq!(discovery.requests()[n + 1].start_line, "GET /discovery/hosts?watch=1&after=10 HTTP/1.1");
        assert_eq!(
            limiter.client().request(&quote("roomy", 9000)).status(),
            200,
            "the last list still applies"
        );
    }
    wait_until("the errors are logged", || limiter.log().matches("discovery: ").count() >= 4);
}

#[test]
fn an_invalid_server_entry_hides_no_other_entry() {
    let server = FakePeer::new(|_| ok("served"));
    let invalid = json!({"instanceId": "s-bad", "hostPort": "nowhere", "lifecycle": "in_service"});
    let discovery = discovery(vec![invalid, instance("s-0", server.address, "in_service")]);
    let limiter = LimiterProcess::start(settings(), &discovery, counter().address);
    wait_until("the valid entry is known", || {
        limiter.client().request(&quote("roomy", 9000)).status() == 200
    });
    assert_eq!(discovery.request_count(), 1, "the watch stays open");
}

#[test]
fn an_idle_watch_times_out() {
    // Without a timeout, a network partition would leave the watch open, since it causes no error.
    let server = FakePeer::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let _limiter = LimiterProcess::start(settings(), &discovery, counter().address);
    wait_until("a second watch is open", || discovery.request_count() == 2);
    wait_until("the first watch is closed", || discovery.closed_count() >= 1);
}

// ----- the counter -----

#[test]
fn the_counter_gets_the_forwarded_units() {
    let (server, counter) = (FakePeer::new(|_| ok("served")), counter());
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let limiter = LimiterProcess::start(settings(), &discovery, counter.address);
    let mut client = limiter.client();
    for n in 0.. {
        assert!(n < 50, "the counter was not called");
        assert_eq!(client.request(&quote("roomy", 9000)).status(), 200);
        if counter.request_count() > 0 {
            break;
        }
    }
    let call = counter.requests()[0].start_line.clone();
    let (path, query) = call.trim_end_matches(" HTTP/1.1").split_once('?').expect("a query");
    assert!(path.starts_with("POST /tally/") && path.len() <= "POST /tally/".len() + 64, "{call}");
    assert!(query.starts_with("n=") && query.contains("&keep_ms=40000"), "{call}");
}

#[test]
fn an_unresponsive_or_malformed_counter_delays_no_request() {
    let late = || {
        std::thread::sleep(Duration::from_millis(300));
        ok("999999")
    };
    let rules: [fn() -> Reply; 4] =
        [|| Reply::Silence, || ok("no number"), || Reply::RawThenClose("garbage\r\n\r\n".into()), late];
    for (n, rule) in rules.into_iter().enumerate() {
        let server = FakePeer::new(|_| ok("served"));
        let counter = FakePeer::new(move |_| rule());
        let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
        let limiter = LimiterProcess::start(settings(), &discovery, counter.address);
        let mut client = limiter.client();
        wait_until("the counter was called", || {
            assert_eq!(client.request(&quote("roomy", 9000)).status(), 200, "rule {n}");
            counter.request_count() >= 2
        });
        // The connection is closed after such a call, since a late response must not be read as that to the
        // next call.
        assert!(counter.accepted_count() >= 2, "rule {n}");
        wait_until("the connections are closed", || counter.closed_count() >= 2);
    }
}

#[test]
fn a_counter_that_refuses_connections_is_retried() {
    let server = FakePeer::new(|_| ok("served"));
    let (counter, address) = refusing_socket();
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let limiter = LimiterProcess::start(settings(), &discovery, address);
    let mut client = limiter.client();
    for _ in 0..20 {
        assert_eq!(client.request(&quote("roomy", 9000)).status(), 200);
    }
    counter.listen(16).expect("listen");
    counter.set_nonblocking(true).expect("set");
    wait_until("the counter is called again", || {
        assert_eq!(client.request(&quote("roomy", 9000)).status(), 200);
        counter.accept().is_ok()
    });
}

// ----- start and end -----

#[test]
fn a_closed_log_does_not_end_the_limiter() {
    let server = FakePeer::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let limiter = LimiterProcess::start(settings(), &discovery, counter().address);
    limiter.close_log();
    // Each broken watch writes a line to the log. The first line closes the log, the others find it closed.
    for watches in 2..5 {
        discovery.close_all();
        wait_until("the watch is open again", || discovery.request_count() == watches);
    }
    assert_eq!(limiter.client().request(&quote("roomy", 9000)).status(), 200);
}

#[test]
fn an_invalid_known_list_does_not_prevent_the_start() {
    let server = FakePeer::new(|_| ok("served"));
    for known in [json!({"generation": "x"}), json!("none"), json!({"generation": 3, "instances": [{}]})] {
        let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
        let limiter =
            LimiterProcess::start_with_known_list(known.clone(), settings(), &discovery, counter().address);
        wait_until("the list is known", || limiter.client().request(&quote("roomy", 9000)).status() == 200);
        assert!(
            limiter.startup_log().contains("ROUTER_CONFIG") && limiter.startup_log().contains("known"),
            "{known}"
        );
        // The version is not known either, so the limiter requests the complete list.
        assert_eq!(discovery.requests()[0].start_line, "GET /discovery/hosts?watch=1 HTTP/1.1");
    }
}

#[test]
fn a_missing_or_invalid_configuration_is_reported_in_one_line() {
    let valid = json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings()});
    let with = |key: &str, value: serde_json::Value| {
        let mut config = valid.clone();
        config[key] = value;
        Some(config.to_string())
    };
    let mut no_classes = settings();
    no_classes["classes"] = json!([]);
    for (config, expected) in [
        (None, "ROUTER_CONFIG"),
        (Some("{\"listen\":".into()), "ROUTER_CONFIG"),
        (with("settings", json!(null)), "settings"),
        (with("settings", no_classes), "classes"),
        (with("listen", json!(null)), "ROUTER_LISTEN"),
        (with("listen", json!("nowhere")), "ROUTER_CONFIG"),
        (with("discovery", json!(null)), "ROUTER_DISCOVERY"),
    ] {
        let mut command = command();
        let file = config.as_deref().map(write_config_file);
        if let Some(file) = &file {
            command.env("ROUTER_CONFIG", file);
        }
        let out = command.stderr(Stdio::piped()).output().expect("run");
        let message = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(1), "{message}");
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(message.contains(expected), "{expected}: {message}");
        if let Some(file) = file {
            let _ = std::fs::remove_file(file);
        }
    }
    let missing = command().env("ROUTER_CONFIG", "no/such/file").output().expect("run");
    assert!(String::from_utf8_lossy(&missing.stderr).contains("no/such/file"));
    assert_eq!(missing.status.code(), Some(1));
}
