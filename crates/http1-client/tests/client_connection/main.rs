//! Outgoing connections against servers that play a timeline.

mod responses;
mod server;
