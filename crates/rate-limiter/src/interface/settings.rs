//! The settings of a limiter.

/// How far a request of a class may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to execute any number of times.
    #[default]
    Idempotent,
    /// Carries an idempotency key. The servers of one [`Scope`] deduplicate it for some time.
    Keyed,
    /// Must never execute twice.
    NonIdempotent,
}

/// The servers that together deduplicate a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// All servers.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// The name, as requests give it.
    pub name: String,
    /// A response within this time earns the full value.
    pub target_latency: f64,
    /// The client gives up after this time, over all its tries.
    pub deadline: f64,
    /// The value of a request.
    pub value: f64,
    /// The share of the value that is earned after the target latency.
    pub late_share: f64,
    /// How far a request may be repeated.
    pub idempotency: Idempotency,
    /// The servers that deduplicate it, for [`Idempotency::Keyed`].
    pub scope: Scope,
    /// How long it is deduplicated, from the first send that may have executed.
    pub deduplication_window: f64,
    /// Whether the response is a stream.
    pub streaming: bool,
}

/// A plan. Its quotas apply per tenant, over all limiters together.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The name, as requests give it.
    pub name: String,
    /// The quota in units per second; 0 for none.
    pub rate: f64,
    /// The units that may be used at once.
    pub burst: f64,
    /// The attempts that may be in flight at once; 0 for no limit.
    pub max_in_flight: f64,
    /// The hard rate limit in units per second; 0 for none.
    pub hard_rate: f64,
    /// The burst of the hard rate limit in units.
    pub hard_burst: f64,
    /// Units by which the burst of the hard rate limit may be overdrawn.
    pub hard_slack: f64,
    /// A multiplier of the value.
    pub price: f64,
    /// The share of the value that is earned beyond the quota.
    pub excess_value: f64,
    /// The share of the value that is lost for what is sent beyond the quota.
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
    /// The least time between two rounds of events.
    pub round_interval: f64,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// The most units of one request.
    pub max_units: f64,
    /// Whether a request's units are an estimate, settled with the response.
    pub post_paid: bool,
    /// Whether the counter service may be used.
    pub has_counter: bool,
    /// The time-out of a counter call.
    pub counter_timeout: f64,
    /// Whether the list of servers comes only when asked for.
    pub discovery_on_request: bool,
    /// After this time without a call to discovery, a limiter counts as informed.
    pub discovery_deadline: f64,
    /// The least share of its capacity that a new server has.
    pub initial_capacity: f64,
    /// The time until a new server has its full capacity.
    pub warmup_time: f64,
    /// A cold server fails at this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... over this time.
    pub overload_window: f64,
    /// The most attempts of a request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether servers may be probed.
    pub may_probe: bool,
    /// Whether a request may have two attempts open at the same time.
    pub may_hedge: bool,
    /// Whether rejected clients can be told when to try again.
    pub may_send_retry_after: bool,
    /// The longest such time.
    pub max_retry_after: f64,
    /// The time-out of connecting to a server. For the host; the limiter has no connections.
    pub connect_timeout: f64,
    /// Servers close a connection that has been idle for this time.
    pub server_idle_timeout: f64,
    /// The most requests that may be open at once; 0 if unknown.
    pub max_open_requests: u32,
}
