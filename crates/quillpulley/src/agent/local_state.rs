//! The part of an agent's reports that originates at the agent: the endpoint of the proxy on its machine, and the peers
//! that it suspects to have failed.

use quillpulley_protocol::{ProxyEndpoint, Report};
use quillpulley_state_sync::LocalReport;

/// The state that an agent reports to its parent in addition to the reports of its children.
#[derive(Default)]
pub struct LocalState {
    endpoint: Option<ProxyEndpoint>,
    suspects: Vec<String>,
}

impl LocalState {
    /// Moves the proxy's endpoint, or its removal, out of a report of the proxy, because the agent reports it on behalf
    /// of its machine. A complete report (one that is not a delta) without an endpoint counts as a removal. Returns
    /// whether the endpoint has changed.
    pub fn take_endpoint(&mut self, report: &mut Report) -> bool {
        let reported = std::mem::take(&mut report.endpoints).pop();
        let is_removed = !std::mem::take(&mut report.removed_endpoints).is_empty() || !report.delta;
        if reported.is_none() && !is_removed {
            return false;
        }
        let is_changed = reported != self.endpoint;
        self.endpoint = reported;
        is_changed
    }

    /// Removes the endpoint after the proxy has disconnected. Returns whether there was one.
    pub fn remove_endpoint(&mut self) -> bool {
        self.endpoint.take().is_some()
    }

    /// Sets the names of the monitored peers that do not respond.
    pub fn set_suspects(&mut self, suspects: Vec<String>) {
        self.suspects = suspects;
    }

    /// Returns the report for the sync node.
    pub fn report(&self) -> LocalReport {
        LocalReport {
            endpoint: self.endpoint.clone(),
            suspects: self.suspects.clone(),
            ..LocalReport::default()
        }
    }
}
