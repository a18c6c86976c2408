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

use std::fmt::Display;
use std::io::Write;
use std::process::ExitCode;

fn main() -> ExitCode {
    let result = config::Setup::read().map_err(process::ProcessError::Config).and_then(process::run);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log("rate-limiter", &error);
            ExitCode::FAILURE
        }
    }
}

/// Writes a line to the log, which is standard error. A line that cannot be written is lost: a closed log must not end the
/// limiter, as `eprintln!` would.
fn log(part: &str, text: impl Display) {
    let _ = writeln!(std::io::stderr(), "{part}: {text}");
}
