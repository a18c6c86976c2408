//! The control role: the operator's API, the directory, the replicated control state, and the root of the relay tree.
//!
//! One thread, that of the [`ControlHost`](replica_host::host::ControlHost), owns all state. The others wait: for the
//! disk, for the platform, for operators and for clients. They exchange messages with it and share nothing else.
//!
//! | module | concern |
//! | --- | --- |
//! | [`api`] | HTTP: parsing of an operator's requests, writing of responses |
//! | [`commands`] | commands of operators, decided one after the other and replicated |
//! | [`discovery`] | the platform's list of servers |
//! | [`distribution`] | what the primary publishes, and the place of this process in the relay tree |
//! | [`directory`] | which proxies a client is sent to |
//! | [`replica_host`] | the process: event loop, replica, disk, links to other control nodes |

pub mod api;
pub mod clock;
pub mod commands;
pub mod directory;
pub mod discovery;
pub mod distribution;
mod evacuation_order;
pub mod replica_host;
pub mod response;

pub use replica_host::process::run;
