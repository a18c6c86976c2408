//! The errors of configurations.

use displaydoc::Display;

/// Why a configuration is invalid. The message also says how to correct it.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ConfigurationError {
    /// the configuration cannot be read as JSON ({0}): send the whole text
    Unreadable(String),
    /// {location} lacks {field}: add it
    Missing {
        /// The part of the configuration.
        location: String,
        /// The missing field.
        field: &'static str,
    },
    /// {field} of {location} cannot be used: give it as {expected}
    WrongKind {
        /// The part of the configuration.
        location: String,
        /// The field with the invalid value.
        field: &'static str,
        /// A description of the expected value.
        expected: &'static str,
    },
    /// route {route} names the service {service}, which is not known: add it to Services, or correct the name
    UnknownService {
        /// The name of the route.
        route: String,
        /// The name of the service.
        service: String,
    },
    /// routes {route} and {other} have the same host {host} and prefix {prefix}: remove one of them
    DuplicateRoute {
        /// The name of the first route.
        route: String,
        /// The name of the second route.
        other: String,
        /// The host of both routes.
        host: String,
        /// The path prefix of both routes.
        prefix: String,
    },
    /// the weights of route {route} add up to 0: give one of its services a weight above 0
    NoWeight {
        /// The name of the route.
        route: String,
    },
    /// TimeoutMs of route {route} is 0: give the longest time that its requests may take
    NoTimeout {
        /// The name of the route.
        route: String,
    },
    /// PathPrefix of route {route} is empty: give "/" for all paths
    NoPrefix {
        /// The name of the route.
        route: String,
    },
    /// Version {version} is not above the current one, {current}: read the current one and send a higher number
    VersionNotAbove {
        /// The version of the rejected configuration.
        version: u64,
        /// The version of the current configuration.
        current: u64,
    },
    /// {found} of {expected} routes of the published configuration are there: wait for the rest
    Incomplete {
        /// The number of routes according to the head of the configuration.
        expected: usize,
        /// The number of routes that are published.
        found: usize,
    },
    /// the head of the published configuration cannot be read ({0}): run the same version on all machines
    MalformedHead(String),
}

impl std::error::Error for ConfigurationError {}
