//! What this process can tell operators of the control state and of the primary.

use crate::control::response::{Response, TimedResponse};
use quillpulley_control_state::ControlState;
use quillpulley_protocol::NodeId;
use quillpulley_replication::Replica;
use std::net::SocketAddr;
use std::time::Duration;

/// What this process knows at a moment.
pub struct StatusSnapshot<'a> {
    /// The name of this machine.
    pub name: &'a str,
    /// The identity of this process.
    pub me: NodeId,
    /// The port of the operator's API on all control machines.
    pub control_port: Option<u16>,
    /// The replica of the control state.
    pub replica: &'a Replica<ControlState>,
}

impl StatusSnapshot<'_> {
    /// Returns the newest configuration. This process must hold the lease until `lease_end`.
    pub fn configuration(&self, lease_end: Duration) -> TimedResponse {
        let body = self.replica.state().shared_body();
        let response = body.map_or(Response::NoConfiguration, Response::Configuration);
        TimedResponse::until(lease_end, response)
    }

    /// Returns a response that holds for as long as the primary that is known now may be named.
    pub fn while_primary_is_known(&self, now: Duration, response: Response) -> TimedResponse {
        match self.replica.primary_until(now) {
            Some((_, until)) => TimedResponse::until(until, response),
            None => TimedResponse::without_expiry(response),
        }
    }

    /// Returns a redirect to the primary, for as long as its lease is known to run.
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
