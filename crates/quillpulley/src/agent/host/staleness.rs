//! Logs the age of the published state while it is stale, and what tells the causes apart.

use super::Host;
use crate::lag::LagReport;
use log::{debug, info, warn};
use quillpulley_state_sync::parent_selection::ParentCandidate;
use std::time::Duration;

impl Host {
    pub(super) fn report_staleness(&mut self) {
        let now = self.now();
        let advanced_at = self.node.last_advanced().unwrap_or_default();
        match self.staleness.update(now, Some(advanced_at)) {
            Some(LagReport::Lagging(age)) => self.log_stale_state(now, age),
            Some(LagReport::Recovered(lasted)) => self.log_current_state(now, lasted),
            None => {}
        }
    }

    fn log_stale_state(&self, now: Duration, age: Duration) {
        let revision = self.node.revision();
        let parent = self.parent_search.parent().map(|candidate| self.address(candidate));
        let attached = self.parent_search.parent_since().map(|since| now.saturating_sub(since));
        warn!(
            age_ms = age.as_millis(), epoch = revision.epoch, tick = revision.tick,
            parent:? = parent, attached_for:? = attached, reason:% = self.parent_search.change_reason(),
            subscription:% = self.node.subscription_progress(now),
            waiting_children = self.node.waiting_children();
            "the published state is stale"
        );
    }

    fn log_current_state(&self, now: Duration, lasted: Duration) {
        let revision = self.node.revision();
        let parent = self.parent_search.parent().map(|candidate| self.address(candidate));
        info!(
            lasted_ms = lasted.as_millis(), epoch = revision.epoch, tick = revision.tick,
            parent:? = parent, reason:% = self.parent_search.change_reason(),
            subscription:% = self.node.subscription_progress(now);
            "the published state is current again"
        );
    }

    /// Logs that a candidate becomes the parent. While the state is current, the first update is logged instead.
    pub(super) fn log_parent_change(&self, candidate: ParentCandidate) {
        let address = self.address(candidate);
        let reason = self.parent_search.change_reason();
        match self.node.is_fresh(self.now()) {
            true => debug!(address:% = address, reason:% = reason; "parent selected"),
            false => info!(address:% = address, reason:% = reason; "parent selected"),
        }
    }
}
