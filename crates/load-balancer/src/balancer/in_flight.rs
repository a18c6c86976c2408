//! Tracks requests in flight, and updates the state of servers by their outcomes.

use super::outlier_detection::{HealthEvent, HealthStatus};
use super::prefill_time::PrefillTime;
use super::server::Server;
use super::server_load::RequestLoad;
use super::{Balancer, FailureKind, Outcome, ServerKey};
use crate::demand::Demand;
use std::time::Duration;

slotmap::new_key_type! {
    pub(super) struct RequestKey;
}

/// A server that was unhealthy for at least this time may have restarted and be cold.
const RESTART_THRESHOLD: Duration = Duration::from_secs(1);

/// The handle of a request in flight at a server. It must be passed to [`Balancer::end`] when the request has
/// ended.
#[must_use = "a request counts as in flight until its ticket is passed to `Balancer::end`"]
#[derive(Debug)]
pub struct Ticket {
    request: RequestKey,
    server: ServerKey,
}

impl Ticket {
    /// Returns the server that the request was sent to.
    pub fn server(&self) -> ServerKey {
        self.server
    }
}

/// The result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckResult {
    /// The server is healthy.
    Passed {
        /// The remaining warm-up time that the server reports, zero if it is warm; `None` if it reports none.
        warmup_remaining: Option<Duration>,
    },
    /// The server is unhealthy, or did not respond.
    Failed,
}

/// A request in flight.
pub(super) struct InFlight {
    server: ServerKey,
    /// When the request was sent.
    sent_at: Duration,
    /// Whether the response has begun.
    has_started: bool,
    /// Whether the request is the probe of an ejected server.
    is_probe: bool,
    request_load: RequestLoad,
    /// The tokens of earlier requests that the server had still to prefill when this request was sent.
    queued_tokens: f64,
}

impl Balancer {
    /// Records that a request is about to be sent to a server, and returns its ticket.
    pub fn begin(&mut self, now: Duration, key: ServerKey, demand: &Demand<'_>) -> Ticket {
        let request_load = RequestLoad::new(demand, self.prefill_tokens(now, key, demand));
        self.prefix_cache.record(now, key, demand.segments);
        if let Some(service) = self.services.get_mut(demand.service) {
            service.rate.record_begin(now, demand.private_tokens());
        }
        let server = self.servers.get_mut(key);
        let (queued_tokens, is_probe) =
            server.map_or((0.0, false), |server| server.begin(now, &request_load));
        let request =
            InFlight { server: key, sent_at: now, has_started: false, is_probe, request_load, queued_tokens };
        Ticket { request: self.requests.insert(request), server: key }
    }

    /// Records that the response to a request has begun. Later calls for the same request have no effect.
    pub fn record_started(&mut self, now: Duration, ticket: &Ticket) {
        let Some(request) = self.requests.get_mut(ticket.request).filter(|request| !request.has_started)
        else {
            return;
        };
        request.has_started = true;
        let Some(server) = self.servers.get_mut(request.server) else { return };
        server.load.start(now, &request.request_load);
        let time = now.saturating_sub(request.sent_at);
        let work = f64::from(request.request_load.prefill_tokens) + request.queued_tokens;
        if let Some(service) = self.services.get_mut(&server.info.service) {
            let ms_per_token = service.rate.record_first_byte(time, server.distance as usize, work);
            if self.options.ablation.fitted_prefill_time() {
                service.rate.prefill = PrefillTime::default();
            }
            server.speed.add(now, ms_per_token);
        }
        self.record_response(now, ticket.server);
    }

    /// Records the outcome of a request, which is no longer in flight.
    pub fn end(&mut self, now: Duration, ticket: Ticket, outcome: Outcome) {
        let Some(request) = self.requests.remove(ticket.request) else { return };
        if !request.has_started && outcome != Outcome::Completed {
            self.prefix_cache.forget_server(request.server, request.request_load.shared_ids());
        }
        let Some(server) = self.servers.get_mut(request.server) else { return };
        server.load.end(now, &request.request_load, request.has_started, is_response(outcome));
        match outcome {
            Outcome::Completed => {
                server.failures.record(now, false);
                let time = now.saturating_sub(request.sent_at);
                if let Some(service) = self.services.get_mut(&server.info.service) {
                    service.rate.record_end(time);
                }
                self.record_response(now, ticket.server);
            }
            Outcome::NotExecuted { full } => {
                if full {
                    server.set_full(now);
                }
                self.record_response(now, ticket.server);
            }
            Outcome::Failed(kind) => {
                server.failures.record(now, true);
                server.health.handle(now, HealthEvent::Failed(kind));
            }
            Outcome::Misdirected => server.set_misdirected(),
            Outcome::ClientClosed if request.is_probe => {
                server.health.handle(now, HealthEvent::ProbeAbandoned);
            }
            Outcome::ClientClosed => {}
        }
    }

    /// Returns whether a server has not responded for longer than its load explains. Such a server may have
    /// failed, so idempotent requests need not wait for its response.
    pub fn is_unresponsive(&self, now: Duration, key: ServerKey) -> bool {
        let Some(server) = self.servers.get(key) else { return false };
        let service = self.services.get(&server.info.service);
        service.is_some_and(|service| server.load.is_unresponsive(now, &service.rate))
    }

    /// Returns the ejected servers whose health check is due, and records that the checks have started. Each
    /// result must be passed to [`Balancer::record_health_check`]. A server whose check fails stays ejected.
    /// If no checks are made, requests are sent as probes.
    pub fn due_health_checks(&mut self, now: Duration) -> Vec<ServerKey> {
        let is_due = |server: &Server| server.is_usable() && server.health.is_check_due(now);
        let due = self.servers.iter_mut().filter(|(_, server)| is_due(server));
        let begin = |(key, server): (ServerKey, &mut Server)| {
            server.health.handle(now, HealthEvent::CheckStarted);
            key
        };
        due.map(begin).collect()
    }

    /// Records the result of a health check that was sent at `asked_at`.
    pub fn record_health_check(
        &mut self,
        now: Duration,
        key: ServerKey,
        asked_at: Duration,
        result: HealthCheckResult,
    ) {
        match result {
            HealthCheckResult::Failed => {
                if let Some(server) = self.servers.get_mut(key) {
                    server.health.handle(now, HealthEvent::CheckFailed);
                }
            }
            HealthCheckResult::Passed { warmup_remaining: None } => self.record_response(now, key),
            HealthCheckResult::Passed { warmup_remaining: Some(remaining) } => {
                if let Some(server) = self.servers.get_mut(key) {
                    server.health.handle(now, HealthEvent::Responded);
                    server.set_warmup_remaining(now, asked_at, remaining);
                }
            }
        }
    }

    /// Records that a server has responded. If it was unhealthy for long and may have restarted, it counts as
    /// cold.
    fn record_response(&mut self, now: Duration, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let unhealthy_time = server.health.handle(now, HealthEvent::Responded);
        if unhealthy_time.is_some_and(|unhealthy_time| unhealthy_time >= RESTART_THRESHOLD) {
            let warmup = self.services.get(&server.info.service).map(|service| service.settings.warmup);
            server.assume_warming(now, warmup.unwrap_or_default());
        }
    }
}

impl Server {
    /// Adds a request. Returns the number of tokens that the server has to prefill before it, and whether the
    /// request is a probe of the ejected server.
    fn begin(&mut self, now: Duration, request_load: &RequestLoad) -> (f64, bool) {
        let queued_tokens = self.load.total(now).waiting_tokens;
        let is_probe = self.health.status(now, false) == HealthStatus::ProbeDue;
        if is_probe {
            self.health.handle(now, HealthEvent::ProbeStarted);
        }
        self.load.begin(now, request_load);
        self.recent_sends.record(now);
        (queued_tokens, is_probe)
    }
}

/// Returns whether an outcome proves that the server has responded.
fn is_response(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Completed | Outcome::NotExecuted { .. } | Outcome::Misdirected => true,
        Outcome::Failed(kind) => matches!(kind, FailureKind::ServerError | FailureKind::InvalidResponse),
        Outcome::ClientClosed => false,
    }
}
