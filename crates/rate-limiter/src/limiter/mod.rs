//! The decision logic of one limiter: a pure state machine that performs no I/O and reads no clock.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`admission`] | admits or rejects a request, by its tenant's quota and then by server load |
//! | [`quota`] | token buckets per tenant, and this limiter's share of each quota |
//! | [`counter_sync`] | shares each tenant's demand with the other limiters through the counter service |
//! | [`heavy_hitters`] | a list, shared by all limiters, of tenants that far exceed their quota |
//! | [`attempts`] | the attempts of a request: sends, timeouts, retries and the final response |
//! | [`retry_budget`] | limits the number of retries |
//! | [`servers`] | the servers known from discovery, and the subset that this limiter uses |
//! | [`load_balancing`] | selects a server for a request |
//! | [`outlier_detection`] | ejects failing servers and tracks the slowness of each server |
//! | [`slow_start`] | limits the requests sent to a recently started server |
//! | [`fleet_load`] | the mean load of all servers, from their load reports |
//! | [`discovery_backoff`] | schedules the next discovery call after a failed one |

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

/// Seconds between ticks.
const TICK_INTERVAL: f64 = 0.05;
/// If more than this many seconds pass between two ticks, this limiter itself was stalled.
const STALL_TIME: f64 = 0.25;
/// The initial mean latency of a class before any measurement, as a multiple of its target latency.
const INITIAL_MEAN_LATENCY: f64 = 0.2;
/// The weight of one response in the moving average of its class's latency.
const MEAN_LATENCY_GAIN: f64 = 0.02;
/// Maximum time scale in seconds (see [`Context::time_scale`]).
const MAX_TIME_SCALE: f64 = 10.0;

/// The purpose of a timer, encoded in the timer's token together with the request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Timer {
    /// The periodic tick.
    Tick,
    /// The final response to a request must be given now.
    Deadline(RequestId),
    /// The latest attempt of a request may be too slow.
    SlowAttempt(RequestId),
}

impl Timer {
    /// The factor of the request id in a token. The remainder of a token identifies the kind of its timer.
    const KINDS: u64 = 4;

    fn token(self) -> u64 {
        match self {
            Timer::Tick => 0,
            Timer::Deadline(id) => id * Self::KINDS + 1,
            Timer::SlowAttempt(id) => id * Self::KINDS + 2,
        }
    }

    fn from_token(token: u64) -> Self {
        let id = token / Self::KINDS;
        match token % Self::KINDS {
            0 => Timer::Tick,
            1 => Timer::Deadline(id),
            _ => Timer::SlowAttempt(id),
        }
    }
}

/// The input shared by all parts of a limiter: its settings and the time of the current event.
#[derive(Clone, Copy)]
struct Context<'a> {
    settings: &'a Settings,
    /// The time of the current event, in seconds.
    now: f64,
}

impl Context<'_> {
    /// Returns the shortest target latency of all classes in seconds, at most [`MAX_TIME_SCALE`]. The time constants
    /// of outlier detection and load tracking are multiples of it.
    fn time_scale(&self) -> f64 {
        let latencies = self.settings.classes.iter().map(|class| class.target_latency);
        latencies.fold(f64::MAX, f64::min).min(MAX_TIME_SCALE)
    }
}

/// The decision logic of one limiter. Events go in through [`Limiter::handle`], and actions come out.
pub struct Limiter {
    settings: Settings,
    now: f64,
    timer_started: bool,
    last_tick: f64,
    /// The end of the last stall of this limiter. Delays before it are not attributed to the servers.
    stalled_until: f64,
    rng: fastrand::Rng,
    quotas: Quotas,
    servers: ServerSet,
    /// The mean latency per unit in seconds, by class index.
    mean_latency: Vec<f64>,
    retry_budget: RetryBudget,
    requests: BTreeMap<RequestId, OpenRequest>,
    discovery: DiscoveryBackoff,
}

/// Returns the [`Context`] of the current event. This is a macro and not a method so that it borrows only two fields
/// of the limiter.
macro_rules! context {
    ($limiter:expr) => {
        Context { settings: &$limiter.settings, now: $limiter.now }
    };
}
use context;

impl Limiter {
    /// Creates a limiter without servers or tenants. `now` is in seconds on the clock of the host.
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

    /// Handles an event and appends the resulting actions to `actions`, in the order in which they are to be performed.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        // A flag is used instead of a comparison of times, because a real clock advances between `new` and the first
        // event.
        if !std::mem::replace(&mut self.timer_started, true) {
            actions.push(Action::SetTimer { at: now + TICK_INTERVAL, token: Timer::Tick.token() });
        }
        if self.discovery.take_due_call(now) {
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
            Timer::Deadline(id) if self.awaits_response(id) => {
                actions.push(Action::Fail { id });
                self.finish(id, actions);
            }
            Timer::Deadline(id) | Timer::SlowAttempt(id) => self.check_slow_attempt(id, actions),
        }
    }

    fn awaits_response(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| !request.done && !request.streaming)
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        // While this limiter is stalled, its events wait too. Responses that look late were not delayed by the servers.
        if self.now - self.last_tick > STALL_TIME {
            self.stalled_until = self.now;
        }
        self.quotas.evict_idle_tenants(context!(self), self.last_tick);
        self.last_tick = self.now;
        self.servers.refresh(context!(self));
        actions.extend(self.quotas.read_heavy_hitters(context!(self), &mut self.rng));
        actions.push(Action::SetTimer { at: self.now + TICK_INTERVAL, token: Timer::Tick.token() });
    }
}

/// Returns the exponential moving average after a sample. `weight` is the weight of the sample, from 0 to 1.
fn moving_average(mean: f64, sample: f64, weight: f64) -> f64 {
    mean + (sample - mean) * weight
}

/// Returns the FNV-1a hash of a text. Limiters rely on it to be the same in every process.
fn hash(text: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}
