//! The decisions of one limiter: a pure state machine, without I/O and clocks.
//!
//! | module | concern |
//! | --- | --- |
//! | [`admission`] | accepts or rejects a request: quota first, then the load of the servers |
//! | [`quota`] | token buckets per tenant, and this limiter's share of each quota |
//! | [`counter_sync`] | exchanges the demand of tenants with the other limiters, through the counter |
//! | [`heavy_hitters`] | tenants far beyond their quota, as all limiters list them for each other |
//! | [`attempts`] | the attempts of a request: sends, time-outs, retries, the final response |
//! | [`retry_budget`] | how many retries may be sent |
//! | [`servers`] | the listed servers, and the subset that this limiter uses |
//! | [`load_balancing`] | the choice of a server for a request |
//! | [`outlier_detection`] | ejects servers that fail, and scores slow ones |
//! | [`slow_start`] | how much a server that started recently may get |
//! | [`fleet_load`] | the load of all servers, from their reports |
//! | [`discovery_backoff`] | when the list of servers is asked for again |

mod admission;
mod attempts;
mod counter_sync;
mod discovery_backoff;
mod fleet_load;
mod heavy_hitters;
mod load_balancing;
mod outlier_detection;
mod quota;
mod retry_budget;
mod servers;
mod slow_start;

use crate::interface::{Action, Event, RequestId, Settings};
use attempts::OpenRequest;
use discovery_backoff::DiscoveryBackoff;
use quota::Quotas;
use retry_budget::RetryBudget;
use servers::ServerSet;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Seconds between two ticks.
const TICK_INTERVAL: f64 = 0.05;
/// Seconds between two ticks from which this limiter itself was stalled.
const STALL_TIME: f64 = 0.25;
/// The mean latency of a class before any is measured, in target latencies.
const INITIAL_MEAN_LATENCY: f64 = 0.2;
/// The weight of one response in the mean latency of its class.
const MEAN_LATENCY_GAIN: f64 = 0.02;
/// The longest latency in seconds by which the time constants of health and load are scaled.
const MAX_TIME_SCALE: f64 = 10.0;

/// What a timer is for. It is encoded in the timer's token, together with the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Timer {
    /// The regular tick.
    Tick,
    /// The response to a request is due.
    Due(RequestId),
    /// An attempt of a request may be taking too long.
    SlowAttempt(RequestId),
}

impl Timer {
    const KINDS: u64 = 4;

    fn token(self) -> u64 {
        match self {
            Timer::Tick => 0,
            Timer::Due(id) => id * Self::KINDS + 1,
            Timer::SlowAttempt(id) => id * Self::KINDS + 2,
        }
    }

    fn from_token(token: u64) -> Self {
        let id = token / Self::KINDS;
        match token % Self::KINDS {
            0 => Timer::Tick,
            1 => Timer::Due(id),
            _ => Timer::SlowAttempt(id),
        }
    }
}

/// What all parts of a limiter read: its settings, and the time of the event that is being handled.
#[derive(Clone, Copy)]
struct Context<'a> {
    settings: &'a Settings,
    /// In seconds.
    now: f64,
}

impl Context<'_> {
    /// Returns the shortest target latency of all classes, which scales the time constants of health and load.
    fn time_scale(&self) -> f64 {
        let latencies = self.settings.classes.iter().map(|class| class.target_latency);
        latencies.fold(f64::MAX, f64::min).min(MAX_TIME_SCALE)
    }
}

/// One limiter's decisions.
pub struct Limiter {
    settings: Settings,
    now: f64,
    timer_started: bool,
    last_tick: f64,
    /// Until when late responses are this limiter's own fault, not the servers'.
    stalled_until: f64,
    rng: fastrand::Rng,
    quotas: Quotas,
    servers: ServerSet,
    /// The mean latency per unit, by class.
    mean_latency: Vec<f64>,
    retry_budget: RetryBudget,
    requests: BTreeMap<RequestId, OpenRequest>,
    discovery: DiscoveryBackoff,
}

/// Returns the context of the event that is being handled. A macro, as it borrows two fields only.
macro_rules! context {
    ($limiter:expr) => {
        Context { settings: &$limiter.settings, now: $limiter.now }
    };
}
use context;

impl Limiter {
    /// Creates a limiter that knows no server and no tenant.
    pub fn new(settings: Settings, seed: u64, now: f64) -> Self {
        let mean_latency = settings.classes.iter().map(|class| class.target_latency * INITIAL_MEAN_LATENCY);
        Limiter {
            now,
            timer_started: false,
            last_tick: now,
            stalled_until: now,
            rng: fastrand::Rng::with_seed(seed),
            quotas: Quotas::new(&settings, now),
            servers: ServerSet::default(),
            mean_latency: mean_latency.collect(),
            retry_budget: RetryBudget::default(),
            requests: BTreeMap::new(),
            discovery: DiscoveryBackoff::new(&settings, now),
            settings,
        }
    }

    /// Handles an event, and adds the resulting actions in order.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        // By a flag, not by the time: a real clock has advanced since `new` when the first event comes.
        if !std::mem::replace(&mut self.timer_started, true) {
            actions.push(Action::SetTimer { at: now + TICK_INTERVAL, token: Timer::Tick.token() });
        }
        if self.discovery.is_due(now) {
            actions.push(Action::WatchServers);
        }
        match event {
            Event::ServerList(entries) => {
                self.discovery.record_success();
                self.servers.replace(context!(self), &entries);
            }
            Event::ServerChanges(entries) => {
                self.discovery.record_success();
                self.servers.update(context!(self), &entries);
            }
            Event::DiscoveryFailed => self.discovery.record_failure(now, self.rng.f64()),
            Event::Request(request) => self.admit(request, actions),
            Event::StreamStarted { id } => {
                self.requests.entry(id).and_modify(|request| request.streaming = true);
            }
            Event::AttemptFinished(finished) => {
                self.record_load_report(&finished);
                self.attempt_finished(&finished, actions);
            }
            Event::ClientClosed { id } => self.finish(id, actions),
            Event::CounterResponse(response) => {
                let next = self.quotas.counter_response(context!(self), &response, &mut self.rng);
                actions.extend(next);
            }
            Event::ProbeResponse { .. } => {}
            Event::Timer { token } => self.handle_timer(Timer::from_token(token), actions),
        }
    }

    fn handle_timer(&mut self, timer: Timer, actions: &mut Vec<Action>) {
        match timer {
            Timer::Tick => self.tick(actions),
            Timer::Due(id) if self.awaits_response(id) => {
                actions.push(Action::Fail { id });
                self.finish(id, actions);
            }
            Timer::Due(id) | Timer::SlowAttempt(id) => self.check_slow_attempt(id, actions),
        }
    }

    fn awaits_response(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| !request.done && !request.streaming)
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        // This limiter was stalled, and so were all events meanwhile: what looks late is not the servers' fault.
        if self.now - self.last_tick > STALL_TIME {
            self.stalled_until = self.now;
        }
        self.quotas.forget_idle_tenants(context!(self), self.last_tick);
        self.last_tick = self.now;
        self.servers.refresh(context!(self));
        actions.extend(self.quotas.read_heavy_hitters(context!(self), &mut self.rng));
        actions.push(Action::SetTimer { at: self.now + TICK_INTERVAL, token: Timer::Tick.token() });
    }
}

/// Moves a mean towards a sample by a weight from 0 to 1.
fn moving_average(mean: f64, sample: f64, weight: f64) -> f64 {
    mean + (sample - mean) * weight
}

/// Returns the FNV-1a hash of a text, which is the same at every limiter.
fn hash(text: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}
