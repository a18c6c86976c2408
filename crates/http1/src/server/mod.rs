//! Incoming connections: accepted up to a maximum number, limited in every phase, and drained without losing a
//! request.

mod backlog;
mod connection;
mod manager;
mod options;
mod phase;
mod write_timer;

pub use connection::{ServerConnection, Service};
pub use manager::ConnectionManager;
pub use options::{ConnectionOptions, Linger, WriteLimit};
