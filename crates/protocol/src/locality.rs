//! The failure domains of a machine.

/// The failure domains of a machine. An empty name means that the domain is unknown.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Locality {
    /// The name of the zone, which is part of the region.
    pub zone: String,
    /// The name of the region.
    pub region: String,
}
