//! The lanes of a link. Messages of the same lane are delivered in order; messages of different lanes may overtake each
//! other.

use crate::Body;

/// The number of lanes.
pub(crate) const LANE_COUNT: usize = 3;

/// The lane of a link on which a message is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Leases, votes and acknowledgements of the replication protocol. They are short, and are sent before all queued
    /// messages of the other lanes.
    Control,
    /// All messages that must be delivered in order, such as updates of published state.
    Ordered,
    /// Log entries and snapshots of the replication protocol. They may be long, and the protocol tolerates their loss.
    State,
}

impl Lane {
    /// Returns the lane of a message.
    pub fn of(body: &Body) -> Self {
        match body {
            Body::Prepare(_)
            | Body::Promise(_)
            | Body::FetchState(_)
            | Body::Installed(_)
            | Body::Accept(_)
            | Body::Accepted(_)
            | Body::AppendAck(_)
            | Body::LeaseRequest(_)
            | Body::LeaseGrant(_)
            | Body::Reject(_)
            | Body::Resign(_) => Lane::Control,
            Body::StateTransfer(_) | Body::Install(_) | Body::Append(_) => Lane::State,
            _ => Lane::Ordered,
        }
    }

    pub(crate) fn from_number(number: u32) -> Option<Self> {
        [Lane::Control, Lane::Ordered, Lane::State].get(number as usize).copied()
    }
}
