//! The proxy role: serves clients, sends their requests to servers, and passes the responses on.
//!
//! | module | concern |
//! | --- | --- |
//! | [`downstream`] | the clients' side: reads and checks requests, writes responses |
//! | [`config`] | the active configuration, and what it decides for a request |
//! | [`admission`] | capacity at servers: requests get it at once or wait in a queue |
//! | [`retry`] | sends a request until there is a response, within its retry policy |
//! | [`upstream`] | the servers' side: choice, connections, requests, health checks |
//! | [`streaming`] | streamed responses, event by event |
//! | [`sync`] | the link to the agent of the machine: published state in, usage out |
//! | [`shutdown`] | when the proxy is ready, and how it drains |
//! | [`state`] | what all requests share |

pub mod admission;
pub mod config;
pub mod downstream;
mod faults;
mod headers;
mod process;
pub mod retry;
pub mod shutdown;
pub mod state;
pub mod streaming;
pub mod sync;
pub mod upstream;

pub use faults::{Experiment, Faults};
pub use process::{run, serve, serve_experiment, Listeners};
