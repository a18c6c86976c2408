//! Failure detection: rendezvous hashing assigns a few monitors to each node, and each monitor pings its
//! targets.
//!
//! The crate is a pure state machine that opens no sockets and reads no clocks. The host passes in received
//! datagrams, the time since its start and the list of peers, and performs the returned [`Action`]s.
#![forbid(unsafe_code)]

mod monitor;
pub mod rendezvous;
mod target;

pub use monitor::{Action, Event, Monitor, MonitorOptions, Peer};
