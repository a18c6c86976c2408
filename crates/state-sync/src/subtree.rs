//! The state of a subtree: the endpoints of its proxies, the suspicions of its monitors, and the sums of its
//! counters.

use crate::counters::{apply_counters, load_counters, retry_counters, server_load, service_counters};
use crate::counters::{CounterChange, CounterTable, LoadCounters, RetryCounters};
use quillpulley_protocol::{EndpointState, ProxyEndpoint, Report, ServerLoad, ServiceCounters, Suspicion};
use std::collections::{BTreeMap, BTreeSet};

/// The merged state of a node and its subtree.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SubtreeState {
    /// The endpoints of the proxies, by name of the proxy.
    pub endpoints: BTreeMap<String, ProxyEndpoint>,
    /// The names of the monitors that cannot reach a proxy, by name of this suspected proxy.
    pub suspicions: BTreeMap<String, BTreeSet<String>>,
    /// The sums of the counters.
    pub counters: CounterTable,
    /// The number of levels. It grows without bound if the tree has a loop.
    pub depth: u8,
}

/// The report of a process about itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalReport {
    /// The endpoint of the proxy on this machine. It is reported by the agent and not by the proxy itself.
    pub endpoint: Option<ProxyEndpoint>,
    /// The names of the proxies that the process monitors and cannot reach.
    pub suspects: Vec<String>,
    /// 1 if the process is a proxy, otherwise 0.
    pub proxies: u32,
    /// The retry counters of the process, for each service.
    pub services: Vec<ServiceCounters>,
    /// The load that the process reports, for each server.
    pub servers: Vec<ServerLoad>,
}

/// The entries that a report may have changed.
#[derive(Debug, Default)]
pub(crate) struct DirtyKeys {
    pub(crate) endpoints: BTreeSet<String>,
    pub(crate) suspects: BTreeSet<String>,
    pub(crate) proxies_before: u32,
    pub(crate) services: Vec<CounterChange<String, RetryCounters>>,
    pub(crate) servers: Vec<CounterChange<u64, LoadCounters>>,
}

impl LocalReport {
    /// Returns the complete report of the node with this name.
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
    /// Applies a report. Returns the entries that it may have changed.
    pub(crate) fn apply(&mut self, report: Report) -> DirtyKeys {
        let mut dirty = DirtyKeys { proxies_before: self.counters.proxies, ..DirtyKeys::default() };
        if !report.delta {
            dirty.endpoints.extend(std::mem::take(&mut self.endpoints).into_keys());
            dirty.suspects.extend(std::mem::take(&mut self.suspicions).into_keys());
        }
        self.apply_endpoints(report.endpoints, report.removed_endpoints, &mut dirty);
        self.apply_suspicions(report.suspicions, &mut dirty);
        self.depth = report.depth;
        self.counters.proxies = report.proxies;
        let services = report.services.into_iter().map(retry_counters);
        dirty.services = apply_counters(&mut self.counters.services, services, report.delta);
        let servers = report.servers.into_iter().map(load_counters);
        dirty.servers = apply_counters(&mut self.counters.servers, servers, report.delta);
        dirty
    }

    /// Returns a complete report of this state.
    pub(crate) fn to_report(&self) -> Report {
        let services = self.counters.services.clone().into_iter().map(service_counters);
        let servers = self.counters.servers.clone().into_iter().map(server_load);
        Report {
            delta: false,
            depth: self.depth,
            endpoints: self.endpoints.values().cloned().collect(),
            removed_endpoints: Vec::new(),
            suspicions: self.suspicions.keys().map(|suspect| self.suspicion(suspect)).collect(),
            proxies: self.counters.proxies,
            services: services.collect(),
            servers: servers.collect(),
        }
    }

    /// Returns the monitors that suspect a proxy, in their form in a report.
    pub(crate) fn suspicion(&self, suspect: &str) -> Suspicion {
        let monitors = self.suspicions.get(suspect).into_iter().flatten().cloned().collect();
        Suspicion { suspect: suspect.to_string(), monitors }
    }

    fn apply_endpoints(
        &mut self,
        endpoints: Vec<ProxyEndpoint>,
        removed: Vec<String>,
        dirty: &mut DirtyKeys,
    ) {
        for name in removed {
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

/// Returns the rank of an endpoint. Of two reports about the same proxy, the one with the higher rank is
/// valid: the one with the later incarnation or, for the same incarnation, with the state that comes later in
/// the proxy's lifecycle.
pub(crate) fn endpoint_rank(endpoint: &ProxyEndpoint) -> (u64, u8) {
    let progress = match endpoint.state {
        EndpointState::Starting => 0,
        EndpointState::Ready => 1,
        EndpointState::Draining => 2,
    };
    (endpoint.incarnation, progress)
}
