//! The settings of a service, and what the balancer has measured about it.

use super::server::{Server, ServerInfo};
use super::service_rate::{median, ServiceRate};
use super::slow_start::SlowStartShare;
use super::ServerKey;
use quillpulley_serving_config::Service;
use slotmap::SlotMap;
use std::time::Duration;

/// A server counts as failing if its failure rate is above this multiple of the median of its service, and
/// above the minimum.
const FAILING_FACTOR: f64 = 3.0;
const MIN_FAILURE_RATE: f64 = 0.1;
/// How long the computed medians are used.
const MEDIANS_TTL: Duration = Duration::from_millis(100);

/// The settings and the state of a service.
#[derive(Default)]
pub(crate) struct ServiceState {
    pub(crate) settings: ServiceSettings,
    /// The listed servers of the service.
    pub(crate) servers: Vec<ServerKey>,
    pub(crate) rate: ServiceRate,
    pub(crate) medians: Medians,
    /// The highest priority of all requests so far, which is the lowest number; `None` before the first
    /// request.
    pub(crate) highest_priority: Option<u32>,
}

/// The medians with which servers are compared. They change slowly and are computed at intervals.
#[derive(Clone, Copy, Default)]
pub(crate) struct Medians {
    pub(crate) updated_at: Option<Duration>,
    /// The median time per token of work, in milliseconds; `None` if no server has enough samples.
    pub(crate) token_ms: Option<f64>,
    /// The failure rate above which a server counts as failing.
    pub(crate) failing_above: f64,
}

impl ServiceState {
    /// Computes the medians, unless they are recent.
    pub(crate) fn refresh_medians(&mut self, now: Duration, servers: &SlotMap<ServerKey, Server>) {
        if self.medians.updated_at.is_some_and(|updated_at| now < updated_at + MEDIANS_TTL) {
            return;
        }
        let servers = || self.servers.iter().filter_map(|key| servers.get(*key));
        let median_failure_rate = median(servers().map(|server| server.failure_rate(now))).unwrap_or(0.0);
        self.medians = Medians {
            updated_at: Some(now),
            token_ms: median(servers().filter_map(|server| server.speed.reliable())),
            failing_above: (median_failure_rate * FAILING_FACTOR).max(MIN_FAILURE_RATE),
        };
    }

    /// Updates the highest priority with the priority of a request.
    pub(crate) fn record_priority(&mut self, priority: u32) {
        let highest = self.highest_priority.unwrap_or(priority);
        self.highest_priority = Some(highest.min(priority));
    }
}

/// The settings of a service that the balancer needs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceSettings {
    /// The maximum number of connections that a server accepts from all proxies together; 0 if unknown, which
    /// means no limit.
    pub(crate) max_connections: u32,
    /// The warm-up time of a server after its start; zero if it needs none.
    pub(crate) warmup: Duration,
    /// The share of a proxy at a cold server; `None` if the requests to cold servers are not limited.
    pub(crate) slow_start_share: Option<SlowStartShare>,
    /// The inference engine; `None` if the servers run no model.
    pub(crate) engine: Option<EngineSettings>,
}

/// The inference engine of a service's servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineSettings {
    /// The maximum number of requests that a server executes at the same time, unless its listed entry states
    /// it.
    slots: u32,
    /// The number of tokens that a server's memory holds; `None` if unknown.
    memory_tokens: Option<u32>,
}

impl ServiceSettings {
    /// Creates the settings from the configuration of a service. `overshoot` is the factor on its
    /// `WarmupPerS`, and `slack` the addend, in the limit on requests to a cold server.
    pub(crate) fn new(service: &Service, overshoot: f64, slack: f64) -> Self {
        let is_unlimited = service.warmup.is_zero() && service.warmup_per_s <= 0.0;
        let limit = service.warmup_per_s * overshoot + slack;
        let engine = service.engine.as_ref().map(|engine| EngineSettings {
            slots: engine.slots,
            memory_tokens: Some(engine.kv_capacity_tokens).filter(|tokens| *tokens > 0),
        });
        ServiceSettings {
            max_connections: service.max_connections,
            warmup: service.warmup,
            slow_start_share: (!is_unlimited).then(|| SlowStartShare::for_limit(limit)),
            engine,
        }
    }

    /// Returns the number of tokens that a server's memory holds; `None` if unknown.
    pub(crate) fn memory_tokens(&self) -> Option<u32> {
        self.engine?.memory_tokens
    }

    /// Returns the maximum number of requests that a server executes at the same time: that of its listed
    /// entry, else that of the engine, else 1.
    pub(crate) fn slots(&self, server: &ServerInfo) -> f64 {
        let engine_slots = || self.engine.map_or(1, |engine| engine.slots);
        let listed_slots = Some(server.slots).filter(|slots| *slots > 0);
        f64::from(listed_slots.unwrap_or_else(engine_slots).max(1))
    }
}
