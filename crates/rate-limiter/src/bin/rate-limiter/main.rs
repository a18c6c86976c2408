//! rate-limiter: an HTTP rate limiter that enforces tenant quotas in front of a set of servers.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `config` | the environment and the configuration file |
//! | `process` | the process: startup, reload of addresses on SIGHUP, graceful shutdown on SIGTERM |
//! | `clients` | the client side: connections, requests, responses |
//! | `host` | the event loop around the limiter: clock, timers, table of requests |
//! | `upstream` | the server side: connections, attempts, probes |
//! | `counter` | calls to the counter service |
//! | `discovery` | the watch of the server list |
#![forbid(unsafe_code)]

mod clients;
mod config;
mod counter;
mod discovery;
mod host;
mod process;
mod upstream;

use log::{error, LevelFilter};
use std::process::ExitCode;

fn main() -> ExitCode {
    quillpulley_logging::start(LevelFilter::Info);
    let result = config::Setup::read().map_err(process::ProcessError::Config).and_then(process::run);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(error:%; "the rate limiter ended with an error");
            ExitCode::FAILURE
        }
    }
}
