//! Selection of the candidates for an agent's parent in the relay tree.
//!
//! The agents of a zone are ranked by rendezvous hashing and form a heap with a bounded fan-out. The first
//! agent is a child of a control node, and the parent of the agent at position `i` is the agent at position
//! `(i - 1) / FAN_OUT`. A parent always ranks higher than its child, whichever agents are known or have
//! failed, so that no loops form.

use quillpulley_membership::rendezvous::{ranked, Key};
use quillpulley_protocol::{ControlNode, EndpointState, ProxyEndpoint};
use std::collections::HashSet;
use std::net::Ipv4Addr;

/// Maximum number of children of an agent in the heap. An agent may have more for some time after other agents
/// have failed.
pub const FAN_OUT: usize = 16;

/// A process that may become the parent of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ParentCandidate {
    /// The control node on the machine with this address.
    ControlNode(Ipv4Addr),
    /// The agent on the machine with this address.
    Agent(Ipv4Addr),
}

/// The information that an agent has about the relay tree.
#[derive(Clone, Copy, Debug)]
pub struct TreeTopology<'a> {
    /// The name of the agent.
    pub name: &'a str,
    /// The zone of its machine.
    pub zone: &'a str,
    /// The region of its machine.
    pub region: &'a str,
    /// The published endpoints of proxies. Each proxy has an agent. The endpoint that belongs to this agent
    /// may be missing.
    pub endpoints: &'a [ProxyEndpoint],
    /// The published control nodes.
    pub control_nodes: &'a [ControlNode],
    /// The addresses of the seeds, which are or were control nodes.
    pub seeds: &'a [Ipv4Addr],
    /// Candidates that failed recently. Failed agents are not ranked, so that agents that have lost the same
    /// parent choose the same next one. Failed control nodes come last.
    pub failed: &'a [ParentCandidate],
}

/// Returns the candidates for an agent's parent, in order of preference: the agents above it in the heap of
/// its zone; the control nodes of its zone, then those of its region, then all others; the seeds; and finally
/// the control nodes that failed recently. In a small zone whose control node has not failed, agents are not
/// candidates.
pub fn parent_candidates(topology: &TreeTopology) -> Vec<ParentCandidate> {
    let agents = ancestor_agents(topology);
    let control_nodes = control_nodes_by_distance(topology);
    let mut candidates = match attaches_to_control_node(topology) {
        true => control_nodes,
        false => agents.into_iter().chain(control_nodes).collect(),
    };
    candidates.extend(seeds_by_hash(topology));
    let (failed, mut ordered): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(|candidate| topology.failed.contains(candidate));
    ordered.extend(failed);
    let mut seen = HashSet::new();
    ordered.retain(|candidate| seen.insert(*candidate));
    ordered
}

/// Returns whether all agents of the zone are children of its control node. This is the case if the zone has
/// a control node that has not failed, and fewer than [`FAN_OUT`] other agents.
fn attaches_to_control_node(topology: &TreeTopology) -> bool {
    let mut in_zone = topology.control_nodes.iter().filter(|control_node| control_node.zone == topology.zone);
    let has_control_node =
        in_zone.any(|control_node| !topology.failed.contains(&control_node_candidate(control_node)));
    has_control_node && zone_agents(topology).count() < FAN_OUT
}

/// Returns the other agents of the zone, except for those that are draining.
fn zone_agents<'a>(topology: &TreeTopology<'a>) -> impl Iterator<Item = &'a ProxyEndpoint> + use<'a> {
    let (name, zone) = (topology.name, topology.zone);
    let in_zone =
        topology.endpoints.iter().filter(move |endpoint| endpoint.zone == zone && endpoint.name != name);
    in_zone.filter(|endpoint| endpoint.state != EndpointState::Draining)
}

/// Returns the agents on the path from this agent to the root of the heap, the nearest first.
fn ancestor_agents(topology: &TreeTopology) -> Vec<ParentCandidate> {
    let key = Key::new(topology.zone);
    let own_rank = key.rank(topology.name);
    let higher_ranked = zone_agents(topology).filter(|endpoint| key.rank(&endpoint.name) < own_rank);
    let mut higher_ranked: Vec<&ProxyEndpoint> =
        higher_ranked.filter(|endpoint| !topology.failed.contains(&agent_candidate(endpoint))).collect();
    higher_ranked.sort_by_cached_key(|endpoint| key.rank(&endpoint.name));
    let ancestors =
        std::iter::successors(parent_position(higher_ranked.len()), |position| parent_position(*position));
    ancestors
        .filter_map(|position| higher_ranked.get(position))
        .map(|endpoint| agent_candidate(endpoint))
        .collect()
}

fn parent_position(position: usize) -> Option<usize> {
    position.checked_sub(1).map(|before| before / FAN_OUT)
}

fn agent_candidate(endpoint: &ProxyEndpoint) -> ParentCandidate {
    ParentCandidate::Agent(Ipv4Addr::from_bits(endpoint.ip))
}

fn control_node_candidate(control_node: &ControlNode) -> ParentCandidate {
    ParentCandidate::ControlNode(Ipv4Addr::from_bits(control_node.ip))
}

/// Returns the control nodes of the zone, then those of the region, then all others. Within each group they
/// are ordered by rendezvous hashing.
fn control_nodes_by_distance(topology: &TreeTopology) -> Vec<ParentCandidate> {
    let key = Key::new(topology.name);
    let mut control_nodes: Vec<&ControlNode> = topology.control_nodes.iter().collect();
    control_nodes.sort_by_cached_key(|control_node| {
        let address = Ipv4Addr::from_bits(control_node.ip).to_string();
        (
            control_node.zone != topology.zone,
            control_node.region != topology.region,
            std::cmp::Reverse(key.score(&address)),
        )
    });
    control_nodes.into_iter().map(control_node_candidate).collect()
}

fn seeds_by_hash(topology: &TreeTopology) -> Vec<ParentCandidate> {
    let names: Vec<String> = topology.seeds.iter().map(Ipv4Addr::to_string).collect();
    let ordered = ranked(topology.name, names.iter().map(String::as_str));
    ordered.into_iter().filter_map(|seed| seed.parse().ok()).map(ParentCandidate::ControlNode).collect()
}
