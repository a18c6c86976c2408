//! Outgoing connections against servers that play a timeline.

mod answers;
mod server;
