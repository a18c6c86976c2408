//! Tests of the preferred regions that a proxy reports for its clients.

use crate::support::client::request;
use crate::support::{configuration, route, run, Client, Proxy};

/// Sends requests that cannot be served, because there is no server, and does not wait for the responses.
async fn send(proxy: &Proxy, host: &str, path: &str, count: usize) -> Vec<Client> {
    let mut clients = Vec::new();
    for number in 0..count {
        let mut client = proxy.client().await;
        let request = request(&format!("GET {path}"), &format!("id-{host}-{number}"), "", "");
        client.send(&request.replace("h.example", host)).await;
        clients.push(client);
    }
    clients
}

/// Requests to a host that may not be served in the proxy's region at all are not counted: the directory
/// knows from the configuration where to send their clients, and they must not affect the preference for
/// other hosts.
#[test]
fn only_requests_to_hosts_that_are_partly_served_in_this_region_are_counted() {
    run(async {
        let only_west = route("bound", "idempotent", "\"HomeRegions\":[\"west\"]");
        let unrestricted = route("free", "idempotent", "");
        let other_host =
            route("all", "idempotent", "\"HomeRegions\":[\"north\"]").replace("h.example", "g.example");
        let proxy = Proxy::start(&configuration(1, &[&only_west, &unrestricted, &other_host]), &[]).await;
        let _others = send(&proxy, "g.example", "/all/", 30).await;
        let _counted = send(&proxy, "h.example", "/bound/", 25).await;
        proxy.agent.wait_for_endpoint(|endpoint| !endpoint.preferred_regions.is_empty()).await;
        assert_eq!(proxy.agent.endpoint().expect("a reported endpoint").preferred_regions, ["west"]);
    });
}
