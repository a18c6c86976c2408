//! What is known of a subtree: its proxies, which their monitors suspect, and the sums of its counts.

use crate::counters::{apply_counters, load_counters, retry_counters, server_load, service_counters};
use crate::counters::{CounterChange, CounterTable, LoadCounters, RetryCounters};
use quillpulley_protocol::{EndpointState, ProxyEndpoint, Report, ServerLoad, ServiceCounters, Suspicion};
use std::collections::{BTreeMap, BTreeSet};

/// What a node knows of itself and of all below it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SubtreeState {
    /// The proxies by name.
    pub endpoints: BTreeMap<String, ProxyEndpoint>,
    /// For each proxy that is suspected the names of its monitors that cannot reach it.
    pub suspicions: BTreeMap<String, BTreeSet<String>>,
    /// The sums.
    pub counts: CounterTable,
    /// The number of its levels.
    pub depth: u8,
}

/// What a process says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalReport {
    /// The proxy of its machine: given by the agent there, not by its proxy.
    pub endpoint: Option<ProxyEndpoint>,
    /// Names of the proxies that it monitors and cannot reach.
    pub suspects: Vec<String>,
    /// 1 for a proxy, else 0.
    pub proxies: u32,
    /// What it counted by service.
    pub services: Vec<ServiceCounters>,
    /// What it has in flight by server.
    pub servers: Vec<ServerLoad>,
}

/// The entries that a report has touched.
#[derive(Debug, Default)]
pub(crate) struct DirtyKeys {
    pub(crate) endpoints: BTreeSet<String>,
    pub(crate) suspects: BTreeSet<String>,
    pub(crate) proxies_before: u32,
    pub(crate) services: Vec<CounterChange<String, RetryCounters>>,
    pub(crate) servers: Vec<CounterChange<u64, LoadCounters>>,
}

impl LocalReport {
    /// Returns the same as a complete report of the node with this name.
    pub(crate) fn into_report(self, name: &str) -> Report {
        let suspicion = |suspect| Suspicion { suspect, monitors: vec![name.to_string()] };
        Report {
            delta: false,
            depth: 0,
            endpoints: self.endpoint.into_iter().collect(),
            removed_endpoints: Vec::new(),
            suspicions: self.suspects.into_iter().map(suspicion).collect(),
            proxies: self.proxies,
            services: self.services,
            servers: self.servers,
        }
    }
}

impl SubtreeState {
    /// Applies a report on this subtree.
    pub(crate) fn apply(&mut self, report: Report) -> DirtyKeys {
        let mut dirty = DirtyKeys { proxies_before: self.counts.proxies, ..DirtyKeys::default() };
        if !report.delta {
            dirty.endpoints.extend(std::mem::take(&mut self.endpoints).into_keys());
            dirty.suspects.extend(std::mem::take(&mut self.suspicions).into_keys());
        }
        self.apply_endpoints(report.endpoints, report.removed_endpoints, &mut dirty);
        self.apply_suspicions(report.suspicions, &mut dirty);
        self.depth = report.depth;
        self.counts.proxies = report.proxies;
        let services = report.services.into_iter().map(retry_counters);
        dirty.services = apply_counters(&mut self.counts.services, services, report.delta);
        let servers = report.servers.into_iter().map(load_counters);
        dirty.servers = apply_counters(&mut self.counts.servers, servers, report.delta);
        dirty
    }

    /// Returns a complete report on this subtree.
    pub(crate) fn to_report(&self) -> Report {
        let services = self.counts.services.clone().into_iter().map(service_counters);
        let servers = self.counts.servers.clone().into_iter().map(server_load);
        Report {
            delta: false,
            depth: self.depth,
            endpoints: self.endpoints.values().cloned().collect(),
            removed_endpoints: Vec::new(),
            suspicions: self.suspicions.keys().map(|suspect| self.suspicion(suspect)).collect(),
            proxies: self.counts.proxies,
            services: services.collect(),
            servers: servers.collect(),
        }
    }

    /// Returns who suspects a proxy, as a report has it: no monitors where nobody does.
    pub(crate) fn suspicion(&self, suspect: &str) -> Suspicion {
        let monitors = self.suspicions.get(suspect).into_iter().flatten().cloned().collect();
        Suspicion { suspect: suspect.to_string(), monitors }
    }

    fn apply_endpoints(&mut self, endpoints: Vec<ProxyEndpoint>, gone: Vec<String>, dirty: &mut DirtyKeys) {
        for name in gone {
            self.endpoints.remove(&name);
            dirty.endpoints.insert(name);
        }
        for endpoint in endpoints {
            dirty.endpoints.insert(endpoint.name.clone());
            self.endpoints.insert(endpoint.name.clone(), endpoint);
        }
    }

    fn apply_suspicions(&mut self, suspicions: Vec<Suspicion>, dirty: &mut DirtyKeys) {
        for Suspicion { suspect, monitors } in suspicions {
            dirty.suspects.insert(suspect.clone());
            if monitors.is_empty() {
                self.suspicions.remove(&suspect);
            } else {
                self.suspicions.insert(suspect, monitors.into_iter().collect());
            }
        }
    }
}

/// Of two accounts of a proxy the one to go by has the higher rank: that of a later life, and of one life the one
/// that it cannot have come back from.
pub(crate) fn endpoint_rank(endpoint: &ProxyEndpoint) -> (u64, u8) {
    let progress = match endpoint.state {
        EndpointState::Starting => 0,
        EndpointState::Ready => 1,
        EndpointState::Draining => 2,
    };
    (endpoint.incarnation, progress)
}
