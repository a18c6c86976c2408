//! The links to the parent, and to candidates for it.

use crate::peer::LinkId;
use quillpulley_state_sync::parent_selection::ParentCandidate;
use std::collections::BTreeMap;

/// The links to candidates, one of which is the parent.
#[derive(Default)]
pub struct ParentLinks {
    links: BTreeMap<ParentCandidate, LinkId>,
    parent: Option<LinkId>,
}

impl ParentLinks {
    /// Adds a link that is being established.
    pub fn add(&mut self, candidate: ParentCandidate, link: LinkId) {
        self.links.insert(candidate, link);
    }

    /// Returns the candidate that a link leads to.
    pub fn candidate(&self, link: LinkId) -> Option<ParentCandidate> {
        self.links.iter().find(|(_, known)| **known == link).map(|(candidate, _)| *candidate)
    }

    /// Makes a candidate the parent.
    pub fn set_parent(&mut self, candidate: ParentCandidate) {
        self.parent = self.links.get(&candidate).copied();
    }

    /// Removes the link to a candidate, and returns it.
    pub fn remove(&mut self, candidate: ParentCandidate) -> Option<LinkId> {
        let link = self.links.remove(&candidate)?;
        if self.parent == Some(link) {
            self.parent = None;
        }
        Some(link)
    }

    /// Returns the link to the parent.
    pub fn parent(&self) -> Option<LinkId> {
        self.parent
    }
}
