//! Determines which tolerated failures of machines and failure domains a set of nodes survives.

use quillpulley_protocol::{Locality, NodeId};
use std::collections::BTreeMap;
use std::fmt;

use crate::view::majority;

/// The failures that a view has to survive: the simultaneous loss of any `machines` machines, or any `zones` zones,
/// or any `regions` regions, with all members and witnesses in them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultTolerance {
    /// The number of machines that may lose their disks at once. Commits need more members than this.
    pub machines: usize,
    /// The number of zones that may be lost at once.
    pub zones: usize,
    /// The number of regions that may be lost at once.
    pub regions: usize,
}

impl Default for FaultTolerance {
    /// Tolerates the loss of one machine.
    fn default() -> Self {
        FaultTolerance { machines: 1, zones: 0, regions: 0 }
    }
}

/// The kinds of tolerated failures that a set of nodes does not survive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UncoveredFailures {
    /// Whether the loss of the tolerated number of machines is not survived.
    pub machines: bool,
    /// Whether the loss of the tolerated number of zones is not survived.
    pub zones: bool,
    /// Whether the loss of the tolerated number of regions is not survived.
    pub regions: bool,
}

impl UncoveredFailures {
    /// Returns whether all tolerated failures are survived.
    pub fn is_empty(self) -> bool {
        self.count() == 0
    }

    /// Returns whether the loss of zones or of regions is not survived.
    pub fn includes_domains(self) -> bool {
        self.zones || self.regions
    }

    pub(crate) fn count(self) -> usize {
        [self.machines, self.zones, self.regions].iter().filter(|uncovered| **uncovered).count()
    }

    /// Returns the names of the kinds of failures that are not survived: `machines`, `zones` or `regions`.
    pub fn kinds(self) -> Vec<&'static str> {
        let kinds = [(self.machines, "machines"), (self.zones, "zones"), (self.regions, "regions")];
        kinds.iter().filter(|(uncovered, _)| *uncovered).map(|(_, kind)| *kind).collect()
    }
}

impl fmt::Display for UncoveredFailures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.kinds().join(" or "))
    }
}

/// Returns the tolerated failures after which none of these members, and so no copy of the data, remains.
pub(crate) fn uncovered_by_members<'a>(
    members: &[NodeId],
    tolerance: FaultTolerance,
    locality_of: impl Fn(NodeId) -> Option<&'a Locality>,
) -> UncoveredFailures {
    uncovered(members, tolerance, locality_of, 1)
}

/// Returns the tolerated failures after which no majority of these witnesses remains.
pub(crate) fn uncovered_by_witnesses<'a>(
    witnesses: &[NodeId],
    tolerance: FaultTolerance,
    locality_of: impl Fn(NodeId) -> Option<&'a Locality>,
) -> UncoveredFailures {
    uncovered(witnesses, tolerance, locality_of, majority(witnesses.len()))
}

/// Returns the tolerated failures after which fewer than `needed` of the nodes remain.
fn uncovered<'a>(
    nodes: &[NodeId],
    tolerance: FaultTolerance,
    locality_of: impl Fn(NodeId) -> Option<&'a Locality>,
    needed: usize,
) -> UncoveredFailures {
    let zone = |node: &NodeId| locality_of(*node).map(|locality| locality.zone.as_str());
    let region = |node: &NodeId| locality_of(*node).map(|locality| locality.region.as_str());
    UncoveredFailures {
        machines: nodes.len() < tolerance.machines + needed,
        zones: tolerance.zones > 0 && remaining_after(nodes, tolerance.zones, zone) < needed,
        regions: tolerance.regions > 0 && remaining_after(nodes, tolerance.regions, region) < needed,
    }
}

/// Returns how many nodes remain after the loss of the `lost` domains with the most nodes. A node whose domain is
/// unknown counts as lost, since it may be in any of them.
fn remaining_after<'a>(nodes: &[NodeId], lost: usize, domain: impl Fn(&NodeId) -> Option<&'a str>) -> usize {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for name in nodes.iter().filter_map(domain).filter(|name| !name.is_empty()) {
        *counts.entry(name).or_default() += 1;
    }
    let mut counts: Vec<usize> = counts.into_values().collect();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    counts.iter().skip(lost).sum()
}
