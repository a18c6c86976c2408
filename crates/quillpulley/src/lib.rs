//! The programs of quillpulley: the only code with sockets, timers, threads and files.
//!
//! Each role of the deploy file has a module with a `run` function, which serves until the process is signalled to shut
//! down: [`control`], [`agent`] and [`proxy`]. They share the links between processes ([`peer`]).
#![forbid(unsafe_code)]

pub mod agent;
pub mod control;
mod error;
pub mod peer;
pub mod proxy;
pub mod runtime;
mod settings;
pub mod signals;

pub use error::HostError;
pub use settings::Settings;
