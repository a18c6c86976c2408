//! Tests of retries: which failures are retried, which are not, and which response the client receives.

use crate::support::client::request;
use crate::support::server::entry;
use crate::support::{configuration, route, run, Call, Client, FakeServer, Message, Proxy};
use tokio::net::TcpListener;

const NOT_EXECUTED: &str = "Quillpulley-Not-Executed: full\r\nQuillpulley-Response-Seal: seal\r\n";
const SEAL: &str = "Quillpulley-Response-Seal: seal\r\n";

/// A proxy between a client and two servers of the same service.
struct Fixture {
    proxy: Proxy,
    one: FakeServer,
    two: FakeServer,
    client: Client,
    /// The number of requests sent so far, from which request ids are derived.
    request_count: u32,
}

impl Fixture {
    /// Starts a proxy with three routes: `/once/` and `/single/` are not idempotent, `/again/` is. `/single/`
    /// allows one attempt, the others allow two.
    async fn start() -> Fixture {
        let one = FakeServer::start("i-1", "one").await;
        let two = FakeServer::start("i-2", "one").await;
        let routes = [
            route("once", "non_idempotent", "\"MaxAttempts\":2"),
            route("again", "idempotent", "\"MaxAttempts\":2"),
            route("single", "non_idempotent", "\"MaxAttempts\":1"),
        ];
        let routes: Vec<&str> = routes.iter().map(String::as_str).collect();
        let proxy = Proxy::start(&configuration(1, &routes), &[&one, &two]).await;
        let client = proxy.client().await;
        let mut fixture = Fixture { proxy, one, two, client, request_count: 0 };
        // The retry budget of a service allows no retries before a request to it has been counted.
        fixture.send("/once/x").await;
        fixture.expect_served().await;
        fixture.proxy.agent.wait_for_reported_request("one").await;
        fixture
    }

    async fn send(&mut self, path: &str) {
        self.send_with_headers(path, "").await;
    }

    async fn send_with_headers(&mut self, path: &str, headers: &str) {
        self.request_count += 1;
        let id = format!("id-{}", self.request_count);
        self.client.send(&request(&format!("POST {path}"), &id, headers, "work")).await;
    }

    /// Waits for the next request, whichever server receives it.
    async fn next_call(&mut self) -> Call {
        tokio::select! {
            call = self.one.next_call() => call,
            call = self.two.next_call() => call,
        }
    }

    async fn read_response(&mut self) -> Message {
        self.client.read_response().await
    }

    /// Checks that the client receives a 502 without a seal, and that the request is not sent again.
    async fn expect_bad_gateway(&mut self) {
        let response = self.read_response().await;
        assert_eq!(response.status(), 502);
        assert_eq!(response.header("quillpulley-response-seal"), None);
        assert!(!self.one.has_call() && !self.two.has_call());
    }

    /// Has a server respond to the next request, and checks that the client receives the response.
    async fn expect_served(&mut self) {
        self.next_call().await.respond_ok("done").await;
        let response = self.read_response().await;
        assert_eq!((response.status(), response.text().as_str()), (200, "done"));
    }
}

#[test]
fn a_request_that_finds_no_connection_is_sent_to_another_server() {
    run(async {
        let mut fixture = Fixture::start().await;
        let closed = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = closed.local_addr().expect("address");
        drop(closed);
        for number in 0..3 {
            fixture.proxy.agent.publish_server(&entry(&format!("i-0{number}"), "one", address));
        }
        for path in ["/once/x", "/again/x", "/single/x"] {
            fixture.send(path).await;
            fixture.expect_served().await;
        }
    });
}

#[test]
fn requests_without_any_server_are_rejected_with_retry_after() {
    run(async {
        let mut fixture = Fixture::start().await;
        fixture.proxy.agent.remove_server("i-1");
        fixture.proxy.agent.remove_server("i-2");
        fixture.proxy.agent.publish_configuration(&configuration(2, &[&route("new", "non_idempotent", "")]));
        fixture.wait_for_route("/new/x").await;
        let response = fixture.read_response().await;
        assert_eq!(response.status(), 503);
        let retry_after: f64 =
            response.header("retry-after").expect("a Retry-After header").parse().expect("a number");
        assert!(retry_after > 0.0 && retry_after < 5.0);
    });
}

#[test]
fn a_request_that_may_have_executed_is_retried_only_if_it_is_idempotent() {
    run(async {
        for close_connection in [Call::reset, Call::close] {
            let mut fixture = Fixture::start().await;
            fixture.send("/once/x").await;
            close_connection(fixture.next_call().await);
            fixture.expect_bad_gateway().await;

            fixture.send("/again/x").await;
            close_connection(fixture.next_call().await);
            fixture.expect_served().await;
        }
    });
}

#[test]
fn a_request_that_was_not_executed_is_retried_if_the_route_allows_it() {
    run(async {
        let mut fixture = Fixture::start().await;
        for status in ["503 Service Unavailable", "429 Too Many Requests"] {
            for path in ["/once/x", "/again/x"] {
                fixture.send(path).await;
                fixture.next_call().await.respond(status, NOT_EXECUTED, "full").await;
                fixture.expect_served().await;
            }
            fixture.send("/single/x").await;
            fixture.next_call().await.respond(status, NOT_EXECUTED, "full").await;
            let response = fixture.read_response().await;
            assert_eq!(response.status(), 503);
            assert!(response.header("retry-after").is_some());
            assert_eq!(response.header("quillpulley-response-seal"), None);
        }
    });
}

#[test]
fn a_request_that_no_server_executed_is_rejected() {
    run(async {
        let mut fixture = Fixture::start().await;
        fixture.send("/once/x").await;
        for _ in 0..2 {
            fixture.next_call().await.respond("503 Service Unavailable", NOT_EXECUTED, "").await;
        }
        assert_eq!(fixture.read_response().await.status(), 503);

        // The first server may have executed the request: a 503 would promise that it did not execute.
        fixture.send("/again/x").await;
        fixture.next_call().await.reset();
        fixture.next_call().await.respond("503 Service Unavailable", NOT_EXECUTED, "").await;
        assert_eq!(fixture.read_response().await.status(), 502);
    });
}

#[test]
fn a_misdirected_request_does_not_count_as_an_attempt() {
    run(async {
        for path in ["/once/x", "/again/x", "/single/x"] {
            let mut fixture = Fixture::start().await;
            fixture.send(path).await;
            fixture.next_call().await.respond("421 Misdirected Request", "", "").await;
            fixture.expect_served().await;
        }
    });
}

#[test]
fn responses_to_other_requests_are_not_forwarded() {
    run(async {
        let mut fixture = Fixture::start().await;
        let other = format!("Quillpulley-Request-Id: other\r\n{SEAL}");
        fixture.send("/once/x").await;
        fixture.next_call().await.respond("200 OK", &other, "another's").await;
        fixture.expect_bad_gateway().await;

        fixture.send("/once/x").await;
        fixture
            .next_call()
            .await
            .respond("503 Service Unavailable", &format!("{other}{NOT_EXECUTED}"), "")
            .await;
        fixture.expect_bad_gateway().await;

        fixture.send("/once/x").await;
        let mut call = fixture.next_call().await;
        call.write("no HTTP at all\r\n\r\n").await;
        call.close();
        fixture.expect_bad_gateway().await;

        // A new proxy is needed, since the failures above have ejected the servers of the first one.
        let mut fixture = Fixture::start().await;
        fixture.send("/again/x").await;
        fixture.next_call().await.respond("200 OK", &other, "another's").await;
        fixture.expect_served().await;
    });
}

#[test]
fn incomplete_or_unsealed_responses_are_not_forwarded() {
    run(async {
        let mut fixture = Fixture::start().await;
        for (rest, end) in [
            (format!("{SEAL}Content-Length: 9\r\n\r\nhal"), Call::close as fn(Call)),
            (format!("{SEAL}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), Call::close),
            // An orderly close would mark the end of this response.
            (format!("{SEAL}\r\nof unknown length"), Call::reset),
            ("Content-Length: 4\r\n\r\nbare".to_string(), Call::close),
            (format!("{SEAL}Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nzipd"), Call::close),
        ] {
            fixture.send("/once/x").await;
            let mut call = fixture.next_call().await;
            let head = format!("HTTP/1.1 200 OK\r\nQuillpulley-Request-Id: {}\r\n", call.id());
            call.write(&format!("{head}{rest}")).await;
            end(call);
            fixture.expect_bad_gateway().await;
        }
    });
}

#[test]
fn error_responses_of_servers_are_forwarded_unchanged() {
    run(async {
        let mut fixture = Fixture::start().await;
        for status in ["500 Internal Server Error", "504 Gateway Timeout", "404 Not Found"] {
            fixture.send("/once/x").await;
            fixture.next_call().await.respond(status, SEAL, "sorry").await;
            let response = fixture.read_response().await;
            assert!(status.starts_with(&response.status().to_string()), "{status}");
            assert_eq!(response.header("quillpulley-response-seal"), Some("seal"));
            assert_eq!(response.text(), "sorry");
        }
    });
}

#[test]
fn rejections_without_the_not_executed_header_are_not_forwarded() {
    run(async {
        let mut fixture = Fixture::start().await;
        for status in ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"] {
            fixture.send("/once/x").await;
            fixture.next_call().await.respond(status, SEAL, "").await;
            fixture.expect_bad_gateway().await;
        }
    });
}

#[test]
fn a_connection_with_data_after_its_response_is_not_reused() {
    run(async {
        let mut fixture = Fixture::start().await;
        fixture.send("/once/x").await;
        let mut call = fixture.next_call().await;
        let id = call.id().to_string();
        let response =
            format!("HTTP/1.1 200 OK\r\nQuillpulley-Request-Id: {id}\r\n{SEAL}Content-Length: 2\r\n\r\n");
        call.write(&format!("{response}ok{response}no")).await;
        assert_eq!(fixture.read_response().await.text(), "ok");
        fixture.send("/once/x").await;
        fixture.expect_served().await;
        call.wait_until_closed().await;
    });
}

#[test]
fn a_request_to_an_unresponsive_server_times_out_at_its_deadline() {
    run(async {
        let mut fixture = Fixture::start().await;
        fixture.send_with_headers("/once/x", "Quillpulley-Deadline-Ms: 150\r\n").await;
        let call = fixture.next_call().await;
        assert_eq!(fixture.read_response().await.status(), 504);
        call.wait_until_closed().await;
    });
}

#[test]
fn idempotent_requests_to_a_removed_server_are_retried() {
    run(async {
        let mut fixture = Fixture::start().await;
        fixture.send("/again/x").await;
        let call = fixture.next_call().await;
        let instance = call.request.header("quillpulley-expect-instance").expect("an instance").to_string();
        fixture.proxy.agent.remove_server(&instance);
        fixture.expect_served().await;
        call.wait_until_closed().await;
    });
}

#[test]
fn a_failing_server_gets_requests_again_once_it_is_healthy() {
    run(async {
        let mut fixture = Fixture::start().await;
        fixture.proxy.agent.remove_server("i-2");
        let once = route("once", "non_idempotent", "");
        let new = route("new", "non_idempotent", "\"Service\":\"none\"");
        fixture.proxy.agent.publish_configuration(&configuration(2, &[&once, &new]));
        fixture.wait_for_route("/new/x").await;
        assert_eq!(fixture.read_response().await.status(), 503);
        for _ in 0..2 {
            fixture.send("/once/x").await;
            fixture.next_call().await.reset();
            fixture.expect_bad_gateway().await;
        }
        // A response that carries a request id belongs to an earlier request: the health check fails.
        let late = format!("Quillpulley-Request-Id: id-1\r\n{NOT_EXECUTED}");
        fixture.one.next_call().await.respond_to_health_check("503 Full", &late).await;
        let check = fixture.one.next_call().await;
        assert_eq!(check.request.first_line, "GET /health HTTP/1.1");
        assert_eq!(check.request.header("quillpulley-request-id"), None);
        check.respond_to_health_check("200 OK", "Quillpulley-Instance-Id: i-1\r\n").await;
        fixture.send("/once/x").await;
        fixture.expect_served().await;
    });
}

impl Fixture {
    /// Sends requests to a route until it is active, and one more, whose response is still to be read.
    async fn wait_for_route(&mut self, path: &str) {
        loop {
            let mut probe = self.proxy.client().await;
            self.request_count += 1;
            let probe_request =
                request(&format!("GET {path}"), &format!("probe-{}", self.request_count), "", "");
            if probe.fetch(&probe_request).await.status() != 404 {
                return self.send(path).await;
            }
        }
    }
}
