//! The link to the agent on the same machine: receives published state, and reports load and usage.

mod staleness;
pub mod sync_client;
mod usage;
