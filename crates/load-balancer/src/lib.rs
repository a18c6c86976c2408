//! Where a request goes: routes, choice of server, load, warm-up and admission, as pure state machines.
//!
//! - [`RouteTable`] finds the route of a request.
//! - [`Balancer`] knows the servers and what is under way at them, and chooses one for each request.
//! - [`Waiting`] holds requests for which no server has a place, for a short time.
//!
//! Times are since the start of the process, and are given by the caller. All that is left to chance comes from
//! a seed.
#![forbid(unsafe_code)]

pub mod balancer;
mod demand;
mod home_demand;
mod host_homes;
mod route_table;
mod waiting;

pub use balancer::{
    server_hash, Balancer, Choice, FailureKind, Limiter, Options, Outcome, Place, Probe, ServerInfo,
    ServerKey, Ticket,
};
pub use demand::{Demand, PromptPart};
pub use home_demand::HomeDemand;
pub use host_homes::{HomeTable, HostHomes, ServedIn};
pub use route_table::{pick_service, RouteTable};
pub use waiting::{Queued, Terms, Waiting, WaitingKey, WaitingLimits};
