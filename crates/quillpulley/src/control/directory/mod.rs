//! The directory: selects the proxy endpoints that a client connects to.
//!
//! The main thread builds a [`Directory`] and stores it in a [`DirectoryHandle`]. The threads that serve
//! clients read it from there, without waiting for the main thread.

pub mod builder;
pub mod reported_endpoints;
mod selection;
mod server;

pub use server::serve;

use quillpulley_load_balancer::HomeTable;
use quillpulley_protocol::ProxyEndpoint;
use quillpulley_replication::Locality;
use selection::Selection;
use std::sync::{Arc, PoisonError, RwLock};

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;

/// Describes which of the system's endpoints a directory contains.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Coverage {
    /// Too few to answer clients: the process has just started.
    #[default]
    TooFew,
    /// All endpoints that have been reported since the start or the latest election; some may not have been
    /// reported yet.
    Settling,
    /// All endpoints of the system.
    All,
    /// Only the endpoints that report to this process, because it has lost contact with the primary.
    OwnReports,
}

/// The known endpoints, and what is needed to select among them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Directory {
    /// The known endpoints.
    pub endpoints: Vec<ProxyEndpoint>,
    /// Which of the system's endpoints `endpoints` contains.
    pub coverage: Coverage,
    /// The home regions of each host.
    pub homes: Arc<HomeTable>,
}

impl Directory {
    /// Returns at most `MAX_ADDRESSES` addresses for a client of `host` at `locality`. Returns none if the
    /// client should ask another control node.
    pub fn choose(&self, host: &str, locality: &Locality) -> Vec<String> {
        if self.coverage == Coverage::TooFew {
            return Vec::new();
        }
        let mut chosen = Selection::new(self, host, locality).choose();
        if chosen.len() > MAX_ADDRESSES {
            fastrand::shuffle(&mut chosen);
            chosen.truncate(MAX_ADDRESSES);
        }
        chosen.into_iter().map(|endpoint| endpoint.address.clone()).collect()
    }
}

/// The newest directory, shared between the main thread and the threads that serve clients.
#[derive(Clone, Default)]
pub struct DirectoryHandle(Arc<RwLock<Arc<Directory>>>);

impl DirectoryHandle {
    /// Replaces the directory.
    pub fn set(&self, directory: Directory) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(directory);
    }

    /// Returns the newest directory.
    pub fn get(&self) -> Arc<Directory> {
        self.0.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
