//! Tests of clients that read their answers slowly: nothing that an answer needs is given back before its last
//! byte was written.

use crate::support::client::request;
use crate::support::{configuration, route, run, FakeServer, Proxy};

/// Length of an answer that does not fit into the buffers of the kernel, in bytes.
const LONG_ANSWER_BYTES: usize = 8_100_000;
/// Settings with which the memory for bodies is hardly longer than one such answer.
const LITTLE_MEMORY: &str = "[Limits]\nMemoryMb = 24\n";

/// Returns the configuration with a low `IdleTimeoutMs`.
fn configuration_with_low_idle_timeout(version: u64, routes: &[&str]) -> String {
    configuration(version, routes).replace("\"IdleTimeoutMs\":15000", "\"IdleTimeoutMs\":100")
}

/// Guards against answers that are cut while their clients read them, once IdleTimeoutMs is lowered.
#[test]
fn an_answer_that_is_still_being_read_outlives_a_lowered_idle_timeout() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let long = route("a", "non_idempotent", "");
        let proxy = Proxy::start(&configuration(1, &[&long]), &[&one]).await;
        let mut client = proxy.client().await;
        client.send(&request("GET /a/b", "id-1", "", "")).await;
        one.next_call().await.respond_ok(&"x".repeat(LONG_ANSWER_BYTES)).await;
        let head = client.read_head().await;
        assert_eq!(head.status(), 200);

        // Once a connection that is idle for less time has been closed, the other one was looked at too.
        let mut idle = proxy.client().await;
        assert_eq!(idle.fetch(&request("GET /none", "id-2", "", "")).await.status(), 404);
        proxy.agent.publish_configuration(&configuration_with_low_idle_timeout(2, &[&long]));
        assert!(idle.is_closed().await);
        assert_eq!(client.read_body(&head).await.len(), LONG_ANSWER_BYTES);
    });
}

/// Guards against a second run of a request whose answer is still being read.
#[test]
fn a_request_is_open_until_its_answer_was_written() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let proxy = Proxy::start(&configuration(1, &[&route("a", "non_idempotent", "")]), &[&one]).await;
        let mut client = proxy.client().await;
        client.send(&request("GET /a/b", "id-1", "", "")).await;
        one.next_call().await.respond_ok(&"x".repeat(LONG_ANSWER_BYTES)).await;
        let head = client.read_head().await;
        let duplicate = proxy.client().await.fetch(&request("GET /a/b", "id-1", "", "")).await;
        assert_eq!(duplicate.status(), 503);
        assert!(!one.has_call());
        client.read_body(&head).await;
    });
}

/// Guards against a proxy that grows beyond its memory because clients do not read their answers.
#[test]
fn the_memory_of_an_answer_is_held_until_it_was_written() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let configuration = configuration(1, &[&route("a", "non_idempotent", "")]);
        let proxy = Proxy::start_with_bounds(LITTLE_MEMORY, &configuration, &[&one]).await;
        let mut client = proxy.client().await;
        client.send(&request("GET /a/b", "id-1", "", "")).await;
        one.next_call().await.respond_ok(&"x".repeat(LONG_ANSWER_BYTES)).await;
        let head = client.read_head().await;

        let long_body = "x".repeat(100_000);
        let rejected = proxy.client().await.fetch(&request("POST /a/b", "id-2", "", &long_body)).await;
        assert_eq!(rejected.status(), 503);
        let mut other = proxy.client().await;
        other.send(&request("POST /a/b", "id-3", "", "short")).await;
        one.next_call().await.respond_ok("ok").await;
        assert_eq!(other.read_response().await.text(), "ok");

        client.read_body(&head).await;
        // The proxy may notice a moment later that the last byte was written.
        let mut attempts = 0;
        loop {
            attempts += 1;
            let mut later = proxy.client().await;
            later.send(&request("POST /a/b", &format!("later-{attempts}"), "", &long_body)).await;
            tokio::select! {
                call = one.next_call() => {
                    call.respond_ok("ok").await;
                    assert_eq!(later.read_response().await.text(), "ok");
                    break;
                }
                response = later.read_response() => assert_eq!(response.status(), 503),
            }
        }
    });
}
