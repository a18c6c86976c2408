//! Conversion of a configuration to published items, and back.

use super::{route_key, PublishedKey, CONFIG_KEY};
use crate::{read_limits, read_route, read_services, write_json};
use crate::{Configuration, ConfigurationError, Route, Service};
use quillpulley_protocol::{decode_value, encode_value, ConfigHead, ConfigHeadRef};
use std::collections::BTreeMap;

/// Returns the route that a published item contains, or `None` if the item is of another kind or is invalid.
pub fn route_of(key: &str, value: &[u8]) -> Option<Route> {
    match PublishedKey::parse(key)? {
        PublishedKey::Route(_) => read_route(value).ok(),
        _ => None,
    }
}

impl Configuration {
    /// Returns the published items of this configuration by their keys: its head, and its routes.
    pub fn to_items(&self) -> BTreeMap<String, Vec<u8>> {
        let services: Vec<&Service> = self.services.values().collect();
        let head = ConfigHead {
            version: self.version,
            routes: self.routes.len() as u32,
            services: write_json(&services),
            limits: write_json(&self.limits),
        };
        let routes = self.routes.iter();
        let mut items: BTreeMap<String, Vec<u8>> =
            routes.map(|route| (route_key(&route.host, &route.path_prefix), write_json(route))).collect();
        items.insert(CONFIG_KEY.to_string(), encode_value::<ConfigHead>(&head));
        items
    }

    /// Reads a published configuration. `head` is the value of [`CONFIG_KEY`], and `routes` are the values of all keys that
    /// begin with [`ROUTE_PREFIX`](super::ROUTE_PREFIX).
    ///
    /// # Errors
    /// [`ConfigurationError`] if an item is invalid, or if the number of routes is not the one that the head gives.
    pub fn from_items<'a>(
        head: &[u8],
        routes: impl Iterator<Item = &'a [u8]>,
    ) -> Result<Configuration, ConfigurationError> {
        let malformed = |error| ConfigurationError::MalformedHead(format!("{error}"));
        let head: ConfigHead = decode_value::<ConfigHeadRef<'_>, _>(head).map_err(malformed)?;
        let routes = routes.map(read_route).collect::<Result<Vec<_>, _>>()?;
        let (expected, found) = (head.routes as usize, routes.len());
        if expected != found {
            return Err(ConfigurationError::Incomplete { expected, found });
        }
        let services = read_services(&head.services)?;
        Configuration::new(head.version, routes, services, read_limits(&head.limits)?)
    }
}
