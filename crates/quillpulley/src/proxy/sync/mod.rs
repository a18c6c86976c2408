//! The link to the agent of the machine: published state comes in, load and usage go out.

pub mod sync_client;
mod usage;
