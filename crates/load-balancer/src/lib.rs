//! Load balancing: routes, the choice of a server, load, slow start and queues, as pure state machines.
//!
//! - [`RouteTable`] finds the route of a request.
//! - [`Balancer`] tracks the servers and the requests in flight, and chooses a server for each request.
//! - [`RequestQueue`] queues requests for which no server has capacity, for a short time.
//!
//! Times are since the start of the process, and are passed by the caller. Random numbers come from a seed.
#![forbid(unsafe_code)]

pub mod balancer;
mod demand;
mod home_demand;
mod host_homes;
mod request_queue;
mod route_table;

pub use balancer::{
    server_hash, Ablation, Balancer, Choice, FailureKind, HealthCheckResult, Locality, Options, Outcome,
    PrefillTime, ProxyPeer, ServerInfo, ServerKey, Ticket,
};
pub use demand::{Demand, PromptSegment};
pub use home_demand::HomeDemand;
pub use host_homes::{HomeTable, HostHomes, ServedIn};
pub use request_queue::{queue_time, QueueKey, QueueLimits, QueueTerms, Queued, RequestQueue};
pub use route_table::{pick_service, RouteTable};
