//! The host of core processes: the operator's API, the directory, the control state and the root of the relay
//! tree.
//!
//! [`process`] starts it all. One thread, the [`host`]'s, owns all state; the others wait: for the disk
//! ([`disk`]), for the platform ([`fetcher`]), for the operator ([`api`]) and for clients ([`directory`]).

pub mod api;
pub mod clock;
pub mod directory;
pub mod directory_view;
pub mod disk;
pub mod endpoint_registry;
pub mod fetcher;
pub mod host;
pub mod http;
mod knowledge;
mod leadership;
mod links;
mod list;
pub mod orders;
pub mod parts;
pub mod peer_table;
pub mod platform;
pub mod process;
pub mod publisher;
pub mod reader;
pub mod relay;
pub mod reported_endpoints;
mod seeds;
pub mod servers;
mod status;
pub mod timed_answer;
mod tree;

use crate::{HostError, Settings};

/// Serves until the process is told to end.
///
/// # Errors
/// If the process cannot start.
pub fn run(settings: Settings) -> Result<(), HostError> {
    process::run(settings)
}
