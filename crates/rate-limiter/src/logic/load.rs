//! How busy the servers are, by what their answers report. Each answer tells of the load that all limiters
//! together put on its server, which one of many limiters cannot see in its own attempts: with a hundred of
//! them, most servers have none out from here at any moment, and all would look alike.
use crate::interface::LoadReport;

/// Aims after which a report is mostly forgotten: the queue it told of has been worked off or has grown.
const REPORT_FADE: f64 = 1.5;
/// Aims over which the reports of all servers are averaged.
const MEAN_FADE: f64 = 1.0;
/// The most that one report counts in it, however long none has come: one server is not the fleet.
const MEAN_MOST: f64 = 0.3;
/// Waiting requests per unit of size from which the fleet is pressed, and the further ones that refuse
/// everything. Requests wait only when every slot is taken, so a server that has some waiting is full.
const PRESSED: (f64, f64) = (0.3, 2.0);
/// The most that is refused for pressure: what is let in is how its end is learnt of.
const PRESS_MOST: f64 = 0.9;

/// What a server last told of its load, in requests per unit of its size.
#[derive(Clone, Copy)]
pub(super) struct Reported {
    load: f64,
    at: f64,
}

/// The load of all servers in use, in requests per unit of size.
#[derive(Default)]
pub(super) struct Load {
    mean: f64,
    waiting: f64,
    at: f64,
}

impl Load {
    /// Takes in the report of one answer of a server of this size.
    pub(super) fn learn(&mut self, report: &LoadReport, size: f64, now: f64, aim: f64) -> Option<Reported> {
        let queue = report.queue?.max(0.0) / size;
        let load = queue + report.busy.unwrap_or(1.0).clamp(0.0, 1.0);
        let gain = (1.0 - (-(now - self.at) / (MEAN_FADE * aim)).exp()).min(MEAN_MOST);
        self.mean += (load - self.mean) * gain;
        self.waiting += (queue - self.waiting) * gain;
        self.at = now;
        Some(Reported { load, at: now })
    }

    /// What a server has to do by now per unit of its size: as reported, with time ever more like the others.
    pub(super) fn expected(&self, reported: Option<&Reported>, now: f64, aim: f64) -> f64 {
        reported.map_or(self.mean, |r| {
            self.mean + (r.load - self.mean) * (-(now - r.at) / (REPORT_FADE * aim)).exp()
        })
    }

    /// The share of the requests that the servers cannot take, by what waits at them.
    pub(super) fn press(&self) -> f64 {
        ((self.waiting - PRESSED.0) / PRESSED.1).clamp(0.0, PRESS_MOST)
    }
}
