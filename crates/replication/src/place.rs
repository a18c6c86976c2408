//! Where nodes stand, and which losses a set of nodes survives.

use quillpulley_protocol::NodeId;
use std::collections::BTreeMap;
use std::fmt;

use crate::quorum::majority;

/// Where a machine stands. An empty name is one that is not known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// The zone, which lies in the region.
    pub zone: String,
    /// The region.
    pub region: String,
}

/// What may be lost at once: so many machines, or so many zones, or so many regions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tolerance {
    pub machines: usize,
    pub zones: usize,
    pub regions: usize,
}

/// The kinds of tolerated losses that a set of nodes does not survive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exposure {
    /// The loss of as many machines as are tolerated.
    pub machines: bool,
    /// The loss of as many zones as are tolerated.
    pub zones: bool,
    /// The loss of as many regions as are tolerated.
    pub regions: bool,
}

impl Exposure {
    /// Whether every tolerated loss is survived.
    pub fn is_none(self) -> bool {
        self.count() == 0
    }

    /// Whether the loss of zones or of regions is not survived.
    pub fn is_by_place(self) -> bool {
        self.zones || self.regions
    }

    pub(crate) fn count(self) -> usize {
        [self.machines, self.zones, self.regions].iter().filter(|exposed| **exposed).count()
    }

    /// The names of the kinds of losses that are not survived.
    pub fn kinds(self) -> Vec<&'static str> {
        let kinds = [(self.machines, "machines"), (self.zones, "zones"), (self.regions, "regions")];
        kinds.iter().filter(|(exposed, _)| *exposed).map(|(_, kind)| *kind).collect()
    }
}

impl fmt::Display for Exposure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.kinds().join(" or "))
    }
}

/// The losses after which no copy is left with these members.
pub(crate) fn exposure_of_members<'a>(
    members: &[NodeId],
    tolerance: Tolerance,
    place_of: impl Fn(NodeId) -> Option<&'a Place>,
) -> Exposure {
    exposure(members, tolerance, place_of, 1)
}

/// The losses after which these witnesses have no majority left.
pub(crate) fn exposure_of_witnesses<'a>(
    witnesses: &[NodeId],
    tolerance: Tolerance,
    place_of: impl Fn(NodeId) -> Option<&'a Place>,
) -> Exposure {
    exposure(witnesses, tolerance, place_of, majority(witnesses.len()))
}

/// The losses after which fewer than `needed` of the nodes are left.
fn exposure<'a>(
    nodes: &[NodeId],
    tolerance: Tolerance,
    place_of: impl Fn(NodeId) -> Option<&'a Place>,
    needed: usize,
) -> Exposure {
    let zone = |node: &NodeId| place_of(*node).map(|place| place.zone.as_str());
    let region = |node: &NodeId| place_of(*node).map(|place| place.region.as_str());
    Exposure {
        machines: nodes.len() < tolerance.machines + needed,
        zones: tolerance.zones > 0 && left_after(nodes, tolerance.zones, zone) < needed,
        regions: tolerance.regions > 0 && left_after(nodes, tolerance.regions, region) < needed,
    }
}

/// How many nodes are left after the loss of those places that take the most of them. A node whose place is not
/// known may stand in any of them.
fn left_after<'a>(nodes: &[NodeId], lost: usize, place: impl Fn(&NodeId) -> Option<&'a str>) -> usize {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for name in nodes.iter().filter_map(place).filter(|name| !name.is_empty()) {
        *counts.entry(name).or_default() += 1;
    }
    let mut counts: Vec<usize> = counts.into_values().collect();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    counts.iter().skip(lost).sum()
}
