//! The links from children.

use crate::peer::LinkId;
use quillpulley_protocol::{Hello, PeerKind};
use std::collections::BTreeMap;

/// Who is at the other end.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Child {
    kind: PeerKind,
    name: String,
}

/// What has become of a link that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Added {
    /// It is the only one of its child.
    New,
    /// It has taken the place of this one, which is over.
    InPlaceOf(LinkId),
    /// The child has a later one.
    Outdated,
}

/// The links from other agents and from the proxy.
#[derive(Default)]
pub struct Children {
    by_link: BTreeMap<LinkId, Child>,
}

impl Children {
    /// Adds a link. Links are numbered as their connections came, and the introduction on an older one may come
    /// last: then that one is over.
    pub fn add(&mut self, link: LinkId, hello: &Hello) -> Added {
        let child = Child { kind: hello.kind, name: hello.name.clone() };
        let former = self.by_link.iter().find(|(_, known)| **known == child).map(|(link, _)| *link);
        match former {
            Some(later) if later > link => return Added::Outdated,
            Some(former) => self.remove(former),
            None => {}
        }
        self.by_link.insert(link, child);
        former.map_or(Added::New, Added::InPlaceOf)
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
