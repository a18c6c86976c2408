//! Checks the durability invariant on the contents of the disks: whichever majority of witnesses decides
//! next, every member of the view that it would continue from holds all acknowledged entries, and that view
//! has more members than the number of disk losses to tolerate. So a copy remains even if that many disks are
//! lost at once.

use quillpulley_protocol::{NodeId, Position, View};
use std::collections::BTreeSet;

use super::disk::DiskImage;

/// A node whose disk is not lost, so that it may return with what is stored on it.
#[derive(Clone, Copy)]
pub struct Survivor<'a> {
    pub id: NodeId,
    pub disk: &'a DiskImage,
}

impl Survivor<'_> {
    fn accepted(&self) -> Option<&View> {
        self.disk.record.as_ref()?.accepted.as_deref()
    }

    /// Returns whether the log or the snapshot of the node holds the entry at a position.
    fn holds(&self, position: Position) -> bool {
        let is_entry = |entry: &quillpulley_protocol::Entry| {
            entry.index == position.index && entry.epoch == position.epoch
        };
        position.index <= self.covered() || self.disk.entries.iter().any(is_entry)
    }

    /// Returns the index of the last entry that the snapshot of the node covers; 0 without a snapshot.
    fn covered(&self) -> u64 {
        self.disk.snapshot.as_ref().map_or(0, |(last, _)| last.index)
    }
}

/// Returns how some majority of witnesses could continue without an acknowledged entry, or from a view with
/// too few members; `None` if no majority could. `acknowledged` is sorted by index.
pub fn violation(
    survivors: &[Survivor],
    acknowledged: &[Position],
    tolerated_machines: usize,
) -> Option<String> {
    if acknowledged.is_empty() {
        return None;
    }
    (1..1_u32 << survivors.len()).find_map(|subset| {
        let chosen = (0..survivors.len()).filter(|index| subset & (1 << index) != 0);
        let quorum: Vec<Survivor> = chosen.map(|index| survivors[index]).collect();
        let view = deciding_view(&quorum)?;
        missing_entry(&view, survivors, acknowledged).or_else(|| too_few_members(&view, tolerated_machines))
    })
}

/// Returns the view that these nodes would continue from; `None` if they are no quorum.
fn deciding_view(quorum: &[Survivor]) -> Option<View> {
    let newest =
        quorum.iter().filter_map(Survivor::accepted).max_by_key(|view| (view.epoch, view.activated))?;
    let ids: BTreeSet<NodeId> = quorum.iter().map(|survivor| survivor.id).collect();
    let has_majority = |set: &[NodeId]| set.iter().filter(|id| ids.contains(id)).count() > set.len() / 2;
    let decides =
        has_majority(&newest.witnesses) && (newest.activated || has_majority(&newest.previous_witnesses));
    decides.then(|| newest.clone())
}

/// Returns a description of the violation if a view has so few members that all may be lost at once.
fn too_few_members(view: &View, tolerated_machines: usize) -> Option<String> {
    let is_small = view.backups.len() < tolerated_machines;
    is_small.then(|| {
        format!("all acknowledged entries could be lost with {tolerated_machines} members of {view:?}")
    })
}

/// Returns a description of the violation if no member of the view remains, or one lacks an acknowledged
/// entry.
fn missing_entry(view: &View, survivors: &[Survivor], acknowledged: &[Position]) -> Option<String> {
    let is_member = |id: NodeId| view.primary == id || view.backups.contains(&id);
    let members: Vec<&Survivor> = survivors.iter().filter(|survivor| is_member(survivor.id)).collect();
    if members.is_empty() {
        return Some(format!("all members of a view that may be the newest are lost: {view:?}"));
    }
    members.into_iter().find_map(|member| {
        // The positions are sorted by index, and a snapshot contains all entries that it covers.
        let covered = member.covered();
        let beyond = acknowledged.iter().rev().take_while(|position| position.index > covered);
        let missing = beyond.filter(|position| !member.holds(**position)).last()?;
        Some(format!("{} could be elected without {missing:?}, which would then be lost", member.id))
    })
}

/// Returns the accepted views on these disks, any of which may be the newest, after `lost` nodes were lost.
/// Views older than a decided one are left out. An activated view counts as decided if more disks hold it or
/// a newer view than half of its witnesses plus `lost`.
pub fn possibly_newest_views<'a>(disks: &[&'a DiskImage], lost: usize) -> Vec<&'a View> {
    let records = disks.iter().filter_map(|disk| disk.record.as_ref());
    let views: Vec<&View> = records.filter_map(|record| record.accepted.as_deref()).collect();
    let holds_it_or_newer =
        |other: &View, view: &View| other.epoch > view.epoch || other.epoch == view.epoch && other.activated;
    let holders = |view: &View| views.iter().filter(|other| holds_it_or_newer(other, view)).count();
    let is_decided = |view: &&&View| view.activated && holders(view) > view.witnesses.len() / 2 + lost;
    let decided = views.iter().filter(is_decided).map(|view| view.epoch).max().unwrap_or(0);
    views.into_iter().filter(|view| view.epoch >= decided).collect()
}

/// Returns whether a node is a member or a witness of a view.
pub fn includes(view: &View, node: NodeId) -> bool {
    let sets = [&view.backups, &view.witnesses, &view.previous_witnesses];
    view.primary == node || sets.iter().any(|set| set.contains(&node))
}

/// Returns whether a view keeps a majority of its witnesses after the tolerated losses. While the view is not
/// activated, its previous witnesses count. The bootstrap view, which has epoch 0, never has enough.
pub fn has_enough_witnesses(view: &View, tolerated_machines: usize) -> bool {
    let counted_witnesses = if view.activated { &view.witnesses } else { &view.previous_witnesses };
    view.epoch > 0 && counted_witnesses.len() > 2 * tolerated_machines
}
