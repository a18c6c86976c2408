//! What the primary does while it holds the lease: it is the root of the relay tree and publishes.

use super::host::Host;
use super::platform::Reading;
use super::publisher::{core_changes, state_changes, Publisher};
use quillpulley_feed::{Change, Event};
use quillpulley_replication::Role;
use std::time::Duration;

/// How often a stamp is published at least.
const STAMP_INTERVAL: Duration = Duration::from_millis(200);

/// The leadership of the primary.
pub(super) struct Leadership {
    pub publisher: Publisher,
    epoch: u64,
    stamped_at: Duration,
}

impl Host {
    /// Takes or gives up the leadership as the replica and its lease say.
    pub(super) fn update_leadership(&mut self, now: Duration) {
        let epoch = match self.replica.role(now) {
            Role::Primary { epoch, lease: true } => Some(epoch),
            _ => None,
        };
        match (&self.leadership, epoch) {
            (None, Some(epoch)) => self.assume_leadership(now, epoch),
            (Some(_), None) => self.step_down(now),
            (Some(leadership), Some(epoch)) if leadership.epoch != epoch => {
                self.assume_leadership(now, epoch)
            }
            _ => {}
        }
    }

    /// The first stamp of an epoch is published together with all that the root before has left out.
    fn assume_leadership(&mut self, now: Duration, epoch: u64) {
        log::info!("is the primary of epoch {epoch}");
        let publisher = match self.leadership.take() {
            Some(leadership) => leadership.publisher,
            None => Publisher::take_over(now, self.feed.store()),
        };
        self.leadership = Some(Leadership { publisher, epoch, stamped_at: now });
        self.reader.reset(now);
        self.relay.become_root();
        self.feed_event(Event::BecomeRoot { epoch });
        self.dirty.state = true;
        self.dirty.cores = true;
        self.dirty.reports = true;
        let changes = self.collect_changes(now);
        self.feed_event(Event::Publish(changes));
    }

    fn step_down(&mut self, now: Duration) {
        log::info!("is no longer the primary");
        self.leadership = None;
        self.feed_event(Event::LeaveRoot);
        for node in self.relay.leave_root() {
            self.feed_event(Event::ChildDown(super::host::Child::Core(node)));
        }
        let elsewhere = self.elsewhere(now);
        self.orders.abandon(elsewhere.decided());
        self.send_answers(elsewhere.valid_until());
    }

    /// Publishes what has changed, if this process leads.
    pub(super) fn publish_changes(&mut self, now: Duration) {
        if self.leadership.is_some() {
            let changes = self.collect_changes(now);
            self.publish(now, changes);
            self.adopt_children();
        }
    }

    fn collect_changes(&mut self, now: Duration) -> Vec<Change> {
        let cores = std::mem::take(&mut self.dirty.cores).then(|| self.known_cores());
        let store = self.feed.store();
        let mut changes = Vec::new();
        if std::mem::take(&mut self.dirty.state) {
            changes.extend(state_changes(store, self.replica.state()));
        }
        if let Some(cores) = cores {
            changes.extend(core_changes(store, cores));
        }
        if let Some(leadership) = self.leadership.as_mut().filter(|_| std::mem::take(&mut self.dirty.reports))
        {
            changes.extend(leadership.publisher.report(now, self.feed.subtree()));
        }
        changes
    }

    /// Publishes a complete reading of the platform's list.
    pub(super) fn publish_list(&mut self, now: Duration, reading: Reading) {
        let Some(leadership) = &mut self.leadership else { return };
        let changes = leadership.publisher.read_list(now, reading);
        self.publish(now, changes);
    }

    /// Publishes what time alone has changed, or else at least a stamp.
    pub(super) fn tick_leadership(&mut self, now: Duration) {
        let Some(leadership) = &mut self.leadership else { return };
        let changes = leadership.publisher.tick(now);
        self.publish(now, changes);
        let is_due = |leadership: &&mut Leadership| now >= leadership.stamped_at + STAMP_INTERVAL;
        if let Some(leadership) = self.leadership.as_mut().filter(is_due) {
            leadership.stamped_at = now;
            self.feed_event(Event::Stamp);
        }
    }

    fn publish(&mut self, now: Duration, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.stamped_at = now;
            self.feed_event(Event::Publish(changes));
        }
    }
}
