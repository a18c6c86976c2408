//! Tests of incoming connections whose clients read slowly or not at all.

mod support;
mod unwritten_responses;
