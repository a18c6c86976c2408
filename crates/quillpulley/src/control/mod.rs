//! The control role: the operator API, the directory, the replicated control state and the root of the relay
//! tree.
//!
//! All state is owned by the main thread, which runs the [`ControlHost`](replica_host::host::ControlHost).
//! The other threads perform blocking work: disk writes, requests to the platform, and HTTP connections of
//! operators and clients. They exchange messages with the main thread; apart from these, they share only the
//! [`DirectoryHandle`](directory::DirectoryHandle) and the [`Clock`](clock::Clock).
//!
//! | module | concern |
//! | --- | --- |
//! | [`api`] | the operator API over HTTP: parses requests and writes responses |
//! | [`commands`] | operator commands, which are decided and replicated one at a time |
//! | [`confirmations`] | evacuation commands that wait until their callers confirm them |
//! | [`discovery`] | polling of the platform's list of servers |
//! | [`distribution`] | the state that the primary publishes, and the position of this process in the relay tree |
//! | [`directory`] | selection of the proxy endpoints for a client |
//! | [`replica_host`] | the process: event loop, replica, storage thread and links to other control nodes |

pub mod api;
pub mod clock;
pub mod commands;
pub mod confirmations;
pub mod directory;
pub mod discovery;
pub mod distribution;
pub mod http;
pub mod replica_host;
pub mod response;

pub use replica_host::process::run;
