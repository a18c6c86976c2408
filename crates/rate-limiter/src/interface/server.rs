//! The list of servers.

use std::sync::Arc;

/// The address of a server.
pub type ServerId = Arc<str>;

/// The state of a server in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts requests.
    InService,
    /// Completes its requests; nothing new may be sent.
    Draining,
    /// Removed.
    #[default]
    Removed,
}

/// An entry of the list of servers.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// The address.
    pub id: ServerId,
    /// The zone.
    pub zone: Arc<str>,
    /// The kind of machine.
    pub kind: Arc<str>,
    /// The cell within the zone.
    pub cell: i64,
    /// The state.
    pub state: ServerState,
    /// The capacity relative to other servers.
    pub weight: f64,
    /// The time of the latest start; none if it is long ago.
    pub started_at: Option<f64>,
}
