//! Operators against control nodes in virtual time.
//!
//! Replicas of the control state, each with the queue of commands that the host gives it, on simulated disks and a
//! simulated network. Several operators race for the same versions, lose responses and send again. After every step
//! it is checked that no response was wrong.

#[path = "../../../replication/tests/replication/harness/disk.rs"]
#[allow(dead_code)]
mod disk;
#[path = "../../../replication/tests/replication/harness/network.rs"]
#[allow(dead_code)]
mod network;

mod checker;
mod faults;
mod injected_faults;
mod node;
mod operator;
mod random;
mod requests;
mod scenarios;
mod world;
