//! What is known of a subtree: its fronts, whom their monitors suspect, and the sums of its counts.

use crate::counts::{apply_tallies, server_load, server_tally, service_count, service_tally};
use crate::counts::{Counts, ServerTally, ServiceTally, TallyChange};
use quillpulley_protocol::{Front, FrontState, Report, ServerLoad, ServiceCount, Suspicion};
use std::collections::{BTreeMap, BTreeSet};

/// What a node knows of itself and of all below it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Subtree {
    /// The fronts by name.
    pub fronts: BTreeMap<String, Front>,
    /// For each front that is suspected the names of its monitors that cannot reach it.
    pub suspicions: BTreeMap<String, BTreeSet<String>>,
    /// The sums.
    pub counts: Counts,
    /// The number of its levels.
    pub depth: u8,
}

/// What a process says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalReport {
    /// The front of its machine: given by the agent there, not by its proxy.
    pub front: Option<Front>,
    /// Names of the fronts that it monitors and cannot reach.
    pub suspects: Vec<String>,
    /// 1 for a proxy, else 0.
    pub proxies: u32,
    /// What it counted by service.
    pub services: Vec<ServiceCount>,
    /// What it has under way by server.
    pub servers: Vec<ServerLoad>,
}

/// The entries that a report has touched.
#[derive(Debug, Default)]
pub(crate) struct Touched {
    pub(crate) fronts: BTreeSet<String>,
    pub(crate) suspects: BTreeSet<String>,
    pub(crate) proxies_before: u32,
    pub(crate) services: Vec<TallyChange<String, ServiceTally>>,
    pub(crate) servers: Vec<TallyChange<u64, ServerTally>>,
}

impl LocalReport {
    /// The same as a complete report of the node with this name.
    pub(crate) fn into_report(self, name: &str) -> Report {
        let suspicion = |suspect| Suspicion { suspect, monitors: vec![name.to_string()] };
        Report {
            delta: false,
            depth: 0,
            fronts: self.front.into_iter().collect(),
            fronts_gone: Vec::new(),
            suspicions: self.suspects.into_iter().map(suspicion).collect(),
            proxies: self.proxies,
            services: self.services,
            servers: self.servers,
        }
    }
}

impl Subtree {
    /// Takes in a report on this subtree.
    pub(crate) fn apply(&mut self, report: Report) -> Touched {
        let mut touched = Touched { proxies_before: self.counts.proxies, ..Touched::default() };
        if !report.delta {
            touched.fronts.extend(std::mem::take(&mut self.fronts).into_keys());
            touched.suspects.extend(std::mem::take(&mut self.suspicions).into_keys());
        }
        self.apply_fronts(report.fronts, report.fronts_gone, &mut touched);
        self.apply_suspicions(report.suspicions, &mut touched);
        self.depth = report.depth;
        self.counts.proxies = report.proxies;
        let services = report.services.into_iter().map(service_tally);
        touched.services = apply_tallies(&mut self.counts.services, services, report.delta);
        let servers = report.servers.into_iter().map(server_tally);
        touched.servers = apply_tallies(&mut self.counts.servers, servers, report.delta);
        touched
    }

    /// A complete report on this subtree.
    pub(crate) fn to_report(&self) -> Report {
        let services = self.counts.services.clone().into_iter().map(service_count);
        let servers = self.counts.servers.clone().into_iter().map(server_load);
        Report {
            delta: false,
            depth: self.depth,
            fronts: self.fronts.values().cloned().collect(),
            fronts_gone: Vec::new(),
            suspicions: self.suspicions.keys().map(|suspect| self.suspicion(suspect)).collect(),
            proxies: self.counts.proxies,
            services: services.collect(),
            servers: servers.collect(),
        }
    }

    /// Who suspects a front, as a report has it: no monitors where nobody does.
    pub(crate) fn suspicion(&self, suspect: &str) -> Suspicion {
        let monitors = self.suspicions.get(suspect).into_iter().flatten().cloned().collect();
        Suspicion { suspect: suspect.to_string(), monitors }
    }

    fn apply_fronts(&mut self, fronts: Vec<Front>, gone: Vec<String>, touched: &mut Touched) {
        for name in gone {
            self.fronts.remove(&name);
            touched.fronts.insert(name);
        }
        for front in fronts {
            touched.fronts.insert(front.name.clone());
            self.fronts.insert(front.name.clone(), front);
        }
    }

    fn apply_suspicions(&mut self, suspicions: Vec<Suspicion>, touched: &mut Touched) {
        for Suspicion { suspect, monitors } in suspicions {
            touched.suspects.insert(suspect.clone());
            if monitors.is_empty() {
                self.suspicions.remove(&suspect);
            } else {
                self.suspicions.insert(suspect, monitors.into_iter().collect());
            }
        }
    }
}

/// Of two accounts of a front the one to go by has the higher rank: that of a later life, and of one life the one
/// that it cannot have come back from.
pub(crate) fn front_rank(front: &Front) -> (u64, u8) {
    let progress = match front.state {
        FrontState::Starting => 0,
        FrontState::Ready => 1,
        FrontState::Leaving => 2,
    };
    (front.life, progress)
}
