//! Tests of incoming connections: their clients read slowly or not at all, or wait for a response while connections are
//! closed.

mod open_requests;
mod support;
mod unwritten_responses;
