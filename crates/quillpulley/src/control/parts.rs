//! The parts of a host that its process opens.

use super::clock::Clock;
use super::directory::DirectoryBoard;
use super::disk::Disk;
use super::fetcher::Fetcher;
use crate::peer::Peers;
use quillpulley_control_state::ControlState;
use quillpulley_protocol::NodeId;
use quillpulley_replication::Replica;
use std::rc::Rc;

/// What a host is made of.
pub struct Parts {
    /// The time since the start of the process.
    pub clock: Clock,
    /// The identity of this process.
    pub me: NodeId,
    /// The links to other processes.
    pub peers: Rc<Peers>,
    /// The replica of the control state.
    pub replica: Replica<ControlState>,
    /// The thread that writes to the disk.
    pub disk: Disk,
    /// The thread that reads the platform's list, if there is one.
    pub fetcher: Option<Fetcher>,
    /// What the directory tells.
    pub directory: DirectoryBoard,
}
