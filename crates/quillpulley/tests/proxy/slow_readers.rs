//! Tests of clients that read their answers slowly: nothing that an answer needs is given back before its last
//! byte was written.

use crate::support::client::request;
use crate::support::{configuration, route, run, FakeServer, Proxy};

/// Length of an answer that does not fit into the buffers of the kernel, in bytes.
const LONG_ANSWER_BYTES: usize = 8_100_000;

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
