//! Where agents find their parents: bounded fan-out, no loops, few crossings, and a next one for each that fails.

use quickcheck::{quickcheck, TestResult};
use quillpulley_protocol::{Core, Front, FrontState};
use quillpulley_state_sync::relay::{parent_candidates, ParentCandidate, Surroundings, FAN_OUT};
use std::collections::{BTreeMap, HashSet};
use std::net::Ipv4Addr;

fn front(number: u32, zone: &str) -> Front {
    Front {
        name: format!("front-{zone}-{number}"),
        ip: 0x0a01_0000 + number,
        zone: zone.to_string(),
        region: zone[..1].to_string(),
        address: String::new(),
        state: FrontState::Ready,
        life: 1,
        preferred_regions: Vec::new(),
    }
}

fn fronts(count: u32, zone: &str) -> Vec<Front> {
    (0..count).map(|number| front(number, zone)).collect()
}

fn core(number: u32, zone: &str) -> Core {
    Core { ip: 0x0a09_0000 + number, zone: zone.to_string(), region: zone[..1].to_string() }
}

fn core_candidate(number: u32) -> ParentCandidate {
    ParentCandidate::Core(Ipv4Addr::from_bits(0x0a09_0000 + number))
}

fn agent_candidate(front: &Front) -> ParentCandidate {
    ParentCandidate::Agent(Ipv4Addr::from_bits(front.ip))
}

fn candidates(
    own: &Front,
    fronts: &[Front],
    cores: &[Core],
    failed: &[ParentCandidate],
) -> Vec<ParentCandidate> {
    let seeds = [Ipv4Addr::from_bits(0x0a09_0001), Ipv4Addr::from_bits(0x0a09_0063)];
    parent_candidates(&Surroundings {
        name: &own.name,
        zone: &own.zone,
        region: &own.region,
        fronts,
        cores,
        seeds: &seeds,
        failed,
    })
}

fn first_parents(fronts: &[Front], cores: &[Core], failed: &[ParentCandidate]) -> Vec<ParentCandidate> {
    fronts.iter().map(|own| candidates(own, fronts, cores, failed)[0]).collect()
}

#[test]
fn a_small_zone_with_a_core_process_hangs_on_it() {
    let parents = first_parents(&fronts(16, "a1"), &[core(1, "b1"), core(2, "a1"), core(3, "a2")], &[]);
    assert_eq!(parents, [core_candidate(2); 16]);
}

#[test]
fn a_zone_without_a_core_process_has_one_crossing_to_its_own_region() {
    let parents = first_parents(&fronts(16, "a1"), &[core(1, "b1"), core(2, "a2"), core(3, "c1")], &[]);
    assert_eq!(parents.iter().filter(|parent| **parent == core_candidate(2)).count(), 1);
    let others: HashSet<_> = parents.iter().filter(|parent| **parent != core_candidate(2)).collect();
    assert_eq!(others.len(), 1, "all others have the first as their parent");
}

#[test]
fn a_large_zone_has_one_crossing_and_a_bounded_fan_out() {
    let fronts = fronts(100, "a1");
    let parents = first_parents(&fronts, &[core(1, "a1"), core(2, "b1")], &[]);
    let mut children: BTreeMap<ParentCandidate, usize> = BTreeMap::new();
    parents.iter().for_each(|parent| *children.entry(*parent).or_default() += 1);
    assert_eq!(children.remove(&core_candidate(1)), Some(1));
    assert!(children.values().all(|count| *count <= FAN_OUT), "{children:?}");
    assert_eq!(children.len(), 7, "99 children of the first seven");
}

#[test]
fn those_who_lost_the_same_parent_meet_at_the_next() {
    let fronts = fronts(10, "a1");
    let cores = [core(1, "b1")];
    let parents = first_parents(&fronts, &cores, &[]);
    let first = *parents.iter().find(|parent| **parent != core_candidate(1)).expect("the first is an agent");
    let left: Vec<Front> = fronts.iter().filter(|front| agent_candidate(front) != first).cloned().collect();
    let again: Vec<_> = left.iter().map(|own| candidates(own, &fronts, &cores, &[first])[0]).collect();
    assert_eq!(again.iter().filter(|parent| **parent == core_candidate(1)).count(), 1);
    assert_eq!(again.iter().collect::<HashSet<_>>().len(), 2);
    assert!(!again.contains(&first));
}

#[test]
fn a_core_process_that_failed_comes_last_and_its_zone_builds_a_heap() {
    let fronts = fronts(3, "a1");
    let cores = [core(2, "a1"), core(1, "b1")];
    let failed = [core_candidate(2)];
    let parents = first_parents(&fronts, &cores, &failed);
    assert_eq!(parents.iter().filter(|parent| **parent == core_candidate(1)).count(), 1);
    let all = candidates(&fronts[0], &fronts, &cores, &failed);
    assert_eq!(all.last(), Some(&core_candidate(2)));
}

#[test]
fn leaving_agents_are_no_parents() {
    let mut fronts = fronts(10, "a1");
    let cores = [core(1, "b1")];
    let parents = first_parents(&fronts, &cores, &[]);
    let first = *parents.iter().find(|parent| **parent != core_candidate(1)).expect("the first is an agent");
    let position = fronts.iter().position(|front| agent_candidate(front) == first).expect("a front");
    fronts[position].state = FrontState::Leaving;
    let without = first_parents(&fronts, &cores, &[]);
    assert!(!without.contains(&first));
}

#[test]
fn before_anything_is_known_there_are_the_seeds() {
    let own = front(1, "a1");
    let found = candidates(&own, &[], &[], &[]);
    assert_eq!(found.len(), 2);
    assert!(found.iter().all(|candidate| [core_candidate(1), core_candidate(0x63)].contains(candidate)));
}

#[test]
fn nobody_is_named_twice() {
    let fronts = fronts(40, "a1");
    let cores = [core(1, "a1"), core(2, "b1")];
    for own in &fronts {
        let found = candidates(own, &fronts, &cores, &[core_candidate(1)]);
        assert_eq!(found.iter().collect::<HashSet<_>>().len(), found.len());
        assert!(!found.contains(&agent_candidate(own)));
    }
}

quickcheck! {
    /// Whatever each knows of the others and has given up: parents rank higher, so no loops form.
    fn no_loops(count: u8, views: Vec<u64>, failures: Vec<u64>) -> TestResult {
        let fronts = fronts(u32::from(count % 64), "a1");
        if fronts.is_empty() {
            return TestResult::discard();
        }
        let bits = |masks: &[u64], own: usize| masks.get(own % masks.len().max(1)).copied().unwrap_or(0);
        let mut parent_of = BTreeMap::new();
        for (own, front) in fronts.iter().enumerate() {
            let known = bits(&views, own);
            let failed = bits(&failures, own);
            let seen: Vec<Front> =
                fronts.iter().enumerate().filter(|(i, _)| known >> i & 1 == 0).map(|(_, f)| f.clone()).collect();
            let given_up: Vec<ParentCandidate> =
                fronts.iter().enumerate().filter(|(i, _)| failed >> i & 1 == 1).map(|(_, f)| agent_candidate(f)).collect();
            parent_of.insert(agent_candidate(front), candidates(front, &seen, &[core(1, "b1")], &given_up)[0]);
        }
        let ends_at_core = |start: &ParentCandidate| {
            let way = std::iter::successors(Some(*start), |at| parent_of.get(at).copied());
            way.take(fronts.len() + 2).any(|at| at == core_candidate(1))
        };
        TestResult::from_bool(parent_of.keys().all(ends_at_core))
    }
}
