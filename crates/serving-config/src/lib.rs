//! The operator's configurations: routes, services and limits.
//!
//! Only what makes a configuration invalid is checked: unknown fields and kinds are ignored, and missing ones get a
//! default wherever there is a sensible one.

#![forbid(unsafe_code)]

mod error;
mod fields;
mod json;
mod limits;
pub mod published;
mod route;
mod service;

pub(crate) use json::write as write_json;

pub use error::ConfigurationError;
pub use limits::Limits;
pub use route::{Route, RouteKind, WeightedService};
pub use service::{Engine, Model, Service};

use fields::Fields;
use simd_json::prelude::*;
use std::collections::BTreeMap;

/// A complete and valid configuration. Whether it may follow another is checked by [`Configuration::check_follows`].
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Its version.
    pub version: u64,
    /// Its routes, ordered by host and prefix.
    pub routes: Vec<Route>,
    /// Its services by name.
    pub services: BTreeMap<String, Service>,
    /// What clients may send.
    pub limits: Limits,
}

impl Configuration {
    /// Parses a configuration as the operator sent it.
    ///
    /// # Errors
    /// [`ConfigurationError`].
    pub fn parse(body: &[u8]) -> Result<Configuration, ConfigurationError> {
        json::read(body, |value| {
            let fields = Fields::of(value, "the configuration")?;
            let routes = fields.each("Routes", Route::read)?;
            let services = fields.each("Services", Service::read)?;
            let limits = match fields.optional("Limits") {
                Some(limits) => Limits::read(limits)?,
                None => Limits::default(),
            };
            Configuration::new(fields.required_integer("Version")?, routes, services, limits)
        })
    }

    /// Assembles a configuration and checks it. Of two services with one name the later one counts.
    pub(crate) fn new(
        version: u64,
        mut routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Result<Configuration, ConfigurationError> {
        routes.sort_by(|one, other| one.location().cmp(&other.location()));
        let services = services.into_iter().map(|service| (service.name.clone(), service)).collect();
        let configuration = Configuration { version, routes, services, limits };
        configuration.check_services()?;
        configuration.check_unique()?;
        Ok(configuration)
    }

    /// Checks that its version is above the current one.
    ///
    /// # Errors
    /// [`ConfigurationError`].
    pub fn check_follows(&self, current: u64) -> Result<(), ConfigurationError> {
        if self.version > current {
            return Ok(());
        }
        Err(ConfigurationError::VersionNotAbove { version: self.version, current })
    }

    fn check_services(&self) -> Result<(), ConfigurationError> {
        for route in &self.routes {
            for share in &route.split {
                if !self.services.contains_key(&share.service) {
                    let (route, service) = (route.name.clone(), share.service.clone());
                    return Err(ConfigurationError::UnknownService { route, service });
                }
            }
        }
        Ok(())
    }

    /// Checks that no two routes have the same host and prefix. Such routes are neighbours, as routes are sorted.
    fn check_unique(&self) -> Result<(), ConfigurationError> {
        let pairs = self.routes.iter().zip(self.routes.iter().skip(1));
        for (one, other) in pairs {
            if one.location() == other.location() {
                return Err(ConfigurationError::DuplicateRoute {
                    route: one.name.clone(),
                    other: other.name.clone(),
                    host: one.host.clone(),
                    prefix: one.path_prefix.clone(),
                });
            }
        }
        Ok(())
    }
}

/// Returns the services of a published configuration.
pub(crate) fn read_services(json: &[u8]) -> Result<Vec<Service>, ConfigurationError> {
    json::read(json, |value| {
        let services = value.as_array().ok_or_else(|| fields::not_a_list("the configuration", "Services"))?;
        services.iter().enumerate().map(|(index, service)| Service::read(service, index)).collect()
    })
}

/// One route of a published configuration.
pub(crate) fn read_route(json: &[u8]) -> Result<Route, ConfigurationError> {
    json::read(json, |value| Route::read(value, 0))
}

/// Returns the limits of a published configuration.
pub(crate) fn read_limits(json: &[u8]) -> Result<Limits, ConfigurationError> {
    json::read(json, Limits::read)
}
