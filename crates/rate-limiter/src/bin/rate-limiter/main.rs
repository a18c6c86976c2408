//! rate-limiter: a quota-keeping rate limiter on real sockets.
//!
//! | module | concern |
//! | --- | --- |
//! | `config` | the environment and the configuration file |
//! | `process` | starts the parts, reloads addresses on SIGHUP, drains on SIGTERM |
//! | `clients` | the clients' side: connections, requests, responses |
//! | `host` | the event loop of the decisions: clock, timers, the table of requests |
//! | `upstream` | the servers' side: connections, attempts, probes |
//! | `counter` | calls to the counter service |
//! | `discovery` | the watch of the list of servers |
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
            error!(error:%; "the limiter ended");
            ExitCode::FAILURE
        }
    }
}
