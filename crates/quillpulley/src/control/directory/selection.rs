//! Selects endpoints for a client: nearby endpoints first, within the home regions of the requested host.

use super::{Coverage, Directory};
use quillpulley_load_balancer::{HostHomes, ServedIn};
use quillpulley_protocol::{EndpointState, ProxyEndpoint};
use quillpulley_replication::Locality;
use std::collections::{BTreeMap, BTreeSet};

/// Minimum number of ready endpoints in the client's zone. With fewer, all ready endpoints of its region are
/// used.
const MIN_IN_ZONE: usize = 2;

/// Selects the endpoints for one client.
///
/// Requests for routes with home regions are kept out of regions that are neither a home region nor the
/// client's own region. A client is sent to another region only in two cases: that region is a home region of
/// every route of the host that has home regions, or no endpoint is known in such a region or in the client's
/// own.
pub(super) struct Selection<'a> {
    directory: &'a Directory,
    homes: &'a HostHomes,
    locality: &'a Locality,
}

impl<'a> Selection<'a> {
    pub fn new(directory: &'a Directory, host: &str, locality: &'a Locality) -> Self {
        Selection { directory, homes: directory.homes.of(host), locality }
    }

    /// Returns the endpoints for the client. Returns none if it should ask another control node.
    pub fn choose(&self) -> Vec<&'a ProxyEndpoint> {
        let elsewhere = self.ready_elsewhere();
        if !elsewhere.is_empty() || self.should_ask_elsewhere() {
            return elsewhere;
        }
        let preferences = [
            Self::ready_in_zone,
            Self::ready_in_region,
            Self::ready_in_common_homes,
            Self::any_in_region_or_homes,
            Self::anywhere,
        ];
        let mut choices = preferences.into_iter().map(|preference| preference(self));
        choices.find(|endpoints| !endpoints.is_empty()).unwrap_or_default()
    }

    /// Returns ready endpoints of other regions in which the client is served better than in its own.
    fn ready_elsewhere(&self) -> Vec<&'a ProxyEndpoint> {
        match self.homes.served_in(&self.locality.region) {
            ServedIn::All => Vec::new(),
            ServedIn::None => self.ready(|endpoint| !self.is_near(endpoint) && self.is_common_home(endpoint)),
            ServedIn::Some => {
                let preferred = self.preferred_regions();
                self.ready(|endpoint| preferred.contains(endpoint.region.as_str()))
            }
        }
    }

    /// Returns whether the client is served better in other regions whose endpoints are unknown because this
    /// process has lost contact with the primary. The endpoints that report to this process have lost contact
    /// with the servers of those regions as well.
    fn should_ask_elsewhere(&self) -> bool {
        self.directory.coverage == Coverage::OwnReports
            && match self.homes.served_in(&self.locality.region) {
                ServedIn::All => false,
                ServedIn::None => true,
                ServedIn::Some => !self.preferred_regions().is_empty(),
            }
    }

    fn preferred_regions(&self) -> BTreeSet<&'a str> {
        let mut preferred = preferred_by_majority(&self.ready_in_region());
        preferred.retain(|region| self.homes.is_common_home(region));
        preferred
    }

    /// Returns the ready endpoints of the client's zone, or none if they are too few to share the load.
    fn ready_in_zone(&self) -> Vec<&'a ProxyEndpoint> {
        let in_zone = self.ready(|endpoint| endpoint.zone == self.locality.zone);
        if in_zone.len() < MIN_IN_ZONE {
            return Vec::new();
        }
        in_zone
    }

    fn ready_in_region(&self) -> Vec<&'a ProxyEndpoint> {
        self.ready(|endpoint| self.is_near(endpoint))
    }

    fn ready_in_common_homes(&self) -> Vec<&'a ProxyEndpoint> {
        self.ready(|endpoint| self.is_common_home(endpoint))
    }

    /// Returns endpoints in any state. Starting and draining endpoints are included, since they either serve
    /// a request or reject it at once.
    fn any_in_region_or_homes(&self) -> Vec<&'a ProxyEndpoint> {
        let endpoints = self.directory.endpoints.iter();
        endpoints.filter(|endpoint| self.is_near(endpoint) || self.is_common_home(endpoint)).collect()
    }

    fn anywhere(&self) -> Vec<&'a ProxyEndpoint> {
        if self.directory.coverage != Coverage::All {
            return Vec::new();
        }
        let ready = self.ready(|_| true);
        if ready.is_empty() {
            return self.directory.endpoints.iter().collect();
        }
        ready
    }

    fn ready(&self, is_wanted: impl Fn(&ProxyEndpoint) -> bool) -> Vec<&'a ProxyEndpoint> {
        let endpoints = self.directory.endpoints.iter();
        let ready = endpoints.filter(|endpoint| endpoint.state == EndpointState::Ready);
        ready.filter(|endpoint| is_wanted(endpoint)).collect()
    }

    /// Returns whether the endpoint is in the client's zone or region.
    fn is_near(&self, endpoint: &ProxyEndpoint) -> bool {
        endpoint.zone == self.locality.zone || endpoint.region == self.locality.region
    }

    fn is_common_home(&self, endpoint: &ProxyEndpoint) -> bool {
        self.homes.is_common_home(&endpoint.region)
    }
}

/// Returns the regions that at least half of the endpoints prefer to their own region.
fn preferred_by_majority<'a>(endpoints: &[&'a ProxyEndpoint]) -> BTreeSet<&'a str> {
    let mut votes: BTreeMap<&str, usize> = BTreeMap::new();
    for endpoint in endpoints {
        for region in &endpoint.preferred_regions {
            *votes.entry(region).or_default() += 1;
        }
    }
    votes.retain(|_, count| *count * 2 >= endpoints.len());
    votes.into_keys().collect()
}
