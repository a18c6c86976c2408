//! Tests of retries: which failures are retried, which are not, and which response the client receives.

use crate::support::client::request;
use crate::support::server::entry;
use crate::support::{configuration, route, run, Call, Client, FakeServer, Message, Proxy};
use tokio::net::TcpListener;

const NOT_EXECUTED: &str = "Quillpulley-Not-Executed: full\r\nQuillpulley-Response-Seal: seal\r\n";
const SEAL: &str = "Quillpulley-Response-Seal: seal\r\n";

/// A proxy between a client and two servers of the same service.
struct Scene {
    proxy: Proxy,
    one: FakeServer,
    two: FakeServer,
    client: Client,
    /// The number of requests sent so far, from which request ids are derived.
    asked: u32,
}

impl Scene {
    /// Starts a proxy with three routes: `/once/` and `/single/` are not idempotent, `/again/` is. `/single/`
    /// allows one attempt, the others allow two.
    async fn start() -> Scene {
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
        let mut scene = Scene { proxy, one, two, client, asked: 0 };
        // The retry budget of a service allows no retries before a request to it has been counted.
        scene.ask("/once/x").await;
        scene.is_served().await;
        scene.proxy.agent.until_counted("one").await;
        scene
    }

    async fn ask(&mut self, path: &str) {
        self.ask_with(path, "").await;
    }

    async fn ask_with(&mut self, path: &str, headers: &str) {
        self.asked += 1;
        let id = format!("id-{}", self.asked);
        self.client.send(&request(&format!("POST {path}"), &id, headers, "work")).await;
    }

    /// Waits for the next request, whichever server receives it.
    async fn call(&mut self) -> Call {
        tokio::select! {
            call = self.one.call() => call,
            call = self.two.call() => call,
        }
    }

    async fn answer(&mut self) -> Message {
        self.client.answer().await
    }

    /// Checks that the client receives a 502 without a seal, and that the request is not sent again.
    async fn has_failed(&mut self) {
        let answer = self.answer().await;
        assert_eq!(answer.status(), 502);
        assert_eq!(answer.header("quillpulley-response-seal"), None);
        assert!(!self.one.has_call() && !self.two.has_call());
    }

    /// Has a server respond to the next request, and checks that the client receives the response.
    async fn is_served(&mut self) {
        self.call().await.serve("done").await;
        let answer = self.answer().await;
        assert_eq!((answer.status(), answer.text().as_str()), (200, "done"));
    }
}

#[test]
fn what_found_no_connection_goes_to_another_server() {
    run(async {
        let mut scene = Scene::start().await;
        let closed = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = closed.local_addr().expect("address");
        drop(closed);
        for number in 0..3 {
            scene.proxy.agent.publish_server(&entry(&format!("i-0{number}"), "one", address));
        }
        for path in ["/once/x", "/again/x", "/single/x"] {
            scene.ask(path).await;
            scene.is_served().await;
        }
    });
}

#[test]
fn what_no_server_can_be_reached_for_has_not_run() {
    run(async {
        let mut scene = Scene::start().await;
        scene.proxy.agent.remove_server("i-1");
        scene.proxy.agent.remove_server("i-2");
        scene.proxy.agent.publish_configuration(&configuration(2, &[&route("new", "non_idempotent", "")]));
        scene.until_route("/new/x").await;
        let answer = scene.answer().await;
        assert_eq!(answer.status(), 503);
        let retry_after: f64 = answer.header("retry-after").expect("advice").parse().expect("a number");
        assert!(retry_after > 0.0 && retry_after < 5.0);
    });
}

#[test]
fn what_may_have_run_is_retried_only_if_it_is_idempotent() {
    run(async {
        for breaking in [Call::reset, Call::close] {
            let mut scene = Scene::start().await;
            scene.ask("/once/x").await;
            breaking(scene.call().await);
            scene.has_failed().await;

            scene.ask("/again/x").await;
            breaking(scene.call().await);
            scene.is_served().await;
        }
    });
}

#[test]
fn what_a_server_declined_goes_to_another_if_the_route_allows_it() {
    run(async {
        let mut scene = Scene::start().await;
        for status in ["503 Service Unavailable", "429 Too Many Requests"] {
            for path in ["/once/x", "/again/x"] {
                scene.ask(path).await;
                scene.call().await.answer(status, NOT_EXECUTED, "full").await;
                scene.is_served().await;
            }
            scene.ask("/single/x").await;
            scene.call().await.answer(status, NOT_EXECUTED, "full").await;
            let answer = scene.answer().await;
            assert_eq!(answer.status(), 503);
            assert!(answer.header("retry-after").is_some());
            assert_eq!(answer.header("quillpulley-response-seal"), None);
        }
    });
}

#[test]
fn what_all_servers_declined_has_not_run() {
    run(async {
        let mut scene = Scene::start().await;
        scene.ask("/once/x").await;
        for _ in 0..2 {
            scene.call().await.answer("503 Service Unavailable", NOT_EXECUTED, "").await;
        }
        assert_eq!(scene.answer().await.status(), 503);

        // The first server may have executed the request: a 503 would promise that it did not execute.
        scene.ask("/again/x").await;
        scene.call().await.reset();
        scene.call().await.answer("503 Service Unavailable", NOT_EXECUTED, "").await;
        assert_eq!(scene.answer().await.status(), 502);
    });
}

#[test]
fn what_reached_another_server_than_was_meant_counts_as_no_attempt() {
    run(async {
        for path in ["/once/x", "/again/x", "/single/x"] {
            let mut scene = Scene::start().await;
            scene.ask(path).await;
            scene.call().await.answer("421 Misdirected Request", "", "").await;
            scene.is_served().await;
        }
    });
}

#[test]
fn answers_that_belong_to_no_request_are_not_passed_on() {
    run(async {
        let mut scene = Scene::start().await;
        let other = format!("Quillpulley-Request-Id: other\r\n{SEAL}");
        scene.ask("/once/x").await;
        scene.call().await.answer("200 OK", &other, "another's").await;
        scene.has_failed().await;

        scene.ask("/once/x").await;
        scene.call().await.answer("503 Service Unavailable", &format!("{other}{NOT_EXECUTED}"), "").await;
        scene.has_failed().await;

        scene.ask("/once/x").await;
        let mut call = scene.call().await;
        call.write("no HTTP at all\r\n\r\n").await;
        call.close();
        scene.has_failed().await;

        // A new proxy is needed, since the failures above have ejected the servers of the first one.
        let mut scene = Scene::start().await;
        scene.ask("/again/x").await;
        scene.call().await.answer("200 OK", &other, "another's").await;
        scene.is_served().await;
    });
}

#[test]
fn incomplete_or_unsealed_responses_are_not_forwarded() {
    run(async {
        let mut scene = Scene::start().await;
        for (rest, end) in [
            (format!("{SEAL}Content-Length: 9\r\n\r\nhal"), Call::close as fn(Call)),
            (format!("{SEAL}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), Call::close),
            // An orderly close would mark the end of this response.
            (format!("{SEAL}\r\nof unknown length"), Call::reset),
            ("Content-Length: 4\r\n\r\nbare".to_string(), Call::close),
            (format!("{SEAL}Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nzipd"), Call::close),
        ] {
            scene.ask("/once/x").await;
            let mut call = scene.call().await;
            let head = format!("HTTP/1.1 200 OK\r\nQuillpulley-Request-Id: {}\r\n", call.id());
            call.write(&format!("{head}{rest}")).await;
            end(call);
            scene.has_failed().await;
        }
    });
}

#[test]
fn a_servers_own_failure_is_passed_on_as_it_is() {
    run(async {
        let mut scene = Scene::start().await;
        for status in ["500 Internal Server Error", "504 Gateway Timeout", "404 Not Found"] {
            scene.ask("/once/x").await;
            scene.call().await.answer(status, SEAL, "sorry").await;
            let answer = scene.answer().await;
            assert!(status.starts_with(&answer.status().to_string()), "{status}");
            assert_eq!(answer.header("quillpulley-response-seal"), Some("seal"));
            assert_eq!(answer.text(), "sorry");
        }
    });
}

#[test]
fn a_broken_promise_of_a_server_is_not_forwarded() {
    run(async {
        let mut scene = Scene::start().await;
        for status in ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"] {
            scene.ask("/once/x").await;
            scene.call().await.answer(status, SEAL, "").await;
            scene.has_failed().await;
        }
    });
}

#[test]
fn bytes_behind_an_answer_end_the_use_of_its_connection() {
    run(async {
        let mut scene = Scene::start().await;
        scene.ask("/once/x").await;
        let mut call = scene.call().await;
        let id = call.id().to_string();
        let answer =
            format!("HTTP/1.1 200 OK\r\nQuillpulley-Request-Id: {id}\r\n{SEAL}Content-Length: 2\r\n\r\n");
        call.write(&format!("{answer}ok{answer}no")).await;
        assert_eq!(scene.answer().await.text(), "ok");
        scene.ask("/once/x").await;
        scene.is_served().await;
        call.left().await;
    });
}

#[test]
fn an_unresponsive_server_has_the_complete_request_timeout() {
    run(async {
        let mut scene = Scene::start().await;
        scene.ask_with("/once/x", "Quillpulley-Deadline-Ms: 150\r\n").await;
        let call = scene.call().await;
        assert_eq!(scene.answer().await.status(), 504);
        call.left().await;
    });
}

#[test]
fn a_removed_server_aborts_idempotent_requests() {
    run(async {
        let mut scene = Scene::start().await;
        scene.ask("/again/x").await;
        let call = scene.call().await;
        let instance = call.request.header("quillpulley-expect-instance").expect("an instance").to_string();
        scene.proxy.agent.remove_server(&instance);
        scene.is_served().await;
        call.left().await;
    });
}

#[test]
fn a_failing_server_gets_requests_again_once_it_is_healthy() {
    run(async {
        let mut scene = Scene::start().await;
        scene.proxy.agent.remove_server("i-2");
        let once = route("once", "non_idempotent", "");
        let new = route("new", "non_idempotent", "\"Service\":\"none\"");
        scene.proxy.agent.publish_configuration(&configuration(2, &[&once, &new]));
        scene.until_route("/new/x").await;
        assert_eq!(scene.answer().await.status(), 503);
        for _ in 0..2 {
            scene.ask("/once/x").await;
            scene.call().await.reset();
            scene.has_failed().await;
        }
        // A response that carries a request id belongs to an earlier request: the health check fails.
        let late = format!("Quillpulley-Request-Id: id-1\r\n{NOT_EXECUTED}");
        scene.one.call().await.answer_check("503 Full", &late).await;
        let check = scene.one.call().await;
        assert_eq!(check.request.first, "GET /health HTTP/1.1");
        assert_eq!(check.request.header("quillpulley-request-id"), None);
        check.answer_check("200 OK", "Quillpulley-Instance-Id: i-1\r\n").await;
        scene.ask("/once/x").await;
        scene.is_served().await;
    });
}

impl Scene {
    /// Sends requests to a route until it is active, and one more, whose response is still to be read.
    async fn until_route(&mut self, path: &str) {
        loop {
            let mut probe = self.proxy.client().await;
            self.asked += 1;
            let probe_request = request(&format!("GET {path}"), &format!("probe-{}", self.asked), "", "");
            if probe.ask(&probe_request).await.status() != 404 {
                return self.ask(path).await;
            }
        }
    }
}
