//! The regions in which the requests to a host may be served, according to the routes of the configuration.

use crate::route_table::host_key;
use std::collections::{BTreeMap, BTreeSet};

/// Which of the requests to a host may be served in a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServedIn {
    /// All requests.
    All,
    /// The requests of some of the host's routes only.
    Some,
    /// No request.
    None,
}

/// The home regions of the routes of a host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostHomes {
    /// The distinct sets of home regions of the routes that have home regions.
    home_sets: BTreeSet<BTreeSet<String>>,
    /// Whether any route has no home regions, so that its requests may be served everywhere.
    has_unrestricted_routes: bool,
}

impl HostHomes {
    /// Creates the entry of a host whose routes are unknown. No region is a common home, and
    /// [`HostHomes::served_in`] returns [`ServedIn::Some`] for every region.
    pub fn unknown() -> Self {
        HostHomes { home_sets: BTreeSet::from([BTreeSet::new()]), has_unrestricted_routes: true }
    }

    /// Adds the home regions of a route. Without any, its requests may be served everywhere.
    pub fn add(&mut self, homes: &[String]) {
        if homes.is_empty() {
            self.has_unrestricted_routes = true;
        } else {
            self.home_sets.insert(homes.iter().cloned().collect());
        }
    }

    /// Returns whether a region is a home region of every route that has home regions. Only in such a region
    /// may all requests to the host be served.
    pub fn is_common_home(&self, region: &str) -> bool {
        self.home_sets.iter().all(|homes| homes.contains(region))
    }

    /// Returns which of the requests to the host may be served in a region.
    pub fn served_in(&self, region: &str) -> ServedIn {
        if self.is_common_home(region) {
            ServedIn::All
        } else if self.has_unrestricted_routes || self.home_sets.iter().any(|homes| homes.contains(region)) {
            ServedIn::Some
        } else {
            ServedIn::None
        }
    }
}

/// The home regions of all hosts of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeTable {
    hosts: BTreeMap<String, HostHomes>,
    /// The home regions of all routes of all hosts. They apply to a host without routes, whose route may be
    /// about to be added.
    all_hosts: HostHomes,
}

impl Default for HomeTable {
    /// Creates the table of a proxy without a configuration, to which all hosts are unknown.
    fn default() -> Self {
        HomeTable { hosts: BTreeMap::new(), all_hosts: HostHomes::unknown() }
    }
}

impl HomeTable {
    /// Creates a table from the host and the home regions of each route.
    pub fn new<'a>(routes: impl IntoIterator<Item = (&'a str, &'a [String])>) -> Self {
        let mut table = HomeTable { hosts: BTreeMap::new(), all_hosts: HostHomes::default() };
        for (host, homes) in routes {
            table.all_hosts.add(homes);
            table.hosts.entry(host_key(host).into_owned()).or_default().add(homes);
        }
        if table.hosts.is_empty() {
            return HomeTable::default();
        }
        table
    }

    /// Returns the home regions of all routes of all hosts.
    pub fn all(&self) -> &HostHomes {
        &self.all_hosts
    }

    /// Returns the home regions of a host, whose name may include a port.
    pub fn of(&self, host: &str) -> &HostHomes {
        self.hosts.get(&*host_key(host)).unwrap_or(&self.all_hosts)
    }
}
