//! Tests of the checks and limits that the proxy applies to client requests.

use crate::support::client::request;
use crate::support::{configuration, route, run, FakeServer, Proxy};
use std::time::Duration;
use tokio::time::timeout;

/// Maximum time until a configuration is in force, as the users' target states it.
const CONFIGURATION_TIME: Duration = Duration::from_millis(2_500);

/// Starts a proxy with one server.
async fn start() -> (Proxy, FakeServer) {
    let one = FakeServer::start("i-1", "one").await;
    let proxy = Proxy::start(&configuration(1, &[&route("a", "idempotent", "")]), &[&one]).await;
    (proxy, one)
}

#[test]
fn a_request_without_an_id_is_malformed() {
    run(async {
        let (proxy, _one) = start().await;
        for headers in ["", "Quillpulley-Request-Id: a\r\nQuillpulley-Request-Id: b\r\n"] {
            let mut client = proxy.client().await;
            let response =
                client.fetch(&format!("GET /a/b HTTP/1.1\r\nHost: h.example\r\n{headers}\r\n")).await;
            assert_eq!(response.status(), 400);
        }
    });
}

#[test]
fn oversized_heads_and_bodies_are_rejected() {
    run(async {
        let (proxy, _one) = start().await;
        let long = format!("X-Long: {}\r\n", "x".repeat(17_000));
        let response = proxy.client().await.fetch(&request("GET /a/b", "id-1", &long, "")).await;
        assert_eq!(response.status(), 431);

        let too_long = "Content-Length: 100001\r\n";
        let response = proxy.client().await.fetch(&request("POST /a/b", "id-2", too_long, "")).await;
        assert_eq!(response.status(), 413);

        let mut client = proxy.client().await;
        client.send(&request("POST /a/b", "id-3", "Transfer-Encoding: chunked\r\n", "")).await;
        let chunk = "x".repeat(60_000);
        client.send(&format!("{:x}\r\n{chunk}\r\n{:x}\r\n{chunk}\r\n0\r\n\r\n", 60_000, 60_000)).await;
        assert_eq!(client.read_response().await.status(), 413);
        assert!(client.is_closed().await);
    });
}

// Guards against a 431 for a head that the configuration in force allows, on a connection that is older than it (DENIED).
#[test]
fn a_raised_limit_of_heads_applies_to_open_connections() {
    run(async {
        let (proxy, mut one) = start().await;
        let mut kept = proxy.client().await;
        assert_eq!(kept.fetch(&request("GET /none", "id-1", "", "")).await.status(), 404);
        let raised = configuration(2, &[&route("a", "idempotent", "")]);
        proxy.agent.publish_configuration(&raised.replace("16384", "32768"));
        assert!(matches!(timeout(CONFIGURATION_TIME, kept.is_closed()).await, Ok(true)), "still open");

        let long = format!("X-Long: {}\r\n", "x".repeat(17_000));
        let mut client = proxy.client().await;
        client.send(&request("GET /a/b", "id-2", &long, "")).await;
        one.next_call().await.respond_ok("ok").await;
        assert_eq!(client.read_response().await.status(), 200);
    });
}

#[test]
fn a_request_with_conflicting_body_lengths_closes_its_connection() {
    run(async {
        let (proxy, mut one) = start().await;
        let mut client = proxy.client().await;
        let both = "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n";
        client.send(&request("POST /a/b", "id-1", both, "")).await;
        client.send("4\r\nbody\r\n0\r\n\r\n").await;
        client.send(&request("GET /a/smuggled", "id-2", "", "")).await;
        let call = one.next_call().await;
        assert_eq!(call.request.text(), "body");
        call.respond_ok("ok").await;
        assert_eq!(client.read_response().await.status(), 200);
        assert!(client.is_closed().await);
        assert!(!one.has_call());
    });
}

#[test]
fn a_duplicate_of_an_open_request_is_rejected() {
    run(async {
        let (proxy, mut one) = start().await;
        let mut client = proxy.client().await;
        client.send(&request("GET /a/b", "id-1", "", "")).await;
        let call = one.next_call().await;
        let response = proxy.client().await.fetch(&request("GET /a/b", "id-1", "", "")).await;
        assert_eq!(response.status(), 503);
        call.respond_ok("ok").await;
        assert_eq!(client.read_response().await.status(), 200);
        assert!(!one.has_call());
    });
}

#[test]
fn requests_before_any_configuration_are_rejected() {
    run(async {
        let proxy = Proxy::start_unready("").await;
        let response = proxy.client().await.fetch(&request("GET /a/b", "id-1", "", "")).await;
        assert_eq!(response.status(), 503);
        // `proxy_lifecycle.rs` tests the exact value, which depends on how long the proxy has run.
        let retry_after: f64 =
            response.header("retry-after").expect("a Retry-After header").parse().expect("a number");
        assert!((1.0..=1.6).contains(&retry_after), "{retry_after} s");
        assert_eq!(proxy.ready_status().await, 503);
    });
}

#[test]
fn requests_without_capacity_in_time_are_rejected_with_retry_after() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let proxy = Proxy::start(&configuration(1, &[&route("a", "idempotent", "")]), &[]).await;
        proxy.agent.publish_server(&quillpulley_protocol::Server { slots: 4, ..one.entry() });
        let mut served = Vec::new();
        let rejected = loop {
            let mut client = proxy.client().await;
            client.send(&request("GET /a/b", &format!("id-{}", served.len()), "", "")).await;
            tokio::select! {
                call = one.next_call() => served.push((client, call)),
                // The first requests may be rejected before the proxy knows the server.
                response = client.read_response() => if !served.is_empty() { break response },
            }
        };
        assert_eq!(rejected.status(), 503);
        assert!(rejected.header("retry-after").is_some());
        assert!((4..8).contains(&served.len()), "{} concurrent requests", served.len());

        // A queued request gets the capacity that becomes free.
        let mut waiting = proxy.client().await;
        waiting.send(&request("GET /a/b", "id-waits", "", "")).await;
        let (mut client, call) = served.remove(0);
        call.respond_ok("first").await;
        assert_eq!(client.read_response().await.text(), "first");
        one.next_call().await.respond_ok("second").await;
        assert_eq!(waiting.read_response().await.text(), "second");
    });
}

#[test]
fn a_queued_request_whose_client_disconnects_reaches_no_server() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let proxy = Proxy::start(&configuration(1, &[&route("a", "idempotent", "")]), &[]).await;
        proxy.agent.publish_server(&quillpulley_protocol::Server { slots: 4, ..one.entry() });
        let mut served = Vec::new();
        loop {
            let mut client = proxy.client().await;
            client.send(&request("GET /a/b", &format!("id-{}", served.len()), "", "")).await;
            tokio::select! {
                call = one.next_call() => served.push((client, call)),
                _ = client.read_response() => if !served.is_empty() { break },
            }
        }
        let mut waiting = proxy.client().await;
        waiting.send(&request("GET /a/b", "id-waits", "", "")).await;
        // A duplicate is rejected, because the request with this id is open.
        let duplicate = proxy.client().await.fetch(&request("GET /a/b", "id-waits", "", "")).await;
        assert_eq!(duplicate.status(), 503);
        drop(waiting);
        for (mut client, call) in served {
            call.respond_ok("ok").await;
            assert_eq!(client.read_response().await.status(), 200);
        }
        let mut last = proxy.client().await;
        last.send(&request("GET /a/b", "id-last", "", "")).await;
        let call = one.next_call().await;
        assert_eq!(call.id(), "id-last");
        call.respond_ok("ok").await;
        assert_eq!(last.read_response().await.status(), 200);
        assert!(!one.has_call());
    });
}

#[test]
fn a_request_with_an_incomplete_body_reaches_no_server() {
    run(async {
        let (proxy, mut one) = start().await;
        let mut disconnecting = proxy.client().await;
        disconnecting.send(&request("POST /a/b", "id-leaves", "Content-Length: 10\r\n", "")).await;
        disconnecting.send("half").await;
        drop(disconnecting);
        let mut last = proxy.client().await;
        last.send(&request("GET /a/b", "id-last", "", "")).await;
        let call = one.next_call().await;
        assert_eq!(call.id(), "id-last");
        call.respond_ok("ok").await;
        assert_eq!(last.read_response().await.status(), 200);
        assert!(!one.has_call());
    });
}

#[test]
fn an_incomplete_body_gets_a_408_after_the_timeout_of_its_route() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let short = route("a", "non_idempotent", "\"TimeoutMs\":200");
        let proxy = Proxy::start(&configuration(1, &[&short]), &[&one]).await;
        let mut client = proxy.client().await;
        client.send(&request("POST /a/b", "id-1", "Content-Length: 10\r\n", "")).await;
        client.send("half").await;
        assert_eq!(client.read_response().await.status(), 408);
        assert!(!one.has_call());
    });
}
