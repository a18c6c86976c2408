//! The components that a process creates for its host.

use super::storage_thread::StorageThread;
use crate::control::clock::Clock;
use crate::control::directory::DirectoryHandle;
use crate::control::discovery::fetcher::Fetcher;
use crate::peer::Peers;
use quillpulley_control_state::ControlState;
use quillpulley_protocol::NodeId;
use quillpulley_replication::Replica;
use std::rc::Rc;

/// The components from which a [`ControlHost`](super::host::ControlHost) is built.
pub struct Components {
    /// The clock that all threads of the process share.
    pub clock: Clock,
    /// The identity of this process.
    pub me: NodeId,
    /// The links to other processes.
    pub peers: Rc<Peers>,
    /// The replica of the control state.
    pub replica: Replica<ControlState>,
    /// The thread that writes to disk.
    pub storage: StorageThread,
    /// The thread that fetches the platform's list.
    pub fetcher: Fetcher,
    /// The directory from which clients are served.
    pub directory: DirectoryHandle,
}
