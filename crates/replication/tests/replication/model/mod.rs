//! Exhaustive model checking of small worlds: from the moments of a failover, of a replacement, of the removal of a
//! witness, and of an install, all ways in which the next few things can happen, with faults among them.
//!
//! A write is durable at once here, unless the process dies in it. A frozen machine is one to which nothing happens
//! for a while. The beginnings are every second moment, in the longer stories of those at which more than heartbeats
//! is under way.
//!
//! `MODEL_DEPTH` sets how many states a path has, and then every moment is a beginning. Each test prints how many
//! states it has seen:
//!
//! ```text
//! MODEL_DEPTH=6 cargo test --release -p quillpulley-replication model:: -- --nocapture
//! ```

mod cluster;
mod inspect;

use quillpulley_replication::Faults;
use stateright::{Checker, Model, Property};

use cluster::{Cluster, Crash, Step};

/// Faults in one path: restarts, wipes, lost messages, leaps of time.
const FAULTS: u8 = 2;
const THREADS: usize = 3;
/// Compaction that happens late, and with every order.
const COMPACT_LATE: usize = 256;
const COMPACT_AT_ONCE: usize = 0;
/// Messages with orders in a world where they are sent again.
const MESSAGES: usize = 5;
const NOTHING_LOST: &str = "nothing acknowledged can be lost, and no answer is without it";

/// What can happen beside messages, ticks, orders, restarts, leaps, lost messages and lost disks.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Extra {
    Nothing,
    /// Processes die in a write.
    CrashInWrite,
    /// Orders are sent again.
    SendAgain,
}

/// All that can happen from some states on.
struct Worlds {
    begins: Vec<Cluster>,
    extra: Extra,
}

impl Model for Worlds {
    type State = Cluster;
    type Action = Step;

    fn init_states(&self) -> Vec<Cluster> {
        self.begins.clone()
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
        if self.extra == Extra::SendAgain && state.message_count() < MESSAGES {
            steps.extend(state.leaders().into_iter().map(Step::SendAgain));
        }
        if state.faults >= FAULTS {
            return;
        }
        steps.push(Step::Leap);
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
        next.take(step);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NOTHING_LOST, |_, state: &Cluster| state.violation().is_none()),
            Property::always("one holder of the lease", |_, state: &Cluster| state.leaders().len() <= 1),
            Property::sometimes("a view takes leadership on the way", |_, state: &Cluster| {
                !state.epochs_in_force.is_empty()
            }),
        ]
    }
}

/// So many nodes with a primary, all of them members and witnesses, and one order acknowledged.
fn settled(count: usize, faults: Faults, compact_entries: usize) -> Cluster {
    let mut cluster = Cluster::new(count, faults, compact_entries);
    cluster.run(&[], Cluster::is_whole);
    let leader = cluster.leaders()[0];
    cluster.take(Step::Propose(leader));
    cluster.run(&[], |cluster| cluster.acknowledged.len() == 1 && cluster.pending().is_none());
    cluster
}

/// How many states a path has, if that was asked for.
fn depth_asked_for() -> Option<usize> {
    std::env::var("MODEL_DEPTH").ok().and_then(|text| text.parse().ok())
}

/// Every so many of the moments, or every one if a depth was asked for.
fn sample(moments: Vec<Cluster>, stride: usize) -> Vec<Cluster> {
    let stride = if depth_asked_for().is_some() { 1 } else { stride };
    moments.into_iter().step_by(stride).collect()
}

/// The same of the moments at which more than heartbeats is under way.
fn sample_changes(mut moments: Vec<Cluster>, stride: usize) -> Vec<Cluster> {
    moments.retain(Cluster::is_changing);
    sample(moments, stride)
}

/// Explores all paths of `depth` states.
fn explore(mut begins: Vec<Cluster>, extra: Extra, depth: usize) -> impl Checker<Worlds> {
    for begin in &mut begins {
        begin.epochs_in_force.clear();
        begin.faults = 0;
    }
    let count = begins.len();
    let depth = depth_asked_for().unwrap_or(depth);
    let checker =
        Worlds { begins, extra }.checker().threads(THREADS).target_max_depth(depth).spawn_bfs().join();
    println!("{count} beginnings, {depth} deep: {} states", checker.unique_state_count());
    checker
}

#[test]
fn from_the_moments_of_a_failover() {
    let mut cluster = settled(3, Faults::default(), COMPACT_LATE);
    let frozen = cluster.leaders()[0];
    let is_replaced = |cluster: &Cluster| cluster.leaders().iter().any(|leader| *leader != frozen);
    let begins = cluster.run(&[frozen], is_replaced);
    explore(sample(begins, 2), Extra::Nothing, 5).assert_properties();
}

#[test]
fn from_the_moments_of_a_failover_of_four_nodes() {
    let mut cluster = settled(4, Faults::default(), COMPACT_LATE);
    let frozen = cluster.leaders()[0];
    let is_replaced = |cluster: &Cluster| cluster.leaders().iter().any(|leader| *leader != frozen);
    let begins = cluster.run(&[frozen], is_replaced);
    explore(sample_changes(begins, 2), Extra::Nothing, 4).assert_properties();
}

#[test]
fn from_the_moments_of_the_return_of_a_wiped_machine() {
    let mut cluster = settled(3, Faults::default(), COMPACT_LATE);
    let leader = cluster.leaders()[0];
    cluster.take(Step::Wipe((leader + 1) % 3));
    let mut begins = sample(cluster.run(&[], |cluster| cluster.members() == 3), 2);
    begins.extend(sample_changes(cluster.run(&[], Cluster::is_whole), 2));
    explore(begins, Extra::Nothing, 5).assert_properties();
}

#[test]
fn from_the_moments_of_a_replacement_at_a_new_address() {
    let mut cluster = settled(3, Faults::default(), COMPACT_LATE);
    let leader = cluster.leaders()[0];
    cluster.replace((leader + 1) % 3);
    let begins = cluster.run(&[], Cluster::is_whole);
    explore(sample_changes(begins, 2), Extra::Nothing, 5).assert_properties();
}

#[test]
fn from_the_moments_of_the_removal_of_a_witness() {
    let mut cluster = settled(4, Faults::default(), COMPACT_LATE);
    let leader = cluster.leaders()[0];
    cluster.remove((leader + 1) % 4);
    let begins = cluster.run(&[], Cluster::is_whole);
    explore(sample_changes(begins, 2), Extra::Nothing, 5).assert_properties();
}

#[test]
fn from_the_moments_of_an_install_with_a_crash_in_any_write() {
    let mut cluster = settled(3, Faults::default(), COMPACT_AT_ONCE);
    let leader = cluster.leaders()[0];
    cluster.take(Step::Wipe((leader + 1) % 3));
    let begins = cluster.run(&[], Cluster::is_whole);
    explore(sample_changes(begins, 2), Extra::CrashInWrite, 5).assert_properties();
}

#[test]
fn from_the_moments_of_a_failover_with_commands_that_are_sent_again() {
    let mut cluster = settled(3, Faults::default(), COMPACT_LATE);
    let frozen = cluster.leaders()[0];
    cluster.take(Step::Propose(frozen));
    let mut begins = cluster.run(&[], |cluster| cluster.acknowledged.len() == 2);
    let is_replaced = |cluster: &Cluster| cluster.leaders().iter().any(|leader| *leader != frozen);
    begins.extend(cluster.run(&[frozen], is_replaced));
    explore(sample_changes(begins, 2), Extra::SendAgain, 5).assert_properties();
}

/// The moments of a replacement with a fault built in.
fn replacement(faults: Faults) -> Vec<Cluster> {
    let mut cluster = settled(3, faults, COMPACT_LATE);
    let leader = cluster.leaders()[0];
    cluster.replace((leader + 1) % 3);
    sample_changes(cluster.run(&[], Cluster::is_whole), 1)
}

#[test]
fn a_joining_member_that_is_counted_early_is_found() {
    let faults = Faults { count_learner_early: true, ..Faults::default() };
    let found = explore(replacement(faults), Extra::Nothing, 4).discoveries();
    assert!(found.contains_key(NOTHING_LOST));
}

#[test]
fn an_answer_without_a_look_at_the_lease_is_found() {
    let faults = Faults { answer_without_lease_check: true, ..Faults::default() };
    let mut cluster = settled(3, faults, COMPACT_LATE);
    let frozen = cluster.leaders()[0];
    let is_replaced = |cluster: &Cluster| cluster.leaders().iter().any(|leader| *leader != frozen);
    cluster.run(&[frozen], is_replaced);
    let leader = cluster.leaders()[0];
    cluster.take(Step::Propose(leader));
    cluster.run(&[frozen], |cluster| cluster.acknowledged.len() == 2);
    assert!(cluster.violation().is_some_and(|why| why.contains("may answer without")));
}

#[test]
fn an_acknowledgement_without_every_member_is_found() {
    let faults = Faults { acknowledge_by_majority: true, ..Faults::default() };
    let begins = vec![settled(3, faults, COMPACT_LATE)];
    let found = explore(begins, Extra::Nothing, 5).discoveries();
    assert!(found.contains_key(NOTHING_LOST));
}
