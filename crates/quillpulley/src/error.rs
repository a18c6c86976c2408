//! The errors that keep a process from starting or running.

use displaydoc::Display;
use quillpulley_protocol::ProtocolError;
use quillpulley_replication::StartError;
use quillpulley_settings::SettingsError;
use quillpulley_storage::StorageError;
use std::io;
use std::net::SocketAddr;

/// An error that ends a process, which then exits with code 2.
#[derive(Debug, Display)]
pub enum HostError {
    /// cannot listen on {address} ({error}): free the port, or correct the address in the settings file
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error that the operating system reported.
        error: io::Error,
    },
    /// cannot start the runtime ({0}): raise the limits of open files and threads
    Runtime(io::Error),
    /// unusable settings: {0}
    Settings(SettingsError),
    /// the data folder cannot be used: {0}
    Storage(StorageError),
    /// the data folder cannot be used: record.slots is unreadable ({0}): empty the folder, so that this machine joins as a new one
    WitnessRecord(ProtocolError),
    /// the data folder cannot be used: {0}
    Replica(StartError),
}

impl std::error::Error for HostError {}

impl From<SettingsError> for HostError {
    fn from(error: SettingsError) -> Self {
        HostError::Settings(error)
    }
}

impl From<StartError> for HostError {
    fn from(error: StartError) -> Self {
        HostError::Replica(error)
    }
}
