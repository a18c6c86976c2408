//! Where an agent finds its parent in the tree.
//!
//! The agents of a zone are ranked by rendezvous hashing and form a heap of bounded fan-out: the first is the
//! child of a core process, and the parent of the one at position `i` is at `(i - 1) / FAN_OUT`. A parent always has a
//! higher rank than its child, whichever of the agents somebody knows or has given up, so no loops form.

use quillpulley_membership::rendezvous::{ranked, Key};
use quillpulley_protocol::{Core, Front, FrontState};
use std::collections::HashSet;
use std::net::Ipv4Addr;

/// The most children that an agent has by its rank. It may have more for a while when others fail.
pub const FAN_OUT: usize = 16;

/// A process that may become the parent of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ParentCandidate {
    /// The core process on the machine with this address.
    Core(Ipv4Addr),
    /// The agent on the machine with this address.
    Agent(Ipv4Addr),
}

/// What an agent knows of the places in the tree.
#[derive(Clone, Copy, Debug)]
pub struct Surroundings<'a> {
    /// Its own name, zone and region.
    pub name: &'a str,
    /// The zone of its machine.
    pub zone: &'a str,
    /// The region of its machine.
    pub region: &'a str,
    /// The published fronts: each has an agent. Whether the agent itself is among them makes no difference.
    pub fronts: &'a [Front],
    /// The published core processes.
    pub cores: &'a [Core],
    /// The addresses of the seeds, which are core processes or were some.
    pub seeds: &'a [Ipv4Addr],
    /// Candidates that failed lately. The agents among them are left out of the ranking, so that those who have
    /// lost the same parent meet at the same next one; the core processes among them come last.
    pub failed: &'a [ParentCandidate],
}

/// The candidates for an agent's parent, in the order in which to try them: its place in the heap of its zone and
/// the places above it, the core processes of its zone, its region and elsewhere, the seeds, and core processes that
/// failed lately.
pub fn parent_candidates(surroundings: &Surroundings) -> Vec<ParentCandidate> {
    let agents = agents_above(surroundings);
    let cores = cores_by_distance(surroundings);
    let mut candidates = match starts_at_core(surroundings) {
        true => cores,
        false => agents.into_iter().chain(cores).collect(),
    };
    candidates.extend(seeds_by_hash(surroundings));
    let (failed, mut ordered): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(|candidate| surroundings.failed.contains(candidate));
    ordered.extend(failed);
    let mut seen = HashSet::new();
    ordered.retain(|candidate| seen.insert(*candidate));
    ordered
}

/// Whether all agents of the zone are children of its core process: there is one that did not fail, and they are few.
fn starts_at_core(surroundings: &Surroundings) -> bool {
    let mut in_zone = surroundings.cores.iter().filter(|core| core.zone == surroundings.zone);
    let has_core = in_zone.any(|core| !surroundings.failed.contains(&core_process(core)));
    has_core && zone_agents(surroundings).count() < FAN_OUT
}

/// The other agents of the zone that stay.
fn zone_agents<'a>(surroundings: &Surroundings<'a>) -> impl Iterator<Item = &'a Front> + use<'a> {
    let (name, zone) = (surroundings.name, surroundings.zone);
    let in_zone = surroundings.fronts.iter().filter(move |front| front.zone == zone && front.name != name);
    in_zone.filter(|front| front.state != FrontState::Leaving)
}

/// The agents on the way from this one to the top of the heap, nearest first.
fn agents_above(surroundings: &Surroundings) -> Vec<ParentCandidate> {
    let key = Key::new(surroundings.zone);
    let own_rank = key.rank(surroundings.name);
    let ahead = zone_agents(surroundings).filter(|front| key.rank(&front.name) < own_rank);
    let mut ahead: Vec<&Front> = ahead.filter(|front| !surroundings.failed.contains(&agent(front))).collect();
    ahead.sort_by_cached_key(|front| key.rank(&front.name));
    let above = std::iter::successors(position_above(ahead.len()), |position| position_above(*position));
    above.filter_map(|position| ahead.get(position)).map(|front| agent(front)).collect()
}

fn position_above(position: usize) -> Option<usize> {
    position.checked_sub(1).map(|before| before / FAN_OUT)
}

fn agent(front: &Front) -> ParentCandidate {
    ParentCandidate::Agent(Ipv4Addr::from_bits(front.ip))
}

fn core_process(core: &Core) -> ParentCandidate {
    ParentCandidate::Core(Ipv4Addr::from_bits(core.ip))
}

/// The core processes: those of the zone, then of the region, then the others; alike ones by rendezvous hashing.
fn cores_by_distance(surroundings: &Surroundings) -> Vec<ParentCandidate> {
    let key = Key::new(surroundings.name);
    let mut cores: Vec<&Core> = surroundings.cores.iter().collect();
    cores.sort_by_cached_key(|core| {
        let address = Ipv4Addr::from_bits(core.ip).to_string();
        (
            core.zone != surroundings.zone,
            core.region != surroundings.region,
            std::cmp::Reverse(key.score(&address)),
        )
    });
    cores.into_iter().map(core_process).collect()
}

fn seeds_by_hash(surroundings: &Surroundings) -> Vec<ParentCandidate> {
    let names: Vec<String> = surroundings.seeds.iter().map(Ipv4Addr::to_string).collect();
    let ordered = ranked(surroundings.name, names.iter().map(String::as_str));
    ordered.into_iter().filter_map(|seed| seed.parse().ok()).map(ParentCandidate::Core).collect()
}
