//! Questions to a view: who belongs to it, and which answers are enough.

use quillpulley_protocol::{NodeId, Position, View};

/// The epoch of the view that stands for the first set of witnesses, before any primary.
pub(crate) const BOOTSTRAP_EPOCH: u64 = 0;

/// The view that stands for the first set of witnesses. It has no members.
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

/// The primary and the backups.
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

/// The sets of witnesses of which a majority each has to agree before another view follows this one.
pub(crate) fn witness_sets(view: &View) -> Vec<&[NodeId]> {
    if view.activated {
        vec![&view.witnesses]
    } else {
        vec![&view.witnesses, &view.previous_witnesses]
    }
}

/// All witnesses of whom an answer may count, each once.
pub(crate) fn electors(view: &View) -> Vec<NodeId> {
    let mut electors = view.witnesses.clone();
    if !view.activated {
        electors.extend(&view.previous_witnesses);
    }
    electors.sort_unstable();
    electors.dedup();
    electors
}

/// Whether a majority of each of the view's sets of witnesses agrees.
pub(crate) fn has_majorities(view: &View, agrees: impl Fn(&NodeId) -> bool) -> bool {
    witness_sets(view).iter().all(|set| has_majority(set, &agrees))
}

/// Whether a majority of the set agrees.
pub(crate) fn has_majority(set: &[NodeId], agrees: impl Fn(&NodeId) -> bool) -> bool {
    let count = set.iter().filter(|node| agrees(node)).count();
    count >= majority(set.len())
}

/// How many of a set are more than half of it.
pub(crate) fn majority(size: usize) -> usize {
    size / 2 + 1
}

/// Whether a view tells more than what is known: a newer epoch, or that the same view is activated.
pub(crate) fn is_newer(view: &View, known: Option<&View>) -> bool {
    match known {
        None => true,
        Some(known) => {
            view.epoch > known.epoch || view.epoch == known.epoch && view.activated && !known.activated
        }
    }
}

/// The position of an entry.
pub(crate) fn position(entry: &quillpulley_protocol::Entry) -> Position {
    Position { epoch: entry.epoch, index: entry.index }
}
