//! Publishing by the primary, which is the root of the relay tree while it holds the lease.

use super::published_state::{control_node_changes, PublishedState};
use super::relay_node::RelayNode;
use crate::control::discovery::page::Reading;
use crate::control::replica_host::links::Links;
use quillpulley_control_state::ControlState;
use quillpulley_state_sync::{Change, Event};
use std::time::Duration;

/// Maximum time between two published revisions.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// A change of leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadershipChange {
    /// Neither the leadership nor its epoch has changed.
    Unchanged,
    /// This process has become the leader, or is the leader in a later epoch.
    Gained {
        /// The epoch.
        epoch: u64,
    },
    /// This process is no longer the leader.
    Lost,
}

/// Which state has changed since the last publication, apart from the reports of the relay tree.
#[derive(Debug, Default)]
struct PendingChanges {
    state: bool,
    control_nodes: bool,
}

/// An epoch in which this process is the leader.
struct Term {
    epoch: u64,
    published: PublishedState,
    published_at: Duration,
}

/// Publishes state while this process is the leader, that is, the primary with a valid lease.
pub struct LeaderPublisher {
    /// The maximum time by which the platform's list is out of date.
    max_list_lag: Duration,
    term: Option<Term>,
    pending: PendingChanges,
}

impl LeaderPublisher {
    /// Creates a publisher that is not the leader. The platform's list is out of date by `max_list_lag` at most.
    pub fn new(max_list_lag: Duration) -> Self {
        LeaderPublisher { max_list_lag, term: None, pending: PendingChanges::default() }
    }

    /// Sets the maximum time by which the platform's list is out of date, from the next term on.
    pub fn set_max_list_lag(&mut self, max_list_lag: Duration) {
        self.max_list_lag = max_list_lag;
    }

    /// Returns whether this process is the leader.
    pub fn is_leader(&self) -> bool {
        self.term.is_some()
    }

    /// Returns the number of published servers; 0 if this process is not the leader.
    pub fn server_count(&self) -> usize {
        self.term.as_ref().map_or(0, |term| term.published.server_count())
    }

    /// Records that the committed state has changed.
    pub fn state_changed(&mut self) {
        self.pending.state = true;
    }

    /// Records that the set of known control nodes has changed.
    pub fn control_nodes_changed(&mut self) {
        self.pending.control_nodes = true;
    }

    /// Updates the leadership: this process is the leader in `epoch`, or not the leader if that is `None`.
    pub fn update(
        &mut self,
        now: Duration,
        epoch: Option<u64>,
        state: &ControlState,
        relay: &mut RelayNode,
        links: &mut Links,
    ) -> LeadershipChange {
        if epoch == self.term.as_ref().map(|term| term.epoch) {
            return LeadershipChange::Unchanged;
        }
        let previous_term = self.term.take();
        match epoch {
            Some(epoch) => {
                log::info!(epoch; "started publishing as primary");
                self.begin_term(now, epoch, previous_term, relay);
                relay.become_root(epoch, links);
                let changes = self.collect_changes(now, state, relay, links);
                relay.handle(Event::Publish(changes), links);
                LeadershipChange::Gained { epoch }
            }
            None => {
                log::info!("stopped publishing as primary");
                relay.leave_root(links);
                LeadershipChange::Lost
            }
        }
    }

    /// Starts a term. Its first revision contains everything that the previous root has not published.
    fn begin_term(&mut self, now: Duration, epoch: u64, previous_term: Option<Term>, relay: &mut RelayNode) {
        let published = match previous_term {
            Some(previous_term) => previous_term.published,
            None => PublishedState::inherit(now, self.max_list_lag, relay.store()),
        };
        self.term = Some(Term { epoch, published, published_at: now });
        self.pending = PendingChanges { state: true, control_nodes: true };
        relay.mark_reports_changed();
    }

    /// Publishes the pending changes and admits children, if this process is the leader.
    pub fn publish_changes(
        &mut self,
        now: Duration,
        state: &ControlState,
        relay: &mut RelayNode,
        links: &mut Links,
    ) {
        if self.is_leader() {
            let changes = self.collect_changes(now, state, relay, links);
            self.publish(now, changes, relay, links);
            relay.admit_children(links);
        }
    }

    fn collect_changes(
        &mut self,
        now: Duration,
        state: &ControlState,
        relay: &mut RelayNode,
        links: &Links,
    ) -> Vec<Change> {
        let Some(term) = &mut self.term else { return Vec::new() };
        let mut changes = Vec::new();
        if std::mem::take(&mut self.pending.state) {
            changes.extend(term.published.update_state(now, relay.store(), state));
        }
        if std::mem::take(&mut self.pending.control_nodes) {
            changes.extend(control_node_changes(relay.store(), links.known_control_nodes()));
        }
        if relay.take_reports_changed() {
            changes.extend(term.published.update_endpoints(now, relay.subtree()));
        }
        changes
    }

    /// Publishes the changes of a complete reading of the platform's list, if this process is the leader.
    pub fn publish_list(
        &mut self,
        now: Duration,
        reading: Reading,
        relay: &mut RelayNode,
        links: &mut Links,
    ) {
        let Some(term) = &mut self.term else { return };
        let changes = term.published.update_servers(now, reading);
        self.publish(now, changes, relay, links);
    }

    /// Publishes changes that are due merely because time has passed, and a heartbeat if nothing has been
    /// published for `HEARTBEAT_INTERVAL`. Does nothing if this process is not the leader.
    pub fn tick(&mut self, now: Duration, relay: &mut RelayNode, links: &mut Links) {
        let Some(term) = &mut self.term else { return };
        let changes = term.published.tick(now);
        self.publish(now, changes, relay, links);
        let is_due = |term: &&mut Term| now >= term.published_at + HEARTBEAT_INTERVAL;
        if let Some(term) = self.term.as_mut().filter(is_due) {
            term.published_at = now;
            relay.handle(Event::Heartbeat, links);
        }
    }

    fn publish(&mut self, now: Duration, changes: Vec<Change>, relay: &mut RelayNode, links: &mut Links) {
        let Some(term) = self.term.as_mut().filter(|_| !changes.is_empty()) else { return };
        term.published_at = now;
        relay.handle(Event::Publish(changes), links);
    }
}
