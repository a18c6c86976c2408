//! The failure domains of a machine.

/// The failure domains of a machine. An empty name is one that is not known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Locality {
    /// The zone, which lies in the region.
    pub zone: String,
    /// The region.
    pub region: String,
}
