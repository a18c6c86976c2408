//! What happens to a limiter.

use super::{RequestId, ServerEntry, ServerId};
use std::sync::Arc;

/// The outcome of an attempt or a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response is complete.
    Completed,
    /// An error response; the request may have executed.
    Error,
    /// Rejected without execution.
    Rejected,
    /// No response in time; the request may have executed.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke; the request may have executed.
    Reset,
    /// Cancelled; the request may have executed.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// A server's report of its load. Values that it did not give are none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Queued requests.
    pub queue: Option<f64>,
    /// The share of its cores in use.
    pub busy: Option<f64>,
    /// The recent service time in seconds.
    pub latency: Option<f64>,
    /// Requests per second.
    pub rate: Option<f64>,
    /// Errors per second.
    pub errors: Option<f64>,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The number of the request.
    pub id: RequestId,
    /// The tenant.
    pub tenant: Arc<str>,
    /// The name of the tenant's plan.
    pub plan: Arc<str>,
    /// The name of the class.
    pub class: Arc<str>,
    /// The units, or an estimate of them.
    pub units: f64,
    /// The number of limiters that the tenant can come through.
    pub tenant_limiters: u32,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// When the client gives up.
    pub due: f64,
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// Whether the request has its final response.
    pub finished: bool,
    /// The outcome.
    pub outcome: Outcome,
    /// The time since it was sent.
    pub elapsed: f64,
    /// The actual units, once, if they are settled afterwards.
    pub units: Option<f64>,
    /// The server's report.
    pub report: LoadReport,
}

/// The response to an [`Action::AddToCounter`](super::Action::AddToCounter).
#[derive(Clone, Debug)]
pub struct CounterResponse {
    /// The name of the number.
    pub name: String,
    /// [`Outcome::Completed`], [`Outcome::Timeout`] (may have been added), or another (not added).
    pub outcome: Outcome,
    /// The number after the call, with [`Outcome::Completed`].
    pub total: f64,
    /// The time since the call.
    pub elapsed: f64,
}

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// The complete list of servers. Those that are not in it are removed.
    ServerList(Vec<ServerEntry>),
    /// Changed entries of the list.
    ServerChanges(Vec<ServerEntry>),
    /// A call to discovery failed, or the watch broke.
    DiscoveryFailed,
    /// A client's request.
    Request(Request),
    /// A streamed response has started.
    StreamStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt has its result.
    AttemptFinished(AttemptResult),
    /// The client closed its connection; no response is expected.
    ClientClosed {
        /// The request.
        id: RequestId,
    },
    /// The counter has responded, or failed.
    CounterResponse(CounterResponse),
    /// The response to an [`Action::Probe`](super::Action::Probe).
    ProbeResponse {
        /// The server.
        server: ServerId,
        /// The outcome.
        outcome: Outcome,
        /// The server's report.
        report: LoadReport,
    },
    /// A timer is due.
    Timer {
        /// The token that it was set with.
        token: u64,
    },
}
