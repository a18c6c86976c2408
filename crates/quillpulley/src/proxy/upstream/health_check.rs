//! Health checks of servers that outlier detection has ejected. Other servers are not checked, as the
//! outcomes of requests show their health.

use crate::proxy::headers::{
    self, EXPECT_INSTANCE, INSTANCE_ID, NOT_EXECUTED, REQUEST_ID, WARMUP_REMAINING_MS,
};
use crate::proxy::state::ProxyState;
use crate::proxy::upstream::connection_pool::UpstreamPeer;
use crate::proxy::upstream::response_head;
use crate::proxy::upstream::upstreams::HealthCheckTarget;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::{Request, Response, StatusCode};
use quillpulley_load_balancer::{HealthCheckResult, ServerKey};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Interval at which due health checks are looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// How long due health checks are looked for after a failure. This is longer than a server stays ejected
/// without a check.
const CHECK_PERIOD_AFTER_FAILURE: Duration = Duration::from_secs(12);
/// Timeout of a health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends health checks to ejected servers. Runs until it is dropped.
pub async fn check_servers(state: Rc<ProxyState>) {
    let upstreams = &state.upstreams;
    let failures = upstreams.failures();
    loop {
        failures.occurred().await;
        while failures.last_at().is_some_and(|last| last.elapsed() < CHECK_PERIOD_AFTER_FAILURE) {
            sleep(POLL_INTERVAL).await;
            for server in upstreams.due_health_checks() {
                spawn_local(check(state.clone(), server));
            }
        }
    }
}

async fn check(state: Rc<ProxyState>, server: ServerKey) {
    let asked_at = state.now();
    let result = timeout(CHECK_TIMEOUT, probe(&state, server)).await;
    let result = result.ok().flatten().unwrap_or(HealthCheckResult::Failed);
    state.upstreams.record_health_check(server, asked_at, result);
    if let HealthCheckResult::Passed { .. } = result {
        state.admission.admit_all();
    }
}

/// Sends a health check, and returns the health that the server reports. `None` if there is no response.
async fn probe(state: &ProxyState, server: ServerKey) -> Option<HealthCheckResult> {
    let HealthCheckTarget { peer, service } = state.upstreams.health_check_target(server)?;
    let config = state.config.get()?;
    let service = config.service(&service)?;
    let pool = state.upstreams.pool();
    let mut connection = pool.connect(&peer).await.ok()?.connection;
    let response = connection.exchange(health_check_request(&peer, &service.health_path)?).await.ok()?;
    let result = classify(&response, &peer.id);
    if let Some(keep_alive) = response_head::keep_alive(response.headers()) {
        let quota = state.upstreams.connection_quota(service.max_connections);
        pool.return_idle(server, connection, keep_alive, quota);
    }
    Some(result)
}

fn health_check_request(peer: &UpstreamPeer, path: &str) -> Option<Request<Full<Bytes>>> {
    let request = Request::get(path).header(HOST, peer.address.to_string());
    request.header(EXPECT_INSTANCE, &peer.id).body(Full::default()).ok()
}

/// Classifies the response to a health check. A server that rejects the check because it is busy is healthy.
/// The check fails if another server listens at the address.
fn classify(response: &Response<Bytes>, id: &str) -> HealthCheckResult {
    let headers = response.headers();
    if headers.get(REQUEST_ID).is_some_and(|id| !id.is_empty()) {
        // Health checks carry no request id, so this is a second response to an earlier request on the
        // connection.
        return HealthCheckResult::Failed;
    }
    let is_expected = headers.get(INSTANCE_ID).is_some_and(|instance| instance == id);
    match response.status() {
        StatusCode::OK if is_expected => {
            HealthCheckResult::Passed { warmup_remaining: warmup_remaining(headers) }
        }
        StatusCode::MISDIRECTED_REQUEST => HealthCheckResult::Failed,
        _ if headers.contains_key(NOT_EXECUTED) => HealthCheckResult::Passed { warmup_remaining: None },
        _ => HealthCheckResult::Failed,
    }
}

fn warmup_remaining(headers: &HeaderMap<HeaderValue>) -> Option<Duration> {
    let milliseconds: f64 = headers::single_text(headers, &WARMUP_REMAINING_MS)?.parse().ok()?;
    Duration::try_from_secs_f64(milliseconds / 1000.0).ok()
}
