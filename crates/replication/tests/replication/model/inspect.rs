//! Observations of the nodes, and their invariants.

use quillpulley_protocol::{Body, NodeId, Position};
use quillpulley_replication::Role;
use std::collections::BTreeSet;

use super::cluster::{Cluster, Node, TOLERATED};
use crate::harness::disk::DiskImage;
use crate::harness::durability::{has_enough_witnesses, includes, newest_views, violation, Survivor};

impl Cluster {
    pub fn leaders(&self) -> Vec<usize> {
        let leads = |node: &usize| {
            matches!(self.nodes[*node].replica.role(self.time()), Role::Primary { holds_lease: true, .. })
        };
        self.present().into_iter().filter(leads).collect()
    }

    /// How often a caller who begins at a node is sent on, until nobody is named or the named one names itself. None if
    /// it would be led back to where it was.
    pub fn redirects_from(&self, node: usize) -> Option<usize> {
        let mut passed = vec![node];
        loop {
            let last = passed[passed.len() - 1];
            let hint = self.nodes[last].replica.primary_hint(self.time());
            let next =
                hint.and_then(|hint| self.present().into_iter().find(|node| self.nodes[*node].id == hint));
            match next.filter(|next| *next != last) {
                None => return Some(passed.len() - 1),
                Some(next) if passed.contains(&next) => return None,
                Some(next) => passed.push(next),
            }
        }
    }

    /// A proposal is acknowledged: its command was accepted, now or before, or else is rejected.
    pub(super) fn acknowledge(&mut self, node: usize, proposal: u64) {
        let command = self.proposals[proposal as usize - 1];
        let state = self.nodes[node].replica.state();
        if state.find(command).is_none() {
            self.broken = Some(format!("command {command} is acknowledged and not applied"));
            return;
        }
        let known =
            self.acknowledged.iter().find(|(_, other)| *other == command).map(|(position, _)| *position);
        let Some(accepted) = state.find_accepted(command).copied() else {
            self.rejected.insert(command);
            if known.is_some() {
                self.broken =
                    Some(format!("command {command} was accepted, and is rejected when it comes again"));
            }
            return;
        };
        if self.rejected.contains(&command) || known.is_some_and(|position| position != accepted.position) {
            self.broken = Some(format!("command {command} takes effect twice, or after it was rejected"));
        }
        let base = accepted.accepted_on.unwrap_or_default();
        if *self.accepted_on.entry(base).or_insert(command) != command {
            self.broken = Some(format!("two commands on {base} are acknowledged"));
        }
        if known.is_none() {
            self.acknowledged.push((accepted.position, command));
            self.acknowledged.sort_unstable_by_key(|(position, _)| position.index);
        }
    }

    /// What may go on without something that was acknowledged, or states the active configuration without it.
    pub fn violation(&self) -> Option<String> {
        let present = self.present();
        let survivors: Vec<Survivor> = present
            .iter()
            .map(|node| Survivor { id: self.nodes[*node].id, disk: &self.nodes[*node].disk })
            .collect();
        let positions: Vec<Position> = self.acknowledged.iter().map(|(position, _)| *position).collect();
        let on_disk = || violation(&survivors, &positions, TOLERATED);
        self.broken.clone().or_else(on_disk).or_else(|| self.outdated_answer())
    }

    fn outdated_answer(&self) -> Option<String> {
        let may_answer = |node: &&Node| !node.is_removed && node.replica.can_answer(self.time());
        self.nodes.iter().filter(may_answer).find_map(|node| {
            let state = node.replica.state();
            let lacks = |(_, command): &&(Position, u64)| !state.has_accepted(*command);
            let (_, command) = self.acknowledged.iter().find(lacks)?;
            Some(format!("{} may answer without the acknowledged command {command}", node.id))
        })
    }

    /// Whether one more disk may be lost: the views that may be the newest have done without those that are.
    pub fn tolerates_loss(&self) -> bool {
        let disks: Vec<&DiskImage> = self.present().iter().map(|node| &self.nodes[*node].disk).collect();
        let newest = newest_views(&disks, self.lost.len());
        let is_included = |node: &&NodeId| newest.iter().any(|view| includes(view, **node));
        let lost = self.lost.iter().filter(is_included).count() + 1;
        lost <= TOLERATED && newest.iter().all(|view| has_enough_witnesses(view, TOLERATED))
    }

    /// How many nodes that exist are members of the leader's view.
    pub fn members(&self) -> usize {
        let Some(leader) = self.leaders().first().copied() else { return 0 };
        let Some(view) = self.nodes[leader].replica.view() else { return 0 };
        let is_member = |node: &&Node| view.primary == node.id || view.backups.contains(&node.id);
        self.nodes.iter().filter(is_member).count()
    }

    /// Whether all present nodes, and no others, are members and witnesses of the leader's view, and nothing but
    /// heartbeats is in flight.
    pub fn is_complete(&self) -> bool {
        let Some(leader) = self.leaders().first().copied() else { return false };
        let Some(view) = self.nodes[leader].replica.view() else { return false };
        let present: BTreeSet<NodeId> = self.present().iter().map(|node| self.nodes[*node].id).collect();
        let members: BTreeSet<NodeId> = view.backups.iter().copied().chain([view.primary]).collect();
        let witnesses: BTreeSet<NodeId> = view.witnesses.iter().copied().collect();
        members == present && witnesses == present && view.activated && !self.is_changing()
    }

    /// Returns whether more than heartbeats is in flight.
    pub fn is_changing(&self) -> bool {
        let is_heartbeat = |body: &Body| matches!(body, Body::LeaseRequest(_) | Body::LeaseGrant(_));
        self.links.values().flatten().any(|(_, body)| !is_heartbeat(body))
    }
}
