//! The hosts of quillpulley: event loops that connect the state machines of the other crates to sockets, timers, threads
//! and files.
//!
//! Each role has a module with a `run` function, which serves until the process receives a shutdown signal:
//! [`control`], [`agent`] and [`proxy`]. The roles communicate over the links of the module [`peer`].
#![forbid(unsafe_code)]

pub mod agent;
pub mod buffer_budget;
pub mod control;
mod error;
pub mod lag;
pub mod peer;
pub mod proxy;
mod request_body;
pub mod runtime;
mod settings;
pub mod settings_watch;
pub mod signals;

pub use error::HostError;
pub use settings::Settings;
