//! Tests of the replication in virtual time.

mod broken;
mod harness;
mod model;
mod random;
mod reads;
mod scenarios;
