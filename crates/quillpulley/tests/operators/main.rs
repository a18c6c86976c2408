//! Simulation tests of operator commands in virtual time.
//!
//! Each control node consists of a replica of the control state and a command queue, connected as in the
//! replica host. Disks and network are simulated. Several operators compete for the same configuration
//! versions, lose responses and send commands again. Every response and every state change is checked against
//! the invariants in `checker`.

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
