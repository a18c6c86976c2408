//! What an agent itself reports: the front of its machine, which its proxy tells it, and the peers that do not
//! answer.

use quillpulley_protocol::{Front, Report};
use quillpulley_state_sync::LocalReport;

/// The agent's own report.
#[derive(Default)]
pub struct Local {
    front: Option<Front>,
    suspects: Vec<String>,
}

impl Local {
    /// Takes the front out of a report of the proxy: it is the agent that stands for the machine in the tree.
    /// Returns whether it is another than before.
    pub fn take_front(&mut self, report: &mut Report) -> bool {
        let told = std::mem::take(&mut report.fronts).pop();
        let is_gone = !std::mem::take(&mut report.fronts_gone).is_empty() || !report.delta;
        if told.is_none() && !is_gone {
            return false;
        }
        let is_new = told != self.front;
        self.front = told;
        is_new
    }

    /// The proxy is gone. Returns whether there was a front.
    pub fn forget_front(&mut self) -> bool {
        self.front.take().is_some()
    }

    /// These peers do not answer.
    pub fn set_suspects(&mut self, suspects: Vec<String>) {
        self.suspects = suspects;
    }

    /// The whole report.
    pub fn report(&self) -> LocalReport {
        LocalReport { front: self.front.clone(), suspects: self.suspects.clone(), ..LocalReport::default() }
    }
}
