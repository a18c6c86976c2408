//! The host of proxies: requests of clients, servers and streams.
//!
//! A proxy takes clients' requests ([`endpoint`]), chooses a server for each and forwards it ([`forward`]) until it has
//! an answer to pass on, which it does event by event where it is a stream ([`stream`]). What it must know it gets
//! from the agent of its machine ([`feed_client`]).

mod admission;
pub mod answer;
pub mod attempts;
mod client_service;
pub mod departure;
pub mod events;
mod exchange;
mod failures;
mod faults;
mod feed_client;
mod forward;
mod headers;
mod health;
pub mod lifecycle;
mod memory;
mod plan;
mod plane;
mod pool;
mod published;
mod ready;
mod reply;
mod request;
mod run;
mod server;
mod servers;
mod stream;

pub use faults::Faults;
pub use server::{serve, serve_with_faults, Listeners};

use crate::{runtime, signals, HostError, Settings};

/// Serves until the process is told to end.
pub fn run(settings: Settings) -> Result<(), HostError> {
    runtime::block_on(async {
        let commands = signals::subscribe()?;
        let listeners = Listeners::bind(&settings).await?;
        serve(settings, listeners, commands).await;
        Ok(())
    })
}
