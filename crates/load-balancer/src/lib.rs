//! Load balancing as state machines without I/O: route lookup, server selection, load tracking, slow start
//! and request queues.
//!
//! - [`RouteTable`] finds the route of a request.
//! - [`Balancer`] tracks the servers and the requests in flight, and chooses a server for each request.
//! - [`RequestQueue`] holds requests for a short time while no server has capacity for them.
//! - [`HomeTable`] holds the home regions of the routes of each host, in which their requests may be served.
//! - [`HomeDemand`] tracks which other regions would serve the clients of a proxy better than its own region.
//!
//! The caller passes the current time, as the time since the start of the process. Random numbers come from a
//! seeded generator.
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
