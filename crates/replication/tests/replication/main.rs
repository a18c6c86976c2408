//! Tests of the replication in virtual time.

mod broken;
mod deeds;
mod harness;
mod model;
mod random;
mod reads;
mod scenarios;
mod seeded;
