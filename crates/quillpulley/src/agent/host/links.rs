//! Handles the events of links: identifies the process at the other end, and passes its messages to the state machine
//! that they are for.

use super::Host;
use crate::agent::children::AddResult;
use crate::agent::parent_search;
use crate::peer::{LinkId, PeerEvent};
use log::{debug, info};
use quillpulley_protocol::{Body, Hello, PeerKind};
use quillpulley_state_sync as state_sync;
use std::net::SocketAddr;

impl Host {
    /// Handles an event, and then all further events that are already queued.
    pub(super) fn handle_peer_events(&mut self, first: PeerEvent) {
        self.handle_peer_event(first);
        while let Ok(event) = self.events.try_recv() {
            self.handle_peer_event(event);
        }
    }

    fn handle_peer_event(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Opened { link, hello, incoming: true, address } => {
                self.child_opened(link, &hello, address);
            }
            PeerEvent::Opened { link, .. } => self.parent_opened(link),
            PeerEvent::Frame { link, body } => self.handle_frame(link, body),
            PeerEvent::Closed { link } | PeerEvent::ConnectFailed { link } => self.link_closed(link),
        }
    }

    fn child_opened(&mut self, link: LinkId, hello: &Hello, address: SocketAddr) {
        if self.drain.rejects_children() || hello.kind == PeerKind::Control {
            self.peers.close(link);
            return;
        }
        match self.children.add(link, hello) {
            AddResult::New => {}
            AddResult::Replaced(previous) => {
                self.peers.close(previous);
                self.handle_sync(state_sync::Event::ChildDown(previous));
            }
            AddResult::Outdated => return self.peers.close(link),
        }
        match hello.kind {
            PeerKind::Proxy => info!(name = hello.name, address:% = address; "proxy connected"),
            _ => debug!(name = hello.name, address:% = address; "child agent connected"),
        }
        self.handle_sync(state_sync::Event::ChildUp(link));
    }

    fn parent_opened(&mut self, link: LinkId) {
        match self.parents.candidate(link) {
            Some(candidate) => self.handle_parent_search(parent_search::Event::Opened(candidate)),
            None => self.peers.close(link),
        }
    }

    fn handle_frame(&mut self, link: LinkId, mut body: Body) {
        if self.parents.parent() == Some(link) {
            self.handle_sync(state_sync::Event::ParentFrame(body));
        } else if self.children.contains(link) {
            if self.must_reject(link, &body) {
                debug!(link:% = link; "child agent rejected, as it has seen a later epoch than this agent");
                return self.close_child(link);
            }
            if let Body::Report(report) = &mut body {
                if self.children.is_proxy(link) && self.local_state.take_endpoint(report) {
                    self.report_local();
                }
            }
            self.handle_sync(state_sync::Event::ChildFrame(link, body));
        }
    }

    /// Returns whether a child agent must look for another parent, because this agent knows less than the child and waits
    /// itself. The proxy of the machine has no other parent.
    fn must_reject(&self, child: LinkId, body: &Body) -> bool {
        let Body::Subscribe(subscribe) = body else { return false };
        self.node.is_outdated_for(self.now(), subscribe) && !self.children.is_proxy(child)
    }

    fn close_child(&mut self, link: LinkId) {
        self.remove_child(link);
        self.handle_sync(state_sync::Event::ChildDown(link));
        self.peers.close(link);
    }

    fn link_closed(&mut self, link: LinkId) {
        if self.children.contains(link) {
            self.remove_child(link);
            self.handle_sync(state_sync::Event::ChildDown(link));
        } else if let Some(candidate) = self.parents.candidate(link) {
            if self.parents.parent() == Some(link) {
                self.handle_sync(state_sync::Event::ParentDown);
            }
            self.parents.remove(candidate);
            self.handle_parent_search(parent_search::Event::Lost(candidate));
        }
    }

    pub(super) fn remove_child(&mut self, link: LinkId) {
        if self.children.is_proxy(link) {
            info!("proxy disconnected");
            if self.local_state.remove_endpoint() {
                self.report_local();
            }
        }
        self.children.remove(link);
    }

    pub(super) fn report_local(&mut self) {
        self.handle_sync(state_sync::Event::LocalReport(self.local_state.report()));
    }
}
