//! Functions on a [`View`]: its members, its witnesses, and what is a quorum of the witnesses.

use std::fmt;

use quillpulley_protocol::{NodeId, View};

/// The epoch of the bootstrap view, which holds the first set of witnesses and has no primary yet.
pub(crate) const BOOTSTRAP_EPOCH: u64 = 0;

/// Creates the bootstrap view, which holds the first set of witnesses and has no members.
pub(crate) fn bootstrap_view(witnesses: Vec<NodeId>) -> View {
    View {
        epoch: BOOTSTRAP_EPOCH,
        primary: NodeId::default(),
        backups: Vec::new(),
        previous_witnesses: witnesses.clone(),
        witnesses,
        activated: true,
    }
}

/// Formats nodes for a log line, each with its incarnation: `[10.0.0.1#0, 10.0.0.2#5f]`.
pub(crate) struct NodeList<'a>(pub(crate) &'a [NodeId]);

impl fmt::Display for NodeList<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let nodes: Vec<String> = self.0.iter().map(NodeId::to_string).collect();
        write!(formatter, "[{}]", nodes.join(", "))
    }
}

/// Returns the primary and the backups; the bootstrap view has none.
pub(crate) fn members(view: &View) -> Vec<NodeId> {
    if view.epoch == BOOTSTRAP_EPOCH {
        return Vec::new();
    }
    let mut members = vec![view.primary];
    members.extend(&view.backups);
    members
}

pub(crate) fn is_member(view: &View, node: NodeId) -> bool {
    view.epoch != BOOTSTRAP_EPOCH && (view.primary == node || view.backups.contains(&node))
}

pub(crate) fn is_witness(view: &View, node: NodeId) -> bool {
    witness_sets(view).iter().any(|set| set.contains(&node))
}

/// Returns the sets of witnesses: a majority of each has to agree before another view can replace this one.
pub(crate) fn witness_sets(view: &View) -> Vec<&[NodeId]> {
    if view.activated {
        vec![&view.witnesses]
    } else {
        vec![&view.witnesses, &view.previous_witnesses]
    }
}

/// Returns the witnesses of all sets that decide on the next view, without duplicates.
pub(crate) fn voters(view: &View) -> Vec<NodeId> {
    let mut voters = view.witnesses.clone();
    if !view.activated {
        voters.extend(&view.previous_witnesses);
    }
    voters.sort_unstable();
    voters.dedup();
    voters
}

/// Returns whether a majority of each of the view's sets of witnesses has granted a request.
pub(crate) fn has_quorum(view: &View, has_granted: impl Fn(&NodeId) -> bool) -> bool {
    witness_sets(view).iter().all(|set| has_majority(set, &has_granted))
}

fn has_majority(set: &[NodeId], has_granted: impl Fn(&NodeId) -> bool) -> bool {
    let count = set.iter().filter(|node| has_granted(node)).count();
    count >= majority(set.len())
}

/// Returns the number of nodes that form a majority of a set of `size` nodes.
pub(crate) fn majority(size: usize) -> usize {
    size / 2 + 1
}

/// Returns whether a view supersedes the known one: it has a higher epoch, or it is the same view, activated meanwhile.
pub(crate) fn is_newer(view: &View, known: Option<&View>) -> bool {
    match known {
        None => true,
        Some(known) => {
            view.epoch > known.epoch || view.epoch == known.epoch && view.activated && !known.activated
        }
    }
}
