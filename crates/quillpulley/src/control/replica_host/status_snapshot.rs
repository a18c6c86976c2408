//! The responses that this process can give operators about the control state and the primary.

use crate::control::response::{Response, TimedResponse};
use quillpulley_control_state::ControlState;
use quillpulley_protocol::NodeId;
use quillpulley_replication::Replica;
use std::net::SocketAddr;
use std::time::Duration;

/// The state of this process at one moment.
pub struct StatusSnapshot<'a> {
    /// The name of this machine.
    pub name: &'a str,
    /// The identity of this process.
    pub me: NodeId,
    /// The port of the operator API, which is the same on all control machines; `None` if it is not
    /// configured.
    pub control_port: Option<u16>,
    /// The replica of the control state.
    pub replica: &'a Replica<ControlState>,
}

impl StatusSnapshot<'_> {
    /// Returns the newest configuration. This process must hold the lease until `lease_end`.
    pub fn configuration(&self, lease_end: Duration) -> TimedResponse {
        let body = self.replica.state().shared_body();
        let response = body.map_or(Response::NoConfiguration, Response::Configuration);
        TimedResponse::expiring_at(lease_end, response)
    }

    /// Returns a response that expires when the currently known primary is no longer known to be the primary.
    /// The response does not expire if no primary is known.
    pub fn while_primary_is_known(&self, now: Duration, response: Response) -> TimedResponse {
        match self.replica.primary_until(now) {
            Some((_, until)) => TimedResponse::expiring_at(until, response),
            None => TimedResponse::without_expiry(response),
        }
    }

    /// Returns a redirect to the primary, which is valid for as long as the primary's lease is known to last.
    /// Returns [`Response::Unavailable`] if no other node is known to be the primary, or if the control port
    /// is not configured.
    pub fn redirect(&self, now: Duration) -> TimedResponse {
        let primary = self.replica.primary_hint(now).filter(|primary| *primary != self.me);
        match (primary, self.control_port) {
            (Some(primary), Some(port)) => {
                let address = SocketAddr::from((primary.address(), port));
                self.while_primary_is_known(now, Response::Redirect(address))
            }
            _ => TimedResponse::without_expiry(Response::Unavailable),
        }
    }
}
