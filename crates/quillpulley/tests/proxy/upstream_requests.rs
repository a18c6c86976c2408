//! Tests of the requests that servers receive, in the first attempt and in retries.

use crate::support::client::request;
use crate::support::script::ScriptedServers;
use crate::support::{configuration, route, run, Call, Client, FakeServer, Message, Proxy};
use quillpulley::proxy::Faults;
use std::time::{Duration, Instant};

/// Minimum time between two attempts, so that the deadline of the second is measurably shorter.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(20);
const CLIENT_DEADLINE_MS: u64 = 3000;
const ROUTE_TIMEOUT_MS: u64 = 5000;

/// Starts a proxy between a client and two servers, with a route of each kind: not idempotent, idempotent and
/// resumable.
async fn start() -> (Proxy, FakeServer, FakeServer, Client) {
    let mut one = FakeServer::start("i-1", "one").await;
    let mut two = FakeServer::start("i-2", "one").await;
    let routes = [
        route("once", "non_idempotent", "\"MaxAttempts\":2"),
        route("again", "idempotent", "\"MaxAttempts\":2"),
        route("resume", "streaming", "\"MaxAttempts\":2,\"Resumable\":true"),
    ];
    let routes: Vec<&str> = routes.iter().map(String::as_str).collect();
    let proxy = Proxy::start(&configuration(1, &routes), &[&one, &two]).await;
    let mut client = proxy.client().await;
    // The retry budget of a service allows no retries before a request to it has been counted.
    client.send(&request("POST /once/x", "first", "", "work")).await;
    next_call(&mut one, &mut two).await.respond_ok("done").await;
    client.read_response().await;
    proxy.agent.wait_for_reported_request("one").await;
    (proxy, one, two, client)
}

/// Waits for the next request, whichever server receives it.
async fn next_call(one: &mut FakeServer, two: &mut FakeServer) -> Call {
    tokio::select! {
        call = one.next_call() => call,
        call = two.next_call() => call,
    }
}

/// Sends requests without a route until `ATTEMPT_INTERVAL` has passed.
async fn pause(proxy: &Proxy) {
    let mut client = proxy.client().await;
    let started = Instant::now();
    while started.elapsed() < ATTEMPT_INTERVAL {
        client.fetch(&request("GET /nothing/", "id-pause", "", "")).await;
    }
}

/// Sends a request whose first attempt fails, after a pause, with a failure that its route allows to retry.
/// Returns the requests that the two servers received.
async fn two_attempts(path: &str, headers: &str) -> [Message; 2] {
    let (proxy, mut one, mut two, mut client) = start().await;
    client.send(&request(&format!("POST {path}"), "id-1", headers, "work")).await;
    let mut call = next_call(&mut one, &mut two).await;
    let first = call.request.clone();
    pause(&proxy).await;
    match path {
        "/once/x" => call.respond("503 Full", "Quillpulley-Not-Executed: full\r\n", "").await,
        "/again/x" => call.reset(),
        _ => {
            call.begin_stream().await;
            call.write_chunk("id: 1\ndata: a\n\n").await;
            client.read_head().await;
            client.read_chunk().await;
            call.reset();
        }
    }
    let second = next_call(&mut one, &mut two).await.request;
    [first, second]
}

/// Returns the deadline that a request carries, in milliseconds.
fn deadline_ms(sent: &Message) -> u64 {
    let values = sent.header_values("quillpulley-deadline-ms");
    assert_eq!(values.len(), 1, "{values:?}");
    values[0].parse().expect("a whole number")
}

#[test]
fn every_attempt_carries_the_remaining_time() {
    run(async {
        let client_deadline = format!("Quillpulley-Deadline-Ms: {CLIENT_DEADLINE_MS}\r\n");
        let duplicate_deadline = format!("{client_deadline}{client_deadline}");
        for path in ["/once/x", "/again/x", "/resume/x"] {
            for (headers, max_deadline_ms) in [
                (client_deadline.as_str(), CLIENT_DEADLINE_MS),
                ("", ROUTE_TIMEOUT_MS),
                ("Quillpulley-Deadline-Ms: 60000\r\n", ROUTE_TIMEOUT_MS),
                ("Quillpulley-Deadline-Ms: soon\r\n", ROUTE_TIMEOUT_MS),
                (duplicate_deadline.as_str(), ROUTE_TIMEOUT_MS),
            ] {
                let [first, second] = two_attempts(path, headers).await.map(|sent| deadline_ms(&sent));
                assert!(first <= max_deadline_ms, "{path} {headers}: {first}");
                let interval_ms = ATTEMPT_INTERVAL.as_millis() as u64;
                assert!(second + interval_ms <= first + 1, "{path} {headers}: {first}, then {second}");
            }
        }
    });
}

#[test]
fn model_headers_are_forwarded_unchanged() {
    run(async {
        let headers = "QUILLPULLEY-Model-name:   My Model; v=\"1\"\t \r\n\
                       quillpulley-token-count: 1460 , 80\r\n\
                       Quillpulley-Token-Count: many\r\n\
                       Quillpulley-Prompt-Prefix: 5C1E07A2:800,, 91bd3f06:0410 ,no:number\r\n\
                       Connection: Quillpulley-Model-Name, Quillpulley-Request-Id, Last-Event-Id, X-Hop\r\n\
                       X-Hop: 1\r\n\
                       Last-Event-Id: 0\r\n";
        for path in ["/once/x", "/again/x", "/resume/x"] {
            for sent in two_attempts(path, headers).await {
                assert_eq!(sent.header_values("quillpulley-model-name"), ["My Model; v=\"1\""]);
                assert_eq!(sent.header_values("quillpulley-token-count"), ["1460 , 80", "many"]);
                let prefix = "5C1E07A2:800,, 91bd3f06:0410 ,no:number";
                assert_eq!(sent.header_values("quillpulley-prompt-prefix"), [prefix]);
                assert_eq!(sent.header_values("quillpulley-request-id"), ["id-1"]);
                assert_eq!(sent.header_values("last-event-id").len(), 1);
                assert_eq!(sent.header("x-hop"), None);
                assert_eq!(sent.text(), "work");
            }
        }
    });
}

#[test]
fn a_reset_idle_connection_closes_the_other_idle_connections_to_its_server() {
    run(async {
        let reset_when_reused = "request ok until:both reset-unread".to_string();
        let scripts = [
            "request ok-close".to_string(),
            reset_when_reused.clone(),
            reset_when_reused,
            "request ok".to_string(),
        ];
        let servers = ScriptedServers::start(scripts).await;
        let state = servers.state.clone();
        let routes = route("once", "non_idempotent", "");
        let only_server = &servers.entries[..1];
        let proxy =
            Proxy::start_with_faults("", &configuration(1, &[&routes]), only_server, Faults::default()).await;
        let mut clients = [proxy.client().await, proxy.client().await];
        let once = |id: &str| request("POST /once/x", id, "", "wwww");
        assert_eq!(clients[0].fetch(&once("id-0")).await.status(), 200);
        for (number, client) in clients.iter_mut().enumerate() {
            client.send(&once(&format!("id-1{number}"))).await;
        }
        for client in &mut clients {
            assert_eq!(client.read_response().await.status(), 200);
        }
        state.record_received("both");
        pause(&proxy).await;
        // The server may have read the request, so it is not retried.
        assert_eq!(clients[0].fetch(&once("id-2")).await.status(), 502);
        assert_eq!(clients[0].fetch(&once("id-3")).await.status(), 200);
        assert_eq!(state.violations(), Vec::<String>::new());
    });
}

#[test]
fn a_stream_is_resumed_only_in_its_home_regions() {
    run(async {
        let first = "request ok-close".to_string();
        let interrupted = "request stream event:1 until:1 reset".to_string();
        let mut servers =
            ScriptedServers::start([first, interrupted, "request stream event:2 end".to_string()]).await;
        // The zone of the other servers does not belong to the home region of the route.
        servers.entries[1..].iter_mut().for_each(|entry| entry.zone = "elsewhere".to_string());
        let state = servers.state.clone();
        let fields = "\"MaxAttempts\":3,\"Resumable\":true,\"HomeRegions\":[\"r\"]";
        let routes = route("resume", "streaming", fields);
        let entries = &servers.entries;
        let proxy =
            Proxy::start_with_faults("", &configuration(1, &[&routes]), entries, Faults::default()).await;
        let mut client = proxy.client().await;
        let resume = |id: &str| request("POST /resume/x", id, "", "wwww");
        client.fetch(&resume("id-0")).await;
        proxy.agent.wait_for_reported_request("one").await;
        client.send(&resume("id-1")).await;
        client.read_head().await;
        assert_eq!(client.read_chunk().await.as_deref(), Some("id: 1\ndata: 1\n\n"));
        state.record_received("1");
        assert!(client.is_truncated().await);
        assert_eq!((state.execution_count("id-1"), state.unstarted_scripts()), (1, 1));
    });
}
