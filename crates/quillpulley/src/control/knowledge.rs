//! What this process can tell the operator of the control state and of the primary.

use super::orders::Answer;
use super::timed_answer::TimedAnswer;
use quillpulley_control_state::ControlState;
use quillpulley_protocol::NodeId;
use quillpulley_replication::Replica;
use std::net::SocketAddr;
use std::time::Duration;

/// What this process knows.
pub struct Knowledge<'a> {
    /// The name of this process.
    pub name: &'a str,
    /// Its identity.
    pub me: NodeId,
    /// The port of the operator's API on all core machines.
    pub control_port: Option<u16>,
    /// What it knows of the control state.
    pub replica: &'a Replica<ControlState>,
}

impl Knowledge<'_> {
    /// The newest configuration, to be told by who holds the lease until `lease_end`.
    pub fn configuration(&self, lease_end: Duration) -> TimedAnswer {
        let body = self.replica.state().shared_body();
        let answer = body.map_or(Answer::NoConfiguration, Answer::Configuration);
        TimedAnswer::until(lease_end, answer)
    }

    /// An answer that holds for as long as the primary that is known now may be named.
    pub fn while_primary_is_known(&self, now: Duration, answer: Answer) -> TimedAnswer {
        match self.replica.primary_until(now) {
            Some((_, until)) => TimedAnswer::until(until, answer),
            None => TimedAnswer::lasting(answer),
        }
    }

    /// Where a caller should go instead, for as long as that primary's lease is known to run here.
    pub fn elsewhere(&self, now: Duration) -> TimedAnswer {
        let primary = self.replica.primary_hint(now).filter(|primary| *primary != self.me);
        match (primary, self.control_port) {
            (Some(primary), Some(port)) => {
                let address = SocketAddr::from((primary.address(), port));
                self.while_primary_is_known(now, Answer::Redirect(address))
            }
            _ => TimedAnswer::lasting(Answer::Unavailable),
        }
    }
}
