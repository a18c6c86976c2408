//! Decides when commits of a view are acknowledged, given the failures that the view survives.
//!
//! A view acknowledges nothing unless it has more members than the number of machines that may be lost. If it has
//! enough members, but in too few zones or regions, it waits briefly for nodes that would improve this, and then
//! acknowledges in a degraded state: otherwise the loss of a region, which is tolerated, would stop all commits.

use log::{info, warn};
use quillpulley_protocol::NodeId;
use std::time::Duration;

use crate::fault_tolerance::UncoveredFailures;

/// The time after its election that a primary waits for nodes that could become witnesses, before it acknowledges with
/// fewer witnesses than the tolerated loss of machines requires.
const WITNESS_WAIT_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum time that acknowledgements wait for connected nodes in other failure domains to become members or
/// witnesses.
const DOMAIN_WAIT_TIMEOUT: Duration = Duration::from_millis(1500);
/// The minimum time between the end of a wait for other failure domains and the start of the next one.
const MIN_DOMAIN_WAIT_INTERVAL: Duration = Duration::from_secs(10);

/// The tolerated failures that a view does not survive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DurabilityStatus {
    /// The tolerated failures after which no member remains.
    pub members: UncoveredFailures,
    /// The tolerated failures after which no majority of the witnesses remains.
    pub witnesses: UncoveredFailures,
}

impl DurabilityStatus {
    /// Returns whether the view survives all tolerated failures.
    pub fn is_covered(self) -> bool {
        self.members.is_empty() && self.witnesses.is_empty()
    }

    /// Returns whether the view does not survive the tolerated loss of zones or regions.
    pub(crate) fn has_uncovered_domains(self) -> bool {
        self.members.includes_domains() || self.witnesses.includes_domains()
    }
}

/// The facts that determine whether the commits of a primary's view are acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DurabilityInputs {
    pub status: DurabilityStatus,
    /// Whether a majority of the witnesses survives the tolerated loss of machines.
    pub has_enough_witnesses: bool,
    /// Whether a connected node could become a witness.
    pub could_add_witness: bool,
    /// The time of the primary's election.
    pub elected_at: Duration,
}

/// Tracks the durability of the views of a primary.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DurabilityMonitor {
    /// The time at which the latest wait for nodes in other failure domains began; `None` if the next one may begin at
    /// once.
    waiting_since: Option<Duration>,
    /// The status that was logged last.
    logged: DurabilityStatus,
}

impl DurabilityMonitor {
    /// Returns whether entries that all members have stored may be acknowledged: the view has enough members, and no
    /// wait for witnesses or for nodes in other failure domains is in progress. `could_survive_more` returns whether
    /// the view would survive more failures of zones or regions with nodes that are connected.
    pub fn can_acknowledge(
        &self,
        now: Duration,
        inputs: &DurabilityInputs,
        could_survive_more: impl Fn() -> bool,
    ) -> bool {
        let is_timed_out = now > inputs.elected_at + WITNESS_WAIT_TIMEOUT;
        let accepts_witnesses = inputs.has_enough_witnesses || is_timed_out || !inputs.could_add_witness;
        let waits_for_domains = self.may_wait_for_domains(now) && could_survive_more();
        !inputs.status.members.machines && accepts_witnesses && !waits_for_domains
    }

    fn may_wait_for_domains(&self, now: Duration) -> bool {
        let since = self.waiting_since.unwrap_or(now);
        now <= since + DOMAIN_WAIT_TIMEOUT
    }

    /// Starts and ends waits for nodes in other failure domains. Logs a changed status once the view survives all
    /// tolerated failures, acknowledges commits, or has too few members to do so.
    pub fn update(
        &mut self,
        now: Duration,
        me: NodeId,
        inputs: &DurabilityInputs,
        could_survive_more: impl Fn() -> bool,
    ) {
        let status = inputs.status;
        let is_over = |since: &Duration| now > *since + DOMAIN_WAIT_TIMEOUT + MIN_DOMAIN_WAIT_INTERVAL;
        self.waiting_since =
            self.waiting_since.filter(|since| status.has_uncovered_domains() && !is_over(since));
        if self.waiting_since.is_none() && could_survive_more() {
            self.waiting_since = Some(now);
        }
        let should_log = status.is_covered()
            || self.can_acknowledge(now, inputs, could_survive_more)
            || status.members.machines;
        if status != self.logged && should_log {
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
