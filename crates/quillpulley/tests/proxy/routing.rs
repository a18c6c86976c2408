//! Tests of routing: which service a request is routed to, and which parts of the request and of the response
//! are forwarded.

use crate::support::client::request;
use crate::support::{configuration, route, run, FakeServer, Proxy};

/// Number of requests from which on the users' target looks at the shares of a split.
const SPLIT_REQUESTS: u32 = 300;
/// Maximum difference between the share of a service and that of its weight.
const MAX_SHARE_ERROR: f64 = 0.2;

#[test]
fn the_longest_prefix_of_the_host_decides() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let mut two = FakeServer::start("i-2", "two").await;
        let wide = route("a", "idempotent", "");
        let narrow = route("a/b", "idempotent", "\"Service\":\"two\"");
        let proxy = Proxy::start(&configuration(1, &[&wide, &narrow]), &[&one, &two]).await;
        let mut client = proxy.client().await;

        client.send(&request("GET /a/b/c?q=1", "id-1", "", "")).await;
        let call = two.next_call().await;
        assert_eq!(call.request.first_line, "GET /a/b/c?q=1 HTTP/1.1");
        call.respond_ok("from two").await;
        assert_eq!(client.read_response().await.text(), "from two");

        client.send(&request("GET /a/c", "id-2", "", "")).await;
        one.next_call().await.respond_ok("from one").await;
        assert_eq!(client.read_response().await.text(), "from one");

        assert_eq!(client.fetch(&request("GET /c/", "id-3", "", "")).await.status(), 404);
    });
}

#[test]
fn shares_of_requests_follow_the_weights() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let mut two = FakeServer::start("i-2", "two").await;
        let split =
            "\"TrafficSplit\":[{\"Service\":\"one\",\"Weight\":30},{\"Service\":\"two\",\"Weight\":10}]";
        let configuration = configuration(1, &[&route("a", "idempotent", split)]);
        let proxy = Proxy::start(&configuration, &[&one, &two]).await;
        let mut client = proxy.client().await;
        let mut by_two = 0;
        for number in 0..SPLIT_REQUESTS {
            client.send(&request("GET /a/b", &format!("id-{number}"), "", "")).await;
            tokio::select! {
                call = one.next_call() => call.respond_ok("one").await,
                call = two.next_call() => { by_two += 1; call.respond_ok("two").await }
            }
            assert_eq!(client.read_response().await.status(), 200);
        }
        let share = f64::from(by_two) / f64::from(SPLIT_REQUESTS);
        assert!((share - 0.25).abs() < MAX_SHARE_ERROR, "{share}");
    });
}

#[test]
fn a_request_is_forwarded_unchanged_but_for_hop_by_hop_headers() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let proxy = Proxy::start(&configuration(1, &[&route("a", "idempotent", "")]), &[&one]).await;
        let mut client = proxy.client().await;
        let headers =
            "Quillpulley-Deadline-Ms: 4000\r\nX-Other: kept\r\nConnection: X-Hop\r\nX-Hop: dropped\r\n\
                       Keep-Alive: timeout=3\r\n";
        client.send(&request("POST /a/b", "id-1", headers, "the body")).await;

        let call = one.next_call().await;
        let header = |name| call.request.header(name);
        assert_eq!(header("host"), Some("h.example"));
        assert_eq!(header("quillpulley-request-id"), Some("id-1"));
        assert_eq!(header("quillpulley-expect-instance"), Some("i-1"));
        assert_eq!(header("x-other"), Some("kept"));
        assert_eq!(header("x-hop"), None);
        assert_eq!(header("keep-alive"), None);
        let left: u64 = header("quillpulley-deadline-ms").expect("a deadline").parse().expect("a number");
        assert!((1..4000).contains(&left), "{left} ms");
        assert_eq!(call.request.text(), "the body");

        call.respond("201 Created", "Quillpulley-Response-Seal: s1\r\nX-Answer: yes\r\n", "done").await;
        let response = client.read_response().await;
        assert_eq!(response.status(), 201);
        assert_eq!(response.header("quillpulley-response-seal"), Some("s1"));
        assert_eq!(response.header("quillpulley-request-id"), Some("id-1"));
        assert_eq!(response.header("x-answer"), Some("yes"));
        assert_eq!(response.text(), "done");
    });
}

#[test]
fn a_chunked_body_is_forwarded_completely() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let proxy = Proxy::start(&configuration(1, &[&route("a", "idempotent", "")]), &[&one]).await;
        let mut client = proxy.client().await;
        client.send(&request("POST /a/b", "id-1", "Transfer-Encoding: chunked\r\n", "")).await;
        client.send("4\r\nthe \r\n4\r\nbody\r\n0\r\n\r\n").await;
        let call = one.next_call().await;
        assert_eq!(call.request.text(), "the body");
        call.respond_ok("ok").await;
        assert_eq!(client.read_response().await.status(), 200);
    });
}

#[test]
fn connections_to_clients_and_servers_are_reused() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let proxy = Proxy::start(&configuration(1, &[&route("a", "idempotent", "")]), &[&one]).await;
        let mut client = proxy.client().await;
        for number in 0..3 {
            client.send(&request("GET /a/b", &format!("id-{number}"), "", "")).await;
            one.next_call().await.respond_ok("ok").await;
            assert_eq!(client.read_response().await.status(), 200);
        }
    });
}
