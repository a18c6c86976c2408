//! A simulation of replicas in virtual time, with a network, disks, clocks, and faults in all of them.

pub mod checker;
mod clients;
pub mod command_history;
pub mod disk;
pub mod durability;
mod faults;
mod inspect;
pub mod messages;
pub mod network;
pub mod quota;
pub mod simulation;
pub mod timeline;

pub use disk::DiskMode;
pub use network::NetworkOptions;
pub use simulation::{Simulation, SimulationOptions};
