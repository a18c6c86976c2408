//! Tests of incoming connections: how many are open, and clients that read slowly or not at all, or wait for a response
//! while connections are closed.

mod connection_limit;
mod open_requests;
mod support;
mod unwritten_responses;
