//! The place in the relay tree: what the node and the search for a parent want done.

use super::Host;
use crate::agent::neighbourhood::Neighbourhood;
use crate::agent::search;
use crate::peer::LinkId;
use log::{debug, info};
use quillpulley_membership as membership;
use quillpulley_state_sync as feed;
use quillpulley_state_sync::parent_selection::ParentCandidate;
use std::net::SocketAddr;

impl Host {
    pub(super) fn tell_node(&mut self, event: feed::Event<LinkId>) {
        let before = self.node.revision();
        let mut actions = Vec::new();
        self.node.handle(self.now(), event, &mut actions);
        actions.into_iter().for_each(|action| self.do_for_node(action));
        if self.node.revision() != before {
            self.tell_search(search::Event::RevisionMoved);
            self.log_parent();
        }
    }

    fn do_for_node(&mut self, action: feed::Action<LinkId>) {
        match action {
            feed::Action::SendParent(body) => {
                self.parents.parent().into_iter().for_each(|link| self.peers.send(link, &body));
            }
            feed::Action::SendChild(child, body) => self.peers.send(child, &body),
            feed::Action::SendChildren(children, body) => self.peers.send_all(&children, &body),
            feed::Action::DropChild(child) => {
                self.forget_child(child);
                self.peers.close(child);
            }
            feed::Action::Changed(changed) => {
                self.neighbours_changed |= Neighbourhood::is_touched_by(&changed);
            }
            feed::Action::TotalsChanged | feed::Action::EndpointsChanged => {}
        }
    }

    pub(super) fn tell_search(&mut self, event: search::Event) {
        let mut actions = Vec::new();
        self.search.handle(self.now(), event, &mut actions);
        actions.into_iter().for_each(|action| self.do_for_search(action));
    }

    fn do_for_search(&mut self, action: search::Action) {
        match action {
            search::Action::Connect(candidate) => {
                let link = self.peers.connect(self.address(candidate));
                self.parents.add(candidate, link);
            }
            search::Action::Use(candidate) => {
                debug!("parent: {}", self.address(candidate));
                self.parents.use_link(candidate);
                self.tell_node(feed::Event::ParentUp);
            }
            search::Action::Close(candidate) => {
                let link = self.parents.remove(candidate);
                link.into_iter().for_each(|link| self.peers.close(link));
            }
        }
    }

    fn address(&self, candidate: ParentCandidate) -> SocketAddr {
        match candidate {
            ParentCandidate::ControlNode(ip) => SocketAddr::from((ip, self.settings.control_port())),
            ParentCandidate::Agent(ip) => SocketAddr::from((ip, self.settings.agent_port())),
        }
    }

    fn log_parent(&mut self) {
        let parent = self.search.parent();
        if let Some(candidate) = parent.filter(|_| parent != self.logged_parent) {
            info!(
                "takes published state from {} at {}",
                self.address(candidate),
                shown(self.node.revision())
            );
            self.logged_parent = parent;
        }
    }

    /// Brings candidates and targets up to date where fronts, core processes or failures have changed.
    pub(super) fn review_neighbourhood(&mut self) {
        let failed = self.search.failed(self.now());
        if !self.neighbours_changed && failed == self.failed {
            return;
        }
        if std::mem::take(&mut self.neighbours_changed) {
            self.neighbourhood.read(self.node.store());
            let peers = self.neighbourhood.peers(self.settings.agent_port());
            self.tell_monitor(membership::Event::Peers(peers));
        }
        let candidates = self.neighbourhood.candidates(&self.settings, &failed);
        self.failed = failed;
        self.tell_search(search::Event::Candidates(candidates));
    }
}

fn shown(revision: quillpulley_protocol::Revision) -> String {
    format!("{}:{}", revision.epoch, revision.tick)
}
