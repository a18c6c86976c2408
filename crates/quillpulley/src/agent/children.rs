//! The links from children.

use crate::peer::LinkId;
use quillpulley_protocol::{Hello, PeerKind};
use std::collections::BTreeMap;

/// The process at the other end of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Child {
    kind: PeerKind,
    name: String,
}

/// The result of adding a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Added {
    /// The child had no link.
    New,
    /// The link replaces this one, which must be closed.
    Replaced(LinkId),
    /// The child has a later link, and this one must be closed.
    Outdated,
}

/// The links from child agents and from the proxy.
#[derive(Default)]
pub struct Children {
    by_link: BTreeMap<LinkId, Child>,
}

impl Children {
    /// Adds a link. Links are numbered in the order of their connections. The `Hello` of an older link may arrive after
    /// that of a newer one; then the older one is outdated.
    pub fn add(&mut self, link: LinkId, hello: &Hello) -> Added {
        let child = Child { kind: hello.kind, name: hello.name.clone() };
        let previous = self.by_link.iter().find(|(_, known)| **known == child).map(|(link, _)| *link);
        match previous {
            Some(later) if later > link => return Added::Outdated,
            Some(previous) => self.remove(previous),
            None => {}
        }
        self.by_link.insert(link, child);
        previous.map_or(Added::New, Added::Replaced)
    }

    /// Removes a link.
    pub fn remove(&mut self, link: LinkId) {
        self.by_link.remove(&link);
    }

    /// Returns whether the link is one from a child.
    pub fn contains(&self, link: LinkId) -> bool {
        self.by_link.contains_key(&link)
    }

    /// Returns whether the link is one from the proxy.
    pub fn is_proxy(&self, link: LinkId) -> bool {
        self.by_link.get(&link).is_some_and(|child| child.kind == PeerKind::Proxy)
    }

    /// Returns whether there is a proxy.
    pub fn has_proxy(&self) -> bool {
        self.by_link.values().any(|child| child.kind == PeerKind::Proxy)
    }

    /// Returns the links from other agents.
    pub fn agents(&self) -> Vec<LinkId> {
        let agents = self.by_link.iter().filter(|(_, child)| child.kind == PeerKind::Agent);
        agents.map(|(link, _)| *link).collect()
    }
}
