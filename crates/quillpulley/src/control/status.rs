//! What a core process tells of the core: `GET /v1/Control.Status`.
//!
//! It says what this process knows. Only a primary surely knows the places of all members; another process counts
//! a node whose place it has not heard as lost with any zone or region.

use super::knowledge::Knowledge;
use super::orders::Answer;
use super::timed_answer::TimedAnswer;
use quillpulley_protocol::{NodeId, View};
use quillpulley_replication::{DurabilityStatus, Role};
use simd_json::prelude::Writable;
use simd_json::{json, OwnedValue};
use std::time::Duration;

/// The status, for as long as the primary that it names may be named.
pub fn answer(knowledge: &Knowledge<'_>, now: Duration) -> TimedAnswer {
    knowledge.while_primary_is_known(now, Answer::Status(describe(knowledge, now)))
}

/// The status as JSON.
fn describe(knowledge: &Knowledge<'_>, now: Duration) -> Vec<u8> {
    let view = knowledge.replica.view();
    let primary = knowledge.replica.primary_hint(now).map(|primary| primary.address().to_string());
    let exposure = knowledge.replica.durability();
    let status = json!({
        "Node": knowledge.name,
        "Address": knowledge.me.address().to_string(),
        "Role": role(knowledge.replica.role(now)),
        "Epoch": view.map(|view| view.epoch),
        "Primary": primary,
        "Members": places(knowledge, &view.map(members).unwrap_or_default()),
        "Witnesses": places(knowledge, view.map(|view| view.witnesses.as_slice()).unwrap_or_default()),
        "Covered": exposure.is_some_and(DurabilityStatus::is_covered),
        "MembersDoNotSurvive": exposure.map(|exposure| exposure.members.kinds()),
        "WitnessesDoNotSurvive": exposure.map(|exposure| exposure.witnesses.kinds()),
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

fn places(knowledge: &Knowledge<'_>, nodes: &[NodeId]) -> Vec<OwnedValue> {
    let describe = |node: &NodeId| {
        let place = knowledge.replica.locality_of(*node);
        json!({
            "Address": node.address().to_string(),
            "Zone": place.map(|place| place.zone.as_str()),
            "Region": place.map(|place| place.region.as_str()),
        })
    };
    nodes.iter().map(describe).collect()
}
