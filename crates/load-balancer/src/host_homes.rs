//! Where the requests of a host may be served, according to the active routes.

use crate::route_table::host_key;
use std::collections::{BTreeMap, BTreeSet};

/// Which requests of a host may be served in a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServedIn {
    /// All of them.
    All,
    /// Those of some of its routes.
    Some,
    /// None of them.
    None,
}

/// The home regions of the routes of a host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostHomes {
    /// The distinct sets of homes of the routes that have any.
    bound: BTreeSet<BTreeSet<String>>,
    /// Whether there is a route without homes.
    has_unbound_routes: bool,
}

impl HostHomes {
    /// Creates the homes of an unknown host: no region is certainly a home.
    pub fn unknown() -> Self {
        HostHomes { bound: BTreeSet::from([BTreeSet::new()]), has_unbound_routes: true }
    }

    /// Adds a route with its homes. Without any it may be served anywhere.
    pub fn add(&mut self, homes: &[String]) {
        if homes.is_empty() {
            self.has_unbound_routes = true;
        } else {
            self.bound.insert(homes.iter().cloned().collect());
        }
    }

    /// Returns whether a region is a home of every route that has homes. Only there every request arrives at one of
    /// its homes.
    pub fn is_common_home(&self, region: &str) -> bool {
        self.bound.iter().all(|homes| homes.contains(region))
    }

    /// Returns which requests may be served in a region.
    pub fn served_in(&self, region: &str) -> ServedIn {
        if self.is_common_home(region) {
            ServedIn::All
        } else if self.has_unbound_routes || self.bound.iter().any(|homes| homes.contains(region)) {
            ServedIn::Some
        } else {
            ServedIn::None
        }
    }
}

/// The homes of all hosts of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeTable {
    hosts: BTreeMap<String, HostHomes>,
    /// The homes of all hosts together. They apply to hosts without a route, which may be about to get one.
    others: HostHomes,
}

impl Default for HomeTable {
    /// Creates an empty table, for a proxy without a configuration.
    fn default() -> Self {
        HomeTable { hosts: BTreeMap::new(), others: HostHomes::unknown() }
    }
}

impl HomeTable {
    /// Creates a table from the host and the homes of each route.
    pub fn new<'a>(routes: impl IntoIterator<Item = (&'a str, &'a [String])>) -> Self {
        let mut table = HomeTable { hosts: BTreeMap::new(), others: HostHomes::default() };
        for (host, homes) in routes {
            table.others.add(homes);
            table.hosts.entry(host_key(host).into_owned()).or_default().add(homes);
        }
        if table.hosts.is_empty() {
            return HomeTable::default();
        }
        table
    }

    /// Returns the homes of all hosts together.
    pub fn all(&self) -> &HostHomes {
        &self.others
    }

    /// Returns the homes of a host, which may carry a port.
    pub fn of(&self, host: &str) -> &HostHomes {
        self.hosts.get(&*host_key(host)).unwrap_or(&self.others)
    }
}
