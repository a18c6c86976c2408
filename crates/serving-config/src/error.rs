//! Why a configuration is invalid.

use displaydoc::Display;

/// Why a configuration is invalid, and what to do about it.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ConfigurationError {
    /// the configuration cannot be read as JSON ({0}): send the whole text
    Unreadable(String),
    /// {location} lacks {field}: add it
    Missing {
        /// Which part of the configuration.
        location: String,
        /// The field that it lacks.
        field: &'static str,
    },
    /// {field} of {location} cannot be used: give it as {expected}
    WrongKind {
        /// Which part of the configuration.
        location: String,
        /// The field with the unusable value.
        field: &'static str,
        /// What belongs there.
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
        /// The name of the one route.
        route: String,
        /// The name of the other.
        other: String,
        /// The host of both.
        host: String,
        /// The prefix of both.
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
        /// The version of the configuration.
        version: u64,
        /// The active version.
        current: u64,
    },
    /// {found} of {expected} routes of the published configuration are there: wait for the rest
    Incomplete {
        /// As many as the head says.
        expected: usize,
        /// As many as there are.
        found: usize,
    },
    /// the head of the published configuration cannot be read ({0}): run the same version on all machines
    MalformedHead(String),
}

impl std::error::Error for ConfigurationError {}
