//! Exhaustive model checking of small worlds: from the moments of a failover and of the return of a wiped machine,
//! all ways in which the next few things can happen, with faults among them.
//!
//! Writes are durable at once here, and a frozen machine is one to which nothing happens for a while.

mod cluster;

use quillpulley_replication::Faults;
use stateright::{Checker, Model, Property};

use cluster::{Cluster, Step, NODES};

/// Faults in one path: restarts, wipes, lost messages, leaps of time.
const FAULTS: u8 = 2;
const THREADS: usize = 3;
const NOTHING_LOST: &str = "nothing acknowledged can be lost";

/// All that can happen from some states on.
struct Worlds {
    begins: Vec<Cluster>,
}

impl Model for Worlds {
    type State = Cluster;
    type Action = Step;

    fn init_states(&self) -> Vec<Cluster> {
        self.begins.clone()
    }

    fn actions(&self, state: &Cluster, steps: &mut Vec<Step>) {
        for (link, queue) in &state.links {
            if !queue.is_empty() {
                steps.push(Step::Deliver(*link));
            }
        }
        steps.extend((0..NODES).map(Step::Tick));
        steps.extend(state.leaders().into_iter().map(Step::Propose));
        if state.faults >= FAULTS {
            return;
        }
        steps.push(Step::Leap);
        steps.extend((0..NODES).map(Step::Restart));
        steps.extend(state.pending().map(Step::Lose));
        if state.wiped.is_none() {
            steps.extend((0..NODES).map(Step::Wipe));
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

/// Three nodes with a primary, all of them members, and one order acknowledged.
fn settled(faults: Faults) -> Cluster {
    let mut cluster = Cluster::new(faults);
    cluster.run(&[], |cluster| cluster.leaders().len() == 1 && cluster.members() == NODES);
    let leader = cluster.leaders()[0];
    cluster.take(Step::Propose(leader));
    cluster.run(&[], |cluster| cluster.acknowledged.len() == 1 && cluster.pending().is_none());
    cluster
}

/// How many steps a path has: five, or what `MODEL_DEPTH` says.
fn depth() -> usize {
    std::env::var("MODEL_DEPTH").ok().and_then(|text| text.parse().ok()).unwrap_or(5)
}

/// Every second moment, or every one if a depth was asked for.
fn sample(moments: Vec<Cluster>) -> Vec<Cluster> {
    let stride = if std::env::var_os("MODEL_DEPTH").is_some() { 1 } else { 2 };
    moments.into_iter().step_by(stride).collect()
}

fn explore(mut begins: Vec<Cluster>, depth: usize) -> impl Checker<Worlds> {
    begins.iter_mut().for_each(|begin| begin.epochs_in_force.clear());
    Worlds { begins }.checker().threads(THREADS).target_max_depth(depth).spawn_bfs().join()
}

#[test]
fn from_the_moments_of_a_failover() {
    let mut cluster = settled(Faults::default());
    let frozen = cluster.leaders()[0];
    let is_replaced = |cluster: &Cluster| cluster.leaders().iter().any(|leader| *leader != frozen);
    let begins = cluster.run(&[frozen], is_replaced);
    explore(sample(begins), depth()).assert_properties();
}

#[test]
fn from_the_moments_of_the_return_of_a_wiped_machine() {
    let mut cluster = settled(Faults::default());
    let leader = cluster.leaders()[0];
    cluster.take(Step::Wipe((leader + 1) % NODES));
    cluster.faults = 0;
    let begins = cluster.run(&[], |cluster| cluster.members() == NODES);
    explore(sample(begins), depth()).assert_properties();
}

#[test]
fn an_acknowledgement_without_every_member_is_found() {
    let faults = Faults { acknowledge_by_majority: true, ..Faults::default() };
    let found = explore(vec![settled(faults)], depth()).discoveries();
    assert!(found.contains_key(NOTHING_LOST));
}
