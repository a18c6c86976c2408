//! What must hold of the disks at every moment: whichever majority of witnesses decides next, all that was
//! acknowledged is with every member of the view from which it would go on, and these are more than the losses to
//! tolerate. So a copy is left, also if as many disks as that are lost at once.

use quillpulley_protocol::{NodeId, Position, View};
use std::collections::BTreeSet;

use super::disk::DiskImage;

/// A node that may come back with its disk.
#[derive(Clone, Copy)]
pub struct Survivor<'a> {
    pub id: NodeId,
    pub disk: &'a DiskImage,
}

impl Survivor<'_> {
    fn accepted(&self) -> Option<&View> {
        self.disk.record.as_ref()?.accepted.as_deref()
    }

    /// Whether its log holds the entry at that position.
    fn holds(&self, position: Position) -> bool {
        let is_entry = |entry: &quillpulley_protocol::Entry| {
            entry.index == position.index && entry.epoch == position.epoch
        };
        position.index <= self.covered() || self.disk.entries.iter().any(is_entry)
    }

    /// Up to where its snapshot goes.
    fn covered(&self) -> u64 {
        self.disk.snapshot.as_ref().map_or(0, |(last, _)| last.index)
    }
}

/// What some majority could go on without, if there is one.
pub fn violation(survivors: &[Survivor], acknowledged: &[Position], tolerated: usize) -> Option<String> {
    if acknowledged.is_empty() {
        return None;
    }
    (1..1_u32 << survivors.len()).find_map(|subset| {
        let chosen = (0..survivors.len()).filter(|index| subset & (1 << index) != 0);
        let quorum: Vec<Survivor> = chosen.map(|index| survivors[index]).collect();
        let view = deciding_view(&quorum)?;
        missing_from(&view, survivors, acknowledged).or_else(|| too_few(&view, tolerated))
    })
}

/// The view from which the quorum would go on, if it is one.
fn deciding_view(quorum: &[Survivor]) -> Option<View> {
    let newest =
        quorum.iter().filter_map(Survivor::accepted).max_by_key(|view| (view.epoch, view.activated))?;
    let ids: BTreeSet<NodeId> = quorum.iter().map(|survivor| survivor.id).collect();
    let has_majority = |set: &[NodeId]| set.iter().filter(|id| ids.contains(id)).count() > set.len() / 2;
    let decides =
        has_majority(&newest.witnesses) && (newest.activated || has_majority(&newest.previous_witnesses));
    decides.then(|| newest.clone())
}

/// A view with members that could all be lost at once.
fn too_few(view: &View, tolerated: usize) -> Option<String> {
    let is_small = view.backups.len() < tolerated;
    is_small.then(|| format!("all that was acknowledged could be lost with {tolerated} members of {view:?}"))
}

fn missing_from(view: &View, survivors: &[Survivor], acknowledged: &[Position]) -> Option<String> {
    let is_member = |id: NodeId| view.primary == id || view.backups.contains(&id);
    let members: Vec<&Survivor> = survivors.iter().filter(|survivor| is_member(survivor.id)).collect();
    if members.is_empty() {
        return Some(format!("all members of a view that may be the newest are lost: {view:?}"));
    }
    members.into_iter().find_map(|member| {
        // The positions are sorted by their index, and what a snapshot covers is there.
        let covered = member.covered();
        let beyond = acknowledged.iter().rev().take_while(|position| position.index > covered);
        let missing = beyond.filter(|position| !member.holds(**position)).last()?;
        Some(format!("{} could be elected without {missing:?}, which would be lost", member.id))
    })
}

/// The views from which the nodes with these disks may go on, after this many nodes were lost.
pub fn newest_views<'a>(disks: &[&'a DiskImage], lost: usize) -> Vec<&'a View> {
    let records = disks.iter().filter_map(|disk| disk.record.as_ref());
    let views: Vec<&View> = records.filter_map(|record| record.accepted.as_deref()).collect();
    let knows =
        |other: &View, view: &View| other.epoch > view.epoch || other.epoch == view.epoch && other.activated;
    let holders = |view: &View| views.iter().filter(|other| knows(other, view)).count();
    let is_decided = |view: &&&View| view.activated && holders(view) > view.witnesses.len() / 2 + lost;
    let decided = views.iter().filter(is_decided).map(|view| view.epoch).max().unwrap_or(0);
    views.into_iter().filter(|view| view.epoch >= decided).collect()
}

/// Whether a view names a node as a member or a witness.
pub fn includes(view: &View, node: NodeId) -> bool {
    let sets = [&view.backups, &view.witnesses, &view.previous_witnesses];
    view.primary == node || sets.iter().any(|set| set.contains(&node))
}

/// Whether a view has enough witnesses for the losses to tolerate.
pub fn has_enough_witnesses(view: &View, tolerated: usize) -> bool {
    let fewest = if view.activated { &view.witnesses } else { &view.previous_witnesses };
    view.epoch > 0 && fewest.len() > 2 * tolerated
}
