//! Exhaustive model checking of small worlds: from the moments of a failover, of a replacement, of the removal of a
//! witness, and of an install, all ways in which the next few things can happen, with faults among them.
//!
//! A write is durable at once here, unless the process dies in it. A frozen machine is one to which nothing happens for
//! a while. The initial states are every second moment, in the longer stories of those at which more than heartbeats is
//! in flight.
//!
//! `MODEL_DEPTH` sets how many states a path has, and then every moment is an initial state. Each test prints how many
//! states it has seen:
//!
//! ```text
//! MODEL_DEPTH=6 cargo test --release -p quillpulley-replication model:: -- --nocapture
//! ```

mod cluster;
mod inspect;
mod late_messages;

use quillpulley_replication::Faults;
use stateright::{Checker, Model, Property};

use cluster::{Cluster, Crash, Step};

/// Faults in one path: restarts, wipes, lost messages, leaps of time.
const FAULTS: u8 = 2;
const THREADS: usize = 3;
/// Compaction that happens late, and with every command.
const COMPACT_LATE: usize = 256;
const COMPACT_AT_ONCE: usize = 0;
/// How many redirects callers follow.
const MAX_REDIRECTS: usize = 2;
/// Proposals in a world where they are sent again.
const MAX_PROPOSALS: usize = 5;
const NOTHING_LOST: &str = "nothing acknowledged can be lost, and no answer is without it";

/// What can happen beside messages, ticks, commands, restarts, leaps, lost messages and lost disks.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Extra {
    Nothing,
    /// Processes die in a write.
    CrashInWrite,
    /// Commands are sent again.
    Resend,
}

/// All that can happen from the initial states on.
struct ClusterModel {
    initial_states: Vec<Cluster>,
    extra: Extra,
}

impl Model for ClusterModel {
    type State = Cluster;
    type Action = Step;

    fn init_states(&self) -> Vec<Cluster> {
        self.initial_states.clone()
    }

    fn actions(&self, state: &Cluster, steps: &mut Vec<Step>) {
        let present = state.present();
        for (link, queue) in &state.links {
            if !queue.is_empty() {
                steps.push(Step::Deliver(*link));
            }
        }
        steps.extend(present.iter().copied().map(Step::Tick));
        steps.extend(state.leaders().into_iter().map(Step::Propose));
        if self.extra == Extra::Resend && state.proposal_count() < MAX_PROPOSALS {
            steps.extend(state.leaders().into_iter().map(Step::Resend));
        }
        if state.faults >= FAULTS {
            return;
        }
        steps.push(Step::AdvanceTime);
        steps.extend(present.iter().copied().map(Step::Restart));
        steps.extend(state.pending().map(Step::Lose));
        if self.extra == Extra::CrashInWrite {
            let crashes = [Crash::Before, Crash::After];
            steps.extend(
                present.iter().flat_map(|node| crashes.map(|crash| Step::CrashInWrite(*node, crash))),
            );
        }
        if state.tolerates_loss() {
            steps.extend(present.into_iter().map(Step::Wipe));
        }
    }

    fn next_state(&self, state: &Cluster, step: Step) -> Option<Cluster> {
        let mut next = state.clone();
        next.perform(step);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NOTHING_LOST, |_, state: &Cluster| state.violation().is_none()),
            Property::always("one holder of the lease", |_, state: &Cluster| state.leaders().len() <= 1),
            Property::always("callers are redirected twice at most", |_, state: &Cluster| {
                let mut redirects = state.present().into_iter().map(|node| state.redirects_from(node));
                redirects.all(|count| count.is_some_and(|count| count <= MAX_REDIRECTS))
            }),
            Property::sometimes("a view is activated on the way", |_, state: &Cluster| {
                !state.activated_epochs.is_empty()
            }),
        ]
    }
}

/// So many nodes with a primary, all of them members and witnesses, and one command acknowledged.
fn stable_cluster(count: usize, faults: Faults, compact_entries: usize) -> Cluster {
    let mut cluster = Cluster::new(count, faults, compact_entries);
    cluster.run(&[], Cluster::is_complete);
    let leader = cluster.leaders()[0];
    cluster.perform(Step::Propose(leader));
    cluster.run(&[], |cluster| cluster.acknowledged.len() == 1 && cluster.pending().is_none());
    cluster
}

/// Returns how many states a path has, if `MODEL_DEPTH` is set.
fn requested_depth() -> Option<usize> {
    std::env::var("MODEL_DEPTH").ok().and_then(|text| text.parse().ok())
}

/// Every so many of the moments, or every one if `MODEL_DEPTH` is set.
fn sample(moments: Vec<Cluster>, stride: usize) -> Vec<Cluster> {
    let stride = if requested_depth().is_some() { 1 } else { stride };
    moments.into_iter().step_by(stride).collect()
}

/// The same of the moments at which more than heartbeats is in flight.
fn sample_changes(mut moments: Vec<Cluster>, stride: usize) -> Vec<Cluster> {
    moments.retain(Cluster::is_changing);
    sample(moments, stride)
}

/// Explores all paths of `depth` states.
fn explore(mut initial_states: Vec<Cluster>, extra: Extra, depth: usize) -> impl Checker<ClusterModel> {
    for state in &mut initial_states {
        state.activated_epochs.clear();
        state.faults = 0;
    }
    let count = initial_states.len();
    let depth = requested_depth().unwrap_or(depth);
    let checker = ClusterModel { initial_states, extra }
        .checker()
        .threads(THREADS)
        .target_max_depth(depth)
        .spawn_bfs()
        .join();
    println!("{count} initial states, {depth} deep: {} states", checker.unique_state_count());
    checker
}

#[test]
fn from_the_moments_of_a_failover() {
    let mut cluster = stable_cluster(3, Faults::default(), COMPACT_LATE);
    let frozen = cluster.leaders()[0];
    let is_replaced = |cluster: &Cluster| cluster.leaders().iter().any(|leader| *leader != frozen);
    let initial_states = cluster.run(&[frozen], is_replaced);
    explore(sample(initial_states, 2), Extra::Nothing, 5).assert_properties();
}

#[test]
fn from_the_moments_of_a_failover_of_four_nodes() {
    let mut cluster = stable_cluster(4, Faults::default(), COMPACT_LATE);
    let frozen = cluster.leaders()[0];
    let is_replaced = |cluster: &Cluster| cluster.leaders().iter().any(|leader| *leader != frozen);
    let initial_states = cluster.run(&[frozen], is_replaced);
    explore(sample_changes(initial_states, 2), Extra::Nothing, 4).assert_properties();
}

#[test]
fn from_the_moments_of_the_return_of_a_wiped_machine() {
    let mut cluster = stable_cluster(3, Faults::default(), COMPACT_LATE);
    let leader = cluster.leaders()[0];
    cluster.perform(Step::Wipe((leader + 1) % 3));
    let mut initial_states = sample(cluster.run(&[], |cluster| cluster.members() == 3), 2);
    initial_states.extend(sample_changes(cluster.run(&[], Cluster::is_complete), 2));
    explore(initial_states, Extra::Nothing, 5).assert_properties();
}

#[test]
fn from_the_moments_of_a_replacement_at_a_new_address() {
    let mut cluster = stable_cluster(3, Faults::default(), COMPACT_LATE);
    let leader = cluster.leaders()[0];
    cluster.replace((leader + 1) % 3);
    let initial_states = cluster.run(&[], Cluster::is_complete);
    explore(sample_changes(initial_states, 2), Extra::Nothing, 5).assert_properties();
}

#[test]
fn from_the_moments_of_the_removal_of_a_witness() {
    let mut cluster = stable_cluster(4, Faults::default(), COMPACT_LATE);
    let leader = cluster.leaders()[0];
    cluster.remove((leader + 1) % 4);
    let initial_states = cluster.run(&[], Cluster::is_complete);
    explore(sample_changes(initial_states, 2), Extra::Nothing, 5).assert_properties();
}

#[test]
fn from_the_moments_of_an_install_with_a_crash_in_any_write() {
    let mut cluster = stable_cluster(3, Faults::default(), COMPACT_AT_ONCE);
    let leader = cluster.leaders()[0];
    cluster.perform(Step::Wipe((leader + 1) % 3));
    let initial_states = cluster.run(&[], Cluster::is_complete);
    explore(sample_changes(initial_states, 2), Extra::CrashInWrite, 5).assert_properties();
}

#[test]
fn from_the_moments_of_a_failover_with_commands_that_are_sent_again() {
    let mut cluster = stable_cluster(3, Faults::default(), COMPACT_LATE);
    let frozen = cluster.leaders()[0];
    cluster.perform(Step::Propose(frozen));
    let mut initial_states = cluster.run(&[], |cluster| cluster.acknowledged.len() == 2);
    let is_replaced = |cluster: &Cluster| cluster.leaders().iter().any(|leader| *leader != frozen);
    initial_states.extend(cluster.run(&[frozen], is_replaced));
    explore(sample(initial_states, 1), Extra::Resend, 5).assert_properties();
}

/// The moments of a replacement with a fault built in.
fn replacement(faults: Faults) -> Vec<Cluster> {
    let mut cluster = stable_cluster(3, faults, COMPACT_LATE);
    let leader = cluster.leaders()[0];
    cluster.replace((leader + 1) % 3);
    sample_changes(cluster.run(&[], Cluster::is_complete), 1)
}

#[test]
fn a_learner_that_is_counted_early_is_found() {
    let faults = Faults { count_learner_early: true, ..Faults::default() };
    let found = explore(replacement(faults), Extra::Nothing, 4).discoveries();
    assert!(found.contains_key(NOTHING_LOST));
}

#[test]
fn an_answer_without_a_lease_check_is_found() {
    let faults = Faults { answer_without_lease_check: true, ..Faults::default() };
    let mut cluster = stable_cluster(3, faults, COMPACT_LATE);
    let frozen = cluster.leaders()[0];
    let is_replaced = |cluster: &Cluster| cluster.leaders().iter().any(|leader| *leader != frozen);
    cluster.run(&[frozen], is_replaced);
    let leader = cluster.leaders()[0];
    cluster.perform(Step::Propose(leader));
    cluster.run(&[frozen], |cluster| cluster.acknowledged.len() == 2);
    assert!(cluster.violation().is_some_and(|why| why.contains("may answer without")));
}

#[test]
fn an_acknowledgement_without_every_member_is_found() {
    let faults = Faults { acknowledge_by_majority: true, ..Faults::default() };
    let initial_states = vec![stable_cluster(3, faults, COMPACT_LATE)];
    let found = explore(initial_states, Extra::Nothing, 5).discoveries();
    assert!(found.contains_key(NOTHING_LOST));
}
