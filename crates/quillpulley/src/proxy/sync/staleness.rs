//! Logs the age of the published state while it is stale, and a published configuration that is not active.

use super::sync_client::SyncClient;
use crate::lag::{LagMonitor, LagReport};
use std::time::Duration;

/// Follows the age of the published state and the configuration that is not active.
#[derive(Default)]
pub struct Staleness {
    state: LagMonitor,
    configuration: LagMonitor,
}

impl SyncClient {
    pub(super) fn report_staleness(&mut self) {
        let now = self.state.now();
        self.report_stale_state(now);
        self.report_pending_configuration(now);
    }

    fn report_stale_state(&mut self, now: Duration) {
        let advanced_at = self.node.last_advanced().unwrap_or_default();
        let Some(report) = self.staleness.state.update(now, Some(advanced_at)) else { return };
        let revision = self.node.revision();
        let (epoch, tick) = (revision.epoch, revision.tick);
        let subscription = self.node.subscription_progress(now);
        let active = self.state.config.version();
        match report {
            LagReport::Lagging(age) => log::warn!(
                age_ms = age.as_millis(), epoch, tick, link:? = self.link, subscription:% = subscription,
                active:? = active;
                "the published state is stale"
            ),
            LagReport::Recovered(lasted) => log::info!(
                lasted_ms = lasted.as_millis(), epoch, tick, subscription:% = subscription, active:? = active;
                "the published state is current again"
            ),
        }
    }

    fn report_pending_configuration(&mut self, now: Duration) {
        let since = self.state.pending_config.since();
        let Some(report) = self.staleness.configuration.update(now, since) else { return };
        let active = self.state.config.version();
        match (report, self.state.pending_config.get()) {
            (LagReport::Lagging(age), Some(pending)) => log::warn!(
                age_ms = age.as_millis(), published:? = pending.version, active:? = active,
                reason:% = pending.reason;
                "the published configuration is not active"
            ),
            (LagReport::Recovered(lasted), _) => log::info!(
                lasted_ms = lasted.as_millis(), active:? = active;
                "the published configuration is active again"
            ),
            (LagReport::Lagging(_), None) => {}
        }
    }
}
