//! Tests of failures at every point of the connections to servers: which responses the client receives, and
//! how often its requests execute. The test cases are in `tables.rs`.

use crate::support::client::request;
use crate::support::message::Message;
use crate::support::script::{ScriptState, ScriptedServers};
use crate::support::{configuration, route, run, Client, Proxy};
use crate::tables::{EARLY, REUSED, STREAMS, UNSTREAMED};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use quillpulley::proxy::Faults;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, JoinHandle};

/// Number of bytes that exceeds what the kernel buffers for a connection that is not read.
const LONG_BODY_BYTES: usize = 8 * 1024 * 1024;
/// How long `reuse-delay` waits: longer than the reuse delay of connections to servers, which is 10 ms.
const REUSE_WAIT: Duration = Duration::from_millis(15);

/// A test case: one line of a table.
#[derive(Clone, Debug)]
struct Case {
    /// The steps of the client.
    client: String,
    /// The scripts of the servers, in the order of their connections.
    scripts: Vec<String>,
}

impl Case {
    fn parse(line: &str) -> Case {
        let (client, scripts) = line.split_once('|').expect("a line of the form `client | scripts`");
        let scripts = scripts.split(';').map(|script| script.trim().to_string()).collect();
        Case { client: client.trim().to_string(), scripts }
    }
}

fn cases(table: &str) -> Vec<Case> {
    table.lines().filter(|line| !line.trim().is_empty()).map(Case::parse).collect()
}

/// Runs a case. Returns the result of each request, or an error if the case violates an invariant, whatever
/// results it expects.
async fn run_case(case: Case, faults: Faults) -> Result<Vec<String>, String> {
    let first = "request ok-close".to_string();
    let servers = ScriptedServers::start(std::iter::once(first).chain(case.scripts.clone())).await;
    let state = servers.state.clone();
    // With a single server, a second request reuses the connection of the first one.
    let listed_servers =
        if case.client.contains("reuse-delay") { &servers.entries[..1] } else { &servers.entries[..] };
    let proxy = Proxy::start_with_faults("", &case_configuration(), listed_servers, faults).await;
    let mut client = proxy.client().await;
    // The retry budget of a service allows no retries before a request to it has been counted.
    fetch(&mut client, &state, "once", "first", "w").await;
    proxy.agent.wait_for_reported_request("one").await;
    let mut results = Vec::new();
    for (number, step) in case.client.split_whitespace().enumerate() {
        match step {
            "reuse-delay" => {
                wait_for_reuse(&mut client).await;
                continue;
            }
            "scripts-ended" => {
                state.wait_until_scripts_end().await;
                continue;
            }
            _ => {}
        }
        let request_step = step.split('=').next().unwrap_or_default();
        let (name, long) =
            request_step.strip_suffix("+long").map_or((request_step, false), |name| (name, true));
        let body = if long { "w".repeat(LONG_BODY_BYTES) } else { "wwww".to_string() };
        let id = format!("id-{number}");
        let outcome = fetch(&mut client, &state, name, &id, &body).await;
        check_invariants(name, &id, &outcome, &state)?;
        results.push(format!("{request_step}={}", outcome.text));
        if outcome.is_closed {
            client = proxy.client().await;
        }
    }
    drop((client, proxy.signals));
    proxy.process.abort();
    let _ = proxy.process.await;
    match state.violations().first() {
        Some(violation) => Err(violation.clone()),
        None if state.unstarted_scripts() > 0 => {
            Err(format!("{} scripts were not run", state.unstarted_scripts()))
        }
        None => Ok(results),
    }
}

fn case_configuration() -> String {
    let routes = [
        route("once", "non_idempotent", "\"MaxAttempts\":2"),
        route("again", "idempotent", "\"MaxAttempts\":2"),
        route("brief", "non_idempotent", "\"MaxAttempts\":2,\"TimeoutMs\":300"),
        route("brief-again", "idempotent", "\"MaxAttempts\":2,\"TimeoutMs\":300"),
        route("stream", "streaming", "\"MaxAttempts\":2"),
        route("resume", "streaming", "\"MaxAttempts\":2,\"Resumable\":true"),
    ];
    let routes: Vec<&str> = routes.iter().map(String::as_str).collect();
    configuration(1, &routes).replace("100000", "100000000")
}

/// The outcome of a request for its client.
struct Outcome {
    /// The result, as the tables write it.
    text: String,
    head: Message,
    /// Whether the connection cannot be used for another request.
    is_closed: bool,
}

/// Sends a request and reads the response, as far as it arrives.
async fn fetch(client: &mut Client, state: &ScriptState, route: &str, id: &str, body: &str) -> Outcome {
    client.send(&request(&format!("POST /{route}/x"), id, "", body)).await;
    let Some(mut head) = client.try_read_head().await else {
        return Outcome { text: "truncated".to_string(), head: Message::default(), is_closed: true };
    };
    state.record_received("head");
    if head.header("transfer-encoding").is_none() {
        head.body = client.read_body(&head).await;
        let text = match (head.status(), head.text() == id) {
            (200, true) => "ok".to_string(),
            (200, false) => format!("the response to {}", head.text()),
            (status, _) => status.to_string(),
        };
        let is_closed = head.header("connection") == Some("close");
        return Outcome { text, head, is_closed };
    }
    let mut events: Vec<String> = Vec::new();
    let mut text = String::new();
    let is_closed = loop {
        match client.try_read_chunk().await {
            Some(Some(chunk)) => {
                text.push_str(&chunk);
                event_ids(&text).iter().for_each(|id| state.record_received(id));
            }
            Some(None) => break false,
            None => break true,
        }
    };
    events.extend(event_ids(&text));
    if is_closed {
        events.push("truncated".to_string());
    }
    Outcome { text: events.join(","), head, is_closed }
}

/// Returns the ids of the events in a text. An incomplete event is given as `part of` its id.
fn event_ids(text: &str) -> Vec<String> {
    let mut ids = Vec::new();
    for event in text.split_inclusive("\n\n") {
        let id = event.strip_prefix("id: ").and_then(|rest| rest.split('\n').next()).unwrap_or("?");
        let is_complete = event == format!("id: {id}\ndata: {id}\n\n");
        ids.push(if is_complete { id.to_string() } else { format!("part of {id}") });
    }
    ids
}

/// Checks the invariants that hold for every request, whatever the servers do.
fn check_invariants(route: &str, id: &str, outcome: &Outcome, state: &ScriptState) -> Result<(), String> {
    let executions = state.execution_count(id);
    let status = outcome.head.status();
    let has_no_head = outcome.head.first_line.is_empty();
    let may_execute_again = matches!(route, "again" | "brief-again" | "resume");
    if !may_execute_again && executions > 1 {
        return Err(format!("{id} on {route} executed {executions} times"));
    }
    if executions > 2 {
        return Err(format!("{id} on {route} executed on more servers than MaxAttempts allows"));
    }
    if matches!(status, 408 | 421 | 429 | 503) && executions > 0 {
        return Err(format!("{id} on {route} got {status} although it may have executed"));
    }
    if outcome.text.starts_with("the response to") {
        return Err(format!("{id} on {route} got {}", outcome.text));
    }
    let sealed = outcome.head.header("quillpulley-response-seal").is_some();
    if !has_no_head && sealed != matches!(status, 200 | 500) {
        return Err(format!("{id} on {route} got {status}, sealed: {sealed}"));
    }
    if sealed && outcome.head.header("quillpulley-request-id") != Some(id) {
        return Err(format!("{id} on {route} got the head of the response to another request"));
    }
    Ok(())
}

/// Sends requests without a route until the reuse delay of connections to servers has passed.
async fn wait_for_reuse(client: &mut Client) {
    let started = Instant::now();
    while started.elapsed() < REUSE_WAIT {
        assert_eq!(client.fetch(&request("GET /nothing/", "id-rest", "", "")).await.status(), 404);
    }
}

/// Runs all cases concurrently.
async fn run_all(cases: Vec<Case>, faults: Faults) -> Vec<(Case, Result<Vec<String>, String>)> {
    let start = |case: Case| (case.clone(), spawn_local(run_case(case, faults)));
    let running: Vec<(Case, JoinHandle<_>)> = cases.into_iter().map(start).collect();
    let mut finished = Vec::new();
    for (case, running) in running {
        finished.push((case, running.await.expect("the case panicked")));
    }
    finished
}

/// Runs all cases of a table, and checks that each has the results that it expects.
fn assert_outcomes(table: &'static str) {
    run(async move {
        for (case, result) in run_all(cases(table), Faults::default()).await {
            let expected: Vec<&str> =
                case.client.split_whitespace().filter(|step| step.contains('=')).collect();
            let result = result.map(|results| results.join(" "));
            assert_eq!(result, Ok(expected.join(" ")), "{case:?}");
        }
    });
}

#[test]
fn unstreamed_responses() {
    assert_outcomes(UNSTREAMED);
}

#[test]
fn reused_connections() {
    assert_outcomes(REUSED);
}

#[test]
fn early_responses() {
    assert_outcomes(EARLY);
}

#[test]
fn streams() {
    assert_outcomes(STREAMS);
}

#[test]
fn the_invariants_detect_a_retry_after_a_reset() {
    run(async {
        let faults = Faults { retry_after_reset: true, ..Faults::default() };
        let case = Case::parse("once=502 | request reset ; request ok");
        assert_eq!(run_case(case, faults).await, Err("id-0 on once executed 2 times".to_string()));
        let case = Case::parse("once=502 | request reset ; request not-executed");
        assert_eq!(run_case(case, faults).await, Ok(vec!["once=502".to_string()]));
    });
}

#[test]
fn the_invariants_detect_a_response_to_another_request() {
    run(async {
        let faults = Faults { ignore_response_ids: true, ..Faults::default() };
        let case = Case::parse("once=502 | request wrong-id");
        assert_eq!(run_case(case, faults).await, Err("id-0 on once got the response to another".to_string()));
    });
}

/// A random case: one request to a random route, and scripts with random responses.
#[derive(Clone, Debug)]
struct AnyCase(Case);

impl Arbitrary for AnyCase {
    fn arbitrary(g: &mut Gen) -> Self {
        let unstreamed = [
            "ok",
            "ok-close",
            "chunked",
            "unframed close",
            "unframed reset",
            "partial-head reset",
            "partial-body reset",
            "partial-body close",
            "partial-chunk reset",
            "wrong-id",
            "not-http close",
            "status-101",
            "status-103 reset",
            "status-103 ok ok",
            "status-500",
            "unmarked-503",
            "unmarked-429",
            "unmarked-408",
            "not-executed",
            "misdirected",
            "reset",
            "close",
        ];
        let streams = [
            "stream event:1 event:2 end",
            "stream event:1 reset",
            "stream partial:1 reset",
            "stream reset",
            "stream event:1 partial:2 close",
            "unframed-stream raw:1 close",
            "unframed-stream raw:1 reset",
            "wrong-id",
            "not-executed",
            "misdirected",
            "reset",
            "partial-head reset",
            "unmarked-503",
            "status-500",
        ];
        let name = *g.choose(&["once", "again", "stream", "resume"]).expect("some");
        let responses: &[&str] =
            if name.starts_with('s') || name == "resume" { &streams } else { &unstreamed };
        let reading = *g.choose(&["request", "request", "head"]).expect("some");
        // The last script is for connections that the proxy opens after those of the random scripts.
        let mut script = |reading: &str| format!("{reading} {}", g.choose(responses).expect("some"));
        let scripts = vec![script(reading), script("request"), script("request"), "request ok".to_string()];
        AnyCase(Case { client: format!("{name}=?"), scripts })
    }
}

#[test]
fn the_invariants_hold_for_random_cases() {
    fn holds(cases: Vec<AnyCase>) -> bool {
        let cases: Vec<Case> = cases.into_iter().map(|AnyCase(case)| case).collect();
        let failed = Rc::new(std::cell::Cell::new(false));
        let failed_in_run = failed.clone();
        run(async move {
            for (case, result) in run_all(cases, Faults::default()).await {
                let violation = result.err().filter(|error| !error.ends_with("scripts were not run"));
                if let Some(error) = violation {
                    eprintln!("{error}: {case:?}");
                    failed_in_run.set(true);
                }
            }
        });
        !failed.get()
    }
    QuickCheck::new().rng(Gen::new(40)).tests(8).quickcheck(holds as fn(Vec<AnyCase>) -> bool);
}
