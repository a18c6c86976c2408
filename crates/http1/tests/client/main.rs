//! Tests of outgoing connections against servers that run a script.

mod responses;
mod server;
