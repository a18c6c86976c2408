//! When commits of a view are acknowledged, given which failures the view survives.
//!
//! A view with no more members than machines may be lost acknowledges nothing. One whose members are enough, but in too
//! few zones or regions, waits a little for nodes that would improve that, and then acknowledges in a degraded state:
//! otherwise the loss of a region, which is tolerated, would stop all commits.

use log::{info, warn};
use quillpulley_protocol::NodeId;
use std::time::Duration;

use crate::fault_tolerance::UncoveredFailures;

/// How long a new primary waits for nodes that could become witnesses, before it acknowledges with fewer witnesses than
/// the tolerated failures need.
const WITNESS_TIMEOUT: Duration = Duration::from_secs(3);
/// How long acknowledgements wait for connected nodes in other failure domains to become members or witnesses.
const DOMAIN_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long after such a wait no other one begins.
const WAIT_INTERVAL: Duration = Duration::from_secs(10);

/// The tolerated failures that a view does not survive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DurabilityStatus {
    /// Failures after which no member remains.
    pub members: UncoveredFailures,
    /// Failures after which no majority of the witnesses remains.
    pub witnesses: UncoveredFailures,
}

impl DurabilityStatus {
    /// Returns whether every tolerated failure is survived.
    pub fn is_covered(self) -> bool {
        self.members.is_empty() && self.witnesses.is_empty()
    }

    /// Returns whether the loss of zones or of regions is not survived.
    pub(crate) fn has_uncovered_domains(self) -> bool {
        self.members.has_domains() || self.witnesses.has_domains()
    }
}

/// The inputs of the durability of a primary's view.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DurabilityInputs {
    pub status: DurabilityStatus,
    /// Whether there are enough witnesses for the loss of machines.
    pub has_enough_witnesses: bool,
    /// Whether a connected node could become a witness.
    pub could_add_witness: bool,
    pub elected_at: Duration,
}

/// What a primary remembers of the durability of its views.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DurabilityMonitor {
    /// When acknowledgements began to wait for nodes in other failure domains.
    waiting_since: Option<Duration>,
    /// The status that was logged last.
    logged: DurabilityStatus,
}

impl DurabilityMonitor {
    /// Returns whether what all members have stored survives the tolerated failures, or is as safe as it can be made at
    /// the moment. `could_survive_more` is whether connected nodes could cover more failures of zones or regions.
    pub fn can_acknowledge(
        &self,
        now: Duration,
        inputs: &DurabilityInputs,
        could_survive_more: impl Fn() -> bool,
    ) -> bool {
        let has_waited = now > inputs.elected_at + WITNESS_TIMEOUT;
        let are_witnesses_enough = inputs.has_enough_witnesses || has_waited || !inputs.could_add_witness;
        let waits_for_domains = self.is_within_wait(now) && could_survive_more();
        !inputs.status.members.machines && are_witnesses_enough && !waits_for_domains
    }

    fn is_within_wait(&self, now: Duration) -> bool {
        let since = self.waiting_since.unwrap_or(now);
        now <= since + DOMAIN_TIMEOUT
    }

    /// Begins and ends waits for nodes in other failure domains. Logs the status once commits are acknowledged in it.
    pub fn update(
        &mut self,
        now: Duration,
        me: NodeId,
        inputs: &DurabilityInputs,
        could_survive_more: impl Fn() -> bool,
    ) {
        let status = inputs.status;
        let is_over = |since: &Duration| now > *since + DOMAIN_TIMEOUT + WAIT_INTERVAL;
        self.waiting_since =
            self.waiting_since.filter(|since| status.has_uncovered_domains() && !is_over(since));
        if self.waiting_since.is_none() && could_survive_more() {
            self.waiting_since = Some(now);
        }
        let is_decided = status.is_covered()
            || self.can_acknowledge(now, inputs, could_survive_more)
            || status.members.machines;
        if status != self.logged && is_decided {
            log_status(me, status, self.logged);
            self.logged = status;
        }
    }
}

fn log_status(me: NodeId, status: DurabilityStatus, logged: DurabilityStatus) {
    if status.is_covered() {
        info!(node:% = me; "members and witnesses survive every tolerated failure again");
        return;
    }
    let DurabilityStatus { members, witnesses } = status;
    if members != logged.members && members.machines {
        warn!(
            node:% = me, uncovered:% = members;
            "nothing is acknowledged: a tolerated failure would leave no copy; start control machines elsewhere, or \
             repair the links to them"
        );
    } else if members != logged.members && !members.is_empty() {
        warn!(
            node:% = me, uncovered:% = members;
            "degraded: a tolerated failure would leave no copy; start control machines elsewhere, or repair the links \
             to them"
        );
    }
    if witnesses != logged.witnesses && !witnesses.is_empty() {
        warn!(
            node:% = me, uncovered:% = witnesses;
            "degraded: a tolerated failure would leave no majority of witnesses; start control machines elsewhere, or \
             repair the links to them"
        );
    }
}
