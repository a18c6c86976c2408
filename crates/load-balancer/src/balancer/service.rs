//! The state of a service.

use super::server::{Server, ServerInfo};
use super::service_rate::{median, ServiceRate};
use super::slow_start::SlowStartShare;
use super::ServerKey;
use quillpulley_serving_config::Service;
use slotmap::SlotMap;
use std::time::Duration;

/// The multiple of the median failure rate, and the least failure rate, from which a server counts as failing.
const FAILING_FACTOR: f64 = 3.0;
const MIN_FAILURE_RATE: f64 = 0.1;
/// How long medians are cached.
const MEDIANS_TTL: Duration = Duration::from_millis(100);

/// A service.
#[derive(Default)]
pub(crate) struct ServiceState {
    pub(crate) settings: ServiceSettings,
    /// The servers.
    pub(crate) servers: Vec<ServerKey>,
    pub(crate) rate: ServiceRate,
    pub(crate) medians: Medians,
    /// The highest priority that was seen.
    pub(crate) most_urgent: Option<u32>,
}

/// The medians that servers are compared with. They change slowly and are cached.
#[derive(Clone, Copy, Default)]
pub(crate) struct Medians {
    pub(crate) updated_at: Option<Duration>,
    /// The median time per token of work, in milliseconds.
    pub(crate) token_ms: Option<f64>,
    /// The failure rate from which a server counts as failing.
    pub(crate) failing_from: f64,
}

impl ServiceState {
    /// Computes the medians, unless they are cached.
    pub(crate) fn refresh_medians(&mut self, now: Duration, servers: &SlotMap<ServerKey, Server>) {
        if self.medians.updated_at.is_some_and(|updated_at| now < updated_at + MEDIANS_TTL) {
            return;
        }
        let servers = || self.servers.iter().filter_map(|key| servers.get(*key));
        let share = median(servers().map(|server| server.failure_rate(now))).unwrap_or(0.0);
        self.medians = Medians {
            updated_at: Some(now),
            token_ms: median(servers().filter_map(|server| server.speed.reliable())),
            failing_from: (share * FAILING_FACTOR).max(MIN_FAILURE_RATE),
        };
    }

    /// Records the priority of a request.
    pub(crate) fn note_priority(&mut self, priority: u32) {
        let most = self.most_urgent.unwrap_or(priority);
        self.most_urgent = Some(most.min(priority));
    }
}

/// The configuration of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceSettings {
    /// The connections that a server accepts from all proxies; 0 if unknown.
    pub(crate) max_connections: u32,
    /// The warm-up time; zero if there is none.
    pub(crate) warmup: Duration,
    /// The share of this proxy at a cold server; none if there is no limit.
    pub(crate) slow_start_share: Option<SlowStartShare>,
    pub(crate) engine: Option<EngineSettings>,
}

/// The inference engine of a service's servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineSettings {
    /// The requests that a server executes at once, if the list does not say it.
    slots: u32,
    memory_tokens: Option<u32>,
}

impl ServiceSettings {
    /// Creates the parameters of a service. `overshoot` and `slack` bound the requests to cold servers.
    pub(crate) fn of(service: &Service, overshoot: f64, slack: f64) -> Self {
        let is_unlimited = service.warmup.is_zero() && service.warmup_per_s <= 0.0;
        let bound = service.warmup_per_s * overshoot + slack;
        let engine = service.engine.as_ref().map(|engine| EngineSettings {
            slots: engine.slots,
            memory_tokens: Some(engine.kv_capacity_tokens).filter(|tokens| *tokens > 0),
        });
        ServiceSettings {
            max_connections: service.max_connections,
            warmup: service.warmup,
            slow_start_share: (!is_unlimited).then(|| SlowStartShare::of(bound)),
            engine,
        }
    }
    /// Returns the tokens that a server's memory holds; none if unknown.
    pub(crate) fn memory_tokens(&self) -> Option<u32> {
        self.engine?.memory_tokens
    }

    /// Returns the requests that a server executes at the same time.
    pub(crate) fn slots(&self, server: &ServerInfo) -> f64 {
        let of_engine = || self.engine.map_or(1, |engine| engine.slots);
        let listed = Some(server.slots).filter(|slots| *slots > 0);
        f64::from(listed.unwrap_or_else(of_engine).max(1))
    }
}
