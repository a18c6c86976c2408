//! Observations of the nodes, and the invariants of the model.

use quillpulley_protocol::{Body, NodeId, Position};
use quillpulley_replication::Role;
use std::collections::BTreeSet;

use super::cluster::{Cluster, Node, TOLERATED_MACHINES};
use crate::harness::disk::DiskImage;
use crate::harness::durability::{
    has_enough_witnesses, includes, possibly_newest_views, violation, Survivor,
};

impl Cluster {
    /// Returns the nodes that are primaries and hold the lease.
    pub fn leaders(&self) -> Vec<usize> {
        let leads = |node: &usize| {
            matches!(self.nodes[*node].replica.role(self.time()), Role::Primary { holds_lease: true, .. })
        };
        self.present().into_iter().filter(leads).collect()
    }

    /// Returns the number of redirects that a client follows from a node until it reaches one that names no
    /// primary, or itself. Returns `None` if the redirects form a loop.
    pub fn redirects_from(&self, node: usize) -> Option<usize> {
        let mut path = vec![node];
        loop {
            let last = path[path.len() - 1];
            let hint = self.nodes[last].replica.primary_hint(self.time());
            let next =
                hint.and_then(|hint| self.present().into_iter().find(|node| self.nodes[*node].id == hint));
            match next.filter(|next| *next != last) {
                None => return Some(path.len() - 1),
                Some(next) if path.contains(&next) => return None,
                Some(next) => path.push(next),
            }
        }
    }

    /// Records that a node has reported a proposal as committed. Checks that the command is in the state of
    /// that node, and that its outcome, accepted or rejected, is the same as before.
    pub(super) fn acknowledge(&mut self, node: usize, proposal: u64) {
        let command = self.proposals[proposal as usize - 1];
        let state = self.nodes[node].replica.state();
        if state.find(command).is_none() {
            self.violated_invariant = Some(format!("command {command} is acknowledged but not applied"));
            return;
        }
        let known =
            self.acknowledged.iter().find(|(_, other)| *other == command).map(|(position, _)| *position);
        let Some(accepted) = state.find_accepted(command).copied() else {
            self.rejected.insert(command);
            if known.is_some() {
                self.violated_invariant =
                    Some(format!("command {command} was accepted, and is rejected when it is sent again"));
            }
            return;
        };
        if self.rejected.contains(&command) || known.is_some_and(|position| position != accepted.position) {
            self.violated_invariant =
                Some(format!("command {command} takes effect twice, or after it was rejected"));
        }
        let base = accepted.accepted_on.unwrap_or_default();
        if *self.accepted_on.entry(base).or_insert(command) != command {
            self.violated_invariant = Some(format!("two commands on base {base} are acknowledged"));
        }
        if known.is_none() {
            self.acknowledged.push((accepted.position, command));
            self.acknowledged.sort_unstable_by_key(|(position, _)| position.index);
        }
    }

    /// Returns a description of the first violated invariant: one that a step violated, the durability
    /// invariant, or that reads return all acknowledged commands.
    pub fn violation(&self) -> Option<String> {
        let present = self.present();
        let survivors: Vec<Survivor> = present
            .iter()
            .map(|node| Survivor { id: self.nodes[*node].id, disk: &self.nodes[*node].disk })
            .collect();
        let positions: Vec<Position> = self.acknowledged.iter().map(|(position, _)| *position).collect();
        let on_disk = || violation(&survivors, &positions, TOLERATED_MACHINES);
        self.violated_invariant.clone().or_else(on_disk).or_else(|| self.stale_read())
    }

    fn stale_read(&self) -> Option<String> {
        let may_answer = |node: &&Node| !node.is_removed && node.replica.can_answer(self.time());
        self.nodes.iter().filter(may_answer).find_map(|node| {
            let state = node.replica.state();
            let lacks = |(_, command): &&(Position, u64)| !state.has_accepted(*command);
            let (_, command) = self.acknowledged.iter().find(lacks)?;
            Some(format!("{} may answer a read without the acknowledged command {command}", node.id))
        })
    }

    /// Returns whether the loss of another disk would be a tolerated loss. A lost node counts while a view
    /// that may be the newest names it.
    pub fn tolerates_loss(&self) -> bool {
        let disks: Vec<&DiskImage> = self.present().iter().map(|node| &self.nodes[*node].disk).collect();
        let newest = possibly_newest_views(&disks, self.lost.len());
        let is_included = |node: &&NodeId| newest.iter().any(|view| includes(view, **node));
        let lost = self.lost.iter().filter(is_included).count() + 1;
        lost <= TOLERATED_MACHINES && newest.iter().all(|view| has_enough_witnesses(view, TOLERATED_MACHINES))
    }

    /// Returns how many of the nodes are members of the leader's view; 0 without a leader.
    pub fn members(&self) -> usize {
        let Some(leader) = self.leaders().first().copied() else { return 0 };
        let Some(view) = self.nodes[leader].replica.view() else { return 0 };
        let is_member = |node: &&Node| view.primary == node.id || view.backups.contains(&node.id);
        self.nodes.iter().filter(is_member).count()
    }

    /// Returns whether exactly the present nodes are the members and the witnesses of the leader's view, and
    /// no messages other than heartbeats are in flight.
    pub fn is_complete(&self) -> bool {
        let Some(leader) = self.leaders().first().copied() else { return false };
        let Some(view) = self.nodes[leader].replica.view() else { return false };
        let present: BTreeSet<NodeId> = self.present().iter().map(|node| self.nodes[*node].id).collect();
        let members: BTreeSet<NodeId> = view.backups.iter().copied().chain([view.primary]).collect();
        let witnesses: BTreeSet<NodeId> = view.witnesses.iter().copied().collect();
        members == present && witnesses == present && view.activated && !self.is_changing()
    }

    /// Returns whether messages other than heartbeats are in flight.
    pub fn is_changing(&self) -> bool {
        let is_heartbeat = |body: &Body| matches!(body, Body::LeaseRequest(_) | Body::LeaseGrant(_));
        self.links.values().flatten().any(|(_, body)| !is_heartbeat(body))
    }
}
