//! Outgoing and incoming HTTP/1.1 connections that know how far a message has been written.
#![forbid(unsafe_code)]

mod connections;
mod link;
mod socket;

pub use connections::{Connection, ConnectionOptions, Connections, Service};
pub use link::{Failure, Link, LinkOptions};
pub use socket::{Socket, Tracked, Written};
