//! `GET /v1/Control.Status`: the status of the control nodes as far as this node knows it.
//!
//! Only a primary is certain to know the failure domains of all members. Any other node assumes that a member
//! whose failure domains it has not received is lost with any zone or region.

use super::status_snapshot::StatusSnapshot;
use crate::control::response::{Response, TimedResponse};
use quillpulley_protocol::{NodeId, View};
use quillpulley_replication::{DurabilityStatus, Role};
use simd_json::prelude::Writable;
use simd_json::{json, OwnedValue};
use std::time::Duration;

/// Returns the status. It expires when the primary that it names is no longer known to be the primary, and does
/// not expire if it names none.
pub fn response(snapshot: &StatusSnapshot<'_>, now: Duration) -> TimedResponse {
    snapshot.while_primary_is_known(now, Response::Status(to_json(snapshot, now)))
}

fn to_json(snapshot: &StatusSnapshot<'_>, now: Duration) -> Vec<u8> {
    let view = snapshot.replica.view();
    let primary = snapshot.replica.primary_hint(now).map(|primary| primary.address().to_string());
    let durability = snapshot.replica.durability();
    let status = json!({
        "Node": snapshot.name,
        "Address": snapshot.me.address().to_string(),
        "Role": role(snapshot.replica.role(now)),
        "Epoch": view.map(|view| view.epoch),
        "Primary": primary,
        "Members": nodes(snapshot, &view.map(members).unwrap_or_default()),
        "Witnesses": nodes(snapshot, view.map(|view| view.witnesses.as_slice()).unwrap_or_default()),
        "Covered": durability.is_some_and(DurabilityStatus::is_covered),
        "MembersDoNotSurvive": durability.map(|status| status.members.kinds()),
        "WitnessesDoNotSurvive": durability.map(|status| status.witnesses.kinds()),
        "SpareWitnesses": snapshot.replica.spare_witnesses(now),
    });
    status.encode().into_bytes()
}

fn role(role: Role) -> &'static str {
    match role {
        Role::Primary { holds_lease: true, .. } => "primary",
        Role::Primary { holds_lease: false, .. } => "primary without lease",
        Role::Candidate => "candidate",
        Role::Follower { .. } => "follower",
        Role::ShuttingDown => "leaving",
    }
}

fn members(view: &View) -> Vec<NodeId> {
    std::iter::once(view.primary).chain(view.backups.iter().copied()).collect()
}

fn nodes(snapshot: &StatusSnapshot<'_>, nodes: &[NodeId]) -> Vec<OwnedValue> {
    let describe = |node: &NodeId| {
        let locality = snapshot.replica.locality_of(*node);
        json!({
            "Address": node.address().to_string(),
            "Zone": locality.map(|locality| locality.zone.as_str()),
            "Region": locality.map(|locality| locality.region.as_str()),
        })
    };
    nodes.iter().map(describe).collect()
}
