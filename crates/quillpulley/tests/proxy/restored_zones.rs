//! Tests of zones whose evacuation has ended recently, and whose servers may be cold.

use crate::support::client::request;
use crate::support::server::FakeServer;
use crate::support::{configuration, route, run, Proxy};
use quillpulley_protocol::Server;

/// The number of requests of the test.
const REQUEST_COUNT: usize = 10;

/// Guards against proxies that start when an evacuation has just ended, and flood the zone's cold servers.
#[test]
fn a_proxy_that_starts_after_an_evacuation_takes_the_servers_of_its_zone_for_cold() {
    run(async {
        let mut near = FakeServer::start("i-near", "one").await;
        let mut far = FakeServer::start("i-far", "one").await;
        let warmup = "\"Name\":\"one\",\"WarmupS\":30,\"WarmupPerS\":11";
        let configuration =
            configuration(1, &[&route("a", "idempotent", "")]).replace("\"Name\":\"one\"", warmup);
        let proxy = Proxy::start_unready("").await;
        proxy.agent.wait_for_totals().await;
        proxy.agent.publish_restored("a");
        proxy.agent.publish_server(&near.entry());
        proxy.agent.publish_server(&Server { zone: "b".to_string(), ..far.entry() });
        proxy.agent.publish_configuration(&configuration);
        proxy.agent.wait_for_ready().await;
        let mut client = proxy.client().await;
        for number in 0..REQUEST_COUNT {
            client.send(&request("GET /a/b", &format!("id-{number}"), "", "")).await;
            far.next_call().await.respond_ok("far").await;
            assert_eq!(client.read_response().await.text(), "far");
        }
        assert!(!near.has_call());
    });
}
