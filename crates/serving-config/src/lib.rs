//! The serving configuration that the operator sends: routes, services and limits.
//!
//! Parsing is lenient: unknown fields and values of unknown kinds are ignored, and missing fields get a default value
//! wherever there is a sensible one. Anything else that is invalid is an error.

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

/// A complete and valid configuration. [`Configuration::check_follows`] checks whether it may replace the current one.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// The version, which increases with each configuration.
    pub version: u64,
    /// The routes, ordered by host and path prefix. No two routes have the same host and prefix.
    pub routes: Vec<Route>,
    /// The services by their names. They include all services that routes refer to.
    pub services: BTreeMap<String, Service>,
    /// The limits for client requests and connections.
    pub limits: Limits,
}

impl Configuration {
    /// Parses a configuration in the JSON format in which the operator sends it.
    ///
    /// # Errors
    /// [`ConfigurationError`] if it is invalid.
    pub fn parse(body: &[u8]) -> Result<Configuration, ConfigurationError> {
        json::read(body, |value| {
            let fields = Fields::of(value, "the configuration")?;
            let routes = fields.required_list("Routes", Route::read)?;
            let services = fields.required_list("Services", Service::read)?;
            let limits = match fields.optional("Limits") {
                Some(limits) => Limits::read(limits)?,
                None => Limits::default(),
            };
            Configuration::new(fields.required_integer("Version")?, routes, services, limits)
        })
    }

    /// Assembles a configuration and validates it. If several services have the same name, the last one is used.
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

    /// Checks that the version of this configuration is greater than the current one.
    ///
    /// # Errors
    /// [`ConfigurationError::VersionNotAbove`] if it is not.
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

    /// Checks that no two routes have the same host and prefix. The routes are sorted, so only neighbors are compared.
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

/// Parses the services of a published configuration.
pub(crate) fn read_services(json: &[u8]) -> Result<Vec<Service>, ConfigurationError> {
    json::read(json, |value| {
        let services = value.as_array().ok_or_else(|| fields::not_a_list("the configuration", "Services"))?;
        services.iter().enumerate().map(|(index, service)| Service::read(service, index)).collect()
    })
}

/// Parses one route of a published configuration.
pub(crate) fn read_route(json: &[u8]) -> Result<Route, ConfigurationError> {
    json::read(json, |value| Route::read(value, 0))
}

/// Parses the limits of a published configuration.
pub(crate) fn read_limits(json: &[u8]) -> Result<Limits, ConfigurationError> {
    json::read(json, Limits::read)
}
