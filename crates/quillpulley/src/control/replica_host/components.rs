//! The components that a process opens for its host.

use super::storage_thread::StorageThread;
use crate::control::clock::Clock;
use crate::control::directory::DirectoryHandle;
use crate::control::discovery::fetcher::Fetcher;
use crate::peer::Peers;
use quillpulley_control_state::ControlState;
use quillpulley_protocol::NodeId;
use quillpulley_replication::Replica;
use std::rc::Rc;

/// What a [`ControlHost`](super::host::ControlHost) is built from.
pub struct Components {
    /// The time since the start of the process.
    pub clock: Clock,
    /// The identity of this process.
    pub me: NodeId,
    /// The links to other processes.
    pub peers: Rc<Peers>,
    /// The replica of the control state.
    pub replica: Replica<ControlState>,
    /// The thread that writes to the disk.
    pub storage: StorageThread,
    /// The thread that fetches the platform's list, if there is one.
    pub fetcher: Option<Fetcher>,
    /// The directory that clients are served from.
    pub directory: DirectoryHandle,
}
