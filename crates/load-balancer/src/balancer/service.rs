//! A service as a balancer knows it.

use super::server::{Server, ServerInfo};
use super::service_rate::{median, ServiceRate};
use super::slow_start::SlowStartShare;
use super::ServerKey;
use quillpulley_serving_config::Service;
use slotmap::SlotMap;
use std::time::Duration;

/// A server fails more often than others from so many times the median share of failures, and this share at least.
const FAILING_FACTOR: f64 = 3.0;
const MIN_FAILURE_RATE: f64 = 0.1;
/// Medians are taken again after this time.
const MEDIANS_TTL: Duration = Duration::from_millis(100);

/// A service.
#[derive(Default)]
pub(crate) struct ServiceState {
    pub(crate) settings: ServiceSettings,
    /// Its servers.
    pub(crate) servers: Vec<ServerKey>,
    pub(crate) rate: ServiceRate,
    pub(crate) medians: Medians,
    /// The most urgent rank that was seen.
    pub(crate) most_urgent: Option<u32>,
}

/// What servers are compared with. It changes slowly, and so is kept for a moment.
#[derive(Clone, Copy, Default)]
pub(crate) struct Medians {
    pub(crate) taken: Option<Duration>,
    /// The time that the median server takes for a token of work, in milliseconds.
    pub(crate) token_ms: Option<f64>,
    /// The share of failures from which a server counts as failing.
    pub(crate) failing_from: f64,
}

impl ServiceState {
    /// Takes the medians again, if they are old.
    pub(crate) fn refresh_medians(&mut self, now: Duration, servers: &SlotMap<ServerKey, Server>) {
        if self.medians.taken.is_some_and(|taken| now < taken + MEDIANS_TTL) {
            return;
        }
        let servers = || self.servers.iter().filter_map(|key| servers.get(*key));
        let share = median(servers().map(|server| server.failure_rate(now))).unwrap_or(0.0);
        self.medians = Medians {
            taken: Some(now),
            token_ms: median(servers().filter_map(|server| server.speed.reliable())),
            failing_from: (share * FAILING_FACTOR).max(MIN_FAILURE_RATE),
        };
    }

    /// A request of this rank has come.
    pub(crate) fn note_priority(&mut self, priority: u32) {
        let most = self.most_urgent.unwrap_or(priority);
        self.most_urgent = Some(most.min(priority));
    }
}

/// What the configuration says of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceSettings {
    /// Connections that a server takes from all; 0 where it is not known.
    pub(crate) max_connections: u32,
    /// How long a server stays cold; zero where servers are not cold.
    pub(crate) warmup: Duration,
    /// What this proxy may send to a cold server; `None` where it bears any rate.
    pub(crate) slow_start_share: Option<SlowStartShare>,
    pub(crate) engine: Option<EngineSettings>,
}

/// The engine of a service's servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineSettings {
    /// Requests that a server runs at once, where the list does not say it.
    slots: u32,
    memory_tokens: Option<u32>,
}

impl ServiceSettings {
    /// `overshoot` and `slack` are the bounds on requests to cold servers.
    pub(crate) fn of(service: &Service, overshoot: f64, slack: f64) -> Self {
        let bears_any = service.warmup.is_zero() && service.warmup_per_s <= 0.0;
        let bound = service.warmup_per_s * overshoot + slack;
        let engine = service.engine.as_ref().map(|engine| EngineSettings {
            slots: engine.slots,
            memory_tokens: Some(engine.kv_capacity_tokens).filter(|tokens| *tokens > 0),
        });
        ServiceSettings {
            max_connections: service.max_connections,
            warmup: service.warmup,
            slow_start_share: (!bears_any).then(|| SlowStartShare::of(bound)),
            engine,
        }
    }
    /// Tokens that a server's memory holds; `None` where it is not known.
    pub(crate) fn memory_tokens(&self) -> Option<u32> {
        self.engine?.memory_tokens
    }

    /// Requests that a server works on at the same time.
    pub(crate) fn slots(&self, server: &ServerInfo) -> f64 {
        let of_engine = || self.engine.map_or(1, |engine| engine.slots);
        let listed = Some(server.slots).filter(|slots| *slots > 0);
        f64::from(listed.unwrap_or_else(of_engine).max(1))
    }
}
