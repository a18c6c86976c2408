//! The active configuration, and how it is updated from the published state.

pub mod active_config;
pub mod pending_config;
pub mod updates;
