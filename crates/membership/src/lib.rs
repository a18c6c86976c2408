//! Failure detection: rendezvous hashing assigns a few monitors to each node, and each monitor pings its targets. A
//! pure state machine.
//!
//! Nothing here opens sockets or reads clocks: a host passes in datagrams, the time since its start and the list
//! of peers, and does what the [`Action`]s say.
#![forbid(unsafe_code)]

mod monitor;
pub mod rendezvous;
mod target;

pub use monitor::{Action, Event, Monitor, MonitorOptions, Peer};
