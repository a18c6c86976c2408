//! The links to the parent and to those that may become it.

use crate::peer::LinkId;
use quillpulley_state_sync::parent_selection::ParentCandidate;
use std::collections::BTreeMap;

/// Which link leads to which candidate.
#[derive(Default)]
pub struct ParentLinks {
    links: BTreeMap<ParentCandidate, LinkId>,
    in_use: Option<LinkId>,
}

impl ParentLinks {
    /// A link that was asked for.
    pub fn add(&mut self, candidate: ParentCandidate, link: LinkId) {
        self.links.insert(candidate, link);
    }

    /// Returns the candidate that a link leads to.
    pub fn candidate(&self, link: LinkId) -> Option<ParentCandidate> {
        self.links.iter().find(|(_, known)| **known == link).map(|(candidate, _)| *candidate)
    }

    /// Takes the link to this candidate as the one to the parent.
    pub fn use_link(&mut self, candidate: ParentCandidate) {
        self.in_use = self.links.get(&candidate).copied();
    }

    /// Forgets the link to a candidate, and returns it.
    pub fn remove(&mut self, candidate: ParentCandidate) -> Option<LinkId> {
        let link = self.links.remove(&candidate)?;
        if self.in_use == Some(link) {
            self.in_use = None;
        }
        Some(link)
    }

    /// Returns the link to the parent.
    pub fn parent(&self) -> Option<LinkId> {
        self.in_use
    }
}
