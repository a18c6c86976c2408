//! Health checks of servers that have been taken out of service. Others are not checked: requests show how they are.

use super::answer;
use super::headers::{self, EXPECT_INSTANCE, INSTANCE_ID, NOT_EXECUTED, REQUEST_ID, WARMUP_REMAINING_MS};
use super::plane::Plane;
use super::pool::Target;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::{Request, Response, StatusCode};
use quillpulley_load_balancer::{Probe, ServerKey};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The time between two looks at whether a check is due.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Longer than a server is out of service without a check. Without failures for so long none is.
const OUT_OF_SERVICE_MOST: Duration = Duration::from_secs(12);
/// A check that takes longer has failed.
const CHECK_TIME: Duration = Duration::from_millis(500);

/// Checks servers while some are out of service, for as long as it is polled.
pub async fn check_servers(plane: Rc<Plane>) {
    loop {
        plane.failures().happened().await;
        while plane.failures().last().is_some_and(|last| last.elapsed() < OUT_OF_SERVICE_MOST) {
            sleep(LOOK_EVERY).await;
            let due = plane.balancer().borrow_mut().probes_due(plane.now());
            for server in due {
                spawn_local(check(plane.clone(), server));
            }
        }
    }
}

async fn check(plane: Rc<Plane>, server: ServerKey) {
    let found = timeout(CHECK_TIME, ask(&plane, server)).await.ok().flatten().unwrap_or(Probe::Failed);
    plane.balancer().borrow_mut().probed(plane.now(), server, found);
    match found {
        Probe::Well { .. } => plane.admit_all(),
        Probe::Failed => plane.failures().note(),
    }
}

/// Returns what the server says of itself, if anything.
async fn ask(plane: &Rc<Plane>, server: ServerKey) -> Option<Probe> {
    let (target, service) = {
        let balancer = plane.balancer().borrow();
        let info = balancer.server(server)?;
        (Target { key: server, id: info.id.clone(), address: info.address }, info.service.clone())
    };
    let in_force = plane.in_force()?;
    let service = in_force.configuration.services.get(&service)?;
    let mut link = plane.pool().connect(&target).await.ok()?.link;
    let answer = link.exchange(request(&target, &service.health_path)?).await.ok()?;
    let found = judge(&answer, &target.id);
    if let Some(keep_alive) = answer::keep_alive(answer.headers()) {
        let share = plane.connection_share(service.max_connections);
        plane.pool().keep(server, link, keep_alive, share);
    }
    Some(found)
}

fn request(target: &Target, path: &str) -> Option<Request<Full<Bytes>>> {
    let request = Request::get(path).header(HOST, target.address.to_string());
    request.header(EXPECT_INSTANCE, &target.id).body(Full::default()).ok()
}

/// One that is too busy to answer is well. Another one at its address is not.
fn judge(answer: &Response<Bytes>, id: &str) -> Probe {
    let headers = answer.headers();
    if headers.get(REQUEST_ID).is_some_and(|id| !id.is_empty()) {
        // A second answer to a request that was on this connection before: checks have no id.
        return Probe::Failed;
    }
    let is_itself = headers.get(INSTANCE_ID).is_some_and(|instance| instance == id);
    match answer.status() {
        StatusCode::OK if is_itself => Probe::Well { warmup_remaining: warmup_remaining(headers) },
        StatusCode::MISDIRECTED_REQUEST => Probe::Failed,
        _ if headers.contains_key(NOT_EXECUTED) => Probe::Well { warmup_remaining: None },
        _ => Probe::Failed,
    }
}

fn warmup_remaining(headers: &HeaderMap<HeaderValue>) -> Option<Duration> {
    let milliseconds: f64 = headers::single_text(headers, &WARMUP_REMAINING_MS)?.parse().ok()?;
    Duration::try_from_secs_f64(milliseconds / 1000.0).ok()
}
