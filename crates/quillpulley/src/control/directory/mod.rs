//! The directory: which proxy endpoints a client is sent to.
//!
//! The main thread builds a [`Directory`] and puts it into a [`DirectoryHandle`]; the threads that serve clients read
//! that, and need no other thread.

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

/// The most addresses in a response.
const MAX_ADDRESSES: usize = 64;

/// Which endpoints a directory knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Coverage {
    /// Too few to answer: the process has just started.
    #[default]
    TooFew,
    /// All that were reported since the start or the latest election; others may still be reported.
    Settling,
    /// All of the system.
    All,
    /// Those that report to this process, which is out of touch with the primary.
    OwnReports,
}

/// The endpoints that are known.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Directory {
    /// The known endpoints.
    pub endpoints: Vec<ProxyEndpoint>,
    /// Which endpoints these are.
    pub coverage: Coverage,
    /// The home regions of each host.
    pub homes: Arc<HomeTable>,
}

impl Directory {
    /// Returns the addresses for a client of `host` at `locality`; none if it should ask elsewhere.
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

/// The newest directory, shared between the main thread and those that serve clients.
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
