//! Looks up the route of a request by its host and path.

use quillpulley_serving_config::Configuration;
use quillpulley_serving_config::Route;
use std::borrow::Cow;
use std::collections::HashMap;

/// The routes of a configuration, indexed by host and path prefix.
#[derive(Default)]
pub struct RouteTable {
    routes: Vec<Route>,
    hosts: HashMap<String, HostRoutes>,
}

/// The routes of a host, as indices of [`RouteTable::routes`].
#[derive(Default)]
struct HostRoutes {
    /// Routes whose prefix ends with a slash, by prefix. A lookup tries each part of the path that ends with
    /// a slash.
    slash_prefixes: HashMap<String, usize>,
    /// The length of the longest prefix in `slash_prefixes`, in bytes.
    longest_slash_prefix: usize,
    /// Routes with any other prefix, the longest prefix first.
    other_prefixes: Vec<usize>,
}

impl RouteTable {
    /// Indexes the routes of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let mut table = RouteTable { routes: configuration.routes.clone(), hosts: HashMap::new() };
        for (index, route) in table.routes.iter().enumerate() {
            table.hosts.entry(route.host.to_ascii_lowercase()).or_default().add(index, &route.path_prefix);
        }
        for host in table.hosts.values_mut() {
            host.other_prefixes
                .sort_by_key(|index| std::cmp::Reverse(table.routes[*index].path_prefix.len()));
        }
        table
    }

    /// Returns the route of a host with the longest prefix that matches the path; `None` if no route matches.
    /// `host` may include a port, and `path` a query and a fragment.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(&*host_key(host))?;
        let path = path.split(['?', '#']).next().unwrap_or(path);
        let route_at = |index: &usize| &self.routes[*index];
        let slash_match = routes.find_slash_prefix(path).map(|index| &self.routes[index]);
        let other_match =
            routes.other_prefixes.iter().map(route_at).find(|route| path.starts_with(&route.path_prefix));
        match (slash_match, other_match) {
            (Some(slash_match), Some(other_match))
                if other_match.path_prefix.len() > slash_match.path_prefix.len() =>
            {
                Some(other_match)
            }
            (slash_match, other_match) => slash_match.or(other_match),
        }
    }
}

impl HostRoutes {
    fn add(&mut self, index: usize, prefix: &str) {
        if prefix.ends_with('/') {
            self.slash_prefixes.insert(prefix.to_owned(), index);
            self.longest_slash_prefix = self.longest_slash_prefix.max(prefix.len());
        } else {
            self.other_prefixes.push(index);
        }
    }

    fn find_slash_prefix(&self, path: &str) -> Option<usize> {
        let slashes =
            path.bytes().enumerate().take(self.longest_slash_prefix).filter(|(_, byte)| *byte == b'/');
        let ends = slashes.map(|(position, _)| position + 1);
        let mut found = ends.filter_map(|end| self.slash_prefixes.get(path.get(..end)?).copied());
        found.next_back()
    }
}

/// Picks a service of a route with a probability in proportion to its weight; `None` if no weight is above 0.
/// `random` is a uniformly distributed number between 0 and 1.
pub fn pick_service(route: &Route, random: f64) -> Option<&str> {
    let total: f64 = route.split.iter().map(|share| share.weight).sum();
    let mut remaining = random.clamp(0.0, 1.0) * total;
    let picked = route.split.iter().find(|share| {
        remaining -= share.weight;
        remaining < 0.0
    });
    let weighted = || route.split.iter().rfind(|share| share.weight > 0.0);
    picked.or_else(weighted).map(|share| share.service.as_str())
}

/// Returns the key of a host in tables: its name in lower case, without a port.
pub(crate) fn host_key(host: &str) -> Cow<'_, str> {
    lower_case(without_port(host))
}

/// Returns the host without its port. An IPv6 address keeps its brackets.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) && !name.ends_with(':') => name,
        _ => host,
    }
}

fn lower_case(host: &str) -> Cow<'_, str> {
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return Cow::Owned(host.to_ascii_lowercase());
    }
    Cow::Borrowed(host)
}
