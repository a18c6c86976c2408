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
pub mod timeline;
pub mod world;

pub use disk::DiskMode;
pub use network::NetworkOptions;
pub use world::{World, WorldOptions};
