//! The settings of a limiter.

/// Whether a request of a class may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// The request is safe to execute any number of times.
    #[default]
    Idempotent,
    /// The request carries an idempotency key, by which the servers of one [`Scope`] deduplicate it for some time.
    Keyed,
    /// The request must never execute twice.
    NonIdempotent,
}

/// The servers that together deduplicate a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// All servers.
    #[default]
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell within a zone.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// The name by which requests refer to the class.
    pub name: String,
    /// The target latency. A response within this time earns the full value.
    pub target_latency: f64,
    /// The time after which the client gives up, including its own retries.
    pub deadline: f64,
    /// The value of a response, relative to other classes.
    pub value: f64,
    /// The fraction of the value that a response after the target latency earns.
    pub late_share: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// The servers that together deduplicate a request. Only used with [`Idempotency::Keyed`].
    pub scope: Scope,
    /// How long a request is deduplicated, from the first attempt that may have executed it. Only used with
    /// [`Idempotency::Keyed`].
    pub deduplication_window: f64,
    /// Whether responses are streamed.
    pub streaming: bool,
}

/// A plan. Its limits apply to each tenant, over all limiters together.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The name by which requests refer to the plan.
    pub name: String,
    /// The quota in units per second; 0 for no quota.
    pub rate: f64,
    /// The burst of the quota in units.
    pub burst: f64,
    /// Maximum number of attempts in flight; 0 for no limit.
    pub max_in_flight: f64,
    /// The hard rate limit in units per second; 0 for no limit.
    pub hard_rate: f64,
    /// The burst of the hard rate limit in units.
    pub hard_burst: f64,
    /// The number of units by which the burst of the hard rate limit may be overdrawn.
    pub hard_slack: f64,
    /// The multiplier of the value of responses.
    pub price: f64,
    /// The fraction of the value that is earned by responses in excess of the quota.
    pub excess_value: f64,
    /// The fraction of the value that is lost for units sent in excess of the quota.
    pub excess_cost: f64,
}

/// The settings of a limiter.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The index of this limiter, from 0.
    pub limiter_index: u32,
    /// The number of limiters.
    pub limiter_count: u32,
    /// The zone of this limiter.
    pub zone: String,
    /// Minimum time between two rounds in which the host passes events to the limiter.
    pub round_interval: f64,
    /// The classes of requests, to which class indexes refer.
    pub classes: Vec<Class>,
    /// The plans, to which plan indexes refer.
    pub plans: Vec<Plan>,
    /// Maximum units of one request; 0 for no limit.
    pub max_units: f64,
    /// Whether the units of a request are an estimate, which the response replaces by the actual units.
    pub post_paid: bool,
    /// Whether a counter service is available.
    pub has_counter: bool,
    /// The timeout of a call to the counter.
    pub counter_timeout: f64,
    /// Whether the server list is polled. If false, it is pushed.
    pub discovery_on_request: bool,
    /// The time without a call to discovery after which a limiter is considered to know the current server list.
    pub discovery_deadline: f64,
    /// The fraction of its full capacity that a server has when it starts.
    pub initial_capacity: f64,
    /// The time from the start of a server until it has its full capacity.
    pub warmup_time: f64,
    /// A cold server fails if its load exceeds this multiple of its current capacity for
    /// [`Settings::overload_window`].
    pub overload_factor: f64,
    /// How long the load of a cold server must exceed [`Settings::overload_factor`] times its current capacity before
    /// the server fails.
    pub overload_window: f64,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether servers may be probed.
    pub may_probe: bool,
    /// Whether a request may have two attempts open at the same time.
    pub may_hedge: bool,
    /// Whether a rejection may tell the client when to retry.
    pub may_send_retry_after: bool,
    /// Maximum duration after which a rejected client is told to retry.
    pub max_retry_after: f64,
    /// The timeout of connecting to a server. Used by the host only.
    pub connect_timeout: f64,
    /// The idle timeout after which servers close a connection. Used by the host only.
    pub server_idle_timeout: f64,
    /// Maximum number of open requests; 0 if unknown. Used by the host only.
    pub max_open_requests: u32,
}
