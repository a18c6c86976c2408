//! Whether the members and witnesses of a view survive the tolerated losses, and when orders are acknowledged.
//!
//! A view with no more members than machines may be lost acknowledges nothing. One whose members are enough but
//! stand in too few zones or regions waits a little for nodes that would mend that, and then acknowledges in a
//! degraded state: otherwise the loss of a region, which is tolerated, would stop all orders.

use log::{info, warn};
use quillpulley_protocol::{NodeId, View};
use std::time::Duration;

use crate::place::{exposure_of_members, exposure_of_witnesses, Exposure, Place, Tolerance};
use crate::quorum::members;
use crate::replica::Replica;
use crate::StateMachine;

/// How long a primary waits, after it took over, for nodes that could become witnesses, before it acknowledges
/// orders with fewer witnesses than the tolerated losses need.
const WITNESS_PATIENCE: Duration = Duration::from_secs(3);
/// How long orders wait, while the members or witnesses of the view stand in too few places, for nodes elsewhere that
/// are connected and could come in.
const PLACE_PATIENCE: Duration = Duration::from_millis(1500);
/// How long after such a wait orders do not wait again, if nobody came in.
const WAIT_AGAIN_AFTER: Duration = Duration::from_secs(10);

/// The tolerated losses that a view does not survive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViewExposure {
    /// Losses after which no member is left.
    pub members: Exposure,
    /// Losses after which no majority of the witnesses is left.
    pub witnesses: Exposure,
}

impl ViewExposure {
    /// Whether every tolerated loss is survived.
    pub fn is_none(self) -> bool {
        self.members.is_none() && self.witnesses.is_none()
    }

    fn is_by_place(self) -> bool {
        self.members.is_by_place() || self.witnesses.is_by_place()
    }
}

/// What a primary knows of the exposure of its view.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CoverState {
    /// When orders began to wait for nodes elsewhere.
    awaited_since: Option<Duration>,
    /// What was logged last.
    told: ViewExposure,
}

impl<S: StateMachine> Replica<S> {
    /// Where a node stands, if that is known. One that has lost its disk and has come back as another stands where
    /// it stood.
    pub fn place_of(&self, node: NodeId) -> Option<&Place> {
        if node == self.options.me {
            return Some(&self.place);
        }
        self.peers.place_at(node)
    }

    /// The tolerated losses that the newest known view does not survive, as far as the places of its nodes are
    /// known here: the primary knows those of all members. None before the first view.
    pub fn exposure(&self) -> Option<ViewExposure> {
        self.view().map(|view| self.exposure_of(view))
    }

    fn exposure_of(&self, view: &View) -> ViewExposure {
        ViewExposure {
            members: self.member_exposure(&members(view)),
            witnesses: self.witness_exposure(&view.witnesses),
        }
    }

    pub(crate) fn member_exposure(&self, members: &[NodeId]) -> Exposure {
        exposure_of_members(members, self.tolerance(), |node| self.place_of(node))
    }

    pub(crate) fn witness_exposure(&self, witnesses: &[NodeId]) -> Exposure {
        exposure_of_witnesses(witnesses, self.tolerance(), |node| self.place_of(node))
    }

    fn tolerance(&self) -> Tolerance {
        Tolerance {
            machines: self.options.tolerated_machines,
            zones: self.options.tolerated_zones,
            regions: self.options.tolerated_regions,
        }
    }

    /// Whether what is stored by all members survives the losses that have to be tolerated, or is as safe as it
    /// can be made at the moment.
    pub(crate) fn may_acknowledge(&self) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let exposure = self.exposure_of(&leadership.view);
        let has_witnesses = leadership.view.witnesses.len() > 2 * self.options.tolerated_machines;
        let waited = self.now > leadership.elected_at + WITNESS_PATIENCE;
        let witnesses_will_do = has_witnesses || waited || !self.awaits_witness();
        !exposure.members.machines && witnesses_will_do && !self.awaits_place(exposure)
    }

    /// Whether nodes are about to come in that make the view survive more losses of places, and had no time yet.
    fn awaits_place(&self, exposure: ViewExposure) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let since = leadership.cover.awaited_since.unwrap_or(self.now);
        self.now <= since + PLACE_PATIENCE && self.could_be_covered(exposure)
    }

    /// Whether the view would survive more losses of places with nodes that are connected.
    fn could_be_covered(&self, exposure: ViewExposure) -> bool {
        let Some(leadership) = self.leadership.as_ref().filter(|_| exposure.is_by_place()) else {
            return false;
        };
        let present = members(&leadership.view);
        let mut with_joiners = present.clone();
        with_joiners.extend(self.answering_nodes().into_iter().filter(|node| !present.contains(node)));
        let joiners_help = self.member_exposure(&with_joiners).count() < exposure.members.count();
        let witnesses_help = exposure.witnesses.is_by_place()
            && self.witness_exposure(&self.best_plan().witnesses).count() < exposure.witnesses.count();
        joiners_help || witnesses_help
    }

    /// The nodes that answer and are not about to end.
    pub(crate) fn answering_nodes(&self) -> Vec<NodeId> {
        let mut nodes = self.peers.connected();
        nodes.retain(|node| {
            let answers = self.peers.is_answering(self.now, *node);
            answers && !self.peers.is_leaving(self.now, *node)
        });
        nodes
    }

    /// Notes since when orders wait for nodes elsewhere, and logs once when they are acknowledged without, and once
    /// when that is over.
    pub(crate) fn check_cover(&mut self) {
        let Some(leadership) = &self.leadership else { return };
        let exposure = self.exposure_of(&leadership.view);
        let told = leadership.cover.told;
        let is_over = |since: &Duration| self.now > *since + PLACE_PATIENCE + WAIT_AGAIN_AFTER;
        let mut since =
            leadership.cover.awaited_since.filter(|since| exposure.is_by_place() && !is_over(since));
        if since.is_none() && self.could_be_covered(exposure) {
            since = Some(self.now);
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.cover.awaited_since = since;
        }
        let is_settled = exposure.is_none() || self.may_acknowledge() || exposure.members.machines;
        if exposure == told || !is_settled {
            return;
        }
        self.tell_exposure(exposure, told);
        if let Some(leadership) = &mut self.leadership {
            leadership.cover.told = exposure;
        }
    }

    fn tell_exposure(&self, exposure: ViewExposure, told: ViewExposure) {
        let me = self.options.me;
        if exposure.is_none() {
            info!("{me}: members and witnesses survive every tolerated loss again");
            return;
        }
        let ViewExposure { members, witnesses } = exposure;
        if members != told.members && !members.is_none() {
            let state = if members.machines { "no orders are acknowledged" } else { "degraded" };
            warn!(
                "{me}: {state}: a loss of as many {members} as are tolerated would leave no copy: \
                 start core machines elsewhere, or mend the links to them"
            );
        }
        if witnesses != told.witnesses && !witnesses.is_none() {
            warn!(
                "{me}: degraded: a loss of as many {witnesses} as are tolerated would leave no majority of the \
                 witnesses: start core machines elsewhere, or mend the links to them"
            );
        }
    }
}
