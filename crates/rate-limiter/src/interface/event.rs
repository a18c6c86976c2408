//! The events that a host passes to a limiter.

use super::{RequestId, ServerEntry, ServerId};
use std::sync::Arc;

/// The outcome of an attempt, a probe, or a call to the counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete, successful response was received.
    Completed,
    /// An error response; the request may have executed.
    Error,
    /// The request was rejected and not executed.
    Rejected,
    /// No response in time; the request may have executed.
    Timeout,
    /// The connection failed before the request was written completely; the request did not execute.
    ConnectFailed,
    /// The connection was lost; the request may have executed.
    Reset,
    /// The attempt was cancelled; the request may have executed.
    Cancelled,
    /// The request was not sent, for a reason that is not the server's fault.
    NotSent,
}

/// A server's report of its load. A value is `None` if the server did not report it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The number of requests in flight at the server.
    pub in_flight: Option<f64>,
    /// The number of queued requests at the server.
    pub queue: Option<f64>,
    /// The fraction of the server's cores in use, from 0 to 1.
    pub busy: Option<f64>,
    /// The recent service time in seconds.
    pub latency: Option<f64>,
    /// The request rate, in requests per second.
    pub rate: Option<f64>,
    /// The error rate, in errors per second.
    pub errors: Option<f64>,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The id of the request.
    pub id: RequestId,
    /// The tenant.
    pub tenant: Arc<str>,
    /// The name of the tenant's plan.
    pub plan: Arc<str>,
    /// The name of the class.
    pub class: Arc<str>,
    /// The units that the request consumes, or an estimate if they are settled with the response.
    pub units: f64,
    /// The number of limiters that receive requests of the tenant.
    pub tenant_limiters: u32,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// The time at which the client gives up.
    pub deadline: f64,
}

/// The result of an attempt, reported exactly once per attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// Whether the request needs no further response, because the client has its final response or has closed its
    /// connection.
    pub finished: bool,
    /// The outcome.
    pub outcome: Outcome,
    /// The time since the attempt was started.
    pub elapsed: f64,
    /// The actual units of the request, if the response contains them.
    pub units: Option<f64>,
    /// The server's load report, empty if there is none.
    pub report: LoadReport,
}

/// The response to an [`Action::AddToCounter`](super::Action::AddToCounter).
#[derive(Clone, Debug)]
pub struct CounterResponse {
    /// The name of the counter.
    pub name: String,
    /// [`Outcome::Completed`]; [`Outcome::Timeout`] if the amount may have been added; any other if it was not added.
    pub outcome: Outcome,
    /// The total of the counter after the call. Only valid with [`Outcome::Completed`].
    pub total: f64,
    /// The time since the start of the call.
    pub elapsed: f64,
}

/// An event for a limiter to handle.
#[derive(Clone, Debug)]
pub enum Event {
    /// The complete list of servers. Servers that are not in it are removed.
    ServerList(Vec<ServerEntry>),
    /// The changed entries of the server list.
    ServerChanges(Vec<ServerEntry>),
    /// A call to discovery failed, or an open watch ended.
    DiscoveryFailed,
    /// A client's request was received.
    Request(Request),
    /// A streamed response has started.
    StreamStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptFinished(AttemptResult),
    /// The client closed its connection; no response is expected.
    ClientClosed {
        /// The request.
        id: RequestId,
    },
    /// A call to the counter ended.
    CounterResponse(CounterResponse),
    /// The response to an [`Action::Probe`](super::Action::Probe).
    ProbeResponse {
        /// The server that was probed.
        server: ServerId,
        /// The outcome.
        outcome: Outcome,
        /// The server's load report, empty if there is none.
        report: LoadReport,
    },
    /// A timer fired.
    Timer {
        /// The token of the [`Action::SetTimer`](super::Action::SetTimer) that set it.
        token: u64,
    },
}
