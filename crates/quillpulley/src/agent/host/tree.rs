//! Performs the actions of the two state machines that maintain the relay tree: the sync node and the parent search.

use super::Host;
use crate::agent::parent_search;
use crate::agent::peer_directory::PeerDirectory;
use crate::peer::LinkId;
use log::info;
use quillpulley_membership as membership;
use quillpulley_state_sync as state_sync;
use quillpulley_state_sync::parent_selection::ParentCandidate;
use std::net::SocketAddr;

impl Host {
    pub(super) fn handle_sync(&mut self, event: state_sync::Event<LinkId>) {
        let before = self.node.revision();
        let was_answered = self.node.is_subscription_answered();
        let mut actions = Vec::new();
        self.node.handle(self.now(), event, &mut actions);
        actions.into_iter().for_each(|action| self.perform_sync(action));
        if self.node.revision() != before {
            self.handle_parent_search(parent_search::Event::RevisionAdvanced);
            self.log_parent();
        } else if !was_answered && self.node.is_subscription_answered() {
            self.handle_parent_search(parent_search::Event::NothingNewer);
        }
    }

    fn perform_sync(&mut self, action: state_sync::Action<LinkId>) {
        match action {
            state_sync::Action::SendParent(body) => {
                self.parents.parent().into_iter().for_each(|link| self.peers.send(link, &body));
            }
            state_sync::Action::SendChild(child, body) => self.peers.send(child, &body),
            state_sync::Action::SendChildren(children, body) => self.peers.send_all(&children, &body),
            state_sync::Action::DropChild(child) => {
                self.remove_child(child);
                self.peers.close(child);
            }
            state_sync::Action::Changed(changed) => {
                self.directory_changed |= PeerDirectory::is_affected_by(&changed);
            }
            state_sync::Action::TotalsChanged | state_sync::Action::EndpointsChanged => {}
        }
    }

    pub(super) fn handle_parent_search(&mut self, event: parent_search::Event) {
        let mut actions = Vec::new();
        self.parent_search.handle(self.now(), event, &mut actions);
        actions.into_iter().for_each(|action| self.perform_parent_search(action));
    }

    fn perform_parent_search(&mut self, action: parent_search::Action) {
        match action {
            parent_search::Action::Connect(candidate) => {
                let link = self.peers.connect(self.address(candidate));
                self.parents.add(candidate, link);
            }
            parent_search::Action::Use(candidate) => {
                self.log_parent_change(candidate);
                self.parents.set_parent(candidate);
                self.handle_sync(state_sync::Event::ParentUp);
            }
            parent_search::Action::Close(candidate) => {
                let link = self.parents.remove(candidate);
                link.into_iter().for_each(|link| self.peers.close(link));
            }
        }
    }

    pub(super) fn address(&self, candidate: ParentCandidate) -> SocketAddr {
        match candidate {
            ParentCandidate::ControlNode(ip) => {
                SocketAddr::from((ip, self.settings.settings().control_port()))
            }
            ParentCandidate::Agent(ip) => SocketAddr::from((ip, self.settings.settings().agent_port())),
        }
    }

    fn log_parent(&mut self) {
        let parent = self.parent_search.parent();
        if let Some(candidate) = parent.filter(|_| parent != self.logged_parent) {
            let revision = self.node.revision();
            let reason = self.parent_search.change_reason();
            let subscription = self.node.subscription_progress(self.now());
            info!(
                parent:% = self.address(candidate), reason:% = reason, subscription:% = subscription,
                epoch = revision.epoch, tick = revision.tick;
                "subscribed to parent"
            );
            self.logged_parent = parent;
        }
    }

    /// Updates the candidates for the parent and the monitored peers, if the published processes, the seeds or the set
    /// of failed candidates have changed.
    pub(super) fn refresh_directory(&mut self) {
        let failed_candidates = self.parent_search.failed_candidates(self.now());
        if !self.directory_changed && failed_candidates == self.failed_candidates {
            return;
        }
        if std::mem::take(&mut self.directory_changed) {
            self.peer_directory.read(self.node.store());
            let peers = self.peer_directory.peers(self.settings.settings().agent_port());
            self.handle_membership(membership::Event::Peers(peers));
        }
        let candidates = self.peer_directory.candidates(self.settings.settings(), &failed_candidates);
        self.failed_candidates = failed_candidates;
        self.handle_parent_search(parent_search::Event::Candidates(candidates));
    }
}
