//! The links that this agent has opened: to its parent, and to candidates for the parent.

use crate::peer::LinkId;
use quillpulley_state_sync::parent_selection::ParentCandidate;
use std::collections::BTreeMap;

/// The links to candidates, at most one of which is the parent.
#[derive(Default)]
pub struct ParentLinks {
    links: BTreeMap<ParentCandidate, LinkId>,
    parent: Option<LinkId>,
}

impl ParentLinks {
    /// Adds a link to a candidate, which may still be connecting.
    pub fn add(&mut self, candidate: ParentCandidate, link: LinkId) {
        self.links.insert(candidate, link);
    }

    /// Returns the candidate at the other end of a link, or `None` if the link is not one to a candidate.
    pub fn candidate(&self, link: LinkId) -> Option<ParentCandidate> {
        self.links.iter().find(|(_, known)| **known == link).map(|(candidate, _)| *candidate)
    }

    /// Makes a candidate the parent. Its link must have been added.
    pub fn set_parent(&mut self, candidate: ParentCandidate) {
        self.parent = self.links.get(&candidate).copied();
    }

    /// Removes and returns the link to a candidate. If the candidate was the parent, there is no parent afterwards.
    pub fn remove(&mut self, candidate: ParentCandidate) -> Option<LinkId> {
        let link = self.links.remove(&candidate)?;
        if self.parent == Some(link) {
            self.parent = None;
        }
        Some(link)
    }

    /// Returns the link to the parent, if there is one.
    pub fn parent(&self) -> Option<LinkId> {
        self.parent
    }
}
