//! The process of a control node: its event loop, and the modules that own sockets, timers, threads and
//! files.

pub mod components;
pub mod host;
pub(crate) mod links;
pub mod peer_table;
pub mod process;
mod status;
mod status_snapshot;
pub mod storage_thread;
