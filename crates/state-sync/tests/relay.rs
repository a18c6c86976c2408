//! Tests of the selection of parents for agents: bounded fan-out, no loops, few connections between zones,
//! and another candidate for each parent that fails.

use quickcheck::{quickcheck, TestResult};
use quillpulley_protocol::{ControlNode, EndpointState, ProxyEndpoint};
use quillpulley_state_sync::parent_selection::{parent_candidates, ParentCandidate, TreeTopology, FAN_OUT};
use std::collections::{BTreeMap, HashSet};
use std::net::Ipv4Addr;

fn endpoint(number: u32, zone: &str) -> ProxyEndpoint {
    ProxyEndpoint {
        name: format!("front-{zone}-{number}"),
        ip: 0x0a01_0000 + number,
        zone: zone.to_string(),
        region: zone[..1].to_string(),
        address: String::new(),
        state: EndpointState::Ready,
        incarnation: 1,
        preferred_regions: Vec::new(),
    }
}

fn endpoints(count: u32, zone: &str) -> Vec<ProxyEndpoint> {
    (0..count).map(|number| endpoint(number, zone)).collect()
}

fn control_node(number: u32, zone: &str) -> ControlNode {
    ControlNode { ip: 0x0a09_0000 + number, zone: zone.to_string(), region: zone[..1].to_string() }
}

fn control_node_candidate(number: u32) -> ParentCandidate {
    ParentCandidate::ControlNode(Ipv4Addr::from_bits(0x0a09_0000 + number))
}

fn agent_candidate(endpoint: &ProxyEndpoint) -> ParentCandidate {
    ParentCandidate::Agent(Ipv4Addr::from_bits(endpoint.ip))
}

fn candidates(
    own: &ProxyEndpoint,
    endpoints: &[ProxyEndpoint],
    control_nodes: &[ControlNode],
    failed: &[ParentCandidate],
) -> Vec<ParentCandidate> {
    let seeds = [Ipv4Addr::from_bits(0x0a09_0001), Ipv4Addr::from_bits(0x0a09_0063)];
    parent_candidates(&TreeTopology {
        name: &own.name,
        zone: &own.zone,
        region: &own.region,
        endpoints,
        control_nodes,
        seeds: &seeds,
        failed,
    })
}

fn first_parents(
    endpoints: &[ProxyEndpoint],
    control_nodes: &[ControlNode],
    failed: &[ParentCandidate],
) -> Vec<ParentCandidate> {
    endpoints.iter().map(|own| candidates(own, endpoints, control_nodes, failed)[0]).collect()
}

#[test]
fn agents_of_a_small_zone_are_children_of_its_control_node() {
    let parents = first_parents(
        &endpoints(16, "a1"),
        &[control_node(1, "b1"), control_node(2, "a1"), control_node(3, "a2")],
        &[],
    );
    assert_eq!(parents, [control_node_candidate(2); 16]);
}

#[test]
fn a_zone_without_a_control_node_has_one_connection_to_its_region() {
    let parents = first_parents(
        &endpoints(16, "a1"),
        &[control_node(1, "b1"), control_node(2, "a2"), control_node(3, "c1")],
        &[],
    );
    assert_eq!(parents.iter().filter(|parent| **parent == control_node_candidate(2)).count(), 1);
    let others: HashSet<_> = parents.iter().filter(|parent| **parent != control_node_candidate(2)).collect();
    assert_eq!(others.len(), 1, "all other agents have the first agent as their parent");
}

#[test]
fn a_large_zone_has_one_child_of_the_control_node_and_a_bounded_fan_out() {
    let endpoints = endpoints(100, "a1");
    let parents = first_parents(&endpoints, &[control_node(1, "a1"), control_node(2, "b1")], &[]);
    let mut children: BTreeMap<ParentCandidate, usize> = BTreeMap::new();
    parents.iter().for_each(|parent| *children.entry(*parent).or_default() += 1);
    assert_eq!(children.remove(&control_node_candidate(1)), Some(1));
    assert!(children.values().all(|count| *count <= FAN_OUT), "{children:?}");
    assert_eq!(children.len(), 7, "the first seven agents have the other 99 as children");
}

#[test]
fn agents_that_lost_the_same_parent_choose_the_same_next_one() {
    let endpoints = endpoints(10, "a1");
    let control_nodes = [control_node(1, "b1")];
    let parents = first_parents(&endpoints, &control_nodes, &[]);
    let first =
        *parents.iter().find(|parent| **parent != control_node_candidate(1)).expect("the first is an agent");
    let remaining: Vec<ProxyEndpoint> =
        endpoints.iter().filter(|endpoint| agent_candidate(endpoint) != first).cloned().collect();
    let next_parents: Vec<_> =
        remaining.iter().map(|own| candidates(own, &endpoints, &control_nodes, &[first])[0]).collect();
    assert_eq!(next_parents.iter().filter(|parent| **parent == control_node_candidate(1)).count(), 1);
    assert_eq!(next_parents.iter().collect::<HashSet<_>>().len(), 2);
    assert!(!next_parents.contains(&first));
}

#[test]
fn a_failed_control_node_comes_last_and_its_zone_forms_a_heap() {
    let endpoints = endpoints(3, "a1");
    let control_nodes = [control_node(2, "a1"), control_node(1, "b1")];
    let failed = [control_node_candidate(2)];
    let parents = first_parents(&endpoints, &control_nodes, &failed);
    assert_eq!(parents.iter().filter(|parent| **parent == control_node_candidate(1)).count(), 1);
    let all = candidates(&endpoints[0], &endpoints, &control_nodes, &failed);
    assert_eq!(all.last(), Some(&control_node_candidate(2)));
}

#[test]
fn draining_agents_are_not_chosen_as_parents() {
    let mut endpoints = endpoints(10, "a1");
    let control_nodes = [control_node(1, "b1")];
    let parents = first_parents(&endpoints, &control_nodes, &[]);
    let first =
        *parents.iter().find(|parent| **parent != control_node_candidate(1)).expect("the first is an agent");
    let position = endpoints
        .iter()
        .position(|endpoint| agent_candidate(endpoint) == first)
        .expect("the first agent has an endpoint");
    endpoints[position].state = EndpointState::Draining;
    let without = first_parents(&endpoints, &control_nodes, &[]);
    assert!(!without.contains(&first));
}

#[test]
fn the_seeds_are_candidates_before_any_state_is_known() {
    let own = endpoint(1, "a1");
    let found = candidates(&own, &[], &[], &[]);
    assert_eq!(found.len(), 2);
    assert!(found
        .iter()
        .all(|candidate| [control_node_candidate(1), control_node_candidate(0x63)].contains(candidate)));
}

#[test]
fn candidates_are_unique_and_never_the_agent_itself() {
    let endpoints = endpoints(40, "a1");
    let control_nodes = [control_node(1, "a1"), control_node(2, "b1")];
    for own in &endpoints {
        let found = candidates(own, &endpoints, &control_nodes, &[control_node_candidate(1)]);
        assert_eq!(found.iter().collect::<HashSet<_>>().len(), found.len());
        assert!(!found.contains(&agent_candidate(own)));
    }
}

quickcheck! {
    /// No loops form whichever endpoints and failures each agent knows, because parents rank higher than
    /// their children.
    fn parents_never_form_a_loop(count: u8, views: Vec<u64>, failures: Vec<u64>) -> TestResult {
        let endpoints = endpoints(u32::from(count % 64), "a1");
        if endpoints.is_empty() {
            return TestResult::discard();
        }
        let bits = |masks: &[u64], own: usize| masks.get(own % masks.len().max(1)).copied().unwrap_or(0);
        let mut parent_of = BTreeMap::new();
        for (own, endpoint) in endpoints.iter().enumerate() {
            let known = bits(&views, own);
            let failed = bits(&failures, own);
            let known_endpoints: Vec<ProxyEndpoint> =
                endpoints.iter().enumerate().filter(|(i, _)| known >> i & 1 == 0).map(|(_, f)| f.clone()).collect();
            let failed_candidates: Vec<ParentCandidate> =
                endpoints.iter().enumerate().filter(|(i, _)| failed >> i & 1 == 1).map(|(_, f)| agent_candidate(f)).collect();
            parent_of.insert(
                agent_candidate(endpoint),
                candidates(endpoint, &known_endpoints, &[control_node(1, "b1")], &failed_candidates)[0],
            );
        }
        let ends_at_control_node = |start: &ParentCandidate| {
            let path = std::iter::successors(Some(*start), |at| parent_of.get(at).copied());
            path.take(endpoints.len() + 2).any(|at| at == control_node_candidate(1))
        };
        TestResult::from_bool(parent_of.keys().all(ends_at_control_node))
    }
}
