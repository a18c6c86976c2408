//! Links: who is at the other end, and whom their messages are for.

use super::Host;
use crate::agent::children::Added;
use crate::agent::search;
use crate::peer::{LinkId, PeerEvent};
use log::{debug, info};
use quillpulley_protocol::{Body, Hello, PeerKind};
use quillpulley_state_sync as feed;
use std::net::SocketAddr;

impl Host {
    /// Takes an event and all that have come with it.
    pub(super) fn peer_events(&mut self, first: PeerEvent) {
        self.peer_event(first);
        while let Ok(event) = self.events.try_recv() {
            self.peer_event(event);
        }
    }

    fn peer_event(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Opened { link, hello, incoming: true, address } => {
                self.child_opened(link, &hello, address);
            }
            PeerEvent::Opened { link, .. } => self.parent_opened(link),
            PeerEvent::Frame { link, body } => self.frame(link, body),
            PeerEvent::Closed { link } | PeerEvent::ConnectFailed { link } => self.closed(link),
        }
    }

    fn child_opened(&mut self, link: LinkId, hello: &Hello, address: SocketAddr) {
        if self.ending.is_refusing() || hello.kind == PeerKind::Control {
            self.peers.close(link);
            return;
        }
        match self.children.add(link, hello) {
            Added::New => {}
            Added::InPlaceOf(former) => {
                self.peers.close(former);
                self.tell_node(feed::Event::ChildDown(former));
            }
            Added::Outdated => return self.peers.close(link),
        }
        match hello.kind {
            PeerKind::Proxy => info!("proxy {} connected from {address}", hello.name),
            _ => debug!("child {} connected from {address}", hello.name),
        }
        self.tell_node(feed::Event::ChildUp(link));
    }

    fn parent_opened(&mut self, link: LinkId) {
        match self.parents.candidate(link) {
            Some(candidate) => self.tell_search(search::Event::Opened(candidate)),
            None => self.peers.close(link),
        }
    }

    fn frame(&mut self, link: LinkId, mut body: Body) {
        if self.parents.parent() == Some(link) {
            self.tell_node(feed::Event::ParentFrame(body));
        } else if self.children.contains(link) {
            if let Body::Report(report) = &mut body {
                if self.children.is_proxy(link) && self.local.take_endpoint(report) {
                    self.report_local();
                }
            }
            self.tell_node(feed::Event::ChildFrame(link, body));
        }
    }

    fn closed(&mut self, link: LinkId) {
        if self.children.contains(link) {
            self.forget_child(link);
            self.tell_node(feed::Event::ChildDown(link));
        } else if let Some(candidate) = self.parents.candidate(link) {
            if self.parents.parent() == Some(link) {
                self.tell_node(feed::Event::ParentDown);
            }
            self.parents.remove(candidate);
            self.tell_search(search::Event::Lost(candidate));
        }
    }

    pub(super) fn forget_child(&mut self, link: LinkId) {
        if self.children.is_proxy(link) {
            info!("proxy disconnected");
            if self.local.forget_endpoint() {
                self.report_local();
            }
        }
        self.children.remove(link);
    }

    pub(super) fn report_local(&mut self) {
        self.tell_node(feed::Event::LocalReport(self.local.report()));
    }
}
