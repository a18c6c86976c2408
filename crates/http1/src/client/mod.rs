//! Outgoing connections, which never send a request twice.

mod connection;

pub use connection::{ClientConnection, ConnectionLimits, ResponseError};
