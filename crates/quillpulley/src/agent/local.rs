//! What an agent itself reports: the front of its machine, which its proxy tells it, and the peers that do not
//! answer.

use quillpulley_protocol::{ProxyEndpoint, Report};
use quillpulley_state_sync::LocalReport;

/// The agent's own report.
#[derive(Default)]
pub struct Local {
    endpoint: Option<ProxyEndpoint>,
    suspects: Vec<String>,
}

impl Local {
    /// Takes the front out of a report of the proxy: it is the agent that stands for the machine in the tree.
    /// Returns whether it is another than before.
    pub fn take_endpoint(&mut self, report: &mut Report) -> bool {
        let told = std::mem::take(&mut report.endpoints).pop();
        let is_gone = !std::mem::take(&mut report.removed_endpoints).is_empty() || !report.delta;
        if told.is_none() && !is_gone {
            return false;
        }
        let is_new = told != self.endpoint;
        self.endpoint = told;
        is_new
    }

    /// Handles that the proxy is gone. Returns whether it had an endpoint.
    pub fn forget_endpoint(&mut self) -> bool {
        self.endpoint.take().is_some()
    }

    /// These peers do not answer.
    pub fn set_suspects(&mut self, suspects: Vec<String>) {
        self.suspects = suspects;
    }

    /// Returns the whole report.
    pub fn report(&self) -> LocalReport {
        LocalReport {
            endpoint: self.endpoint.clone(),
            suspects: self.suspects.clone(),
            ..LocalReport::default()
        }
    }
}
