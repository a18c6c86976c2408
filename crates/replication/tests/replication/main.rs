//! Tests of the replication protocol in virtual time.

mod harness;
mod injected_faults;
mod model;
mod operations;
mod random;
mod reads;
mod recovery;
mod scenarios;
mod seeded;
