//! The active configuration, and how it follows the published state.

pub mod active_config;
pub mod updates;
