//! Discrete-event simulation in virtual time.
//!
//! Tests use it to play the state machines that ship against each other, without sockets, threads and sleeps. The unit of
//! time is the caller's.

#![forbid(unsafe_code)]

mod event_queue;

pub use event_queue::EventQueue;
