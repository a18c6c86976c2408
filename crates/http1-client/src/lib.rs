//! HTTP/1.1 connections that know how far a message has been written.
//!
//! - [`ClientConnection`]: an outgoing connection. Nothing is ever sent twice on it.
//! - [`ConnectionManager`]: all incoming connections, accepted within a budget and drained without losing a request.
//! - [`Socket`]: the socket of either, with its [`WriteProgress`].
#![forbid(unsafe_code)]

mod client_connection;
mod connection_manager;
mod server_connection;
mod socket;

pub use client_connection::{ClientConnection, ConnectionLimits, ResponseError};
pub use connection_manager::{ConnectionManager, ConnectionOptions, Linger};
pub use server_connection::{ServerConnection, Service};
pub use socket::{Socket, Tracked, WriteProgress};
