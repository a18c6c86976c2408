//! Tests of the proxy process: startup, published state from the agent, configuration changes and shutdown.

use crate::support::client::request;
use crate::support::{configuration, route, run, FakeServer, Proxy};
use quillpulley::proxy::Faults;
use quillpulley::signals::ProcessSignal;
use quillpulley_protocol::{EndpointState, Server};

#[test]
fn a_proxy_is_ready_once_a_configuration_is_active() {
    run(async {
        let proxy = Proxy::start_unready("").await;
        proxy.agent.wait_for_state(EndpointState::Starting).await;
        assert_eq!(proxy.ready_status().await, 503);
        proxy.agent.publish_configuration(&configuration(1, &[&route("a", "idempotent", "")]));
        proxy.agent.wait_for_ready().await;
        assert_eq!(proxy.ready_status().await, 200);
        let endpoint = proxy.agent.endpoint().expect("a reported endpoint");
        assert_eq!((endpoint.name.as_str(), endpoint.address), ("front-1", proxy.client_address.to_string()));
    });
}

#[test]
fn a_proxy_keeps_serving_without_its_agent() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let proxy = Proxy::start(&configuration(1, &[&route("a", "idempotent", "")]), &[&one]).await;
        let mut client = proxy.client().await;
        proxy.agent.kill().await;
        client.send(&request("GET /a/b", "id-1", "", "")).await;
        one.next_call().await.respond_ok("ok").await;
        assert_eq!(client.read_response().await.status(), 200);
    });
}

#[test]
fn a_configuration_is_replaced_only_by_a_later_version() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let mut two = FakeServer::start("i-2", "two").await;
        let to_one = route("a", "idempotent", "");
        let to_two = route("a", "idempotent", "\"Service\":\"two\"");
        let proxy = Proxy::start(&configuration(5, &[&to_one]), &[&one, &two]).await;
        let mut client = proxy.client().await;
        proxy.agent.publish_configuration(&configuration(7, &[&to_two]));
        // Until the new configuration is active, requests are routed by the previous one.
        let mut request_count = 0;
        loop {
            request_count += 1;
            client.send(&request("GET /a/b", &format!("id-{request_count}"), "", "")).await;
            let by_two = tokio::select! {
                call = one.next_call() => { call.respond_ok("one").await; false }
                call = two.next_call() => { call.respond_ok("two").await; true }
            };
            client.read_response().await;
            if by_two {
                break;
            }
        }
        proxy.agent.publish_configuration(&configuration(6, &[&to_one]));
        // Changes are applied in the order of their publication: once version 8 is active, version 6 has been
        // handled.
        proxy.agent.publish_configuration(&configuration(
            8,
            &[&to_two, &route("b", "idempotent", "\"Service\":\"none\"")],
        ));
        while client.fetch(&request("GET /b/b", "probe", "", "")).await.status() == 404 {}
        client.send(&request("GET /a/b", "id-last", "", "")).await;
        two.next_call().await.respond_ok("two").await;
        assert_eq!(client.read_response().await.text(), "two");
    });
}

#[test]
fn a_draining_proxy_serves_late_clients_and_finishes_open_requests() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let configuration = configuration(1, &[&route("a", "idempotent", "")]);
        let proxy = Proxy::start_with_bounds("GraceS = 4", &configuration, &[&one]).await;
        let mut idle = proxy.client().await;
        let mut busy = proxy.client().await;
        busy.send(&request("GET /a/b", "id-1", "", "")).await;
        let call = one.next_call().await;

        proxy.signals.send(ProcessSignal::Shutdown).expect("the proxy runs");
        proxy.agent.wait_for_state(EndpointState::Draining).await;
        assert_eq!(proxy.ready_status().await, 503);
        for (number, client) in [&mut idle, &mut proxy.client().await].into_iter().enumerate() {
            let in_time = "Quillpulley-Deadline-Ms: 2000\r\n";
            client.send(&request("GET /a/b", &format!("late-{number}"), in_time, "")).await;
            one.next_call().await.respond_ok("late").await;
            let response = client.read_response().await;
            assert_eq!(response.text(), "late");
            assert_eq!(response.header("connection"), Some("close"));
            assert!(client.is_closed().await);
        }
        assert!(!proxy.process.is_finished());
        call.respond_ok("finished").await;
        assert_eq!(busy.read_response().await.text(), "finished");
        proxy.process.await.expect("the proxy exits on its own");
    });
}

#[test]
fn a_reload_signal_does_not_affect_open_requests() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let proxy = Proxy::start(&configuration(1, &[&route("a", "idempotent", "")]), &[&one]).await;
        let mut client = proxy.client().await;
        client.send(&request("GET /a/b", "id-1", "", "")).await;
        let call = one.next_call().await;
        proxy.signals.send(ProcessSignal::Reload).expect("the proxy runs");
        call.respond_ok("ok").await;
        assert_eq!(client.read_response().await.text(), "ok");
    });
}

/// Guards against servers of a new zone that get no requests of bound routes until the proxy is restarted.
#[test]
fn a_zone_that_is_added_to_the_settings_applies_after_a_reload_signal() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let bound = route("a", "idempotent", "\"HomeRegions\":[\"west\"]");
        let servers = [Server { zone: "w".to_string(), ..one.entry() }];
        let configuration = configuration(1, &[&bound]);
        let proxy = Proxy::start_with_faults("", &configuration, &servers, Faults::default()).await;
        let mut client = proxy.client().await;
        let response = client.fetch(&request("GET /a/b", "id-1", "", "")).await;
        assert_eq!(response.status(), 503, "the region of the server's zone is not known");

        proxy.settings_file.borrow_mut().zones.insert("w".to_string(), "west".to_string());
        proxy.signals.send(ProcessSignal::Reload).expect("the proxy runs");
        let mut client = proxy.client().await;
        client.send(&request("GET /a/b", "id-2", "", "")).await;
        one.next_call().await.respond_ok("ok").await;
        assert_eq!(client.read_response().await.text(), "ok");
    });
}

#[test]
fn a_draining_proxy_accepts_only_requests_that_are_sure_to_end_in_time() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let configuration = configuration(1, &[&route("a", "non_idempotent", "")]);
        let proxy = Proxy::start_with_bounds("GraceS = 3", &configuration, &[&one]).await;
        proxy.signals.send(ProcessSignal::Shutdown).expect("the proxy runs");
        proxy.agent.wait_for_state(EndpointState::Draining).await;

        // The timeout of the route ends after the process exits, so the request is not forwarded.
        let mut client = proxy.client().await;
        let response = client.fetch(&request("POST /a/b", "long", "", "work")).await;
        assert_eq!(response.status(), 503);
        assert_eq!(response.header("retry-after"), Some("0.000"));
        assert_eq!(response.header("connection"), Some("close"));
        assert!(client.is_closed().await);
        assert!(!one.has_call());

        let mut client = proxy.client().await;
        client.send(&request("POST /a/b", "short", "Quillpulley-Deadline-Ms: 500\r\n", "work")).await;
        one.next_call().await.respond_ok("in time").await;
        assert_eq!(client.read_response().await.text(), "in time");
        proxy.process.await.expect("the proxy exits on its own");
    });
}

#[test]
fn open_requests_get_a_response_when_the_proxy_exits() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let configuration = configuration(1, &[&route("a", "non_idempotent", "\"TimeoutMs\":60000")]);
        let proxy = Proxy::start_with_bounds("GraceS = 1", &configuration, &[&one]).await;
        let mut silent = proxy.client().await;
        silent.send(&request("POST /a/b", "silent", "", "work")).await;
        let call = one.next_call().await;
        proxy.signals.send(ProcessSignal::Shutdown).expect("the proxy runs");
        // The request may have executed, so the response must not promise that it has not.
        assert_eq!(silent.read_response().await.status(), 504);
        call.wait_until_closed().await;
        proxy.process.await.expect("the proxy exits on its own");
    });
}

#[test]
fn an_unknown_route_gets_a_503_while_the_published_state_is_stale() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let proxy = Proxy::start(&configuration(1, &[&route("a", "idempotent", "")]), &[&one]).await;
        let mut client = proxy.client().await;
        let unknown = |number: usize| request("GET /new/x", &format!("unknown-{number}"), "", "");
        assert_eq!(client.fetch(&unknown(0)).await.status(), 404);
        proxy.agent.kill().await;
        let mut request_count = 0;
        let rejection = loop {
            request_count += 1;
            let response = client.fetch(&unknown(request_count)).await;
            if response.status() != 404 {
                break response;
            }
        };
        assert_eq!(rejection.status(), 503);
        assert_eq!(rejection.header("retry-after"), Some("0.500"));
        client.send(&request("GET /a/b", "known", "", "")).await;
        one.next_call().await.respond_ok("ok").await;
        assert_eq!(client.read_response().await.status(), 200);
    });
}

#[test]
fn a_configuration_change_aborts_no_open_request() {
    run(async {
        let mut one = FakeServer::start("i-1", "one").await;
        let long = "\"TimeoutMs\":15000";
        let routes = [route("a", "non_idempotent", long), route("s", "streaming", long)];
        let proxy = Proxy::start(&configuration(1, &[&routes[0], &routes[1]]), &[&one]).await;
        let mut plain = proxy.client().await;
        plain.send(&request("POST /a/b", "plain", "", "work")).await;
        let plain_call = one.next_call().await;
        let mut streamed = proxy.client().await;
        streamed.send(&request("POST /s/b", "streamed", "", "work")).await;
        let mut stream_call = one.next_call().await;
        stream_call.begin_stream().await;
        assert_eq!(streamed.read_head().await.status(), 200);
        let mut idle = proxy.client().await;
        idle.send(&request("POST /a/b", "idle", "", "work")).await;
        one.next_call().await.respond_ok("ok").await;
        assert_eq!(idle.read_response().await.status(), 200);

        // The new configuration removes one route, gives the other another service and a timeout of 1 ms, and
        // sets the idle timeout of client connections to 1 ms.
        let elsewhere = route("s", "streaming", "\"Service\":\"none\",\"TimeoutMs\":1");
        let new_configuration =
            configuration(2, &[&elsewhere]).replace("\"IdleTimeoutMs\":15000", "\"IdleTimeoutMs\":1");
        proxy.agent.publish_configuration(&new_configuration);
        assert!(idle.is_closed().await);

        plain_call.respond_ok("done").await;
        assert_eq!(plain.read_response().await.text(), "done");
        stream_call.write_chunk("id: 1\ndata: a\n\n").await;
        assert!(streamed.read_chunk().await.is_some());
        stream_call.end_stream().await;
        assert_eq!(streamed.read_chunk().await, None);
    });
}
