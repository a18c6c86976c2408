//! Where the requests of a host may be served, as the routes in force say.

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
    /// The homes of each route that has some; equal ones once.
    bound: BTreeSet<BTreeSet<String>>,
    /// Whether there is a route without homes.
    has_free_routes: bool,
}

impl HostHomes {
    /// For a host of which nothing is known: no region is a home for sure.
    pub fn unknown() -> Self {
        HostHomes { bound: BTreeSet::from([BTreeSet::new()]), has_free_routes: true }
    }

    /// Adds a route with these homes; it may be served anywhere if there are none.
    pub fn add(&mut self, homes: &[String]) {
        if homes.is_empty() {
            self.has_free_routes = true;
        } else {
            self.bound.insert(homes.iter().cloned().collect());
        }
    }

    /// Returns whether the region is a home of every route that has homes: only there no request lands outside its
    /// homes, whatever clients ask for.
    pub fn is_common_home(&self, region: &str) -> bool {
        self.bound.iter().all(|homes| homes.contains(region))
    }

    /// Returns which requests may be served in a region.
    pub fn served_in(&self, region: &str) -> ServedIn {
        if self.is_common_home(region) {
            ServedIn::All
        } else if self.has_free_routes || self.bound.iter().any(|homes| homes.contains(region)) {
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
    /// Those of all hosts together. They count for hosts that no route names, which may be about to get one.
    others: HostHomes,
}

impl Default for HomeTable {
    /// While no configuration is known.
    fn default() -> Self {
        HomeTable { hosts: BTreeMap::new(), others: HostHomes::unknown() }
    }
}

impl HomeTable {
    /// From the host and the homes of each route.
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
