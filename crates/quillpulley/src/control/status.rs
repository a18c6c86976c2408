//! What a core process tells of the core: `GET /v1/Control.Status`.
//!
//! It says what this process knows. Only a primary surely knows the places of all members; another process counts
//! a node whose place it has not heard as lost with any zone or region.

use super::host::Host;
use quillpulley_replication::{Exposure, Role, ViewExposure};
use quillpulley_wire::{NodeId, View};
use simd_json::prelude::Writable;
use simd_json::{json, OwnedValue};
use std::time::Duration;

/// The status as JSON.
pub(super) fn describe(host: &Host, now: Duration) -> Vec<u8> {
    let view = host.replica.view();
    let primary = host.replica.primary_hint(now).map(|primary| primary.address().to_string());
    let exposure = host.replica.exposure();
    let status = json!({
        "Node": host.settings.node_name.as_str(),
        "Address": host.me.address().to_string(),
        "Role": role(host.replica.role(now)),
        "Epoch": view.map(|view| view.epoch),
        "Primary": primary,
        "Members": places(host, &view.map(members).unwrap_or_default()),
        "Witnesses": places(host, view.map(|view| view.witnesses.as_slice()).unwrap_or_default()),
        "Covered": exposure.is_some_and(ViewExposure::is_none),
        "MembersDoNotSurvive": exposure.map(|exposure| losses(exposure.members)),
        "WitnessesDoNotSurvive": exposure.map(|exposure| losses(exposure.witnesses)),
    });
    status.encode().into_bytes()
}

fn role(role: Role) -> &'static str {
    match role {
        Role::Primary { lease: true, .. } => "primary",
        Role::Primary { lease: false, .. } => "primary without lease",
        Role::Candidate => "candidate",
        Role::Follower { .. } => "follower",
        Role::Stopped => "leaving",
    }
}

fn members(view: &View) -> Vec<NodeId> {
    std::iter::once(view.primary).chain(view.backups.iter().copied()).collect()
}

fn places(host: &Host, nodes: &[NodeId]) -> Vec<OwnedValue> {
    let describe = |node: &NodeId| {
        let place = host.replica.place_of(*node);
        json!({
            "Address": node.address().to_string(),
            "Zone": place.map(|place| place.zone.as_str()),
            "Region": place.map(|place| place.region.as_str()),
        })
    };
    nodes.iter().map(describe).collect()
}

/// The kinds of tolerated losses that are not survived.
fn losses(exposure: Exposure) -> Vec<&'static str> {
    let kinds = [(exposure.machines, "machines"), (exposure.zones, "zones"), (exposure.regions, "regions")];
    kinds.iter().filter(|(exposed, _)| *exposed).map(|(_, kind)| *kind).collect()
}
