//! The server list, as discovery provides it.

use std::sync::Arc;

/// The id of a server, unique in the server list.
pub type ServerId = Arc<str>;

/// The state of a server in the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// The server accepts requests.
    InService,
    /// The server completes its open requests, and must not get new ones.
    Draining,
    /// The server is removed from the list, and must not get requests.
    #[default]
    Removed,
}

/// An entry of the server list.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// The id of the server.
    pub id: ServerId,
    /// The zone in which the server runs.
    pub zone: Arc<str>,
    /// The machine type.
    pub kind: Arc<str>,
    /// The number of the cell within the zone.
    pub cell: i64,
    /// The state of the server.
    pub state: ServerState,
    /// The full capacity relative to other servers. Values that are not positive count as 1.
    pub weight: f64,
    /// The time of the latest start. `None` if the server has long been warm.
    pub started_at: Option<f64>,
}
