//! Where a request goes: routes, choice of server, load, warm-up and admission, as pure state machines.
//!
//! - [`RouteTable`] finds the route of a request.
//! - [`Balancer`] knows the servers and what is in flight at them, and chooses one for each request.
//! - [`RequestQueue`] holds requests for which no server has a place, for a short time.
//!
//! Times are since the start of the process, and are given by the caller. All that is left to chance comes from
//! a seed.
#![forbid(unsafe_code)]

pub mod balancer;
mod demand;
mod home_demand;
mod host_homes;
mod request_queue;
mod route_table;

pub use balancer::{
    server_hash, Balancer, Choice, FailureKind, HealthCheckResult, Locality, Options, Outcome, ProxyPeer,
    ServerInfo, ServerKey, Ticket,
};
pub use demand::{Demand, PromptPart};
pub use home_demand::HomeDemand;
pub use host_homes::{HomeTable, HostHomes, ServedIn};
pub use request_queue::{QueueKey, QueueLimits, QueueTerms, Queued, RequestQueue};
pub use route_table::{pick_service, RouteTable};
