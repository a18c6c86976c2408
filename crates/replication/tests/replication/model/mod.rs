//! Exhaustive model checking of small clusters. The initial states are those that a cluster passes through
//! during a failover, a replacement, the removal of a witness, or an install. From each of them, all
//! sequences of the next few events are explored, faults included.
//!
//! A write is durable at once in the model, unless the process crashes in it. A frozen node receives no
//! events. Most tests sample every second of the initial states; the longer scenarios sample only those in which
//! messages other than heartbeats are in flight.
//!
//! `MODEL_DEPTH` sets the number of states in a path, and then no initial state is left out by sampling. Each
//! test prints the number of distinct states that it has visited:
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

/// The maximum number of faults in a path: restarts, wipes, lost messages, time jumps, crashes in writes.
const MAX_FAULTS: u8 = 2;
const THREADS: usize = 3;
/// The number of entries above which the log is compacted: more than a test ever has.
const COMPACT_LATE: usize = 256;
/// The number of entries above which the log is compacted: with every command.
const COMPACT_AT_ONCE: usize = 0;
/// The maximum number of redirects that a client follows.
const MAX_REDIRECTS: usize = 2;
/// The maximum number of proposals in the tests that send commands again.
const MAX_PROPOSALS: usize = 5;
const NOTHING_LOST: &str = "no acknowledged command can be lost, or be missing from a read response";

/// Steps in addition to messages, ticks, commands, restarts, time jumps, lost messages and lost disks.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ExtraSteps {
    Nothing,
    /// Processes crash in a write.
    CrashInWrite,
    /// Commands are sent again.
    Resend,
}

/// The model: all sequences of steps from the initial states.
struct ClusterModel {
    initial_states: Vec<Cluster>,
    extra_steps: ExtraSteps,
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
        if self.extra_steps == ExtraSteps::Resend && state.proposal_count() < MAX_PROPOSALS {
            steps.extend(state.leaders().into_iter().map(Step::Resend));
        }
        if state.faults >= MAX_FAULTS {
            return;
        }
        steps.push(Step::AdvanceTime);
        steps.extend(present.iter().copied().map(Step::Restart));
        steps.extend(state.first_pending_link().map(Step::Lose));
        if self.extra_steps == ExtraSteps::CrashInWrite {
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
            Property::always("at most one node holds the lease", |_, state: &Cluster| {
                state.leaders().len() <= 1
            }),
            Property::always("clients are redirected at most twice", |_, state: &Cluster| {
                let mut redirects = state.present().into_iter().map(|node| state.redirects_from(node));
                redirects.all(|count| count.is_some_and(|count| count <= MAX_REDIRECTS))
            }),
            Property::sometimes("a view is activated", |_, state: &Cluster| {
                !state.activated_epochs.is_empty()
            }),
        ]
    }
}

/// Returns a cluster of `count` nodes with a primary. All nodes are members and witnesses, and one command is
/// acknowledged.
fn stable_cluster(count: usize, faults: Faults, compact_entries: usize) -> Cluster {
    let mut cluster = Cluster::new(count, faults, compact_entries);
    cluster.run(&[], Cluster::is_complete);
    let leader = cluster.leaders()[0];
    cluster.perform(Step::Propose(leader));
    cluster.run(&[], |cluster| cluster.acknowledged.len() == 1 && cluster.first_pending_link().is_none());
    cluster
}

/// Returns the number of states in a path from `MODEL_DEPTH`; `None` if it is not set.
fn requested_depth() -> Option<usize> {
    std::env::var("MODEL_DEPTH").ok().and_then(|text| text.parse().ok())
}

/// Returns every `stride`th state, or every state if `MODEL_DEPTH` is set.
fn sample(states: Vec<Cluster>, stride: usize) -> Vec<Cluster> {
    let stride = if requested_depth().is_some() { 1 } else { stride };
    states.into_iter().step_by(stride).collect()
}

/// Samples the states in which messages other than heartbeats are in flight.
fn sample_changes(mut states: Vec<Cluster>, stride: usize) -> Vec<Cluster> {
    states.retain(Cluster::is_changing);
    sample(states, stride)
}

/// Explores all paths of `depth` states, or of `MODEL_DEPTH` states if that is set.
fn explore(
    mut initial_states: Vec<Cluster>,
    extra_steps: ExtraSteps,
    depth: usize,
) -> impl Checker<ClusterModel> {
    for state in &mut initial_states {
        state.activated_epochs.clear();
        state.faults = 0;
    }
    let count = initial_states.len();
    let depth = requested_depth().unwrap_or(depth);
    let checker = ClusterModel { initial_states, extra_steps }
        .checker()
        .threads(THREADS)
        .target_max_depth(depth)
        .spawn_bfs()
        .join();
    println!("{count} initial states, {depth} deep: {} states", checker.unique_state_count());
    checker
}

#[test]
fn all_paths_during_a_failover() {
    let mut cluster = stable_cluster(3, Faults::default(), COMPACT_LATE);
    let frozen = cluster.leaders()[0];
    let is_replaced = |cluster: &Cluster| cluster.leaders().iter().any(|leader| *leader != frozen);
    let initial_states = cluster.run(&[frozen], is_replaced);
    explore(sample(initial_states, 2), ExtraSteps::Nothing, 5).assert_properties();
}

#[test]
fn all_paths_during_a_failover_of_four_nodes() {
    let mut cluster = stable_cluster(4, Faults::default(), COMPACT_LATE);
    let frozen = cluster.leaders()[0];
    let is_replaced = |cluster: &Cluster| cluster.leaders().iter().any(|leader| *leader != frozen);
    let initial_states = cluster.run(&[frozen], is_replaced);
    explore(sample_changes(initial_states, 2), ExtraSteps::Nothing, 4).assert_properties();
}

#[test]
fn all_paths_during_the_return_of_a_wiped_node() {
    let mut cluster = stable_cluster(3, Faults::default(), COMPACT_LATE);
    let leader = cluster.leaders()[0];
    cluster.perform(Step::Wipe((leader + 1) % 3));
    let mut initial_states = sample(cluster.run(&[], |cluster| cluster.members() == 3), 2);
    initial_states.extend(sample_changes(cluster.run(&[], Cluster::is_complete), 2));
    explore(initial_states, ExtraSteps::Nothing, 5).assert_properties();
}

#[test]
fn all_paths_during_a_replacement_at_a_new_address() {
    let mut cluster = stable_cluster(3, Faults::default(), COMPACT_LATE);
    let leader = cluster.leaders()[0];
    cluster.replace((leader + 1) % 3);
    let initial_states = cluster.run(&[], Cluster::is_complete);
    explore(sample_changes(initial_states, 2), ExtraSteps::Nothing, 5).assert_properties();
}

#[test]
fn all_paths_during_the_removal_of_a_witness() {
    let mut cluster = stable_cluster(4, Faults::default(), COMPACT_LATE);
    let leader = cluster.leaders()[0];
    cluster.remove((leader + 1) % 4);
    let initial_states = cluster.run(&[], Cluster::is_complete);
    explore(sample_changes(initial_states, 2), ExtraSteps::Nothing, 5).assert_properties();
}

#[test]
fn all_paths_during_an_install_with_a_crash_in_any_write() {
    let mut cluster = stable_cluster(3, Faults::default(), COMPACT_AT_ONCE);
    let leader = cluster.leaders()[0];
    cluster.perform(Step::Wipe((leader + 1) % 3));
    let initial_states = cluster.run(&[], Cluster::is_complete);
    explore(sample_changes(initial_states, 2), ExtraSteps::CrashInWrite, 5).assert_properties();
}

#[test]
fn all_paths_during_a_failover_with_resent_commands() {
    let mut cluster = stable_cluster(3, Faults::default(), COMPACT_LATE);
    let frozen = cluster.leaders()[0];
    cluster.perform(Step::Propose(frozen));
    let mut initial_states = cluster.run(&[], |cluster| cluster.acknowledged.len() == 2);
    let is_replaced = |cluster: &Cluster| cluster.leaders().iter().any(|leader| *leader != frozen);
    initial_states.extend(cluster.run(&[frozen], is_replaced));
    explore(sample(initial_states, 1), ExtraSteps::Resend, 5).assert_properties();
}

/// Returns the states during a replacement with the injected `faults`.
fn replacement(faults: Faults) -> Vec<Cluster> {
    let mut cluster = stable_cluster(3, faults, COMPACT_LATE);
    let leader = cluster.leaders()[0];
    cluster.replace((leader + 1) % 3);
    sample_changes(cluster.run(&[], Cluster::is_complete), 1)
}

#[test]
fn a_learner_that_becomes_a_member_too_early_is_detected() {
    let faults = Faults { count_learner_early: true, ..Faults::default() };
    let found = explore(replacement(faults), ExtraSteps::Nothing, 4).discoveries();
    assert!(found.contains_key(NOTHING_LOST));
}

#[test]
fn a_read_without_a_lease_check_is_detected() {
    let faults = Faults { answer_without_lease_check: true, ..Faults::default() };
    let mut cluster = stable_cluster(3, faults, COMPACT_LATE);
    let frozen = cluster.leaders()[0];
    let is_replaced = |cluster: &Cluster| cluster.leaders().iter().any(|leader| *leader != frozen);
    cluster.run(&[frozen], is_replaced);
    let leader = cluster.leaders()[0];
    cluster.perform(Step::Propose(leader));
    cluster.run(&[frozen], |cluster| cluster.acknowledged.len() == 2);
    assert!(cluster.violation().is_some_and(|why| why.contains("may answer a read without")));
}

#[test]
fn an_acknowledgement_by_a_majority_of_the_members_is_detected() {
    let faults = Faults { acknowledge_by_majority: true, ..Faults::default() };
    let initial_states = vec![stable_cluster(3, faults, COMPACT_LATE)];
    let found = explore(initial_states, ExtraSteps::Nothing, 5).discoveries();
    assert!(found.contains_key(NOTHING_LOST));
}
