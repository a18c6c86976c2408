//! The proxy role: accepts client requests, forwards them to servers, and returns the responses.
//!
//! | module | concern |
//! | --- | --- |
//! | [`downstream`] | client side: reads and checks requests, writes responses |
//! | [`config`] | the active configuration, and the route decision for a request |
//! | [`admission`] | capacity at servers, and queues of requests that wait for it |
//! | [`retry`] | forwards a request to servers, within its retry policy and the retry budget |
//! | [`upstream`] | server side: choice of a server, connections, requests, health checks |
//! | [`streaming`] | streamed responses, and their resumption at another server |
//! | [`sync`] | the link to the agent on the machine: receives published state, reports load and usage |
//! | [`shutdown`] | readiness, draining and shutdown |
//! | [`state`] | the state that all requests share |

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
pub use process::{run, serve, Listeners};
