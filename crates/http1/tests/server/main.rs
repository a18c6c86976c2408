//! Tests of incoming connections: how many are open, and clients that read slowly or not at all.

mod connection_limit;
mod support;
mod unwritten_responses;
