//! What the primary does while it holds the lease: it is the root of the relay tree and publishes.

use super::links::Links;
use super::platform::Reading;
use super::publisher::{control_node_changes, state_changes, Publisher};
use super::tree::Tree;
use quillpulley_control_state::ControlState;
use quillpulley_state_sync::{Change, Event};
use std::time::Duration;

/// How often a stamp is published at least.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// What has become of the leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// It is as it was.
    Same,
    /// This process leads from now on, or in a later epoch.
    Assumed,
    /// This process leads no longer.
    SteppedDown,
}

/// What has changed since it was last published, apart from the reports of the tree.
#[derive(Debug, Default)]
struct Unpublished {
    state: bool,
    control_nodes: bool,
}

struct Term {
    publisher: Publisher,
    epoch: u64,
    published_at: Duration,
}

/// The leadership of a process, if it is the primary and holds the lease.
#[derive(Default)]
pub struct Leadership {
    term: Option<Term>,
    unpublished: Unpublished,
}

impl Leadership {
    /// Whether this process leads.
    pub fn leads(&self) -> bool {
        self.term.is_some()
    }

    /// How many servers are published, if this process leads.
    pub fn server_count(&self) -> usize {
        self.term.as_ref().map_or(0, |term| term.publisher.server_count())
    }

    /// The committed state has changed.
    pub fn state_changed(&mut self) {
        self.unpublished.state = true;
    }

    /// The known core processes have changed.
    pub fn control_nodes_changed(&mut self) {
        self.unpublished.control_nodes = true;
    }

    /// Takes or gives up the leadership: this process leads in `epoch`, or does not lead.
    pub fn update(
        &mut self,
        now: Duration,
        epoch: Option<u64>,
        state: &ControlState,
        tree: &mut Tree,
        links: &mut Links,
    ) -> Turn {
        if epoch == self.term.as_ref().map(|term| term.epoch) {
            return Turn::Same;
        }
        let before = self.term.take();
        match epoch {
            Some(epoch) => {
                log::info!("is the primary of epoch {epoch}");
                self.assume(now, epoch, before, tree);
                tree.become_root(epoch, links);
                let changes = self.collect(now, state, tree, links);
                tree.take(Event::Publish(changes), links);
                Turn::Assumed
            }
            None => {
                log::info!("is no longer the primary");
                tree.leave_root(links);
                Turn::SteppedDown
            }
        }
    }

    /// The first stamp of an epoch is published together with all that the root before has left out.
    fn assume(&mut self, now: Duration, epoch: u64, before: Option<Term>, tree: &mut Tree) {
        let publisher = match before {
            Some(before) => before.publisher,
            None => Publisher::take_over(now, tree.store()),
        };
        self.term = Some(Term { publisher, epoch, published_at: now });
        self.unpublished = Unpublished { state: true, control_nodes: true };
        tree.changes.reports = true;
    }

    /// Publishes what has changed and takes in children, if this process leads.
    pub fn publish_changes(
        &mut self,
        now: Duration,
        state: &ControlState,
        tree: &mut Tree,
        links: &mut Links,
    ) {
        if self.leads() {
            let changes = self.collect(now, state, tree, links);
            self.publish(now, changes, tree, links);
            tree.adopt_children(links);
        }
    }

    fn collect(
        &mut self,
        now: Duration,
        state: &ControlState,
        tree: &mut Tree,
        links: &Links,
    ) -> Vec<Change> {
        let Some(term) = &mut self.term else { return Vec::new() };
        let mut changes = Vec::new();
        if std::mem::take(&mut self.unpublished.state) {
            changes.extend(state_changes(tree.store(), state));
        }
        if std::mem::take(&mut self.unpublished.control_nodes) {
            changes.extend(control_node_changes(tree.store(), links.known_control_nodes()));
        }
        if std::mem::take(&mut tree.changes.reports) {
            changes.extend(term.publisher.report(now, tree.subtree()));
        }
        changes
    }

    /// Publishes a complete reading of the platform's list, if this process leads.
    pub fn publish_list(&mut self, now: Duration, reading: Reading, tree: &mut Tree, links: &mut Links) {
        let Some(term) = &mut self.term else { return };
        let changes = term.publisher.read_list(now, reading);
        self.publish(now, changes, tree, links);
    }

    /// Publishes what time alone has changed, or else at least a stamp, if this process leads.
    pub fn tick(&mut self, now: Duration, tree: &mut Tree, links: &mut Links) {
        let Some(term) = &mut self.term else { return };
        let changes = term.publisher.tick(now);
        self.publish(now, changes, tree, links);
        let is_due = |term: &&mut Term| now >= term.published_at + HEARTBEAT_INTERVAL;
        if let Some(term) = self.term.as_mut().filter(is_due) {
            term.published_at = now;
            tree.take(Event::Heartbeat, links);
        }
    }

    fn publish(&mut self, now: Duration, changes: Vec<Change>, tree: &mut Tree, links: &mut Links) {
        let Some(term) = self.term.as_mut().filter(|_| !changes.is_empty()) else { return };
        term.published_at = now;
        tree.take(Event::Publish(changes), links);
    }
}
