//! HTTP/1.1 connections that track how much of a message has been written to the socket.
//!
//! - [`ClientConnection`]: an outgoing connection. It never sends a request a second time.
//! - [`ConnectionManager`]: all incoming connections of a listener, limited in number and drained without
//!   losing a request.
//! - [`Socket`]: the socket of an outgoing or incoming connection, with its [`WriteProgress`].
#![forbid(unsafe_code)]

mod client;
mod server;
mod socket;

pub use client::{ClientConnection, ConnectionLimits, ResponseError};
pub use server::{ConnectionManager, ConnectionOptions, Linger, ServerConnection, Service, WriteLimit};
pub use socket::{PeerWatch, Socket, SocketIo, WriteProgress};
