//! The links that children have opened to this agent: child agents, and the proxy of the machine.

use crate::peer::LinkId;
use quillpulley_protocol::{Hello, PeerKind};
use std::collections::BTreeMap;

/// The process at the other end of a link, as its `Hello` describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Child {
    kind: PeerKind,
    name: String,
}

/// The result of [`Children::add`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddResult {
    /// The child had no other link.
    New,
    /// The new link replaces this older one, which the caller must close.
    Replaced(LinkId),
    /// The child already has a more recent link. The caller must close the link that it tried to add.
    Outdated,
}

/// The links from child agents and from the proxy.
#[derive(Default)]
pub struct Children {
    by_link: BTreeMap<LinkId, Child>,
}

impl Children {
    /// Adds a link. A child is identified by its kind and name, and keeps only its most recent connection. Link ids
    /// increase in the order in which connections are accepted, so that a `Hello` which arrives late on an older
    /// connection does not replace a more recent link.
    pub fn add(&mut self, link: LinkId, hello: &Hello) -> AddResult {
        let child = Child { kind: hello.kind, name: hello.name.clone() };
        let previous = self.by_link.iter().find(|(_, known)| **known == child).map(|(link, _)| *link);
        match previous {
            Some(later) if later > link => return AddResult::Outdated,
            Some(previous) => self.remove(previous),
            None => {}
        }
        self.by_link.insert(link, child);
        previous.map_or(AddResult::New, AddResult::Replaced)
    }

    /// Removes a link, if it is one from a child.
    pub fn remove(&mut self, link: LinkId) {
        self.by_link.remove(&link);
    }

    /// Returns whether the link is from a child.
    pub fn contains(&self, link: LinkId) -> bool {
        self.by_link.contains_key(&link)
    }

    /// Returns whether the link is from a proxy.
    pub fn is_proxy(&self, link: LinkId) -> bool {
        self.by_link.get(&link).is_some_and(|child| child.kind == PeerKind::Proxy)
    }

    /// Returns whether a proxy is connected.
    pub fn has_proxy(&self) -> bool {
        self.by_link.values().any(|child| child.kind == PeerKind::Proxy)
    }

    /// Returns the links from child agents.
    pub fn agents(&self) -> Vec<LinkId> {
        let agents = self.by_link.iter().filter(|(_, child)| child.kind == PeerKind::Agent);
        agents.map(|(link, _)| *link).collect()
    }
}
