//! The lanes of a link: messages of one lane keep their order, those of different lanes may pass each other.

use crate::Body;

/// How many lanes there are.
pub(crate) const LANES: usize = 3;

/// Where a message goes on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Leases, votes and acknowledgements of the replication: short, and sent before all that waits.
    Control,
    /// Everything that relies on its order, such as published state.
    Ordered,
    /// Log and state of the replication, which may be long and may be lost.
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
