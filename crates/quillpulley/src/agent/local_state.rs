//! The state that an agent reports itself: the endpoint of its machine's proxy, and the peers that it suspects.

use quillpulley_protocol::{ProxyEndpoint, Report};
use quillpulley_state_sync::LocalReport;

/// The state that an agent reports itself.
#[derive(Default)]
pub struct LocalState {
    endpoint: Option<ProxyEndpoint>,
    suspects: Vec<String>,
}

impl LocalState {
    /// Moves the endpoint out of a report of the proxy, as the agent reports for its machine. Returns whether the
    /// endpoint has changed.
    pub fn take_endpoint(&mut self, report: &mut Report) -> bool {
        let reported = std::mem::take(&mut report.endpoints).pop();
        let is_removed = !std::mem::take(&mut report.removed_endpoints).is_empty() || !report.delta;
        if reported.is_none() && !is_removed {
            return false;
        }
        let is_new = reported != self.endpoint;
        self.endpoint = reported;
        is_new
    }

    /// Removes the endpoint of a proxy that has disconnected. Returns whether there was one.
    pub fn forget_endpoint(&mut self) -> bool {
        self.endpoint.take().is_some()
    }

    /// Sets the peers that do not respond.
    pub fn set_suspects(&mut self, suspects: Vec<String>) {
        self.suspects = suspects;
    }

    /// Returns the report.
    pub fn report(&self) -> LocalReport {
        LocalReport {
            endpoint: self.endpoint.clone(),
            suspects: self.suspects.clone(),
            ..LocalReport::default()
        }
    }
}
